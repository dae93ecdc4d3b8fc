"""Streams that need a retry that is unused at another instance."""

from types import SimpleNamespace

from fulmarward_core.quotas import RetryBudget
from fulmarward_router.exchange.tests.test_ended_streams import _EndedStreamTest

#: Of the 7 retries of both instances, each has 3.
_SLACK = 10.0
_SHARE = 0.5


class _LoanTest(_EndedStreamTest):
    """An instance that has used up its retries, and one that has used none."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.peer_budget = RetryBudget(ratio=0.0, slack=_SLACK, window_s=10.0)
        for number in range(1, 5):
            self.list_target(f"t{number}", f"h:{number}", (0, 2))
        client = SimpleNamespace(open=self.open)
        self.start_service(client, slack=_SLACK, find_share=lambda: _SHARE)
        context = self.service._context
        self.budget = context.find_budget("pool")
        while self.budget.take_retry(share=_SHARE, now=self.read_clock()):
            pass
        self.serving, self.request = self.serve(most_attempts=2)
        await self.await_attempt(1)
        await self.send(1, attempt=1)


class LentRetryTest(_LoanTest):
    async def test_lost_stream_uses_a_retry_of_another_instance(self):
        """Guards against a cut for want of a retry that lies unused at a peer."""
        await self.lose(1, removed=False)
        await self.await_attempt(2)
        await self.check_completes(attempt=2)

    async def test_silent_stream_uses_a_retry_of_another_instance(self):
        """Guards against a stream that is left at a silent target until it is cut."""
        first = self.calls[0].target
        self.dialect.silent = {first}
        self.suspicions.record_failure(first, now=self.read_clock())
        await self.await_attempt(2)
        await self.check_completes(attempt=2)
