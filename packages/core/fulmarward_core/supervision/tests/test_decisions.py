import unittest

from fulmarward_core.supervision import (
    DutyFailures,
    RestartTerms,
    compute_pause_s,
    must_log,
    record_failure,
    record_logged,
)
from fulmarward_core.supervision.decisions import LOG_INTERVAL_S, RESET_S

TERMS = RestartTerms(first_pause_s=0.1, max_pause_s=0.5)


class RestartTest(unittest.TestCase):
    def test_pause_grows_to_its_bound_until_the_task_runs_on(self):
        failures, pauses = DutyFailures(), []
        for now in (0.0, 1.0, 2.0, 3.0, 3.0 + RESET_S):
            failures = record_failure(failures, cause="E", now=now)
            pauses.append(compute_pause_s(failures, TERMS))
        self.assertEqual(pauses, [0.1, 0.2, 0.4, 0.5, 0.1])
        self.assertEqual(failures.total, 5)

    def test_many_failures_in_a_row_have_a_pause(self):
        failures = DutyFailures(total=10**9, in_a_row=10**9)
        self.assertEqual(compute_pause_s(failures, TERMS), 0.5)

    def test_failures_with_one_cause_are_logged_once_an_interval(self):
        """Guards against a task that fills the log."""
        failures, logged = DutyFailures(), []
        times = [(0.0, "E"), (1.0, "E"), (2.0, "F"), (3.0, "F"), (LOG_INTERVAL_S, "F")]
        for now, cause in [*times, (2.0 + LOG_INTERVAL_S, "F")]:
            failures = record_failure(failures, cause=cause, now=now)
            if must_log(failures, now=now):
                failures = record_logged(failures, now=now)
                logged.append(now)
        self.assertEqual(logged, [0.0, 2.0, 2.0 + LOG_INTERVAL_S])
