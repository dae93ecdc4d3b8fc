"""Admission control: queues requests until a path has capacity."""

import math
import random
from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import EngineModel
from fulmarward_core.paths import Hop, PathRequest
from fulmarward_core.queueing import WaitingRequest, choose_retry_after_s
from fulmarward_core.results import ResultCode
from fulmarward_core.routes import RouteKind, list_class_services
from fulmarward_core.waits import KvAhead, PromisedReturn, ReturnStatus, must_reject
from fulmarward_router.exchange._path_finder import PathFinder
from fulmarward_router.exchange._pipe_limiter import PipeLimiter
from fulmarward_router.exchange._request_state import (
    CutCause,
    RejectedRequest,
    RejectionValues,
    RequestState,
    Shortage,
    TruncatedResponse,
)
from fulmarward_router.exchange._waiting import (
    ReturnPlan,
    WaitingRequests,
    compute_request_kv,
)
from fulmarward_router.state import PromisedReturns, TargetLimits

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

#: Retry delay, in seconds, of a request that a target refused while others have
#: capacity; the caller's next request does not count as a retry of this one.
REFUSED_RETRY_S = 0.05


#: Shortest retry delay, in seconds, while all targets are limited.
MIN_LIMITED_RETRY_S = 0.2

#: Seconds over which callers that were rejected meanwhile return at most.
MAX_RETRY_SPREAD_S = 2.0

#: Shortest retry delay, in seconds, of a caller that returned too early.
MIN_EARLY_RETRY_S = 0.3

#: Share of the time left until its deadline up to which a caller honours a retry delay.
HONOURED_SHARE = 1 / 3

#: Minimum seconds between two log lines on missing layers of a service.
MISSING_LOG_INTERVAL_S = 1.0


@dataclass(frozen=True, kw_only=True)
class Rejection:
    """Why a request is rejected for want of capacity."""

    cause: str
    #: Retry delay in seconds, `None` if it is to be estimated.
    return_s: float | None = None
    #: Estimated wait in seconds, `None` if it did not decide.
    estimate_s: float | None = None


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
    return min(state.deadline, _compute_leave_at(state) - RESUME_MARGIN_S)


def compute_resume_start(state: RequestState) -> float:
    """Return when a silent stream is resumed at the latest.

    Its caller has the next event in time if that is sent within the objective of the
    route.
    """
    lead_s = max(RESUME_MARGIN_S, state.route.objective_s)
    return min(state.deadline, _compute_leave_at(state) - lead_s)


def _compute_leave_at(state: RequestState) -> float:
    """Return when the caller of a started stream leaves without a further event."""
    last_active_at = (
        state.arrived_at if state.last_write_at is None else state.last_write_at
    )
    timeout_s = max(
        CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_OBJECTIVES * state.route.objective_s,
        CALLER_TIMEOUT_PAUSES * state.route.pause_s,
    )
    return last_active_at + timeout_s


class AdmissionQueue:
    """Queues this instance's requests that wait for a path."""

    def __init__(
        self,
        *,
        finder: PathFinder,
        pipe: PipeLimiter,
        catalogue: TargetCatalogue,
        limits: TargetLimits,
        find_waiting: Callable[[RequestState, EngineModel], WaitingRequests],
        promised_returns: PromisedReturns,
        read_clock: Callable[[], float],
        count_denial: Callable[[str, int, str], None],
        observe_wait: Callable[[str, int, float], None],
        balances_data_centres: Callable[[], bool] = lambda: False,
        is_room_kept: Callable[[str], bool] = lambda service: False,
    ) -> None:
        #: Returns whether room of a service is kept for silent streams.
        self._is_room_kept = is_room_kept
        #: Returns whether requests to services without classes may overflow too.
        self._balances_data_centres = balances_data_centres
        #: Counts a rejection in a service with classes or shares of teams, by service,
        #: urgency and cause.
        self._count_denial = count_denial
        #: Records for how many seconds an admitted request of a service with classes
        #: waited, by service and urgency.
        self._observe_wait = observe_wait
        #: Returns the requests that wait for the service of a request.
        self._find_waiting = find_waiting
        self._promised_returns = promised_returns
        self._limits = limits
        self._finder = finder
        self._pipe = pipe
        self._catalogue = catalogue
        self._read_clock = read_clock
        #: When missing layers were last logged, by service.
        self._missing_logged_at: dict[str, float] = {}

    async def await_path(
        self,
        state: RequestState,
        engine: EngineModel,
        find_wanted: Callable[[], PathRequest],
    ) -> tuple[Hop, ...]:
        """Return a path, waiting for capacity.

        A request that may begin at certain targets only, or for which all paths are too
        slow, waits beside the queue, as it would hold up those that may use any.

        Raises `RejectedRequest`, or `TruncatedResponse` if the response has started.
        """
        began_at = self._read_clock()
        waiting = self._find_waiting(state, engine)
        returned = self._find_return(state)
        request = _make_request(
            state,
            engine,
            find_wanted(),
            is_promised=returned.status is ReturnStatus.DUE,
            has_team_shares=waiting.has_team_shares,
        )
        if not state.has_sought_path:
            waiting.record_arrival(request, now=began_at)
        state.has_sought_path = True
        shortage = Shortage.KV_CACHE
        rejection: Rejection | None = None
        ahead: KvAhead | None = None
        overflow_draw = self._draw_overflow(state)
        try:
            while True:
                now = self._read_clock()
                wait_end = self._compute_wait_end(state, began_at, now)
                has_waited = ahead is not None and _has_classes(state)
                wanted = replace(
                    find_wanted(), has_waited=has_waited, overflow_draw=overflow_draw
                )
                is_bound = wanted.first_targets is not None
                # A started answer that may wait no longer searches out of turn.
                is_final = state.has_begun and now >= wait_end
                if is_bound or is_final or self._may_search(state, request, waiting):
                    found = await self._find_permitted_path(
                        state, engine, wanted, request, waiting, wait_end=wait_end
                    )
                    if not isinstance(found, Shortage):
                        now = self._read_clock()
                        waiting.record_admitted(request, now=now)
                        self._record_wait(state, request, now - began_at)
                        self._redeem(state, returned)
                        return found
                    shortage = found
                    if shortage is Shortage.LIMIT and not state.has_begun:
                        break
                now = self._read_clock()
                if now >= wait_end:
                    break
                if shortage in (Shortage.KV_CACHE, Shortage.SPEED):
                    rejection = self._find_reason_not_to_wait(
                        state, request, waiting, returned, ahead, left_s=wait_end - now
                    )
                    if rejection is not None:
                        break
                ahead = ahead or waiting.track_ahead(request, now=now)
                if overflow_draw is not None:
                    # It has found no capacity: from now on it takes any path.
                    overflow_draw = 1.0
                if is_bound or shortage is Shortage.SPEED:
                    waiting.remove(request, now=now)
                else:
                    waiting.add(request, now=now)
                await waiting.await_release()
        finally:
            waiting.remove(request, now=self._read_clock())
        if state.has_begun:
            raise TruncatedResponse(CutCause.NO_PATH)
        raise self._make_rejection(state, engine, request, waiting, shortage, rejection)

    def _may_search(
        self, state: RequestState, request: WaitingRequest, waiting: WaitingRequests
    ) -> bool:
        """Return whether it is a request's turn to search for a path."""
        if not request.is_started and self._is_room_kept(state.service):
            return False
        return waiting.is_next(request, now=self._read_clock())

    async def try_path(
        self,
        state: RequestState,
        engine: EngineModel,
        wanted: PathRequest,
        *,
        key: Hashable,
        yields: bool = False,
    ) -> tuple[Hop, ...] | Shortage:
        """Return a path for another attempt without waiting, or what it lacks.

        Its team is charged under `key` until that has ended. Other started answers that
        wait precede it, unless its caller is about to leave; one that `yields` is
        preceded by all that wait.
        """
        now = self._read_clock()
        resume_at = compute_resume_start(state)
        waiting = self._find_waiting(state, engine)
        request = replace(
            _make_request(
                state,
                engine,
                wanted,
                is_promised=False,
                has_team_shares=waiting.has_team_shares,
            ),
            key=key,
        )
        if yields and not self._may_search(state, request, waiting):
            return Shortage.QUEUE
        if now < resume_at and not waiting.is_next(request, now=now):
            return Shortage.QUEUE
        wanted = replace(wanted, overflow_draw=self._draw_overflow(state))
        found = await self._find_permitted_path(
            state,
            engine,
            wanted,
            request,
            waiting,
            wait_end=now,
            keeps_avoided=True,
        )
        if not isinstance(found, Shortage):
            waiting.record_admitted(request, now=self._read_clock())
        return found

    def has_path(
        self, state: RequestState, engine: EngineModel, wanted: PathRequest
    ) -> bool:
        """Return whether a started answer would be given a path now; reserves none.

        Others that wait precede it, and what it releases goes to them.
        """
        waiting = self._find_waiting(state, engine)
        request = _make_request(
            state,
            engine,
            wanted,
            is_promised=False,
            has_team_shares=waiting.has_team_shares,
        )
        if not waiting.is_next(request, now=self._read_clock()):
            return False
        # A path that crosses is refused while the link between data centres is full.
        wanted = replace(wanted, may_cross=not self._pipe.is_full())
        path = self._finder.choose(state.service, engine, wanted, may_use_reported=True)
        return path is not None

    def _draw_overflow(self, state: RequestState) -> float | None:
        """Return the number that decides whether a request overflows.

        `None` where data centres are not balanced. A started answer takes any path.
        """
        if not _has_classes(state) and not self._balances_data_centres():
            return None
        return 1.0 if state.has_begun else random.random()

    def _make_rejection(
        self,
        state: RequestState,
        engine: EngineModel,
        request: WaitingRequest,
        waiting: WaitingRequests,
        shortage: Shortage,
        rejection: Rejection | None,
    ) -> RejectedRequest:
        """Return the rejection of a request that found no path."""
        if shortage is Shortage.LIMIT:
            # A permit goes to whoever asks first, so that waiting here gains nothing.
            return RejectedRequest(
                ResultCode.QUEUE_FULL,
                cause="all targets are limited",
                retry_after_s=self._find_limited_retry_s(state.service, engine),
                shortage=shortage,
            )
        if self._finder.has_whole_model(state.service, engine):
            if rejection is None:
                rejection = Rejection(cause="no path has room")
            if shortage is Shortage.SPEED and rejection.return_s is None:
                rejection = replace(rejection, cause="no path is fast enough")
            if shortage in (Shortage.PIPE, Shortage.SPEED):
                # The estimate is one of KV cache, and says nothing about a full pipe or
                # slow targets.
                return_s = rejection.return_s or choose_retry_after_s(random.random())
                rejection = replace(rejection, return_s=return_s)
            return_s, values = self._plan_return(state, request, waiting, rejection)
            return RejectedRequest(
                ResultCode.QUEUE_FULL,
                cause=rejection.cause,
                retry_after_s=return_s,
                shortage=shortage,
                values=values,
            )
        self._log_missing_layers(state.service, engine)
        return RejectedRequest(
            ResultCode.NO_TARGET,
            cause="no path holds all layers",
            retry_after_s=choose_retry_after_s(random.random()),
            shortage=Shortage.LAYERS,
        )

    def _find_return(self, state: RequestState) -> PromisedReturn:
        """Return whether the caller of a request was promised capacity.

        A request that seeks another path has redeemed its promise; others of equal
        requests belong to their callers. A route may lead the same request to another
        service on its return, where nothing was promised.
        """
        unknown = PromisedReturn(status=ReturnStatus.UNKNOWN)
        if state.has_begun or state.has_sought_path or not _has_classes(state):
            return unknown
        found = self._promised_returns.find(state.fingerprint)
        is_here = found.promise is not None and found.promise.service == state.service
        return found if is_here else unknown

    def _record_wait(
        self, state: RequestState, request: WaitingRequest, waited_s: float
    ) -> None:
        """Record for how long a request waited that has not started."""
        if not request.is_started and _has_classes(state):
            self._observe_wait(state.service, state.class_urgency, waited_s)

    def _redeem(self, state: RequestState, returned: PromisedReturn) -> None:
        """Close the promise for a request that has found a path."""
        if returned.status is not ReturnStatus.UNKNOWN:
            self._promised_returns.redeem(
                state.fingerprint, request_id=state.facts.request_id
            )

    def _find_reason_not_to_wait(
        self,
        state: RequestState,
        request: WaitingRequest,
        waiting: WaitingRequests,
        returned: PromisedReturn,
        ahead: KvAhead | None,
        *,
        left_s: float,
    ) -> Rejection | None:
        """Return why a request without a path now is not to wait, `None` if it is.

        `ahead` is what waits ahead of it, `None` if it arrives now.

        A caller that returns before its retry delay would take what others were
        promised. One whose promise is due precedes those for whom the estimate is made.
        A request that a target may have run is not rejected early, as a rejection
        means that none has.
        """
        if request.is_started or request.is_promised or state.runs > 0:
            return None
        if ahead is None and returned.status is ReturnStatus.EARLY:
            self._promised_returns.record_early(
                returned, request_id=state.facts.request_id
            )
            return Rejection(
                cause="returned before its retry delay",
                return_s=max(MIN_EARLY_RETRY_S, returned.left_s),
            )
        now = self._read_clock()
        if self._catalogue.may_be_incomplete(now=now):
            # The capacity of targets that have yet to write their rows is not known.
            return None
        estimate_s = waiting.estimate_wait_s(request, ahead=ahead, now=now)
        if ahead is not None and estimate_s == math.inf:
            # A single arrival of a higher class can exceed the releases of a moment,
            # and what waits in higher classes has reduced its share already.
            return None
        if not must_reject(estimate_s, left_s=left_s):
            return None
        return Rejection(cause="no path will have room in time", estimate_s=estimate_s)

    def _plan_return(
        self,
        state: RequestState,
        request: WaitingRequest,
        waiting: WaitingRequests,
        rejection: Rejection,
    ) -> tuple[float, RejectionValues]:
        """Return the retry delay of a rejected request, and promise it capacity.

        It is returned with the values that decided.

        A relayed request gets no promise: the peer that relayed it asks others, and its
        caller does not receive this delay. Neither does one that was promised before:
        callers retry once.
        """
        now = self._read_clock()
        plan = ReturnPlan(return_s=rejection.return_s or 0.0, is_promised=False)
        if rejection.return_s is None:
            honoured_s = (state.deadline - now) * HONOURED_SHARE
            plan = waiting.plan_return(request, honoured_s=honoured_s, now=now)
        is_new = not request.is_promised and state.facts.relayed_by is None
        is_return_promised = False
        if plan.is_promised and is_new:
            is_return_promised = self._promised_returns.promise(
                state.fingerprint,
                state.service,
                state.class_urgency,
                request.kv,
                return_s=plan.return_s,
                request_id=state.facts.request_id,
            )
        values = waiting.describe(request, now=now)
        estimate_s = round_estimate(rejection.estimate_s)
        if values:
            self._count_denial(state.service, state.class_urgency, rejection.cause)
            log_event(
                "admission_denied",
                request=state.facts.request_id,
                service=state.service,
                cause=rejection.cause,
                waited_s=round(now - state.arrived_at, 3),
                estimate_s=estimate_s,
                return_s=round(plan.return_s, 3),
                **values,
            )
        return plan.return_s, RejectionValues(
            estimate_s=estimate_s,
            is_return_promised=is_return_promised,
            measured=values,
        )

    async def _find_permitted_path(
        self,
        state: RequestState,
        engine: EngineModel,
        wanted: PathRequest,
        request: WaitingRequest,
        waiting: WaitingRequests,
        *,
        wait_end: float,
        keeps_avoided: bool = False,
    ) -> tuple[Hop, ...] | Shortage:
        """Return the best path whose first target accepts the request now.

        A started answer may use targets to be avoided if there is no other path, unless
        it `keeps_avoided`.
        """
        while True:
            kv_share = waiting.find_kv_share(request, now=self._read_clock())
            shared = replace(wanted, kv_share=kv_share)
            path = self._choose_path(state, engine, shared, keeps_avoided=keeps_avoided)
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
        """Log why no path of a service holds all layers, once a second."""
        now = self._read_clock()
        logged_at = self._missing_logged_at.get(service, float("-inf"))
        if now - logged_at < MISSING_LOG_INTERVAL_S:
            return
        self._missing_logged_at[service] = now
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
        *,
        keeps_avoided: bool,
    ) -> tuple[Hop, ...] | Shortage:
        """Return the best path, or one within a data centre if the pipe is full."""
        path = self._finder.choose(state.service, engine, wanted)
        if path is None and state.has_begun:
            # The path is probed before it is used; a peer's own link may be at fault.
            path = self._finder.choose(
                state.service, engine, wanted, may_use_reported=True
            )
        is_avoiding = bool(wanted.avoided) and not keeps_avoided
        if path is None and state.has_begun and is_avoiding:
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
        if self._is_too_slow(state, engine, wanted, path):
            return Shortage.SPEED
        if self._pipe.reserve(engine, wanted, path):
            return path
        within = replace(wanted, may_cross=False)
        path = self._finder.choose(state.service, engine, within)
        if path is None:
            return Shortage.PIPE
        is_too_slow = self._is_too_slow(state, engine, within, path)
        return Shortage.SPEED if is_too_slow else path

    def _is_too_slow(
        self,
        state: RequestState,
        engine: EngineModel,
        wanted: PathRequest,
        path: tuple[Hop, ...],
    ) -> bool:
        """Return whether a path is likely to end after the deadline.

        Its estimated duration is recorded in the state of the request, for the log.


        Guards against streams that take capacity and are cut at their deadline. One
        that has started, or that a target may have run, takes any path: its caller
        would have to start over.
        """
        if wanted.has_unknown_length:
            return False
        state.path_estimate_s = self._finder.estimate_duration_s(
            state.service, engine, wanted, path
        )
        if state.has_begun or state.last_event is not None or state.runs > 0:
            return False
        is_bounded = _has_classes(state) or wanted.overflow_draw is not None
        if state.path_estimate_s is None or not is_bounded:
            return False
        return state.path_estimate_s > state.count_left(self._read_clock())

    def _compute_wait_end(
        self, state: RequestState, began_at: float, now: float
    ) -> float:
        """Return until when a request may wait for a path."""
        if state.has_begun:
            return compute_resume_end(state)
        is_incomplete = self._catalogue.may_be_incomplete(now=now)
        timeout_s = INCOMPLETE_TIMEOUT_S if is_incomplete else SATURATED_TIMEOUT_S
        return min(state.deadline, began_at + timeout_s)


def _has_classes(state: RequestState) -> bool:
    return state.service in list_class_services(state.configuration)


def _is_resumed(state: RequestState) -> bool:
    """Return whether a caller goes on with a stream that was broken off."""
    return state.last_event is not None and state.route.kind is RouteKind.STREAM


def round_estimate(estimate_s: float | None) -> float | None:
    """Return an estimate for the log, `None` if it is unknown or infinite."""
    if estimate_s is None or not math.isfinite(estimate_s):
        return None
    return round(estimate_s, 3)


def _make_request(
    state: RequestState,
    engine: EngineModel,
    wanted: PathRequest,
    *,
    is_promised: bool,
    has_team_shares: bool,
) -> WaitingRequest:
    return WaitingRequest(
        key=id(state),
        urgency=state.class_urgency,
        arrived_at=state.arrived_at,
        objective_s=state.route.objective_s,
        is_started=state.has_begun or _is_resumed(state),
        kv=compute_request_kv(wanted, engine),
        is_promised=is_promised,
        team=state.team_name if has_team_shares else "",
    )
