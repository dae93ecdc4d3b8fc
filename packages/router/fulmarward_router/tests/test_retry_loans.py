import unittest

from fulmarward_core.quotas import RetryBudget
from fulmarward_router.mesh import RetryLoanAnswer, RetryLoanRequest
from fulmarward_router.state._retry_loans import (
    DENIED_DURATION_S,
    RELAYED_DENIED_DURATION_S,
)
from fulmarward_router.tests._retry_loans import make_retry_loans

_LENDERS = ("a:1", "b:1", "c:1", "d:1")


class RetryLoansTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.listed = {"b:1", "c:1"}
        self.budget = RetryBudget(ratio=0.0, slack=10.0, window_s=10.0)
        self.loans = make_retry_loans(
            "one",
            links=None,
            find_budget=lambda service: self.budget,
            share=1.0,
            read_clock=lambda: self.now,
            list_listed=lambda: self.listed,
        )

    def choose(self, lenders):
        return self.loans.choose_lender("s", lenders)

    def test_instances_that_callers_are_sent_to_are_asked_first(self):
        """Guards against asking those whose shares have no whole retry."""
        for service in "abcdefghij":
            asked = []
            while lender := self.loans.choose_lender(service, _LENDERS):
                asked.append(lender)
                self.loans.record_denied(service, lender, is_relayed=False)
            self.assertEqual({*asked[:2]}, self.listed)
            self.assertEqual(sorted(asked), sorted(_LENDERS))

    def test_lender_without_a_retry_is_asked_again_later(self):
        for is_relayed, pause_s in [
            (False, DENIED_DURATION_S),
            (True, RELAYED_DENIED_DURATION_S),
        ]:
            with self.subTest(is_relayed=is_relayed):
                self.loans.record_denied("s", "a:1", is_relayed=is_relayed)
                self.assertIsNone(self.choose(["a:1"]))
                self.assertEqual(self.loans.choose_lender("t", ["a:1"]), "a:1")
                self.now += pause_s
                self.assertEqual(self.choose(["a:1"]), "a:1")

    def test_answers_that_nobody_asked_for_are_not_used(self):
        """Guards against retries granted to another, or to a process before."""
        self.budget.borrowed.begin_request(1, count=2, now=self.now)
        for borrower, boot in [("other", 1), ("one", 0), ("one", 1)]:
            answer = RetryLoanAnswer(
                borrower=borrower, boot=boot, number=1, count=2, is_relayed=False
            )
            self.loans.handle_answer(answer)
            self.assertFalse(self.budget.take_borrowed(now=self.now))

    def test_repeated_request_lends_once(self):
        """Guards against a lender that uses up its retries for one request."""
        request = RetryLoanRequest(
            borrower="two", boot=1, number=1, service="s", count=2, is_relayed=False
        )
        counts = [self.loans.lend(request).count for _ in range(3)]
        self.assertEqual(counts, [2, 2, 2])
        self.assertEqual(self.budget.count(share=1.0, now=self.now).used, 2)
