"""Delivers responses that a target sends as a whole, whatever its service.

The caller's response begins once a target has sent the whole of it, so that another
target may be tried until then, and none is joined from two runs.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

import aiohttp
from aiohttp import web

from fulmarward.observability import log_event
from fulmarward_core.attempts import may_retry
from fulmarward_core.durations import DurationTable
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.loads import Reservation
from fulmarward_core.paths import Hop
from fulmarward_core.results import ResultCode
from fulmarward_core.routes import RouteKind
from fulmarward_router.exchange._attempt import Progress
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._crash_monitor import BrokenResponse, CrashMonitor
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._parallel_attempts import Attempt, ParallelAttempts
from fulmarward_router.exchange._relay import PeerRelay
from fulmarward_router.exchange._request_state import (
    EndedAttempt,
    RejectedRequest,
    RequestState,
    TruncatedResponse,
)
from fulmarward_router.exchange._send import AnswerLost, NotSent, is_unsent
from fulmarward_router.ports import AnswerFacts, TargetCall

#: Minimum seconds after which another attempt may begin beside a retryable one, for
#: targets that hang although they pass health checks.
ATTEMPT_TIMEOUT_S = 0.35

#: Another attempt begins no sooner than after this multiple of the duration that the
#: given share of the recent answers of the route stayed within.
PATIENCE_FACTOR = 2.0
USUAL_SHARE = 0.9

#: A target hangs if it is silent for longer than this multiple of what another one took
#: for the same request.
HANGING_FACTOR = 2.0


@dataclass(kw_only=True, eq=False)
class Placement:
    """Where one attempt runs, and what it holds there."""

    #: Name and address of the target that gets the request.
    target: str
    address: str
    #: The targets of its path as they were known when they were chosen, but for those
    #: that have left since.
    records: Mapping[str, TargetRecord]
    reservation: Reservation
    #: The path that begins there, empty for a service without an engine.
    path: tuple[Hop, ...] = ()
    #: Identifies what its team uses for it.
    key: object = field(default_factory=object)
    #: Whether a target has answered the request, and its capacity is released.
    is_answered: bool = False

    @property
    def record(self) -> TargetRecord | None:
        """The target that gets the request as it was known, `None` if it has left."""
        return self.records.get(self.target)


#: Sends a call and returns its response once that has started.
OpenResponse = Callable[[TargetCall], Awaitable[aiohttp.ClientResponse]]

#: Returns the body of a response, or the caller's one once it has been streamed.
ReadResponse = Callable[[aiohttp.ClientResponse], Awaitable[bytes | web.StreamResponse]]


class AttemptLeft(AnswerLost):
    """An attempt is given up for another one, as its target is silent."""


class TargetChoice(Protocol):
    """The targets of one request: where it may run, and what is recorded of them."""

    #: Names of the targets that it was sent to.
    tried: Collection[str]

    async def choose(self, *, is_last: bool) -> Placement | None:
        """Return where to send the request, waiting for capacity.

        `None` if there is no target and `is_last`, so that an earlier failure is the
        answer. Raises `RejectedRequest`.
        """

    async def choose_beside(self) -> Placement | None:
        """Return where else to send it now beside open attempts, `None` if nowhere.

        A retry is consumed for it.
        """

    def make_call(self, placement: Placement) -> TargetCall:
        """Return the call of an attempt."""

    def record_sent(self, placement: Placement) -> None:
        """Log that an attempt begins."""

    def take_retry(self) -> bool:
        """Consume a retry; return whether there was one."""

    def find_retry_after_s(self) -> float:
        """Return when a target may accept the request, in seconds."""

    def release(self, placement: Placement) -> None:
        """Release what an attempt holds; a second release has no effect."""

    async def record_refused(
        self, placement: Placement, facts: AnswerFacts, *, status: int, sent_at: float
    ) -> None:
        """Record that a target has not run the request."""

    def record_success(self, placement: Placement) -> None:
        """Record a good answer."""

    def record_failure(self, placement: Placement) -> None:
        """Record an answer that reports a failure, or that is not the target's."""

    def record_lost(self, placement: Placement, *, is_late: bool) -> None:
        """Record an attempt without a whole answer, before its deadline or at it."""

    def record_hanging(self, target: str) -> None:
        """Record that a target was silent while another one has answered."""


class WholeResponses:
    """Sends requests to targets, and returns the whole response of one of them."""

    def __init__(
        self,
        *,
        context: ServiceContext,
        failure_detector: FailureDetector,
        relay: PeerRelay,
        crash_monitor: CrashMonitor,
    ) -> None:
        self._context = context
        self._crash_monitor = crash_monitor
        self._relay = relay
        self._failure_detector = failure_detector
        self._client = context.client
        self._dialect = context.dialect
        self._read_clock = context.read_clock
        #: How long good answers took that targets were sent requests for.
        self._durations = DurationTable()

    async def serve(
        self, state: RequestState, targets: TargetChoice
    ) -> web.StreamResponse:
        """Return a target's response; raises `RejectedRequest`."""
        await self._crash_monitor.admit(state)
        last_failure: web.Response | None = None
        while True:
            if self._relay.is_needed(state):
                relayed = await self._relay.serve(state)
                if relayed is not None:
                    return relayed
            placement = await targets.choose(is_last=last_failure is not None)
            if placement is None:
                return last_failure
            try:
                # It may have waited for a target with capacity.
                self._crash_monitor.check(state)
                self._context.check_may_begin(state)
                self._begin(state, targets, placement)
                answer = await self._run_attempts(state, targets, placement)
            finally:
                targets.release(placement)
            if isinstance(answer, web.Response):
                if answer.status < 500:
                    return answer
                last_failure = answer
            if state.runs == 0 and self._relay.is_needed(state):
                # No target has received it, so that it takes no retry.
                continue
            if not targets.take_retry():
                if last_failure is not None:
                    return last_failure
                raise self.make_end(state, targets, "no more attempts")

    def _begin(
        self, state: RequestState, targets: TargetChoice, placement: Placement
    ) -> None:
        state.attempts += 1
        state.sends += 1
        state.targets = _list_names(placement)
        targets.record_sent(placement)

    async def _run_attempts(
        self, state: RequestState, targets: TargetChoice, placement: Placement
    ) -> web.Response | None:
        """Send a request to a target, and to others while that is silent for long.

        Returns and raises as `try_target` does. A request that may run once has no
        other attempt beside.
        """
        if not state.route.may_retry:
            return await self.try_target(state, targets, placement)
        attempts = ParallelAttempts(
            state=state,
            send_next=partial(self._send_beside, state, targets),
            find_patience_s=partial(self._find_patience_s, state),
            record_overtaken=partial(self._record_overtaken, state, targets),
        )
        return await attempts.run(
            Attempt(),
            partial(self._send, state, targets, placement),
            check_after_s=ATTEMPT_TIMEOUT_S,
        )

    async def _send(
        self,
        state: RequestState,
        targets: TargetChoice,
        placement: Placement,
        attempt: Attempt,
    ) -> web.Response | None:
        """Send one of several attempts, as `try_target` does."""
        attempt.target, attempt.sent_at = placement.target, self._read_clock()
        try:
            answer = await self.try_target(state, targets, placement)
        finally:
            targets.release(placement)
        if answer is not None and answer.status < 500:
            state.targets = _list_names(placement)
            now = self._read_clock()
            self._durations.record(
                state.service,
                state.route.name,
                duration_s=now - attempt.sent_at,
                now=now,
            )
        return answer

    async def _send_beside(
        self, state: RequestState, targets: TargetChoice, attempt: Attempt
    ) -> web.Response | None:
        """Send another attempt beside the open ones, if everything allows it.

        Returns `None` if it has no response or was not sent.
        """
        if self._relay.is_needed(state):
            return await self._relay_beside(state, targets, attempt)
        if not self._context.has_retry(state):
            return None
        tried = sorted(targets.tried)
        placement = await targets.choose_beside()
        if placement is None:
            return None
        self._log_addition(state, placement.target, tried)
        self._begin(state, targets, placement)
        return await self._send(state, targets, placement, attempt)

    async def _relay_beside(
        self, state: RequestState, targets: TargetChoice, attempt: Attempt
    ) -> web.Response | None:
        """Relay a request to a peer beside attempts at targets that are not reached."""
        is_stream = state.route.kind is RouteKind.STREAM
        if is_stream or state.is_relay_tried or state.facts.relayed_by is not None:
            return None
        if not targets.take_retry():
            return None
        self._log_addition(state, None, sorted(targets.tried))
        attempt.sent_at = self._read_clock()
        try:
            return await self._relay.serve(state)
        except RejectedRequest:
            # It is decided anew once no attempt is open.
            return None

    def may_send_beside(self, state: RequestState) -> bool:
        """Return whether a request may have another attempt beside its open ones."""
        if not may_retry(self._context.make_tally(state), now=self._read_clock()):
            return False
        try:
            self._crash_monitor.check(state)
        except RejectedRequest:
            return False
        return True

    def _find_patience_s(self, state: RequestState) -> float:
        """Return after how many seconds a target is silent for long."""
        usual_s = self._durations.find_usual_s(
            state.service,
            state.route.name,
            share=USUAL_SHARE,
            now=self._read_clock(),
        )
        return max(ATTEMPT_TIMEOUT_S, PATIENCE_FACTOR * (usual_s or 0.0))

    def _record_overtaken(
        self,
        state: RequestState,
        targets: TargetChoice,
        loser: Attempt,
        winner: Attempt,
    ) -> None:
        """Record that an open attempt is closed as another has the answer.

        Its target is charged if it was silent for longer than sound targets are.
        """
        now = self._read_clock()
        silent_s, took_s = now - loser.sent_at, now - winner.sent_at
        patience_s = self._find_patience_s(state)
        is_hanging = (
            loser.target != ""
            and winner.target != ""
            and silent_s > max(patience_s, HANGING_FACTOR * took_s)
        )
        log_event(
            "attempt_overtaken",
            request=state.facts.request_id,
            target=loser.target,
            by=winner.target or state.relayed_to,
            silent_s=round(silent_s, 3),
            took_s=round(took_s, 3),
            patience_s=round(patience_s, 3),
            is_hanging=is_hanging,
        )
        if is_hanging:
            targets.record_hanging(loser.target)

    def _log_addition(
        self, state: RequestState, target: str | None, tried: list[str]
    ) -> None:
        """Log that an attempt begins beside open ones; no target stands for peers."""
        log_event(
            "attempt_added",
            request=state.facts.request_id,
            target=target,
            tried=tried,
            waited_s=round(self._read_clock() - state.arrived_at, 3),
            patience_s=round(self._find_patience_s(state), 3),
        )

    def make_end(
        self, state: RequestState, targets: TargetChoice, cause: str
    ) -> RejectedRequest | TruncatedResponse:
        """Return the exception that ends a request without another attempt."""
        if state.has_begun:
            return TruncatedResponse(self._context.find_cut_cause(state), detail=cause)
        return self._context.make_rejection(
            state, cause=cause, retry_after_s=targets.find_retry_after_s()
        )

    async def try_target(
        self, state: RequestState, targets: TargetChoice, placement: Placement
    ) -> web.Response | None:
        """Send one attempt; return its response, or `None` if another may be tried.

        Raises `RejectedRequest` if the request may have been executed and must not be
        executed again.
        """
        return await self._try(
            state,
            targets,
            placement,
            open_response=partial(self._context.open, state),
            read=self._client.read_body,
        )

    async def send(
        self,
        state: RequestState,
        targets: TargetChoice,
        placement: Placement,
        *,
        open_response: OpenResponse,
        read: ReadResponse,
    ) -> web.StreamResponse | None:
        """Begin an attempt whose response is opened and read by the caller.

        Returns and raises as `try_target` does; a stream is returned as read.
        """
        self._begin(state, targets, placement)
        return await self._try(
            state, targets, placement, open_response=open_response, read=read
        )

    async def _try(
        self,
        state: RequestState,
        targets: TargetChoice,
        placement: Placement,
        *,
        open_response: OpenResponse,
        read: ReadResponse,
    ) -> web.StreamResponse | None:
        """Send one attempt, as `try_target` and `send` do."""
        now = self._read_clock()
        call = targets.make_call(placement)
        response = None
        try:
            async with asyncio.timeout(max(0.0, state.deadline - now)):
                response = await open_response(call)
                body = await read(response)
        except NotSent as error:
            self._log_failed_attempt(
                state, placement, "not sent", error, may_have_run=False
            )
            await self._failure_detector.record_connect_failure(
                placement.target, timeout_s=state.count_left(self._read_clock())
            )
            return None
        except (AnswerLost, TimeoutError) as error:
            state.runs += 1
            is_late = not isinstance(error, AnswerLost)
            if not is_late and not isinstance(error, AttemptLeft):
                self._start_examination(state, placement, response, sent_at=now)
            self._log_failed_attempt(state, placement, "answer lost", error)
            targets.record_lost(placement, is_late=is_late)
            if state.route.may_retry and self._read_clock() < state.deadline:
                return None
            raise self.make_end(state, targets, "the answer was lost") from error
        except asyncio.CancelledError as error:
            # With a connection, it is under way, and may run.
            state.runs += not is_unsent(error)
            raise
        finally:
            if response is not None:
                response.close()
        facts = self._dialect.read_answer(response.status, response.headers)
        if facts.is_not_run:
            outcome = f"not run, {response.status}"
            self._log_failed_attempt(
                state, placement, outcome, None, may_have_run=False
            )
            await targets.record_refused(
                placement, facts, status=response.status, sent_at=now
            )
            return None
        if isinstance(body, web.StreamResponse):
            state.runs += 1
            self._crash_monitor.record_proven(state)
            self._record_answered(targets, placement)
            return body
        return self._evaluate_response(state, targets, placement, facts, response, body)

    @staticmethod
    def _record_answered(targets: TargetChoice, placement: Placement) -> None:
        placement.is_answered = True
        targets.record_success(placement)

    def _start_examination(
        self,
        state: RequestState,
        placement: Placement,
        response: aiohttp.ClientResponse | None,
        *,
        sent_at: float,
    ) -> None:
        """Find out whether a target that broke off its response has ended.

        The request does not wait for it.
        """
        if placement.record is None:
            return
        has_head = response is not None
        broken = BrokenResponse(
            target=placement.record,
            progress=Progress.NO_EVENT if has_head else Progress.NO_RESPONSE,
            events=0,
            heard_at=sent_at,
            broken_at=self._read_clock(),
        )
        self._crash_monitor.start_examination(state, broken)

    def _evaluate_response(
        self,
        state: RequestState,
        targets: TargetChoice,
        placement: Placement,
        facts: AnswerFacts,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> web.Response | None:
        """Return the response to forward, or `None` if another may be tried."""
        status = response.status
        state.runs += 1
        is_own = facts.request_id == state.facts.request_id and facts.is_plain
        if is_own and facts.is_signed:
            self._crash_monitor.record_proven(state)
        else:
            outcome = f"not its answer, {status}"
            self._log_failed_attempt(state, placement, outcome, None)
            targets.record_failure(placement)
            if state.route.may_retry:
                return None
            raise RejectedRequest(
                ResultCode.OUTCOME_UNKNOWN, cause="not the target's answer"
            )
        if status >= 500:
            self._log_failed_attempt(state, placement, f"failed, {status}", None)
            targets.record_failure(placement)
        else:
            self._record_answered(targets, placement)
        headers = self._dialect.select_answer_headers(response.headers)
        return web.Response(status=status, body=body, headers=headers)

    def _log_failed_attempt(
        self,
        state: RequestState,
        placement: Placement,
        outcome: str,
        error: Exception | None,
        *,
        may_have_run: bool = True,
    ) -> None:
        state.failed_at = self._read_clock()
        state.sends -= not may_have_run
        ended = EndedAttempt(
            target=placement.target,
            progress=outcome,
            may_have_run=may_have_run,
        )
        state.ended_attempts.append(ended)
        log_event(
            "attempt_failed",
            request=state.facts.request_id,
            target=placement.target,
            outcome=outcome,
            cause=repr(error) if error else "",
            attempt=state.attempts,
            connections=getattr(error, "connections", None),
            fingerprint=state.fingerprint if isinstance(error, AnswerLost) else None,
        )


def _list_names(placement: Placement) -> tuple[str, ...]:
    """Return the names of the targets of an attempt, for the log."""
    return tuple(hop.target for hop in placement.path) or (placement.target,)
