"""What the parts that serve requests have in common."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from fulmarward.observability import log_event
from fulmarward_core.attempts import choose_end, may_retry, may_run_again
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.loads import LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.quotas import UNSTARTED_SHARE, RetryBudget
from fulmarward_core.results import ResultCode
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange._send import TargetClient
from fulmarward_router.exchange._work import RejectedRequest, Work
from fulmarward_router.ports import TargetDialect


@dataclass(frozen=True, kw_only=True)
class ServiceContext:
    """What is known of the fleet, and the ways to it."""

    #: Sends attempts, and speaks with targets.
    client: TargetClient
    dialect: TargetDialect
    #: The targets, which of them to leave out or are slow, and what runs on them.
    catalogue: TargetCatalogue
    suspicions: SuspicionTable
    paces: PaceTable
    ledger: LoadLedger
    #: Returns the retries that a service may still be sent.
    find_budget: Callable[[str], RetryBudget]
    #: Returns the share of this instance in what all use together.
    find_share: Callable[[], float]
    #: Returns whether there are so many instances that hubs pass on what others send.
    is_large: Callable[[], bool]
    #: Name of this instance, and of its data centre.
    instance: str
    data_centre: str
    #: Returns seconds on the steady clock.
    read_clock: Callable[[], float]

    def take_retry(self, work: Work, *, part: float = 1.0) -> bool:
        """Take one more attempt, if the route and the budget of all have one.

        Of this instance's share of the budget it may use a `part`.
        """
        now = self.read_clock()
        is_allowed = may_retry(work.make_tally(), now=now)
        is_taken = is_allowed and self._take_from_share(work, now, part)
        self._log_retry(work, now, is_taken=is_taken, is_allowed=is_allowed)
        return is_taken

    def take_retry_ahead(self, work: Work) -> bool:
        """Take the retry for a request under way, before its attempt is ended.

        Guards against streams that all count on the same last retry: the others would
        be ended too, and cut. Return whether it was taken.
        """
        now = self.read_clock()
        part = 1.0 if work.has_begun else UNSTARTED_SHARE
        is_allowed = may_run_again(work.make_tally(), now=now)
        is_taken = is_allowed and self._take_from_share(work, now, part)
        if is_taken:
            self._log_retry(work, now, is_taken=True, is_allowed=True)
        return is_taken

    def _take_from_share(self, work: Work, now: float, part: float) -> bool:
        return self.find_budget(work.service).take_retry(
            share=self.find_share(), now=now, part=part
        )

    async def await_retry(self, work: Work, *, until: float) -> bool:
        """Take one more attempt for an answer that has begun, waiting for it if needed.

        Guards against an answer that is cut since the share is used up at this moment:
        its caller waits on, the window slides, and the next retry is soon free.
        """
        budget = self.find_budget(work.service)
        budget.begin_wait(until=until)
        try:
            is_taken = await self._take_turns(work, budget, until)
        finally:
            budget.end_wait(until=until)
        now = self.read_clock()
        is_allowed = may_retry(work.make_tally(), now=now)
        self._log_retry(work, now, is_taken=is_taken, is_allowed=is_allowed)
        return is_taken

    async def _take_turns(self, work: Work, budget: RetryBudget, until: float) -> bool:
        """Ask for a retry until there is one or it is of no use any more."""
        is_told = False
        while True:
            now = self.read_clock()
            if not may_retry(work.make_tally(), now=now):
                return False
            turn = budget.take_turn(until=until, share=self.find_share(), now=now)
            if turn.ask_at is None:
                return turn.is_taken
            if not is_told:
                self._log_wait(work, until - now)
            is_told = True
            await asyncio.sleep(turn.ask_at - now)

    def _log_wait(self, work: Work, for_s: float) -> None:
        log_event(
            "retry_awaited",
            request=work.facts.request_id,
            attempts=work.attempts,
            last_event=work.last_event,
            for_s=round(for_s, 3),
        )

    def _log_retry(
        self, work: Work, now: float, *, is_taken: bool, is_allowed: bool
    ) -> None:
        tally = work.make_tally()
        share = self.find_share()
        count = self.find_budget(work.service).count(share=share, now=now)
        log_event(
            "retry_taken" if is_taken else "retry_denied",
            request=work.facts.request_id,
            cause=None if is_taken else ("budget" if is_allowed else "route"),
            attempts=tally.attempts,
            runs=tally.runs,
            most_attempts=tally.most_attempts,
            left_s=round(tally.deadline - now, 3),
            used=count.used,
            allowed=round(count.allowed, 2),
            requests=count.requests,
            share=round(share, 4),
            has_begun=work.has_begun,
        )

    def make_refusal(
        self, work: Work, *, cause: str, retry_after_s: float
    ) -> RejectedRequest:
        """Return the truthful end of a request that no target answered.

        When to come back is told where nothing ran and time is left.
        """
        code = choose_end(work.make_tally(), now=self.read_clock())
        has_run = code is not ResultCode.TARGET_REFUSED
        return RejectedRequest(
            code, cause=cause, retry_after_s=None if has_run else retry_after_s
        )
