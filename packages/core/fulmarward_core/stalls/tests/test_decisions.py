import unittest

from fulmarward_core.stalls import StreamView, find_stalled_targets


def _make(targets, silent_s):
    return StreamView(targets=tuple(targets), silent_s=silent_s)


class FindStillTargetsTest(unittest.TestCase):
    def test_targets_to_ask(self):
        # Five engines of a path look alike to a stream that stands still. What tells
        # them apart is whether other streams move through them.
        cases = [
            ("nothing is open", [], ""),
            ("all move", [_make("abc", 0.02), _make("abd", 0.03)], ""),
            ("one is still for a moment", [_make("abc", 0.07)], ""),
            ("one is still for long", [_make("abc", 0.2)], "abc"),
            ("others move through a", [_make("abc", 0.2), _make("ad", 0.01)], "bc"),
            ("three are still for a moment", [_make("abc", 0.07)] * 3, "abc"),
            ("two are still for a moment", [_make("abc", 0.07)] * 2, ""),
        ]
        for name, streams, expected in cases:
            with self.subTest(name):
                found = find_stalled_targets(streams, mean_pause_s=0.03)
                self.assertEqual("".join(found), expected)

    def test_slow_streams_are_given_more_time(self):
        streams = [_make("abc", 0.2)]
        self.assertEqual(find_stalled_targets(streams, mean_pause_s=0.1), [])
