import unittest

from hypothesis import given, strategies as st

from fulmarward_core.stalls import (
    MIN_STALL_S,
    StreamView,
    compute_check_delay_s,
    find_stalled_targets,
)


def _make_stream(targets, silent_s):
    return StreamView(targets=tuple(targets), silent_s=silent_s)


class FindStalledTargetsTest(unittest.TestCase):
    def test_stalled_targets(self):
        # A stalled stream alone does not show which of the engines on its path failed.
        # Engines with other, active streams are excluded.
        cases = [
            ("no streams", [], ""),
            ("all active", [_make_stream("abc", 0.02), _make_stream("abd", 0.03)], ""),
            ("one short stall", [_make_stream("abc", 0.07)], ""),
            ("one long stall", [_make_stream("abc", 0.2)], "abc"),
            (
                "active stream through a",
                [_make_stream("abc", 0.2), _make_stream("ad", 0.01)],
                "bc",
            ),
            ("three short stalls", [_make_stream("abc", 0.07)] * 3, "abc"),
            ("two short stalls", [_make_stream("abc", 0.07)] * 2, ""),
        ]
        for name, streams, expected in cases:
            with self.subTest(name):
                targets = find_stalled_targets(streams, mean_pause_s=0.03)
                self.assertEqual("".join(targets), expected)

    def test_slow_streams_are_given_more_time(self):
        streams = [_make_stream("abc", 0.2)]
        self.assertEqual(find_stalled_targets(streams, mean_pause_s=0.1), [])


class CheckDelayTest(unittest.TestCase):
    @given(
        st.lists(st.floats(0.0, 1.0), min_size=1, max_size=6),
        st.floats(0.001, 0.2),
        st.floats(0.0, 1.0),
    )
    def test_no_target_counts_as_stalled_before_the_next_check(
        self, ages, pause_s, fraction
    ):
        """Guards against a stalled stream that is detected too late."""
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
        elapsed_s = delay_s * fraction * 0.999
        silences = [age + elapsed_s for age in ages]
        self.assertLess(max(silences), MIN_STALL_S)
        streams = [_make_stream("abc", silent_s) for silent_s in silences]
        self.assertEqual(find_stalled_targets(streams, mean_pause_s=pause_s), [])

    def test_stalled_streams_are_checked_often_and_active_ones_rarely(self):
        for name, ages, expected in (
            ("stalled", [0.2, 0.0], 0.012),
            ("active", [0.01, 0.0], 0.03),
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
