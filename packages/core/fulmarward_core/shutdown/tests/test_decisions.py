import unittest

from hypothesis import given, strategies as st

from fulmarward_core.shutdown import ClosingLoad, StopSchedule

graces = st.floats(0.2, 600.0)
durations = st.floats(0.0, 600.0)
loads = st.builds(
    ClosingLoad,
    open_requests=st.integers(0, 10_000),
    lateness_s=st.floats(0.0, 10.0),
)


class ScheduleTest(unittest.TestCase):
    @given(graces, st.floats(0.0, 1e6), loads)
    def test_open_requests_are_ended_late_and_in_time(self, grace_s, began_at, load):
        schedule = StopSchedule(began_at=began_at, grace_s=grace_s, load=load)
        ends_at = began_at + grace_s
        self.assertLess(schedule.answers_end_at, schedule.waits_end_at)
        self.assertLess(schedule.waits_end_at, ends_at)
        tolerance_s = 1e-6
        self.assertGreaterEqual(
            schedule.answers_end_at, began_at + grace_s * 5 / 6 - tolerance_s
        )
        self.assertLessEqual(ends_at - schedule.answers_end_at, 1.0 + tolerance_s)

    @given(st.sampled_from([1.0, 3.0, 4.0, 8.0, 30.0]))
    def test_little_is_left_for_closing_few_requests_on_an_idle_machine(self, grace_s):
        """Guards against answers in full flow that are cut with time left."""
        load = ClosingLoad(open_requests=8, lateness_s=0.003)
        schedule = StopSchedule(began_at=0.0, grace_s=grace_s, load=load)
        self.assertGreaterEqual(schedule.answers_end_at, grace_s - 0.2)

    @given(graces, loads, loads)
    def test_more_is_left_for_closing_more_or_more_slowly(self, grace_s, one, other):
        """Guards against SIGKILL on a busy machine."""
        both = ClosingLoad(
            open_requests=max(one.open_requests, other.open_requests),
            lateness_s=max(one.lateness_s, other.lateness_s),
        )
        schedules = [
            StopSchedule(began_at=0.0, grace_s=grace_s, load=load)
            for load in (one, both)
        ]
        self.assertLessEqual(schedules[0].closing_s, schedules[1].closing_s)

    def test_slow_loop_gets_the_most_that_is_left_for_closing(self):
        load = ClosingLoad(lateness_s=0.3)
        schedule = StopSchedule(began_at=0.0, grace_s=8.0, load=load)
        self.assertEqual(schedule.closing_s, 1.0)

    @given(graces, loads, durations)
    def test_what_is_taken_is_over_before_the_answers_end(
        self, grace_s, load, deadline
    ):
        """Guards against requests that are taken and then cut, as closing got slow."""
        if StopSchedule(began_at=0.0, grace_s=grace_s).may_take(deadline):
            later = StopSchedule(began_at=0.0, grace_s=grace_s, load=load)
            self.assertLessEqual(deadline, later.answers_end_at)

    @given(graces, durations)
    def test_nothing_is_taken_after_the_end_of_the_answers(self, grace_s, late_s):
        schedule = StopSchedule(began_at=0.0, grace_s=grace_s)
        self.assertFalse(schedule.may_take(schedule.answers_end_at + 0.001 + late_s))

    @given(st.sampled_from([1.0, 4.0, 8.0, 30.0]))
    def test_a_request_that_ends_early_enough_is_taken(self, grace_s):
        """Guards against refusing what has a bound that fits."""
        schedule = StopSchedule(began_at=0.0, grace_s=grace_s)
        self.assertTrue(schedule.may_take(grace_s * 0.75 + 0.05))
