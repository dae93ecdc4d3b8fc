"""The requests that wait at this instance, and how much capacity each may fill."""

import asyncio
import random
from collections.abc import Callable, Hashable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from fulmarward_core.demand import ClassDemand, DemandTable
from fulmarward_core.fleet import EngineModel
from fulmarward_core.paths import KvCapacity, PathRequest, count_tokens_held
from fulmarward_core.queueing import (
    WaitClass,
    WaitingRequest,
    WaitQueue,
    choose_retry_after_s,
    classify_request,
    find_kv_share,
)
from fulmarward_core.reservations import LAG_S, ClassQueue, ClassSettings, Level
from fulmarward_core.team_shares import TeamShares, TeamTable
from fulmarward_core.waits import (
    KvAhead,
    choose_return_s,
    estimate_return_s,
    estimate_wait_s,
    may_promise,
)
from fulmarward_router.exchange._demand_recorder import DemandRecorder

#: Seconds between two searches for a path by a waiting request.
POLL_INTERVAL_S = 0.04

#: Seconds for which waiting requests of a level share what was measured for their
#: estimates: each measurement takes about 40 us, and each request estimates 25 times a
#: second.
SUPPLY_REUSE_S = 0.02

#: Upper bound on the KV cache of one request, in tokens x layers. Callers declare their
#: numbers of tokens; the sum of thousands of requests must fit in a demand report.
MAX_REQUEST_KV = 2**40


@dataclass(frozen=True, kw_only=True)
class ReturnPlan:
    """The retry delay of a rejected caller, and whether it is promised capacity."""

    return_s: float
    is_promised: bool


@dataclass(frozen=True, kw_only=True)
class _LevelSupply:
    """What decides how long requests of a level wait; KV cache in tokens x layers."""

    #: KV cache that waiting requests of the level need, at all instances.
    waiting_kv: float
    #: Free capacity of the level, negative if that is exceeded.
    free_kv: float
    released_kv_per_s: float
    #: What arrives of higher classes and is served before the level.
    arriving_above_kv_per_s: float


def compute_request_kv(wanted: PathRequest, engine: EngineModel) -> float:
    """Return the KV cache that a request needs, in tokens x layers, within bounds."""
    kv = count_tokens_held(wanted) * engine.layers
    return float(max(0, min(kv, MAX_REQUEST_KV)))


class WaitingRequests(Protocol):
    """The requests for one service that wait at one instance."""

    @property
    def has_team_shares(self) -> bool:
        """Whether the shares of teams are in force."""

    def record_arrival(self, request: WaitingRequest, *, now: float) -> None:
        """Record a request that asks for a path for the first time."""

    def add(self, request: WaitingRequest, *, now: float) -> None:
        """Add a request; adding it again has no effect."""

    def remove(self, request: WaitingRequest, *, now: float) -> None:
        """Remove a request if it is there."""

    def is_next(self, request: WaitingRequest, *, now: float) -> bool:
        """Return whether no waiting request is served before this one."""

    def find_kv_share(self, request: WaitingRequest, *, now: float) -> float:
        """Return the share of the planned KV cache that a request may fill now."""

    def record_admitted(self, request: WaitingRequest, *, now: float) -> None:
        """Record that a request has found a path."""

    async def await_release(self) -> None:
        """Wait until capacity may have been released."""

    def track_ahead(self, request: WaitingRequest, *, now: float) -> KvAhead:
        """Return what waits ahead of a request that arrives now."""

    def estimate_wait_s(
        self, request: WaitingRequest, *, ahead: KvAhead | None = None, now: float
    ) -> float | None:
        """Return the seconds until a request has capacity, `None` if unknown.

        `ahead` is that of a request that waits, `None` if it arrives now.
        """

    def plan_return(
        self, request: WaitingRequest, *, honoured_s: float, now: float
    ) -> ReturnPlan:
        """Return when the caller of a rejected request should return.

        `honoured_s` is the longest retry delay that the caller honours.
        """

    def describe(
        self, request: WaitingRequest, *, now: float
    ) -> Mapping[str, float | int | None]:
        """Return the values that decided on a request, for the log."""


class UniformRequests:
    """Waiting requests of a service without classes."""

    def __init__(
        self,
        *,
        recorder: DemandRecorder | None = None,
        team_shares: TeamShares | None = None,
    ) -> None:
        #: Records the demand where data centres are balanced.
        self.recorder = recorder or _make_idle_recorder()
        self._team_shares = team_shares or _make_unshared()
        self._queue = WaitQueue(team_order=self._team_shares)
        self._measure_capacity: Callable[[], KvCapacity] | None = None

    @property
    def has_team_shares(self) -> bool:
        """Whether the shares of teams are in force."""
        return self._team_shares.is_enabled

    def configure(self, *, measure_capacity: Callable[[], KvCapacity]) -> None:
        """Apply the configuration in force, also to those waiting."""
        self._measure_capacity = measure_capacity

    def record_arrival(self, request: WaitingRequest, *, now: float) -> None:
        """Record a request that asks for a path for the first time."""
        self.recorder.record_arrival(request, now=now)

    def add(self, request: WaitingRequest, *, now: float) -> None:
        """Add a request; adding it again has no effect."""
        self._queue.add(request)
        self._team_shares.add(request)
        self.recorder.add(request, now=now)

    def remove(self, request: WaitingRequest, *, now: float) -> None:
        """Remove a request if it is there."""
        self._queue.remove(request)
        self._team_shares.remove(request)
        self.recorder.remove(request, now=now)

    def is_next(self, request: WaitingRequest, *, now: float) -> bool:
        """Return whether no waiting request is served before this one."""
        return self._queue.is_next(request, now=now)

    def find_kv_share(self, request: WaitingRequest, *, now: float) -> float:
        """Return the share of the planned KV cache that a request may fill now."""
        share = find_kv_share(classify_request(request, now=now))
        if not self._team_shares.is_enabled:
            return share
        planned_kv = self._measure_capacity().planned
        return min(
            share,
            self._team_shares.find_kv_share(request, planned_kv=planned_kv, now=now),
        )

    def record_admitted(self, request: WaitingRequest, *, now: float) -> None:
        """Record that a request has found a path, for the use of its team."""
        self._team_shares.record_admitted(request)

    async def await_release(self) -> None:
        """Wait until the next search."""
        await asyncio.sleep(POLL_INTERVAL_S)

    def track_ahead(self, request: WaitingRequest, *, now: float) -> KvAhead:
        """Return that nothing is ahead: without classes, waits are not estimated."""
        return KvAhead(0.0, now=now)

    def estimate_wait_s(
        self, request: WaitingRequest, *, ahead: KvAhead | None = None, now: float
    ) -> float | None:
        """Return `None`: without classes, waits are not estimated."""
        return None

    def plan_return(
        self, request: WaitingRequest, *, honoured_s: float, now: float
    ) -> ReturnPlan:
        """Return a random retry delay without a promise."""
        return_s = choose_retry_after_s(random.random())
        return ReturnPlan(return_s=return_s, is_promised=False)

    def describe(
        self, request: WaitingRequest, *, now: float
    ) -> Mapping[str, float | int | None]:
        """Return the values that decided on a request, for the log.

        None without shares of teams: the order alone decides.
        """
        if not self._team_shares.is_enabled:
            return {}
        capacity = self._measure_capacity()
        return {
            "urgency": request.urgency,
            "kv": int(request.kv),
            "kv_share": round(self.find_kv_share(request, now=now), 3),
            "free_kv": int(capacity.free),
            "planned_kv": int(capacity.planned),
            **self._team_shares.describe(request, planned_kv=capacity.planned, now=now),
        }


class ClassRequests:
    """Waiting requests of a service with classes; reports their demand to the fleet."""

    def __init__(
        self,
        *,
        service: str,
        demands: DemandTable,
        sum_promised: Callable[[float], Mapping[int, float]],
        settings: ClassSettings,
        team_shares: TeamShares | None = None,
    ) -> None:
        self._team_shares = team_shares or _make_unshared()
        self._service = service
        self._demands = demands
        #: Returns by urgency the KV cache promised to callers due within some seconds.
        self._sum_promised = sum_promised
        self._queue = ClassQueue(settings=settings, team_order=self._team_shares)
        self._measure_capacity: Callable[[], KvCapacity] | None = None
        self._lowest_urgency = 0
        #: Urgencies whose waiting requests were reported last.
        self._reported: frozenset[int] = frozenset()
        self._reported_at = float("-inf")
        self._released = asyncio.Event()
        #: When the supply of each level was measured, and what was found; by team with
        #: shares of teams.
        self._supplies: dict[tuple[Level, str], tuple[float, _LevelSupply | None]] = {}

    @property
    def has_team_shares(self) -> bool:
        """Whether the shares of teams are in force."""
        return self._team_shares.is_enabled

    def configure(
        self,
        *,
        settings: ClassSettings,
        lowest_urgency: int,
        measure_capacity: Callable[[], KvCapacity],
    ) -> None:
        """Apply the settings and the configuration in force, also to those waiting."""
        self._queue.configure(settings)
        self._lowest_urgency = lowest_urgency
        self._measure_capacity = measure_capacity

    def record_arrival(self, request: WaitingRequest, *, now: float) -> None:
        """Record a request that asks for a path for the first time."""
        self._queue.record_arrival(request)
        if not request.is_started:
            self._demands.record_arrival(
                self._service, request.urgency, request.kv, now=now
            )

    def add(self, request: WaitingRequest, *, now: float) -> None:
        """Add a request; adding it again only refreshes what is reported.

        It refreshes that once per interval, as requests turn late: each waiting request
        is added again in each of its searches, and each report sums all of them.
        """
        known_count = len(self._queue)
        self._queue.add(request)
        self._team_shares.add(request)
        is_new = len(self._queue) > known_count
        if is_new or now - self._reported_at >= POLL_INTERVAL_S:
            self._report(now)

    def remove(self, request: WaitingRequest, *, now: float) -> None:
        """Remove a request if it is there."""
        self._queue.remove(request)
        self._team_shares.remove(request)
        if self._reported:
            self._report(now)

    def is_next(self, request: WaitingRequest, *, now: float) -> bool:
        """Return whether no waiting request is served before this one."""
        return self._queue.is_next(request, now=now)

    def find_kv_share(self, request: WaitingRequest, *, now: float) -> float:
        """Return the share of the planned KV cache that a request may fill now."""
        planned_kv = self._measure_capacity().planned
        return self._queue.find_kv_share(
            request,
            demands=self._sum_demands(now),
            planned_kv=planned_kv,
            lowest_urgency=self._lowest_urgency,
            team_share=self._team_shares.find_kv_share(
                request, planned_kv=planned_kv, now=now
            ),
            now=now,
        )

    def record_admitted(self, request: WaitingRequest, *, now: float) -> None:
        """Record that a request has found a path, and wake the one that is next."""
        self._queue.record_admitted(request)
        self._team_shares.record_admitted(request)
        self._wake()

    def record_released(self, urgency: int, kv: float, *, now: float) -> None:
        """Record that an answer has ended, and wake the waiting requests."""
        self._demands.record_released(self._service, urgency, kv, now=now)
        self._wake()

    def _wake(self) -> None:
        released, self._released = self._released, asyncio.Event()
        released.set()

    async def await_release(self) -> None:
        """Wait until an answer ends here, or until others may have ended elsewhere."""
        try:
            async with asyncio.timeout(POLL_INTERVAL_S):
                await self._released.wait()
        except TimeoutError:
            return

    def track_ahead(self, request: WaitingRequest, *, now: float) -> KvAhead:
        """Return what waits ahead of a request that arrives now and is not added yet.

        All requests of its class that wait on time, at any instance, are ahead of it;
        with shares of teams, only those of teams with about the same use.
        """
        demands = self._sum_demands(now)
        on_time = Level(urgency=request.urgency, is_late=False)
        waiting_kv = _sum_level_kv(demands, on_time)
        of_teams_kv = self._team_shares.sum_level_kv(request, now=now)
        return KvAhead(min(waiting_kv, of_teams_kv), now=now)

    def estimate_wait_s(
        self, request: WaitingRequest, *, ahead: KvAhead | None = None, now: float
    ) -> float | None:
        """Return the seconds until a request has capacity, `None` if unknown.

        `ahead` is that of a request that waits, `None` if it arrives now.
        """
        key = _find_level(request, now), request.team
        measured_at, supply = self._supplies.get(key, (float("-inf"), None))
        if ahead is None or now - measured_at >= SUPPLY_REUSE_S:
            supply = self._measure_supply(request, now=now)
            self._supplies[key] = now, supply
        if supply is None:
            return None
        kv_ahead = supply.waiting_kv
        if ahead is not None:
            kv_ahead = ahead.update(
                waiting_kv=supply.waiting_kv - request.kv,
                released_kv_per_s=(
                    supply.released_kv_per_s - supply.arriving_above_kv_per_s
                ),
                now=now,
            )
        return estimate_wait_s(
            kv=request.kv,
            kv_ahead=kv_ahead,
            free_kv=supply.free_kv,
            released_kv_per_s=supply.released_kv_per_s,
            arriving_above_kv_per_s=supply.arriving_above_kv_per_s,
        )

    def _measure_supply(
        self, request: WaitingRequest, *, now: float
    ) -> _LevelSupply | None:
        """Return what the level of a request can expect, `None` if that is not known.

        The share that the level may fill accounts for higher classes, and for requests
        of its own class that are on time if it is late. A class with credit is served
        before what arrives of higher ones; otherwise its requests would be rejected on
        arrival while these take all of the release.
        """
        capacity = self._measure_capacity()
        if not capacity.planned:
            # Layers are missing for a moment: the release says nothing about the wait.
            return None
        demands = self._sum_demands(now)
        has_credit = self._queue.has_credit(request.urgency)
        share = self.find_kv_share(request, now=now)
        level = _find_level(request, now)
        return _LevelSupply(
            waiting_kv=min(
                _sum_level_kv(demands, level),
                self._team_shares.sum_level_kv(request, now=now),
            ),
            free_kv=capacity.free - (1 - share) * capacity.planned,
            released_kv_per_s=sum(d.released_kv_per_s for d in demands),
            arriving_above_kv_per_s=(
                0.0 if has_credit else _sum_arriving_above(demands, level.urgency)
            ),
        )

    def plan_return(
        self, request: WaitingRequest, *, honoured_s: float, now: float
    ) -> ReturnPlan:
        """Return when the caller of a rejected request should return.

        Requests of its class and of higher ones, waiting or promised, go before it.
        """
        demands = self._sum_demands(now)
        promised = self._sum_promised(float("inf"))
        preceding = [d for d in demands if d.urgency <= request.urgency]
        estimate_s = estimate_return_s(
            kv=request.kv,
            kv_ahead=sum(d.on_time_kv + d.late_kv for d in preceding),
            promised_kv=sum(
                kv for urgency, kv in promised.items() if urgency <= request.urgency
            ),
            free_kv=self._measure_capacity().free,
            released_kv_per_s=sum(d.released_kv_per_s for d in demands),
            arriving_above_kv_per_s=_sum_arriving_above(demands, request.urgency),
        )
        return ReturnPlan(
            return_s=choose_return_s(estimate_s, draw=random.random()),
            is_promised=may_promise(estimate_s, honoured_s=honoured_s),
        )

    def describe(
        self, request: WaitingRequest, *, now: float
    ) -> Mapping[str, float | int | None]:
        """Return the values that decided on a request, for the log."""
        demands = self._sum_demands(now)
        capacity = self._measure_capacity()
        age_s = self._demands.find_oldest_report_age_s(now=now)
        return {
            "urgency": request.urgency,
            "is_promised": request.is_promised,
            "kv": int(request.kv),
            "kv_share": round(self.find_kv_share(request, now=now), 3),
            "free_kv": int(capacity.free),
            "planned_kv": int(capacity.planned),
            "waiting_kv": int(sum(d.on_time_kv + d.late_kv for d in demands)),
            "waiting_above_kv": int(
                sum(
                    d.on_time_kv + d.late_kv
                    for d in demands
                    if d.urgency < request.urgency
                )
            ),
            "promised_kv": int(sum(self._sum_promised(float("inf")).values())),
            "released_kv_per_s": int(sum(d.released_kv_per_s for d in demands)),
            "arriving_above_kv_per_s": int(
                _sum_arriving_above(demands, request.urgency)
            ),
            "report_age_s": None if age_s is None else round(age_s, 3),
            **self._team_shares.describe(request, planned_kv=capacity.planned, now=now),
        }

    def _sum_demands(self, now: float) -> Sequence[ClassDemand]:
        """Return the demand of all instances, with what is promised and due soon.

        A class whose callers all wait for their return has no other demand.
        """
        demands = self._demands.sum(self._service, now=now)
        promised = self._sum_promised(LAG_S)
        if not promised:
            return demands
        known = {demand.urgency: demand for demand in demands}
        return [
            replace(
                known.get(urgency) or _make_idle_demand(urgency),
                promised_kv=promised.get(urgency, 0.0),
            )
            for urgency in sorted(known.keys() | promised.keys())
        ]

    def _report(self, now: float) -> None:
        """Update the demand of this instance by what waits here."""
        waiting = self._queue.sum_waiting(now=now)
        for urgency in self._reported | waiting.keys():
            on_time_kv, late_kv = waiting.get(urgency, (0.0, 0.0))
            self._demands.set_waiting(
                self._service,
                urgency,
                on_time_kv=on_time_kv,
                late_kv=late_kv,
                now=now,
            )
        self._reported = frozenset(waiting)
        self._reported_at = now


class PlainRequests:
    """Waiting requests of a plain service with classes, by urgency and arrival.

    The minimum share of a class is one of the requests that are admitted from higher
    ones while it waits. As one of its own arrivals, a burst of a lower class would earn
    credit faster than targets answer, and delay the higher classes.
    """

    def __init__(self, *, settings: ClassSettings) -> None:
        self._queue = ClassQueue(settings=settings)
        #: By the key of the request; set when a target may have capacity for it.
        self._released: dict[Hashable, asyncio.Event] = {}

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request if it is there."""
        self._queue.remove(request)
        self._released.pop(request.key, None)

    def is_next(self, request: WaitingRequest, *, now: float) -> bool:
        """Return whether no waiting request is served before this one."""
        return self._queue.is_next(request, now=now)

    def configure(self, settings: ClassSettings) -> None:
        """Apply other settings from now on."""
        self._queue.configure(settings)

    def record_admitted(self, request: WaitingRequest) -> None:
        """Record that a request has found a target."""
        self._queue.record_admitted(request)
        self._queue.record_passed_over(request)

    def wake(self, *, now: float) -> None:
        """Wake the request that is next, as a target may have capacity.

        Waking all of them would cost time in proportion to their square.
        """
        first = self._queue.find_first(now=now)
        if first is not None:
            self._released[first.key].set()

    async def await_release(self, request: WaitingRequest, *, timeout_s: float) -> None:
        """Add a request, and wait until it is woken, for `timeout_s` at most."""
        self._queue.add(request)
        released = self._released.setdefault(request.key, asyncio.Event())
        released.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await released.wait()
        except TimeoutError:
            return


def _make_unshared() -> TeamShares:
    """Return shares of teams that are not in force."""
    return TeamShares(service="", table=TeamTable(own=""))


def _make_idle_recorder() -> DemandRecorder:
    """Return a recorder that records nothing."""
    return DemandRecorder(
        service="", demands=DemandTable(own=""), is_enabled=lambda: False
    )


def _make_idle_demand(urgency: int) -> ClassDemand:
    return ClassDemand(
        urgency=urgency,
        on_time_kv=0.0,
        late_kv=0.0,
        arriving_kv_per_s=0.0,
        released_kv_per_s=0.0,
        promised_kv=0.0,
    )


def _find_level(request: WaitingRequest, now: float) -> Level:
    is_late = classify_request(request, now=now) is WaitClass.LATE
    return Level(urgency=request.urgency, is_late=is_late)


def _sum_level_kv(demands: Sequence[ClassDemand], level: Level) -> float:
    """Return the KV cache that waiting requests of a level need."""
    return sum(
        d.late_kv if level.is_late else d.on_time_kv
        for d in demands
        if d.urgency == level.urgency
    )


def _sum_arriving_above(demands: Sequence[ClassDemand], urgency: int) -> float:
    return sum(d.arriving_kv_per_s for d in demands if d.urgency < urgency)
