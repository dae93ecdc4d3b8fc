import unittest

from hypothesis import given, strategies as st

from fulmarward_core.attempts import (
    RequestTally,
    choose_result_code,
    may_retry,
    may_run_again,
)
from fulmarward_core.results import ResultCode

DEADLINE = 10.0


def _make_tally(**changes):
    base = {
        "attempts": 1,
        "runs": 0,
        "most_attempts": 2,
        "is_idempotent": True,
        "deadline": DEADLINE,
    }
    return RequestTally(**(base | changes))


TALLIES = st.builds(
    RequestTally,
    attempts=st.integers(1, 6),
    runs=st.integers(0, 6),
    most_attempts=st.integers(1, 4),
    is_idempotent=st.booleans(),
    deadline=st.just(DEADLINE),
).filter(lambda tally: tally.runs <= tally.attempts)


class MayRetryTest(unittest.TestCase):
    def test_retry_after_an_attempt(self):
        cases = [
            ("not run", _make_tally(), True),
            ("not run, not idempotent", _make_tally(is_idempotent=False), True),
            ("may have run", _make_tally(runs=1), True),
            (
                "may have run, not idempotent",
                _make_tally(runs=1, is_idempotent=False),
                False,
            ),
            (
                "may have run as often as allowed",
                _make_tally(attempts=2, runs=2),
                False,
            ),
            ("refused by each target", _make_tally(attempts=3), False),
            ("refused after a run", _make_tally(attempts=2, runs=1), True),
            ("refused twice after a run", _make_tally(attempts=3, runs=1), False),
            (
                "refused twice after a run that began the answer",
                _make_tally(attempts=3, runs=1, has_begun=True),
                True,
            ),
            (
                "ran as often as allowed, has begun",
                _make_tally(attempts=3, runs=2, has_begun=True),
                False,
            ),
            (
                "ran at a target that has ended",
                _make_tally(attempts=2, runs=2, uncounted_runs=1),
                True,
            ),
            (
                "ran at a target that has ended, not idempotent",
                _make_tally(runs=1, uncounted_runs=1, is_idempotent=False),
                False,
            ),
        ]
        for name, tally, expected in cases:
            with self.subTest(name):
                self.assertEqual(may_retry(tally, now=1.0), expected)

    @given(TALLIES)
    def test_no_retry_past_the_deadline(self, tally):
        self.assertFalse(may_retry(tally, now=DEADLINE))
        self.assertFalse(may_run_again(tally, now=DEADLINE))

    @given(TALLIES, st.lists(st.booleans(), min_size=8, max_size=8))
    def test_no_more_runs_than_the_route_allows(self, tally, results):
        # Requests are retried for as long as `may_retry` allows, whatever the result of
        # each attempt. A request that is not idempotent runs at most once, any other as
        # often as the route allows.
        attempts, runs = 1, 0
        for has_run in results:
            runs += has_run
            current = _make_tally(
                attempts=attempts,
                runs=runs,
                most_attempts=tally.most_attempts,
                is_idempotent=tally.is_idempotent,
            )
            if not may_retry(current, now=1.0):
                break
            attempts += 1
        most_runs = tally.most_attempts if tally.is_idempotent else 1
        self.assertLessEqual(runs, most_runs)
        self.assertLessEqual(attempts, tally.most_attempts + 1)


class ChooseEndTest(unittest.TestCase):
    def test_result_codes(self):
        cases = [
            ("not run", _make_tally(), 1.0, ResultCode.TARGET_REFUSED),
            ("may have run", _make_tally(runs=1), 1.0, ResultCode.OUTCOME_UNKNOWN),
            ("too late", _make_tally(), DEADLINE, ResultCode.DEADLINE_PASSED),
            (
                "ran at a target that has ended",
                _make_tally(runs=1, uncounted_runs=1),
                1.0,
                ResultCode.OUTCOME_UNKNOWN,
            ),
            (
                "too late, may have run",
                _make_tally(runs=1),
                11.0,
                ResultCode.DEADLINE_PASSED,
            ),
        ]
        for name, tally, now, expected in cases:
            with self.subTest(name):
                self.assertEqual(choose_result_code(tally, now=now), expected)

    @given(TALLIES, st.floats(0.0, 20.0))
    def test_target_refused_means_that_nothing_ran(self, tally, now):
        if choose_result_code(tally, now=now) is ResultCode.TARGET_REFUSED:
            self.assertEqual(tally.runs, 0)
