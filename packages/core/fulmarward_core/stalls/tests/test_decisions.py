import unittest
from dataclasses import replace

from hypothesis import given, strategies as st

from fulmarward_core.stalls import (
    MIN_STALL_S,
    REPORT_HOLD_S,
    STALL_FACTOR,
    StreamView,
    compute_check_delay_s,
    compute_stall_thresholds,
    decay_longest_pause_s,
    find_stalled_targets,
)


def _make_stream(targets, silent_s, reported=""):
    return StreamView(
        targets=tuple(targets), silent_s=silent_s, reported=frozenset(reported)
    )


def _find_stalled(streams, **pauses):
    thresholds = compute_stall_thresholds(**pauses)
    return find_stalled_targets(streams, thresholds=thresholds)


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
                targets = _find_stalled(streams, mean_pause_s=0.03)
                self.assertEqual("".join(targets), expected)

    def test_slow_streams_are_given_more_time(self):
        streams = [_make_stream("abc", 0.2)]
        self.assertEqual(_find_stalled(streams, mean_pause_s=0.1), [])

    def test_usual_pauses_are_no_stalls_while_callers_accept_them(self):
        """Guards against probes whenever a target reads the prompt of another stream.

        A pause of which callers accept only a little more counts however usual it is.
        """
        cases = [
            ("as long as usual", 0.046, 0.046, 0.25, ""),
            ("longer than usual", 0.058, 0.046, 0.25, "abc"),
            ("too long for callers", 0.065, 0.2, 0.25, "abc"),
            ("callers accept less", 0.05, 0.2, 0.2, "abc"),
        ]
        for name, silent_s, longest_s, accepted_s, expected in cases:
            with self.subTest(name):
                targets = _find_stalled(
                    [_make_stream("abc", silent_s)] * 3,
                    mean_pause_s=0.03,
                    longest_pause_s=longest_s,
                    accepted_pause_s=accepted_s,
                )
                self.assertEqual("".join(targets), expected)

    def test_report_of_a_target_explains_a_stalled_stream_for_a_while(self):
        """Guards against probes of whole paths for a failure that a peer has found.

        What other streams show of a target is found as early as without the report.
        """
        silent_s, late_s = 0.08, STALL_FACTOR * 0.03 + REPORT_HOLD_S + 0.001
        reported = _make_stream("abc", silent_s, "b")
        early = _make_stream("abc", 0.05, "b")
        cases = [
            ("reported", [reported], "b"),
            ("silent for longer", [_make_stream("abc", late_s, "b")], "abc"),
            ("serves another", [reported, _make_stream("b", 0.01)], "ac"),
            ("two reported", [_make_stream("abc", silent_s, "bc")], "bc"),
            ("another stream", [reported, _make_stream("cd", silent_s)], "bcd"),
            ("joint stall", [early, early, _make_stream("cd", 0.05)], "c"),
        ]
        for name, streams, expected in cases:
            with self.subTest(name):
                targets = _find_stalled(streams, mean_pause_s=0.03)
                self.assertEqual("".join(targets), expected)

    def test_stream_through_a_slow_target_is_stalled_later(self):
        """Guards against probes for each pause of a slow path.

        Its silence does not show either that its targets are healthy.
        """
        slow = StreamView(targets=("a", "b"), silent_s=0.2, slowdown=4.0)
        stalled = _make_stream("bc", 0.2)
        cases = [
            ("slow", [slow], ""),
            ("slow, silent for longer", [replace(slow, silent_s=0.4)], "ab"),
            ("not slow", [replace(slow, slowdown=1.0)], "ab"),
            ("beside a stalled one", [slow, stalled], "bc"),
            (
                "beside one that a report explains",
                [replace(slow, silent_s=0.1), _make_stream("bc", 0.08, "c")],
                "c",
            ),
        ]
        for name, streams, expected in cases:
            with self.subTest(name):
                targets = _find_stalled(streams, mean_pause_s=0.03)
                self.assertEqual("".join(targets), expected)

    def test_longest_pause_is_forgotten_over_many_events(self):
        """Guards against one long pause that delays the detection ever after."""
        longest_s = 0.3
        for _ in range(2000):
            longest_s = decay_longest_pause_s(
                longest_s, pause_s=0.03, mean_pause_s=0.03
            )
        self.assertLess(longest_s, 0.04)
        longest_s = decay_longest_pause_s(longest_s, pause_s=0.07, mean_pause_s=0.03)
        self.assertEqual(longest_s, 0.07)


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
        self.assertEqual(_find_stalled(streams, mean_pause_s=pause_s), [])

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
