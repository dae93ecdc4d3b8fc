"""Serves requests to plain services, which one target answers."""

import asyncio

from aiohttp import web

from fulmarward.observability import log_event
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.queueing import WaitingRequest
from fulmarward_core.results import ResultCode
from fulmarward_core.routes import RouteKind
from fulmarward_router.exchange._admission import choose_limited_retry_s
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._crash_monitor import CrashMonitor
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._forwarding import StreamForwarder
from fulmarward_router.exchange._plain_streams import PlainStreams
from fulmarward_router.exchange._relay import PeerRelay
from fulmarward_router.exchange._request_state import (
    RejectedRequest,
    RequestState,
    Shortage,
)
from fulmarward_router.exchange._waiting import PlainRequests
from fulmarward_router.exchange._whole_responses import Placement, WholeResponses
from fulmarward_router.ports import AnswerFacts, TargetCall

#: Concurrent requests sent to a target, as a multiple of its slots. More would queue
#: there for longer than their latency objective.
MAX_REQUESTS_PER_SLOT = 3

#: Share of the latency objective for which a request waits for a target with capacity
#: before it is rejected.
SATURATED_TIMEOUT_SHARE = 0.12

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
        forwarder: StreamForwarder,
        relay: PeerRelay,
        crash_monitor: CrashMonitor,
    ) -> None:
        self._context = context
        self._catalogue = context.catalogue
        self._suspicions = context.suspicions
        self._limits = context.target_limits
        self._ledger = context.ledger
        self._read_clock = context.read_clock
        self._responses = WholeResponses(
            context=context,
            failure_detector=failure_detector,
            relay=relay,
            crash_monitor=crash_monitor,
        )
        self._streams = PlainStreams(
            context=context,
            forwarder=forwarder,
            relay=relay,
            crash_monitor=crash_monitor,
            responses=self._responses,
        )
        #: Waiting requests of the services with classes, by service.
        self._waiting: dict[str, PlainRequests] = {}

    async def serve(self, state: RequestState) -> web.StreamResponse:
        """Serve a request as its route demands: a stream, or a whole response.

        Raises `RejectedRequest` before the response starts, `TruncatedResponse`
        afterwards.
        """
        targets = self.choose_targets(state)
        if state.route.kind is RouteKind.STREAM:
            return await self._streams.serve(state, targets)
        return await self._responses.serve(state, targets)

    def choose_targets(self, state: RequestState) -> "PlainTargets":
        """Return the targets of a request, none of which has been tried."""
        return PlainTargets(service=self, state=state, context=self._context)

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
            if not self._responses.may_send_beside(state):
                return None
            if await self._limits.acquire(
                target.name, request_id=state.facts.request_id
            ):
                return target
            denied.add(target.name)

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
        self, state: RequestState, tried: set[str], is_last: bool
    ) -> TargetRecord | None:
        """Return the target to send to, waiting briefly for one with capacity.

        Returns `None` if there is none and `is_last`, as an earlier failure remains.

        In a service with classes, a request only gets a target if no more urgent one
        waits. One that has tried a target waits beside the queue, as it may not use
        that one again and would hold up those that may.
        """
        service = state.service
        if tried or service not in self._context.list_class_services():
            return await self._poll_target(state, tried, is_last)
        settings = self._context.read_class_settings()
        waiting = self._waiting.setdefault(service, PlainRequests(settings=settings))
        waiting.configure(settings)
        request = _make_waiting_request(state)
        try:
            target = await self._poll_target(
                state, tried, is_last, waiting=waiting, request=request
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
        is_last: bool,
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
            if is_last:
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


class PlainTargets:
    """The targets of one request to a plain service; see `TargetChoice`."""

    def __init__(
        self, *, service: PlainService, state: RequestState, context: ServiceContext
    ) -> None:
        self._service = service
        self._state = state
        self._context = context
        self._suspicions = context.suspicions
        self.tried: set[str] = set()

    async def choose(self, *, is_last: bool) -> Placement | None:
        """Return the least loaded target, waiting briefly for one with capacity."""
        target = await self._service._await_target(self._state, self.tried, is_last)
        return None if target is None else self._place(target)

    async def choose_beside(self) -> Placement | None:
        """Return another target with capacity and a permit, and consume a retry."""
        target = await self._service._find_other_target(self._state, self.tried)
        if target is None or not self.take_retry():
            return None
        return self._place(target)

    def _place(self, target: TargetRecord) -> Placement:
        self.tried.add(target.name)
        return Placement(
            target=target.name,
            address=target.address,
            records={target.name: target},
            reservation=self._context.ledger.reserve_one(target.name),
        )

    def make_call(self, placement: Placement) -> TargetCall:
        """Return the call of an attempt."""
        state = self._state
        return TargetCall(
            target=placement.target,
            address=placement.address,
            team=None if state.team is None else state.team.name,
            deadline_s=state.deadline - self._context.read_clock(),
            urgency=None,
            last_event=state.last_event,
        )

    def record_sent(self, placement: Placement) -> None:
        """Log that an attempt begins."""
        state, catalogue = self._state, self._context.catalogue
        now = self._context.read_clock()
        log_event(
            "target_chosen",
            request=state.facts.request_id,
            attempt=state.attempts,
            target=placement.target,
            targets_version=catalogue.version,
            targets_age_s=round(now - catalogue.confirmed_at, 3),
            left_s=round(state.deadline - now, 3),
        )

    def take_retry(self) -> bool:
        """Consume a retry; return whether there was one."""
        return self._context.take_retry(self._state)

    def find_retry_after_s(self) -> float:
        """Return when a target of the service may accept a request, in seconds."""
        return self._service._find_retry_after_s(self._state.service)

    def release(self, placement: Placement) -> None:
        """Release a target, and have the next request look for one."""
        self._context.ledger.release(placement.reservation)
        self._service._wake(self._state.service)

    async def record_refused(
        self, placement: Placement, facts: AnswerFacts, *, status: int, sent_at: float
    ) -> None:
        """Record that a target has not run the request."""
        now, target = self._context.read_clock(), placement.target
        if facts.is_misdirected:
            self._suspicions.record_failure(target, now=now, reason="address")
        elif target not in self._context.target_limits.list_backed_off():
            self._suspicions.record_saturated(target, now=now)

    def record_success(self, placement: Placement) -> None:
        """Record a good answer."""
        self._suspicions.record_success(
            placement.target, now=self._context.read_clock()
        )

    def record_failure(self, placement: Placement) -> None:
        """Charge a target with an answer that reports a failure, or is not its own."""
        self._suspicions.record_error(placement.target, now=self._context.read_clock())

    def record_lost(self, placement: Placement, *, is_late: bool) -> None:
        """Charge a target without a whole answer, unless another process has come.

        A stream that its deadline ends says nothing against its target.
        """
        if is_late and self._state.has_begun:
            return
        if not self._context.catalogue.has_been_replaced(placement.record):
            self.record_hanging(placement.target)

    def record_hanging(self, target: str) -> None:
        """Charge a target that was silent while another one has answered."""
        self._suspicions.record_error(target, now=self._context.read_clock())


def _make_waiting_request(state: RequestState) -> WaitingRequest:
    return WaitingRequest(
        key=id(state),
        urgency=state.class_urgency,
        arrived_at=state.arrived_at,
        objective_s=state.route.objective_s,
        is_started=False,
    )
