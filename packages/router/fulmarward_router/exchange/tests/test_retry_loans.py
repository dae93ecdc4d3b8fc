"""Streams that need a retry that is unused at another instance."""

import asyncio
from types import SimpleNamespace

from fulmarward_core.quotas import RetryBudget
from fulmarward_router.exchange._request_state import CutCause
from fulmarward_router.exchange.tests.test_ended_streams import _EndedStreamTest
from fulmarward_router.tests._retry_loans import LoanLinks, make_retry_loans

#: Of the 7 retries of both instances, each has 3.
_SLACK = 10.0
_SHARE = 0.5

#: Seconds in which a borrowed retry is used.
_ARRIVAL_S = 0.2


class _LoanTest(_EndedStreamTest):
    """An instance that has used up its retries, and one that has used none."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.peer_budget = RetryBudget(ratio=0.0, slack=_SLACK, window_s=10.0)
        for number in range(1, 5):
            self.list_target(f"t{number}", f"h:{number}", (0, 2))
        self.links = LoanLinks()
        for name, find_budget in [
            ("one", lambda service: self.budget),
            ("peer", lambda service: self.peer_budget),
        ]:
            self.links.loans[name] = make_retry_loans(
                name,
                links=self.links,
                find_budget=find_budget,
                share=_SHARE,
                read_clock=self.read_clock,
            )
        self.start_service(
            SimpleNamespace(open=self.open),
            slack=_SLACK,
            find_share=lambda: _SHARE,
            request_loan=self.links.loans["one"].request,
        )
        self.budget = self.service._context.find_budget("pool")
        while self.budget.take_retry(share=_SHARE, now=self.read_clock()):
            pass
        self.serving, self.request = self.serve(most_attempts=2)
        await self.await_attempt(1)
        await self.send(1, attempt=1)

    def count_peer_used(self):
        return self.peer_budget.count(share=_SHARE, now=self.read_clock()).used


class LentRetryTest(_LoanTest):
    async def test_lost_stream_uses_a_retry_of_another_instance(self):
        """Guards against a cut for want of a retry that lies unused at a peer."""
        await self.lose(1, removed=False)
        began_at = self.read_clock()
        await self.await_attempt(2)
        self.assertLess(self.read_clock() - began_at, _ARRIVAL_S)
        self.assertEqual(self.count_peer_used(), 1)
        await self.check_completes(attempt=2)

    async def test_silent_stream_uses_a_retry_of_another_instance(self):
        """Guards against a stream that is left at a silent target until it is cut."""
        first = self.calls[0].target
        self.dialect.silent = {first}
        self.suspicions.record_failure(first, now=self.read_clock())
        await self.await_attempt(2)
        await self.check_completes(attempt=2)

    async def test_nothing_is_sent_while_no_stream_needs_a_retry(self):
        """Guards against messages between instances on a calm day."""
        await asyncio.sleep(0.3)
        await self.check_completes(attempt=1)
        self.assertEqual(self.links.sent, [])

    async def test_stream_is_cut_if_no_instance_has_a_retry(self):
        """Guards against retries beyond the sum that all instances have."""
        while self.peer_budget.take_retry(share=_SHARE, now=self.read_clock()):
            pass
        await self.lose(1, removed=False)
        await self.check_cut(CutCause.NO_RETRY)
        self.assertLessEqual(len(self.links.sent), 4)

    async def test_stream_is_cut_if_no_peer_answers(self):
        """Guards against a stream or a peer that is asked without end."""
        self.links.is_silent = True
        await self.lose(1, removed=False)
        await self.check_cut(CutCause.NO_RETRY)
        self.assertLessEqual(len(self.links.sent), 4)
