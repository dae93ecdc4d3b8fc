"""Serves requests to plain services, which one target answers as a whole."""

import asyncio
from functools import partial

import aiohttp
from aiohttp import web

from fulmarward.observability import log_event
from fulmarward_core.attempts import may_retry
from fulmarward_core.durations import DurationTable
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.loads import Reservation
from fulmarward_core.queueing import WaitingRequest
from fulmarward_core.results import ResultCode
from fulmarward_core.routes import RouteKind
from fulmarward_router.exchange._admission import choose_limited_retry_s
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
    Shortage,
)
from fulmarward_router.exchange._send import AnswerLost, NotSent
from fulmarward_router.exchange._waiting import PlainRequests
from fulmarward_router.ports import AnswerFacts, TargetCall

#: Concurrent requests sent to a target, as a multiple of its slots. More would queue
#: there for longer than their latency objective.
MAX_REQUESTS_PER_SLOT = 3

#: Share of the latency objective for which a request waits for a target with capacity
#: before it is rejected.
SATURATED_TIMEOUT_SHARE = 0.12

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

#: Retry delays, in seconds, for rejected callers: the usual time in which waiting
#: requests are served, and one for services without a target.
SATURATED_RETRY_S = 0.3
ABSENT_RETRY_S = 1.0

#: Penalty for targets in another data centre, in requests per slot.
REMOTE_PENALTY = 0.5


class PlainService:
    """Serves requests to services without engines."""

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
        self._catalogue = context.catalogue
        self._suspicions = context.suspicions
        self._limits = context.target_limits
        self._ledger = context.ledger
        self._read_clock = context.read_clock
        #: How long good answers took that targets were sent requests for.
        self._durations = DurationTable()
        #: Waiting requests of the services with classes, by service.
        self._waiting: dict[str, PlainRequests] = {}

    async def serve(self, state: RequestState) -> web.StreamResponse:
        """Return a target's response; raises `RejectedRequest`."""
        await self._crash_monitor.admit(state)
        tried: set[str] = set()
        last_failure: web.Response | None = None
        while True:
            if self._relay.is_needed(state):
                relayed = await self._relay.serve(state)
                if relayed is not None:
                    return relayed
            target = await self._await_target(state, tried, last_failure)
            if target is None:
                return last_failure
            # It may have waited for a target with capacity.
            self._crash_monitor.check(state)
            self._context.check_may_begin(state)
            tried.add(target.name)
            state.attempts += 1
            state.targets = (target.name,)
            self._log_choice(state, target)
            reservation = self._ledger.reserve_one(target.name)
            try:
                answer = await self._run_attempts(state, target, reservation, tried)
            finally:
                self._ledger.release(reservation)
                self._wake(state.service)
            if isinstance(answer, web.Response):
                if answer.status < 500:
                    return answer
                last_failure = answer
            if state.runs == 0 and self._relay.is_needed(state):
                # No target has received it, so that it takes no retry.
                continue
            if not self._context.take_retry(state):
                if last_failure is not None:
                    return last_failure
                raise self._make_rejection(state, "no more attempts")

    async def _run_attempts(
        self,
        state: RequestState,
        target: TargetRecord,
        reservation: Reservation,
        tried: set[str],
    ) -> web.Response | None:
        """Send a request to a target, and to others while that is silent for long.

        Returns and raises as `_try_target` does; `tried` gets the other targets. A
        request that may run once has no other attempt beside.
        """
        if not state.route.may_retry:
            return await self._try_target(state, target)
        attempts = ParallelAttempts(
            state=state,
            send_next=partial(self._send_beside, state, tried),
            find_patience_s=partial(self._find_patience_s, state),
            record_overtaken=partial(self._record_overtaken, state),
        )
        return await attempts.run(
            Attempt(),
            partial(self._send, state, target, reservation),
            check_after_s=ATTEMPT_TIMEOUT_S,
        )

    async def _send(
        self,
        state: RequestState,
        target: TargetRecord,
        reservation: Reservation,
        attempt: Attempt,
    ) -> web.Response | None:
        """Send one of several attempts, as `_try_target` does."""
        attempt.target, attempt.sent_at = target.name, self._read_clock()
        try:
            answer = await self._try_target(state, target)
        finally:
            self._ledger.release(reservation)
            self._wake(state.service)
        if answer is not None and answer.status < 500:
            state.targets = (target.name,)
            now = self._read_clock()
            self._durations.record(
                state.service,
                state.route.name,
                duration_s=now - attempt.sent_at,
                now=now,
            )
        return answer

    async def _send_beside(
        self, state: RequestState, tried: set[str], attempt: Attempt
    ) -> web.Response | None:
        """Send another attempt beside the open ones, if everything allows it.

        Returns `None` if it has no response or was not sent.
        """
        if self._relay.is_needed(state):
            return await self._relay_beside(state, tried, attempt)
        if not self._context.has_retry(state):
            return None
        target = await self._find_other_target(state, tried)
        if target is None or not self._context.take_retry(state):
            return None
        self._log_addition(state, target.name, tried)
        tried.add(target.name)
        state.attempts += 1
        state.targets = (target.name,)
        self._log_choice(state, target)
        reservation = self._ledger.reserve_one(target.name)
        return await self._send(state, target, reservation, attempt)

    async def _relay_beside(
        self, state: RequestState, tried: set[str], attempt: Attempt
    ) -> web.Response | None:
        """Relay a request to a peer beside attempts at targets that are not reached."""
        is_stream = state.route.kind is RouteKind.STREAM
        if is_stream or state.is_relay_tried or state.facts.relayed_by is not None:
            return None
        if not self._context.take_retry(state):
            return None
        self._log_addition(state, None, tried)
        attempt.sent_at = self._read_clock()
        try:
            return await self._relay.serve(state)
        except RejectedRequest:
            # It is decided anew once no attempt is open.
            return None

    async def _find_other_target(
        self, state: RequestState, tried: set[str]
    ) -> TargetRecord | None:
        """Return a target with capacity and a permit that may run a request too."""
        denied: set[str] = set()
        while True:
            now = self._read_clock()
            target, _ = self._choose_target(state.service, tried | denied, now)
            if target is None:
                return None
            if not may_retry(self._context.make_tally(state), now=now):
                return None
            try:
                self._crash_monitor.check(state)
            except RejectedRequest:
                return None
            if await self._limits.acquire(
                target.name, request_id=state.facts.request_id
            ):
                return target
            denied.add(target.name)

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
        self, state: RequestState, loser: Attempt, winner: Attempt
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
            self._suspicions.record_error(loser.target, now=now)

    def _log_addition(
        self, state: RequestState, target: str | None, tried: set[str]
    ) -> None:
        """Log that an attempt begins beside open ones; no target stands for peers."""
        log_event(
            "attempt_added",
            request=state.facts.request_id,
            target=target,
            tried=sorted(tried),
            waited_s=round(self._read_clock() - state.arrived_at, 3),
            patience_s=round(self._find_patience_s(state), 3),
        )

    def _log_choice(self, state: RequestState, target: TargetRecord) -> None:
        now = self._read_clock()
        log_event(
            "target_chosen",
            request=state.facts.request_id,
            attempt=state.attempts,
            target=target.name,
            targets_version=self._catalogue.version,
            targets_age_s=round(now - self._catalogue.confirmed_at, 3),
            left_s=round(state.deadline - now, 3),
        )

    def _make_rejection(self, state: RequestState, cause: str) -> RejectedRequest:
        return self._context.make_rejection(
            state, cause=cause, retry_after_s=self._find_retry_after_s(state.service)
        )

    def _find_retry_after_s(self, service: str) -> float:
        """Return when a target of a service may accept a request, in seconds."""
        now = self._read_clock()
        names = {record.name for record in self._list_usable(service, set(), now)}
        if names and names <= self._limits.list_throttled():
            return choose_limited_retry_s(self._limits.find_wait_s(names))
        return SATURATED_RETRY_S

    async def _await_target(
        self, state: RequestState, tried: set[str], last_failure: web.Response | None
    ) -> TargetRecord | None:
        """Return the target to send to, waiting briefly for one with capacity.

        Returns `None` if there is none and a failure from an earlier attempt remains.

        In a service with classes, a request only gets a target if no more urgent one
        waits. One that has tried a target waits beside the queue, as it may not use
        that one again and would hold up those that may.
        """
        service = state.service
        if tried or service not in self._context.list_class_services():
            return await self._poll_target(state, tried, last_failure)
        settings = self._context.read_class_settings()
        waiting = self._waiting.setdefault(service, PlainRequests(settings=settings))
        waiting.configure(settings)
        request = _make_waiting_request(state)
        try:
            target = await self._poll_target(
                state, tried, last_failure, waiting=waiting, request=request
            )
            waiting.record_admitted(request)
            return target
        finally:
            waiting.remove(request)
            waiting.wake(now=self._read_clock())

    async def _poll_target(
        self,
        state: RequestState,
        tried: set[str],
        last_failure: web.Response | None,
        *,
        waiting: PlainRequests | None = None,
        request: WaitingRequest | None = None,
    ) -> TargetRecord | None:
        """Return the target as `_await_target` does; `waiting` has it wait in order."""
        timeout_s = state.route.objective_s * SATURATED_TIMEOUT_SHARE
        until = self._read_clock() + timeout_s
        # Targets without a permit for this request.
        denied: set[str] = set()
        while True:
            now = self._read_clock()
            target, is_full = None, True
            if waiting is None or waiting.is_next(request, now=now):
                target, is_full = self._choose_target(
                    state.service, tried | denied, now
                )
            if target is not None:
                if waiting is not None:
                    # The owner of its limit may be silent; others need not wait for it.
                    waiting.remove(request)
                if await self._limits.acquire(
                    target.name, request_id=state.facts.request_id
                ):
                    return target
                denied.add(target.name)
                if self._read_clock() >= until:
                    # Each further owner may be silent as well.
                    denied |= self._limits.table.list_limited()
                continue
            if last_failure is not None:
                return None
            if self._are_limited(state.service, tried, denied, now):
                raise self._make_limited_rejection(state, now)
            if state.attempts > 0 and not is_full:
                raise self._make_rejection(state, "no other target")
            if not is_full:
                raise RejectedRequest(
                    ResultCode.NO_TARGET,
                    cause="no target",
                    retry_after_s=ABSENT_RETRY_S,
                )
            if now >= until:
                if state.runs > 0:
                    raise self._make_rejection(state, "others are full")
                raise RejectedRequest(
                    ResultCode.QUEUE_FULL, cause="full", retry_after_s=SATURATED_RETRY_S
                )
            if waiting is None:
                await asyncio.sleep(timeout_s / 4)
            else:
                await waiting.await_release(request, timeout_s=timeout_s / 4)
            denied.clear()

    def _wake(self, service: str) -> None:
        """Have the next request for a service look for a target with capacity."""
        waiting = self._waiting.get(service)
        if waiting is not None:
            waiting.wake(now=self._read_clock())

    def _are_limited(
        self, service: str, tried: set[str], denied: set[str], now: float
    ) -> bool:
        """Return whether each target that could serve a request has no permit."""
        names = {record.name for record in self._list_usable(service, tried, now)}
        return bool(names) and names <= denied | self._limits.list_throttled()

    def _make_limited_rejection(
        self, state: RequestState, now: float
    ) -> RejectedRequest:
        cause = "all targets are limited"
        usable = self._list_usable(state.service, set(), now)
        retry_after_s = choose_limited_retry_s(
            self._limits.find_wait_s({record.name for record in usable})
        )
        if state.runs > 0:
            return self._context.make_rejection(
                state, cause=cause, retry_after_s=retry_after_s
            )
        return RejectedRequest(
            ResultCode.QUEUE_FULL,
            cause=cause,
            retry_after_s=retry_after_s,
            shortage=Shortage.LIMIT,
        )

    def _list_usable(
        self, service: str, tried: set[str], now: float
    ) -> list[TargetRecord]:
        """Return the targets that are not excluded and were not tried."""
        records = [
            record
            for record in self._catalogue.list_targets(now=now)
            if record.service == service and not record.is_leaving
        ]
        suspects = self._suspicions.list_suspects([r.name for r in records], now=now)
        return [r for r in records if r.name not in suspects and r.name not in tried]

    def _choose_target(
        self, service: str, tried: set[str], now: float
    ) -> tuple[TargetRecord | None, bool]:
        """Return the least loaded target, or `None` and whether the others are full."""
        usable = self._list_usable(service, tried, now)
        throttled = self._limits.list_throttled()
        loads = self._ledger.sum_loads(now=now)

        def compute_score(record: TargetRecord) -> float:
            load = loads.get(record.name)
            load_factor = (load.running if load else 0) / max(1, record.slots)
            is_remote = record.data_centre != self._context.data_centre
            return (
                load_factor
                + REMOTE_PENALTY * is_remote
                + 1.0 * (record.remaining_warmup_s > 0)
            )

        def has_capacity(record: TargetRecord) -> bool:
            load = loads.get(record.name)
            running = 0 if load is None else load.running
            is_free = running < record.slots * MAX_REQUESTS_PER_SLOT
            return is_free and record.name not in throttled

        free = [record for record in usable if has_capacity(record)]
        if not free:
            return None, bool(usable)
        return min(free, key=lambda record: (compute_score(record), record.name)), False

    async def _try_target(
        self, state: RequestState, target: TargetRecord
    ) -> web.Response | None:
        """Send one attempt; return its response, or `None` if another may be tried.

        Raises `RejectedRequest` if the request may have been executed and must not be
        executed again.
        """
        now = self._read_clock()
        call = TargetCall(
            target=target.name,
            address=target.address,
            team=None if state.team is None else state.team.name,
            deadline_s=state.deadline - now,
            urgency=None,
        )
        response = None
        try:
            async with asyncio.timeout(max(0.0, state.deadline - now)):
                response = await self._context.open(state, call)
                body = await self._client.read_body(response)
        except NotSent as error:
            self._log_failed_attempt(
                state, target, "not sent", error, may_have_run=False
            )
            await self._failure_detector.record_connect_failure(
                target.name, timeout_s=state.count_left(self._read_clock())
            )
            return None
        except (AnswerLost, TimeoutError) as error:
            state.runs += 1
            if isinstance(error, AnswerLost):
                self._start_examination(state, target, response, sent_at=now)
            self._log_failed_attempt(state, target, "answer lost", error)
            if not self._catalogue.has_been_replaced(target):
                self._suspicions.record_error(target.name, now=self._read_clock())
            if state.route.may_retry and self._read_clock() < state.deadline:
                return None
            raise self._make_rejection(state, "the answer was lost") from error
        except asyncio.CancelledError:
            # It is under way, and may run.
            state.runs += 1
            raise
        finally:
            if response is not None:
                response.close()
        facts = self._dialect.read_answer(response.status, response.headers)
        return self._evaluate_response(state, target, facts, response, body)

    def _start_examination(
        self,
        state: RequestState,
        target: TargetRecord,
        response: aiohttp.ClientResponse | None,
        *,
        sent_at: float,
    ) -> None:
        """Find out whether a target that broke off its response has ended.

        The request does not wait for it.
        """
        has_head = response is not None
        broken = BrokenResponse(
            target=target,
            progress=Progress.NO_EVENT if has_head else Progress.NO_RESPONSE,
            events=0,
            heard_at=sent_at,
            broken_at=self._read_clock(),
        )
        self._crash_monitor.start_examination(state, broken)

    def _evaluate_response(
        self,
        state: RequestState,
        target: TargetRecord,
        facts: AnswerFacts,
        response: object,
        body: bytes,
    ) -> web.Response | None:
        """Return the response to forward, or `None` if another may be tried."""
        now = self._read_clock()
        status = response.status
        if facts.is_not_run:
            self._log_failed_attempt(
                state, target, f"not run, {status}", None, may_have_run=False
            )
            if facts.is_misdirected:
                self._suspicions.record_failure(target.name, now=now, reason="address")
            elif target.name not in self._limits.list_backed_off():
                self._suspicions.record_saturated(target.name, now=now)
            return None
        state.runs += 1
        is_own = facts.request_id == state.facts.request_id and facts.is_plain
        if is_own and facts.is_signed:
            self._crash_monitor.record_proven(state)
        else:
            self._log_failed_attempt(state, target, f"not its answer, {status}", None)
            self._suspicions.record_error(target.name, now=now)
            if state.route.may_retry:
                return None
            raise RejectedRequest(
                ResultCode.OUTCOME_UNKNOWN, cause="not the target's answer"
            )
        if status >= 500:
            self._log_failed_attempt(state, target, f"failed, {status}", None)
            self._suspicions.record_error(target.name, now=now)
        else:
            self._suspicions.record_success(target.name, now=now)
        headers = self._dialect.select_answer_headers(response.headers)
        return web.Response(status=status, body=body, headers=headers)

    def _log_failed_attempt(
        self,
        state: RequestState,
        target: TargetRecord,
        outcome: str,
        error: Exception | None,
        *,
        may_have_run: bool = True,
    ) -> None:
        ended = EndedAttempt(
            target=target.name,
            progress=outcome,
            may_have_run=may_have_run,
        )
        state.ended_attempts.append(ended)
        log_event(
            "attempt_failed",
            request=state.facts.request_id,
            target=target.name,
            outcome=outcome,
            cause=repr(error) if error else "",
            attempt=state.attempts,
            connections=getattr(error, "connections", None),
            fingerprint=state.fingerprint if isinstance(error, AnswerLost) else None,
        )


def _make_waiting_request(state: RequestState) -> WaitingRequest:
    return WaitingRequest(
        key=id(state),
        urgency=state.class_urgency,
        arrived_at=state.arrived_at,
        objective_s=state.route.objective_s,
        is_started=False,
    )
