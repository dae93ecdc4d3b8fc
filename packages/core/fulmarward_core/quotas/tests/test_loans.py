import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fulmarward_core.quotas import (
    LOAN_DURATION_S,
    MAX_LOAN,
    BorrowedRetries,
    LoanKey,
    RetryBudget,
)

_WINDOW_S = 10.0

#: Relative rate and offset in seconds of each instance's clock.
_CLOCKS = ((0.99, 0.0), (1.0, 5000.0), (1.01, -40.0))
_INSTANCES = st.integers(0, len(_CLOCKS) - 1)

#: Seconds in which a borrowed retry may be used by the slowest clock, nearly.
_LONGEST_S = LOAN_DURATION_S / 0.99 - 1e-6

#: Seconds before a request is delivered, before its answer is, and before its use.
_DELAYS_S = st.sampled_from(
    [
        (0.0, 0.0, _LONGEST_S),
        (0.0, _LONGEST_S, 0.0),
        (_LONGEST_S, 0.0, 0.0),
        (0.0, 0.3, 0.3),
        (0.1, 0.1, 0.1),
    ]
)

#: Seconds of the window that all of these clocks regard as within it.
_COMMON_WINDOW_S = _WINDOW_S / 1.01


class LoanMachine(RuleBasedStateMachine):
    """Instances that lend each other retries over links that lose and repeat.

    A message may arrive at any later time. A process that was started again has
    forgotten all, and what the one before it has lent may still be used.
    """

    def __init__(self):
        super().__init__()
        self.time = 0.0
        self.shares = [0.4, 0.3, 0.3]
        self.boots = [0] * len(_CLOCKS)
        self.budgets = [self.make_budget() for _ in _CLOCKS]
        #: All processes that ever ran, with the number of their instance.
        self.processes = list(enumerate(self.budgets))
        self.numbers = 0
        self.requests, self.answers = [], []
        #: When retries were used, by the common clock.
        self.used_at = []

    @staticmethod
    def make_budget():
        return RetryBudget(ratio=0.2, slack=30.0, window_s=_WINDOW_S)

    def now(self, instance):
        rate, offset_s = _CLOCKS[instance]
        return self.time * rate + offset_s

    def count(self, instance, budget):
        return budget.count(share=self.shares[instance], now=self.now(instance))

    @invariant()
    def all_uses_are_counted(self):
        """Check that each use of the last window is counted by some process."""
        used = sum(at > self.time - _COMMON_WINDOW_S for at in self.used_at)
        counts = (self.count(number, budget).used for number, budget in self.processes)
        assert used <= sum(counts)

    @rule(seconds=st.one_of(st.floats(0.0, 0.3), st.floats(0.0, 12.0)))
    def pass_time(self, seconds):
        self.time += seconds

    @precondition(lambda self: self.used_at)
    @rule(index=st.integers(0, 5))
    def pass_window(self, index):
        """Let the window of a use all but end."""
        end = self.used_at[index % len(self.used_at)] + _COMMON_WINDOW_S
        self.time = max(self.time, end - 1e-6)

    @rule(instance=_INSTANCES, count=st.integers(1, 20))
    def receive_requests(self, instance, count):
        for _ in range(count):
            self.budgets[instance].note_request(now=self.now(instance))

    @rule(instance=_INSTANCES, share=st.floats(0.0, 1.0))
    def change_share(self, instance, share):
        self.shares[instance] = share

    @rule(instance=_INSTANCES)
    def restart(self, instance):
        self.boots[instance] += 1
        self.budgets[instance] = self.make_budget()
        self.processes.append((instance, self.budgets[instance]))

    @rule(instance=_INSTANCES, count=st.integers(1, 12))
    def use_own(self, instance, count):
        budget = self.budgets[instance]
        for _ in range(count):
            share, now = self.shares[instance], self.now(instance)
            if budget.take_retry(share=share, now=now):
                self.used_at.append(self.time)

    @rule(
        instance=_INSTANCES,
        lender=_INSTANCES,
        count=st.integers(1, 12),
        delays_s=_DELAYS_S,
        copies=st.integers(1, 2),
    )
    def borrow(self, instance, lender, count, delays_s, copies):
        """Ask for retries and use them, with a delay before each step."""
        request_s, answer_s, use_s = delays_s
        self.ask(instance=instance, lender=lender, count=count)
        self.time += request_s
        self.deliver_request(index=-1, stays=True, open_answers=0)
        self.time += answer_s
        for _ in range(copies):
            self.deliver_answer(index=-1, stays=True)
        self.time += use_s
        self.use_borrowed(instance=instance, count=copies * count)

    @rule(instance=_INSTANCES, lender=_INSTANCES, count=st.integers(1, 12))
    def ask(self, instance, lender, count):
        # A process that was started again counts from the first number again.
        self.numbers += 1
        key = LoanKey(
            borrower=str(instance), boot=self.boots[instance], number=self.numbers
        )
        self.budgets[instance].borrowed.begin_request(
            key.number, count=count, now=self.now(instance)
        )
        self.requests.append((lender, instance, key, count))

    @precondition(lambda self: self.requests)
    @rule(index=st.integers(0, 30), stays=st.booleans(), open_answers=st.integers(0, 9))
    def deliver_request(self, index, stays, open_answers):
        index %= len(self.requests)
        lender, borrower, key, count = self.requests[index]
        if not stays:
            del self.requests[index]
        budget = self.budgets[lender]
        before = self.count(lender, budget)
        lent = budget.lend(
            key,
            count=count,
            open_answers=open_answers,
            share=self.shares[lender],
            now=self.now(lender),
        )
        after = self.count(lender, budget)
        if after.used > before.used:
            assert after.used - before.used == lent
            assert after.used + max(1, open_answers / 4) <= after.allowed
        self.answers.append((borrower, key, lent))

    @precondition(lambda self: self.answers)
    @rule(index=st.integers(0, 30), stays=st.booleans())
    def deliver_answer(self, index, stays):
        index %= len(self.answers)
        borrower, key, count = self.answers[index]
        if not stays:
            del self.answers[index]
        if key.boot == self.boots[borrower]:
            self.budgets[borrower].borrowed.record_answer(
                key.number, count=count, now=self.now(borrower)
            )

    @precondition(lambda self: self.answers)
    @rule()
    def lose_answers(self):
        self.answers.clear()

    @rule(instance=_INSTANCES, count=st.integers(1, 8))
    def use_borrowed(self, instance, count):
        for _ in range(count):
            if self.budgets[instance].take_borrowed(now=self.now(instance)):
                self.used_at.append(self.time)


LoanTest = LoanMachine.TestCase
LoanTest.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)


class BorrowedRetriesTest(unittest.TestCase):
    def setUp(self):
        self.borrowed = BorrowedRetries()

    def take_all(self, *, now):
        return sum(self.borrowed.take(now=now) for _ in range(20))

    def test_answers(self):
        """Guards against retries that are used too late, twice or beyond a request."""
        late_s = LOAN_DURATION_S + 0.01
        cases = [
            # requested, answers as (number, count, seconds after), used, when used
            (2, [(1, 2, 0.1)], 2, 0.1),
            (2, [(1, 2, 0.1), (1, 2, 0.2)], 2, 0.2),
            (2, [(1, 9, 0.1)], 2, 0.1),
            (2, [(1, -1, 0.1)], 0, 0.1),
            (2, [(7, 2, 0.1)], 0, 0.1),
            (2, [(1, 2, late_s)], 0, late_s),
            (2, [(1, 2, 0.4)], 0, late_s),
        ]
        for count, answers, used, used_s in cases:
            with self.subTest(count=count, answers=answers, used_s=used_s):
                self.borrowed = BorrowedRetries()
                self.borrowed.begin_request(1, count=count, now=50.0)
                for number, answered, after_s in answers:
                    now = 50.0 + after_s
                    self.borrowed.record_answer(number, count=answered, now=now)
                self.assertEqual(self.take_all(now=50.0 + used_s), used)

    def test_missing_retries_are_those_of_the_streams_in_need(self):
        """Guards against requests for more than is needed, or for streams that left."""
        for number in range(20):
            self.borrowed.note_need(f"r{number}", now=0.0)
        self.assertEqual(self.borrowed.count_missing(now=0.1), MAX_LOAN)
        for number in range(17):
            self.borrowed.end_need(f"r{number}")
        self.borrowed.begin_request(1, count=2, now=0.1)
        self.borrowed.record_answer(1, count=2, now=0.1)
        self.assertEqual(self.borrowed.count_missing(now=0.1), 1)
        self.assertEqual(self.borrowed.count_missing(now=1.0), 0)


class LenderTest(unittest.TestCase):
    def test_retries_for_own_answers_are_kept(self):
        """Guards against a lender whose own answers are cut."""
        for open_answers, waiting, lent in [
            (0, 0, 6),
            (9, 0, 4),
            (9, 3, 1),
            (60, 0, 0),
        ]:
            with self.subTest(open_answers=open_answers, waiting=waiting):
                budget = RetryBudget(ratio=0.0, slack=10.0, window_s=_WINDOW_S)
                for _ in range(waiting):
                    budget.begin_wait(until=2.0)
                key = LoanKey(borrower="b", boot=1, number=1)
                loan = budget.lend(
                    key, count=8, open_answers=open_answers, share=1.0, now=0.0
                )
                self.assertEqual(loan, lent)

    def test_borrowed_retries_go_to_the_answers_that_end_first(self):
        """Guards against a retry that expires while answers poll out of turn."""
        budget = RetryBudget(ratio=0.0, slack=0.0, window_s=_WINDOW_S)
        for until in (1.0, 1.1, 1.2):
            budget.begin_wait(until=until)
        budget.borrowed.begin_request(1, count=2, now=0.0)
        budget.borrowed.record_answer(1, count=2, now=0.0)
        polls = [
            budget.poll_retry(until=until, share=1.0, now=0.0).is_taken
            for until in (1.2, 1.1, 1.0)
        ]
        self.assertFalse(budget.take_borrowed(now=0.0, yields=True))
        self.assertEqual(polls, [False, True, True])
