"""Shared dependencies of the request handlers, and the retry decisions."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

from fulmarward.observability import log_event
from fulmarward_core.attempts import (
    RequestTally,
    choose_result_code,
    may_retry,
    may_run_again,
)
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.demand import DemandTable
from fulmarward_core.evidence import EvidenceTable
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.isolation import ContactTable
from fulmarward_core.loads import LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.quotas import UNSTARTED_SHARE, RetryBudget, RetryDecision
from fulmarward_core.reservations import ClassSettings
from fulmarward_core.results import ResultCode
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_core.team_shares import TeamSettings, TeamTable
from fulmarward_router.exchange._process_ends import ProcessEnds
from fulmarward_router.exchange._request_state import (
    CutCause,
    RejectedRequest,
    RequestState,
    Run,
)
from fulmarward_router.exchange._send import TargetClient
from fulmarward_router.exchange._stop_gate import StopGate
from fulmarward_router.ports import AnswerFacts, TargetCall, TargetDialect
from fulmarward_router.state import (
    LeavingTargets,
    PoisonKnowledge,
    PromisedReturns,
    TargetLimits,
)

if TYPE_CHECKING:
    from fulmarward_router.exchange._attempt import Attempt
    from fulmarward_router.exchange._whole_responses import Placement

#: Seconds between two checks whether a target leaves that has not responded yet.
LEAVING_CHECK_INTERVAL_S = 0.25

#: Seconds for which a target may have been leaving before requests that its host has
#: not acknowledged are withdrawn. In that time it still accepts requests.
UNDELIVERED_GRACE_S = 1.0


#: Seconds for which the answer of a target replaces a probe: the interval after which a
#: target that has answered a probe is probed again (`PROBE_INTERVAL_S`), so that a lost
#: target is found no later than by probes alone.
EVIDENCE_DURATION_S = 0.8


@dataclass(frozen=True, kw_only=True)
class ServiceContext:
    """Fleet state and clients that the request handlers share."""

    client: TargetClient
    dialect: TargetDialect
    catalogue: TargetCatalogue
    suspicions: SuspicionTable
    #: Which services this instance reaches.
    contacts: ContactTable
    paces: PaceTable
    #: Which prompts crash targets.
    poison: PoisonKnowledge
    #: Which targets have named a limit.
    target_limits: TargetLimits
    #: Which targets have said that they leave.
    leaving_targets: LeavingTargets
    ledger: LoadLedger
    #: Returns the retry budget of a service.
    find_budget: Callable[[str], RetryBudget]
    #: Returns this instance's share of the resources that all instances use.
    find_share: Callable[[], float]
    #: Returns whether the fleet is so large that hubs relay messages between instances.
    is_large: Callable[[], bool]
    #: Names of this instance and of its data centre.
    instance: str
    data_centre: str
    #: Returns seconds on the monotonic clock.
    read_clock: Callable[[], float]
    #: Returns how many instances are known of, whether they are reached or not.
    count_known_instances: Callable[[], int] = lambda: 1
    #: Demand of each class, of this instance and of the others.
    demands: DemandTable = field(default_factory=lambda: DemandTable(own=""))
    #: Returns the services with classes by the configuration in force.
    list_class_services: Callable[[], frozenset[str]] = frozenset
    #: Returns the settings of the admission by urgency.
    read_class_settings: Callable[[], ClassSettings] = ClassSettings
    #: Returns whether services without classes are balanced between data centres too.
    balances_data_centres: Callable[[], bool] = lambda: False
    #: Returns the other data centres with an instance that was heard recently.
    list_reached_centres: Callable[[], frozenset[str]] = frozenset
    #: What the teams use in each class, and the settings of their shares.
    teams: TeamTable = field(default_factory=lambda: TeamTable(own=""))
    read_team_settings: Callable[[], TeamSettings] = TeamSettings
    #: When targets last answered a report request, for whatever purpose.
    evidence: EvidenceTable = field(
        default_factory=lambda: EvidenceTable(is_known=lambda target: True)
    )
    #: Promises of capacity to rejected callers.
    promised_returns: PromisedReturns = field(default_factory=PromisedReturns)
    #: Borrows a retry of a service in the background for a started answer, by request.
    request_loan: Callable[[str, str], None] = lambda service, request_id: None
    #: Which processes of targets have ended, for the runs that the limit counts.
    process_ends: ProcessEnds = field(default_factory=ProcessEnds)
    #: Decides which requests are sent to a target while the instance stops.
    stop_gate: StopGate = field(default_factory=StopGate)

    def has_answered_since(self, target: str, at: float) -> bool:
        """Return whether a target need not be probed, as it has answered since `at`.

        Only in large fleets, and not if it was found or reported unreachable. An answer
        counts for `EVIDENCE_DURATION_S`.
        """
        now = self.read_clock()
        at = max(at, now - EVIDENCE_DURATION_S)
        return (
            self.is_large()
            and self.evidence.answered_since(target, at)
            and not self.suspicions.is_unreachable(target, now=now)
            and not self.suspicions.is_indirect(target, now=now)
        )

    def check_may_begin(self, state: RequestState) -> None:
        """Raise `RejectedRequest` if a stop leaves no time to begin a request."""
        self.stop_gate.check_may_begin(state, now=self.read_clock())

    async def open(
        self, state: RequestState, call: TargetCall
    ) -> aiohttp.ClientResponse:
        """Send a request, as `TargetClient.open` does, while its target stays.

        Guards against a request that waits for a saturated link and is delivered after
        its target has left.
        """
        loop = asyncio.get_running_loop()

        def check() -> None:
            nonlocal timer
            now = self.read_clock()
            leaving_s = self.catalogue.find_leaving_s(call.target, now=now)
            if leaving_s >= UNDELIVERED_GRACE_S:
                if self.client.reset_undelivered(call.address):
                    log_event(
                        "undelivered_requests_reset",
                        request=state.facts.request_id,
                        target=call.target,
                        leaving_s=round(leaving_s, 3),
                    )
            timer = loop.call_later(LEAVING_CHECK_INTERVAL_S, check)

        timer = loop.call_later(LEAVING_CHECK_INTERVAL_S, check)
        sent_to = self.catalogue.find_target(call.target)
        self.target_limits.record_sent(call.target)
        try:
            response = await self.client.open(state, call)
        finally:
            timer.cancel()
        self.contacts.record_response(state.service, now=self.read_clock())
        facts = self.dialect.read_answer(response.status, response.headers)
        self.target_limits.record_answer(call.target, facts)
        if facts.is_own and sent_to is not None:
            self._record_demands(state, call, facts, sent_to)
        return response

    def _record_demands(
        self,
        state: RequestState,
        call: TargetCall,
        facts: AnswerFacts,
        sent_to: TargetRecord,
    ) -> None:
        """Record what an answer demands, unless its target has started again since."""
        current = self.catalogue.find_target(call.target)
        if current is not None and current.process_name != sent_to.process_name:
            return
        request_id = state.facts.request_id
        # A rejection that names another target of the path as the cause may pass on the
        # demand of that one, so that both get the pause.
        causes = [h.target for h in call.path if h.address == facts.address_at_fault]
        records = [self.catalogue.find_target(n) for n in causes if n != call.target]
        self.target_limits.record_backoff(
            [sent_to, *(record for record in records if record is not None)],
            facts,
            request_id=request_id,
        )
        is_of_target = facts.address_at_fault in (None, call.address)
        if facts.is_leaving and is_of_target:
            self.leaving_targets.record_answer(sent_to, request_id=request_id)

    def make_tally(self, state: RequestState) -> RequestTally:
        """Return the attempt counts and limits of a request now."""
        for run in state.failed_runs:
            # A target that is cut off may be reached again.
            run.has_ended = self._has_run_ended(run)
        return state.make_tally()

    def _has_run_ended(self, run: Run) -> bool:
        """Return whether the target of a run is known to have ended or be cut off.

        Neither silence, a removed entry nor a connection that broke off shows that: a
        target that leaves without saying so works on.
        """
        target = run.target
        if self.catalogue.has_been_replaced(target):
            return True
        if self.process_ends.has_ended(target, now=self.read_clock()):
            return True
        # Another process has its name.
        is_listed = self.catalogue.find_target(target.name) is not None
        return is_listed and self.has_process_ended(target)

    def has_process_ended(self, target: TargetRecord) -> bool:
        """Return whether a target was removed, or has started again, since `target`."""
        return self.catalogue.has_ended(target)

    def has_path_ended(self, attempt: "Attempt") -> bool:
        """Return whether a process on the path of an attempt is known to have ended.

        The first target may also be gone from the list; the entry of a later one may
        have lapsed while it serves.
        """
        record = attempt.record
        is_first_gone = record is not None and self.has_process_ended(record)
        return is_first_gone or bool(self.list_replaced(attempt))

    def list_replaced(self, attempt: "Attempt | Placement") -> list[str]:
        """Return the targets of an attempt's path whose processes were replaced."""
        records = (attempt.records.get(hop.target) for hop in attempt.path)
        return [
            record.name
            for record in records
            if record is not None and self.catalogue.has_been_replaced(record)
        ]

    def take_retry(
        self, state: RequestState, *, open_answers: int | None = None
    ) -> bool:
        """Consume one retry, if the route and the retry budget allow it.

        A request whose answer has not started may use only the part of the budget that
        the number of `open_answers` leaves; `None` if it may use all of it.
        """
        now = self.read_clock()
        is_allowed = may_retry(self.make_tally(state), now=now)
        part = 1.0
        if open_answers is not None:
            part = self.find_budget(state.service).find_unstarted_part(
                open_answers=open_answers, share=self.find_share(), now=now
            )
        is_taken = is_allowed and self._take_from_budget(state, now, part)
        self._log_retry(state, now, is_taken=is_taken, is_allowed=is_allowed, part=part)
        return is_taken

    def take_retry_early(
        self,
        state: RequestState,
        *,
        lost_state: RequestState | None = None,
        is_last: bool = False,
        may_borrow: bool = True,
    ) -> bool:
        """Consume a retry for a running attempt before aborting it.

        One that `is_last`, as its caller is about to leave, may be any that is free. An
        answer that has begun is judged by its `lost_state`, as it would be if that
        attempt were lost.

        Returns whether there was one. Guards against several streams that rely on the
        same last retry: all would be aborted, and all but one truncated. Streams that
        have lost their attempt already come first. If there is none for a started
        answer, one is requested from the peers, for its next check.
        """
        now = self.read_clock()
        part = 1.0 if state.has_begun else UNSTARTED_SHARE
        if lost_state is None:
            is_allowed = may_run_again(self.make_tally(state), now=now)
        else:
            is_allowed = may_retry(self.make_tally(lost_state), now=now)
        if not is_allowed:
            return False
        budget = self.find_budget(state.service)
        is_borrowed = (
            may_borrow
            and state.has_begun
            and budget.take_borrowed(now=now, yields=not is_last)
        )
        is_taken = is_borrowed or self._take_from_budget(
            state, now, part, yields=not is_last
        )
        if is_taken:
            budget.borrowed.end_need(state.facts.request_id)
            self._log_retry(
                state, now, is_taken=True, is_allowed=True, is_borrowed=is_borrowed
            )
        elif state.has_begun:
            self.request_loan(state.service, state.facts.request_id)
        return is_taken

    def has_retry(self, state: RequestState) -> bool:
        """Return whether the retry budget has one for a request; it is not taken."""
        return self.find_budget(state.service).has_retry(
            share=self.find_share(), now=self.read_clock()
        )

    def return_retry(self, state: RequestState) -> None:
        """Return the retry that was taken last, as no target has got a request."""
        self.find_budget(state.service).return_retry()
        log_event("retry_returned", request=state.facts.request_id)

    def has_early_retry(self, state: RequestState, *, is_last: bool) -> bool:
        """Return whether a started answer might take a retry early; it takes none.

        If not, one is requested from the peers, for its next check.
        """
        now = self.read_clock()
        budget = self.find_budget(state.service)
        has_retry = budget.may_take_early(
            share=self.find_share(), now=now, yields=not is_last
        )
        if not has_retry:
            self.request_loan(state.service, state.facts.request_id)
        return has_retry

    def _take_from_budget(
        self, state: RequestState, now: float, part: float, *, yields: bool = False
    ) -> bool:
        return self.find_budget(state.service).take_retry(
            share=self.find_share(), now=now, part=part, yields=yields
        )

    async def await_retry(self, state: RequestState, *, until: float) -> bool:
        """Consume one retry for a response that has started, waiting until it is free.

        Guards against truncating a response only because this instance's share is used
        up for the moment: the budget's sliding window soon frees the next retry.
        """
        budget = self.find_budget(state.service)
        budget.begin_wait(until=until)
        try:
            decision = await self._poll_budget(state, budget, until)
        finally:
            budget.end_wait(until=until)
            budget.borrowed.end_need(state.facts.request_id)
        now = self.read_clock()
        is_allowed = may_retry(self.make_tally(state), now=now)
        self._log_retry(
            state,
            now,
            is_taken=decision.is_taken,
            is_allowed=is_allowed,
            is_borrowed=decision.is_borrowed,
        )
        return decision.is_taken

    async def _poll_budget(
        self, state: RequestState, budget: RetryBudget, until: float
    ) -> RetryDecision:
        """Poll the budget until it grants a retry or the request may not retry."""
        is_logged = False
        while True:
            now = self.read_clock()
            if not may_retry(self.make_tally(state), now=now):
                return RetryDecision(is_taken=False)
            turn = budget.poll_retry(until=until, share=self.find_share(), now=now)
            if turn.poll_at is None:
                return turn
            self.request_loan(state.service, state.facts.request_id)
            if not is_logged:
                self._log_wait(state, until - now)
            is_logged = True
            await asyncio.sleep(turn.poll_at - now)

    def _log_wait(self, state: RequestState, for_s: float) -> None:
        log_event(
            "retry_awaited",
            request=state.facts.request_id,
            attempts=state.attempts,
            last_event=state.last_event,
            for_s=round(for_s, 3),
        )

    def _log_retry(
        self,
        state: RequestState,
        now: float,
        *,
        is_taken: bool,
        is_allowed: bool,
        part: float = 1.0,
        is_borrowed: bool = False,
    ) -> None:
        tally = self.make_tally(state)
        share = self.find_share()
        count = self.find_budget(state.service).count(share=share, now=now)
        log_event(
            "retry_taken" if is_taken else "retry_denied",
            request=state.facts.request_id,
            cause=None if is_taken else ("budget" if is_allowed else "route"),
            attempts=tally.attempts,
            runs=tally.runs,
            uncounted_runs=tally.uncounted_runs,
            most_attempts=tally.most_attempts,
            left_s=round(tally.deadline - now, 3),
            used=count.used,
            allowed=round(count.allowed, 2),
            part=round(part, 3),
            requests=count.requests,
            share=round(share, 4),
            has_begun=state.has_begun,
            is_unresumable=state.is_unresumable,
            is_borrowed=is_borrowed,
        )

    def find_cut_cause(self, state: RequestState) -> CutCause:
        """Return why a started response without a retry cannot be resumed."""
        now = self.read_clock()
        if now >= state.deadline:
            return CutCause.DEADLINE
        is_allowed = may_retry(self.make_tally(state), now=now)
        return CutCause.NO_RETRY if is_allowed else CutCause.NO_RUN

    def make_rejection(
        self, state: RequestState, *, cause: str, retry_after_s: float, detail: str = ""
    ) -> RejectedRequest:
        """Return the rejection of a request that no target has answered.

        It has a retry delay only if no target executed anything and time is left.
        """
        code = choose_result_code(self.make_tally(state), now=self.read_clock())
        has_run = code is not ResultCode.TARGET_REFUSED
        return RejectedRequest(
            code,
            cause=cause,
            retry_after_s=None if has_run else retry_after_s,
            detail=detail,
        )
