import unittest

from hypothesis import given, strategies as st

from fulmarward_core.stalls import (
    MIN_STALL_S,
    StreamView,
    compute_check_delay_s,
    find_stalled_targets,
)


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


class CheckDelayTest(unittest.TestCase):
    @given(
        st.lists(st.floats(0.0, 1.0), min_size=1, max_size=6),
        st.floats(0.001, 0.2),
        st.floats(0.0, 1.0),
    )
    def test_nothing_could_be_found_before_the_next_check(self, ages, pause_s, part):
        """Guards against a stalled stream that is seen later than it counts."""
        now, interval_s = 100.0, 0.012
        delay_s = compute_check_delay_s(
            [now - age for age in ages],
            mean_pause_s=pause_s,
            interval_s=interval_s,
            now=now,
        )
        self.assertGreaterEqual(delay_s, interval_s)
        if delay_s == interval_s:
            return
        passed_s = delay_s * part * 0.999
        silences = [age + passed_s for age in ages]
        self.assertLess(max(silences), MIN_STALL_S)
        views = [_make("abc", silent_s) for silent_s in silences]
        self.assertEqual(find_stalled_targets(views, mean_pause_s=pause_s), [])

    def test_stalled_streams_are_checked_often_and_moving_ones_rarely(self):
        for name, ages, expected in (
            ("stalled", [0.2, 0.0], 0.012),
            ("moving", [0.01, 0.0], 0.03),
            ("new", [0.0], 0.04),
        ):
            with self.subTest(name):
                delay_s = compute_check_delay_s(
                    [5.0 - age for age in ages],
                    mean_pause_s=0.02,
                    interval_s=0.012,
                    now=5.0,
                )
                self.assertAlmostEqual(delay_s, expected)
