import unittest

from hypothesis import given, strategies as st

from fulmarward_core.attempts import (
    RequestTally,
    choose_end,
    may_retry,
    may_run_again,
)
from fulmarward_core.results import ResultCode

DEADLINE = 10.0


def _tally(**changes):
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
    def test_after_an_attempt(self):
        cases = [
            ("nobody had it", _tally(), True),
            ("nobody had what must not run twice", _tally(is_idempotent=False), True),
            ("it may have run", _tally(runs=1), True),
            (
                "what must not run twice may have",
                _tally(runs=1, is_idempotent=False),
                False,
            ),
            ("it may have run as often as allowed", _tally(attempts=2, runs=2), False),
            ("one target after the other refused it", _tally(attempts=3), False),
            ("the last refused after one that ran", _tally(attempts=2, runs=1), True),
        ]
        for name, tally, expected in cases:
            with self.subTest(name):
                self.assertEqual(may_retry(tally, now=1.0), expected)

    @given(TALLIES)
    def test_never_past_the_deadline(self, tally):
        self.assertFalse(may_retry(tally, now=DEADLINE))
        self.assertFalse(may_run_again(tally, now=DEADLINE))

    @given(TALLIES, st.lists(st.booleans(), min_size=8, max_size=8))
    def test_no_more_runs_than_the_route_allows(self, tally, endings):
        # A caller's request is sent on as long as this allows it, whatever becomes of
        # each attempt. What must not run twice has run once at most, and all else as
        # often as the route says.
        attempts, runs = 1, 0
        for has_run in endings:
            runs += has_run
            current = _tally(
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
    def test_what_the_caller_is_told(self):
        cases = [
            ("nothing ran", _tally(), 1.0, ResultCode.TARGET_REFUSED),
            ("it may have run", _tally(runs=1), 1.0, ResultCode.OUTCOME_UNKNOWN),
            ("too late", _tally(), DEADLINE, ResultCode.DEADLINE_PASSED),
            (
                "too late, may have run",
                _tally(runs=1),
                11.0,
                ResultCode.DEADLINE_PASSED,
            ),
        ]
        for name, tally, now, expected in cases:
            with self.subTest(name):
                self.assertEqual(choose_end(tally, now=now), expected)

    @given(TALLIES, st.floats(0.0, 20.0))
    def test_not_run_is_said_only_of_what_did_not_run(self, tally, now):
        if choose_end(tally, now=now) is ResultCode.TARGET_REFUSED:
            self.assertEqual(tally.runs, 0)
