"""Admission control: queues requests until a path has capacity."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import EngineModel
from fulmarward_core.paths import Hop, PathRequest
from fulmarward_core.queueing import (
    WaitClass,
    WaitingRequest,
    WaitQueue,
    choose_retry_after_s,
    classify_request,
    find_kv_share,
)
from fulmarward_core.results import ResultCode
from fulmarward_router.exchange._path_finder import PathFinder
from fulmarward_router.exchange._pipe_limiter import PipeLimiter
from fulmarward_router.exchange._request_state import (
    CutCause,
    RejectedRequest,
    RequestState,
    Shortage,
    TruncatedResponse,
)
from fulmarward_router.state import TargetLimits

#: Seconds for which a request waits for capacity on a path before it is rejected. This
#: leaves half of the time that callers wait for the first event.
SATURATED_TIMEOUT_S = 0.9

#: Seconds for which it waits while the catalogue may lack healthy targets: after all
#: instances restart or the store returns, targets have to write their rows again.
INCOMPLETE_TIMEOUT_S = 1.6

#: Callers disconnect after the longest of these without an event: the seconds, and
#: these multiples of the route's objective for the first event and for pauses.
CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4
CALLER_TIMEOUT_PAUSES = 8

#: Seconds before its caller disconnects at which a started stream stops waiting for a
#: retry or a path.
RESUME_MARGIN_S = 0.3

#: Seconds between two searches for a path by a waiting request.
POLL_INTERVAL_S = 0.04

#: Retry delay, in seconds, of a request that a target refused while others have
#: capacity; the caller's next request does not count as a retry of this one.
REFUSED_RETRY_S = 0.05


#: Shortest retry delay, in seconds, while all targets are limited.
MIN_LIMITED_RETRY_S = 0.2

#: Seconds over which callers that were rejected meanwhile return at most.
MAX_RETRY_SPREAD_S = 2.0

#: Minimum seconds between two log lines on missing layers.
MISSING_LOG_INTERVAL_S = 1.0


def choose_limited_retry_s(wait_s: float) -> float:
    """Return the retry delay of a request whose targets accept no more for `wait_s`.

    It is spread, so that those that were rejected do not return at the same moment.
    """
    wait_s = max(MIN_LIMITED_RETRY_S, wait_s)
    return wait_s + random.uniform(0.0, min(wait_s, MAX_RETRY_SPREAD_S))


def compute_resume_end(state: RequestState) -> float:
    """Return until when a started stream may wait before it resumes.

    Its caller is about to disconnect then.
    """
    last_active_at = (
        state.arrived_at if state.last_write_at is None else state.last_write_at
    )
    timeout_s = max(
        CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_OBJECTIVES * state.route.objective_s,
        CALLER_TIMEOUT_PAUSES * state.route.pause_s,
    )
    return min(state.deadline, last_active_at + timeout_s - RESUME_MARGIN_S)


class AdmissionQueue:
    """Queues this instance's requests that wait for a path."""

    def __init__(
        self,
        *,
        finder: PathFinder,
        pipe: PipeLimiter,
        catalogue: TargetCatalogue,
        limits: TargetLimits,
        read_clock: Callable[[], float],
    ) -> None:
        self._limits = limits
        self._finder = finder
        self._pipe = pipe
        self._catalogue = catalogue
        self._read_clock = read_clock
        #: Waiting requests by service.
        self._queues: defaultdict[str, WaitQueue] = defaultdict(WaitQueue)
        self._missing_logged_at = float("-inf")

    async def await_path(
        self,
        state: RequestState,
        engine: EngineModel,
        find_wanted: Callable[[], PathRequest],
    ) -> tuple[Hop, ...]:
        """Return a path, waiting for capacity.

        A request that may begin at certain targets only waits beside the queue, as it
        would hold up those that may use any.

        Raises `RejectedRequest`, or `TruncatedResponse` if the response has started.
        """
        began_at = self._read_clock()
        queue = self._queues[state.service]
        request = _make_request(state)
        shortage = Shortage.KV_CACHE
        try:
            while True:
                now = self._read_clock()
                wait_end = self._compute_wait_end(state, began_at, now)
                wanted = find_wanted()
                is_bound = wanted.first_targets is not None
                if is_bound or queue.is_next(request, now=now):
                    found = await self._find_permitted_path(
                        state, engine, wanted, request, wait_end=wait_end
                    )
                    if not isinstance(found, Shortage):
                        return found
                    shortage = found
                    if shortage is Shortage.LIMIT and not state.has_begun:
                        break
                if self._read_clock() >= wait_end:
                    break
                if is_bound:
                    queue.remove(request)
                else:
                    queue.add(request)
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            queue.remove(request)
        if state.has_begun:
            raise TruncatedResponse(CutCause.NO_PATH)
        if shortage is Shortage.LIMIT:
            # A permit goes to whoever asks first, so that waiting here gains nothing.
            raise RejectedRequest(
                ResultCode.QUEUE_FULL,
                cause="all targets are limited",
                retry_after_s=self._find_limited_retry_s(state.service, engine),
                shortage=shortage,
            )
        if self._finder.has_whole_model(state.service, engine):
            raise RejectedRequest(
                ResultCode.QUEUE_FULL,
                cause="no path has room",
                retry_after_s=choose_retry_after_s(random.random()),
                shortage=shortage,
            )
        self._log_missing_layers(state.service, engine)
        raise RejectedRequest(
            ResultCode.NO_TARGET,
            cause="no path holds all layers",
            retry_after_s=choose_retry_after_s(random.random()),
            shortage=Shortage.LAYERS,
        )

    async def _find_permitted_path(
        self,
        state: RequestState,
        engine: EngineModel,
        wanted: PathRequest,
        request: WaitingRequest,
        *,
        wait_end: float,
    ) -> tuple[Hop, ...] | Shortage:
        """Return the best path whose first target accepts the request now."""
        while True:
            wait_class = classify_request(request, now=self._read_clock())
            path = self._choose_path(state, engine, wanted, wait_class)
            if isinstance(path, Shortage):
                return path
            if await self._limits.acquire(
                path[0].target, request_id=state.facts.request_id
            ):
                return path
            # The owners may be silent for longer than their targets are throttled.
            if self._read_clock() >= wait_end:
                return Shortage.LIMIT

    def _log_missing_layers(self, service: str, engine: EngineModel) -> None:
        """Log why no path holds all layers, once a second."""
        now = self._read_clock()
        if now - self._missing_logged_at < MISSING_LOG_INTERVAL_S:
            return
        self._missing_logged_at = now
        exclusions = self._finder.describe_exclusions(service, engine)
        log_event(
            "layers_unavailable",
            service=service,
            missing=[f"{gap.start}-{gap.end}" for gap in exclusions.missing],
            excluded=exclusions.reasons,
        )

    def find_retry_after_s(
        self, state: RequestState, engine: EngineModel, wanted: PathRequest
    ) -> float:
        """Return the retry delay for a request that a target refused."""
        service = state.service
        if self._finder.choose(service, engine, wanted) is not None:
            return REFUSED_RETRY_S
        if self._limits.list_throttled():
            if self._finder.choose(service, engine, wanted, ignores_limits=True):
                return self._find_limited_retry_s(service, engine)
        return choose_retry_after_s(random.random())

    def _find_limited_retry_s(self, service: str, engine: EngineModel) -> float:
        """Return the retry delay while all first targets of paths are throttled."""
        names = self._finder.list_first_targets(service, engine)
        throttled = self._limits.list_throttled().intersection(names)
        return choose_limited_retry_s(self._limits.find_wait_s(throttled))

    def _choose_path(
        self,
        state: RequestState,
        engine: EngineModel,
        wanted: PathRequest,
        wait_class: WaitClass,
    ) -> tuple[Hop, ...] | Shortage:
        """Return the best path, or one within a data centre if the pipe is full."""
        wanted = replace(wanted, kv_share=find_kv_share(wait_class))
        path = self._finder.choose(state.service, engine, wanted)
        if path is None and state.has_begun:
            # The path is probed before it is used; a peer's own link may be at fault.
            path = self._finder.choose(
                state.service, engine, wanted, may_use_reported=True
            )
        if path is None and state.has_begun and wanted.avoided:
            # A target that broke it off may serve it; the path is probed before use.
            again = replace(wanted, avoided=frozenset())
            path = self._finder.choose(
                state.service, engine, again, may_use_reported=True
            )
        if path is None and self._limits.list_throttled():
            limited = self._finder.choose(
                state.service, engine, wanted, ignores_limits=True
            )
            return Shortage.KV_CACHE if limited is None else Shortage.LIMIT
        if path is None:
            return Shortage.KV_CACHE
        if self._pipe.reserve(engine, wanted, path):
            return path
        within = replace(wanted, may_cross=False)
        return self._finder.choose(state.service, engine, within) or Shortage.PIPE

    def _compute_wait_end(
        self, state: RequestState, began_at: float, now: float
    ) -> float:
        """Return until when a request may wait for a path."""
        if state.has_begun:
            return compute_resume_end(state)
        is_incomplete = self._catalogue.may_be_incomplete(now=now)
        timeout_s = INCOMPLETE_TIMEOUT_S if is_incomplete else SATURATED_TIMEOUT_S
        return min(state.deadline, began_at + timeout_s)


def _make_request(state: RequestState) -> WaitingRequest:
    return WaitingRequest(
        key=id(state),
        urgency=state.urgency,
        arrived_at=state.arrived_at,
        objective_s=state.route.objective_s,
        is_started=state.has_begun or state.last_event is not None,
    )
