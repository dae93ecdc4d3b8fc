"""Admission by urgency while a service has more demand than capacity.

A class is all requests of one service with one urgency. Requests of a higher class are
admitted before those of a lower one, also if they wait at another instance: a lower
class leaves free the capacity that higher classes need, as far as it is known. In
return, each class gets a minimum share of its demand, so that none is starved.
"""

import heapq
from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Hashable, Mapping, Sequence
from dataclasses import dataclass, replace

from fulmarward_core.demand import ClassDemand
from fulmarward_core.queueing import (
    LATE_KV_SHARE,
    ON_TIME_SHARE,
    EqualTeams,
    TeamOrder,
    WaitClass,
    WaitingRequest,
    classify_request,
    find_kv_share,
)

#: Seconds until other instances know of a request. Capacity is reserved for what
#: higher classes need within that time.
LAG_S = 0.3

#: Lowest share of the planned KV cache that a level may fill.
MIN_KV_SHARE = 0.5

#: Default share of its demand that each class gets at least.
MIN_CLASS_SHARE = 0.25

#: Highest credit balance of a class, in requests. It bounds how many requests of a
#: lower class are admitted in a row after a time without contention.
MAX_CREDIT = 2.0

#: Tolerance for sums of shares that are no binary fractions: ten times 0.1 is below 1.
_ROUNDING_TOLERANCE = 1e-9


@dataclass(frozen=True, kw_only=True)
class ClassSettings:
    """Settings of the admission by urgency."""

    #: Share of its demand that each class gets at least, from 0 to 1.
    min_class_share: float = MIN_CLASS_SHARE

    def __post_init__(self) -> None:
        if not 0 <= self.min_class_share <= 1:
            raise ValueError(
                f"min_class_share must be from 0 to 1, found {self.min_class_share}"
            )


@dataclass(frozen=True, kw_only=True, order=True)
class Level:
    """Requests of one class that are all on time or all late.

    Levels are ordered as they are served: (0, on time), (0, late), (1, on time), ...
    """

    #: 0 is served first.
    urgency: int
    #: Whether the answers are late whenever they start.
    is_late: bool


def compute_kv_share(
    *, level: Level, demands: Sequence[ClassDemand], planned_kv: float
) -> float:
    """Return the share of the planned KV cache that a level may fill.

    `demands` holds the known demand of all instances, by class, and `planned_kv` the
    planned KV cache of the usable targets, in tokens x layers. The share is between
    `MIN_KV_SHARE` and 1, and never rises from a level to the next lower one.
    """
    reserved_kv = sum(_find_reserved_kv(demand, level) for demand in demands)
    if planned_kv <= 0:
        return MIN_KV_SHARE if reserved_kv > 0 else 1.0
    return max(MIN_KV_SHARE, 1.0 - reserved_kv / planned_kv)


def _find_reserved_kv(demand: ClassDemand, level: Level) -> float:
    """Return the KV cache that a level leaves free for a class."""
    if demand.urgency > level.urgency:
        return 0.0
    preceding_kv = demand.on_time_kv + demand.promised_kv
    if demand.urgency == level.urgency:
        return preceding_kv if level.is_late else 0.0
    return preceding_kv + demand.late_kv + demand.arriving_kv_per_s * LAG_S


class MinimumShare:
    """Credit balances of the classes of one service at one instance.

    Each arrival adds the minimum share to the balance of its class, and each admitted
    request subtracts 1. A class whose balance is 1 or more got less than its share.
    """

    def __init__(self, *, settings: ClassSettings) -> None:
        self.settings = settings
        #: By urgency.
        self._balances: defaultdict[int, float] = defaultdict(float)

    def record_arrival(self, urgency: int) -> None:
        """Record that a request of a class arrived."""
        balance = self._balances[urgency] + self.settings.min_class_share
        self._balances[urgency] = min(MAX_CREDIT, balance)

    def has_credit(self, urgency: int) -> bool:
        """Return whether a class is owed the admission of a request."""
        return self._balances.get(urgency, 0.0) >= 1.0 - _ROUNDING_TOLERANCE

    def record_admitted(self, urgency: int) -> None:
        """Record that a request of a class was admitted."""
        self._balances[urgency] = max(0.0, self._balances[urgency] - 1.0)


#: What precedes the order of arrival: whether it has not started, its urgency, whether
#: it is late; and its team.
_Group = tuple[bool, int, bool, str]

#: Order within a group: whether it was not promised, its time of arrival, and its
#: number in the queue, which makes it unique.
_Entry = tuple[bool, float, int, WaitingRequest]


class ClassQueue:
    """The requests for one service that wait at one instance, ordered by urgency.

    The order is: started answers, the first request of a class with credit, then by
    urgency, on time before late, promised before not promised, the relative use of the
    teams, and arrival. `now` must not decrease from call to call.
    """

    def __init__(
        self, *, settings: ClassSettings, team_order: TeamOrder | None = None
    ) -> None:
        self._team_order = team_order or EqualTeams()
        #: The revision of the teams' order that the first rank is of.
        self._team_revision: Hashable = None
        self._minimum_share = MinimumShare(settings=settings)
        self._count = 0
        self._entries: dict[Hashable, _Entry] = {}
        self._groups: defaultdict[_Group, list[_Entry]] = defaultdict(list)
        #: Heap of the requests that were added on time, by the time at which they are
        #: late; those that were removed meanwhile stay until then.
        self._turning_late: list[tuple[float, int, WaitingRequest]] = []
        #: Rank of the request that is served first, until something changes.
        self._first_rank: tuple[bool | int | float, ...] | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def configure(self, settings: ClassSettings) -> None:
        """Apply other settings from now on; the credit so far stays."""
        self._minimum_share.settings = settings

    def record_arrival(self, request: WaitingRequest) -> None:
        """Record that a request arrived, once for each, whether it has to wait or not.

        The continuation of a started answer has no effect on the minimum share. Neither
        has a promised return: the first attempt of its caller was counted.
        """
        if not request.is_started and not request.is_promised:
            self._minimum_share.record_arrival(request.urgency)
            self._first_rank = None

    def record_admitted(self, request: WaitingRequest) -> None:
        """Record that a request was admitted; it stays in the queue until removed."""
        if not request.is_started:
            self._minimum_share.record_admitted(request.urgency)
            self._first_rank = None

    def record_passed_over(self, request: WaitingRequest) -> None:
        """Credit the lower classes that wait while a request is admitted.

        It takes the place of `record_arrival` where a burst of a lower class may not
        precede the higher ones: credit grows with what is admitted of these, not with
        the burst.
        """
        for urgency in {head.urgency for head in self._list_heads()}:
            if urgency > request.urgency:
                self._minimum_share.record_arrival(urgency)
        self._first_rank = None

    def has_credit(self, urgency: int) -> bool:
        """Return whether a class is owed the admission of a request."""
        return self._minimum_share.has_credit(urgency)

    def add(self, request: WaitingRequest) -> None:
        """Add a request to the queue; adding it again has no effect."""
        if request.key in self._entries:
            return
        self._count += 1
        entry = not request.is_promised, request.arrived_at, self._count, request
        self._entries[request.key] = entry
        insort(self._groups[_make_group(request, is_late=False)], entry)
        if not request.is_started:
            turns_at = request.arrived_at + request.objective_s * ON_TIME_SHARE
            heapq.heappush(self._turning_late, (turns_at, self._count, request))
        self._first_rank = None

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request from the queue if it is there."""
        entry = self._entries.pop(request.key, None)
        if entry is None:
            return
        for is_late in (False, True):
            self._discard(_make_group(request, is_late=is_late), entry)
        self._first_rank = None

    def is_next(self, request: WaitingRequest, *, now: float) -> bool:
        """Return whether no waiting request is served before this one.

        The request need not be in the queue: new arrivals check before they are added.
        The first rank is kept between changes: each waiting request asks every 40 ms.
        """
        self._move_late(now)
        if not self._entries:
            return True
        revision = self._team_order.find_revision(now=now)
        if revision != self._team_revision:
            self._first_rank, self._team_revision = None, revision
        if self._first_rank is None:
            self._first_rank = min(self._rank(head, now) for head in self._list_heads())
        return self._rank(request, now) <= self._first_rank

    def find_first(self, *, now: float) -> WaitingRequest | None:
        """Return the request that is served first, `None` if none waits."""
        self._move_late(now)
        return min(
            self._list_heads(), key=lambda head: self._rank(head, now), default=None
        )

    def _list_heads(self) -> list[WaitingRequest]:
        """Return the first request of each group."""
        return [entries[0][-1] for entries in self._groups.values() if entries]

    def find_kv_share(
        self,
        request: WaitingRequest,
        *,
        demands: Sequence[ClassDemand],
        planned_kv: float,
        lowest_urgency: int,
        team_share: float = 1.0,
        now: float,
    ) -> float:
        """Return the share of the planned KV cache that a request may fill.

        `demands` and `planned_kv` are those of `compute_kv_share`, and `lowest_urgency`
        is the urgency of the lowest class of the service. Without credit for its class,
        a request may fill `team_share` at most.
        """
        if request.is_started:
            return 1.0
        known = [demand for demand in demands if _has_demand(demand)]
        is_lowest = request.urgency >= lowest_urgency
        if is_lowest and all(demand.urgency == request.urgency for demand in known):
            # Without competing classes, the service is served as one without classes.
            share = find_kv_share(classify_request(request, now=now))
            return min(share, team_share)
        has_higher = any(demand.urgency < request.urgency for demand in known)
        if has_higher and self._minimum_share.has_credit(request.urgency):
            return 1.0
        level = _find_level(request, now)
        if request.is_promised:
            # The promise has reserved this capacity for longer than `LAG_S`.
            level = replace(level, is_late=False)
            known = [replace(demand, arriving_kv_per_s=0.0) for demand in known]
        share = compute_kv_share(level=level, demands=known, planned_kv=planned_kv)
        share = min(share, team_share)
        return min(share, LATE_KV_SHARE) if is_lowest and level.is_late else share

    def sum_waiting(self, *, now: float) -> Mapping[int, tuple[float, float]]:
        """Return the KV cache that waiting requests need, on time and late, by urgency.

        Started answers count as on time.
        """
        self._move_late(now)
        sums: dict[int, tuple[float, float]] = {}
        for (_, urgency, is_late, _), entries in self._groups.items():
            if entries:
                kv = sum(request.kv for *_, request in entries)
                on_time_kv, late_kv = sums.get(urgency, (0.0, 0.0))
                sums[urgency] = on_time_kv + kv * (not is_late), late_kv + kv * is_late
        return sums

    def _move_late(self, now: float) -> None:
        """Move the requests that are late by now to the late group of their class."""
        while self._turning_late:
            _, number, request = self._turning_late[0]
            if classify_request(request, now=now) is not WaitClass.LATE:
                return
            heapq.heappop(self._turning_late)
            entry = self._entries.get(request.key)
            if entry is not None and entry[2] == number:
                self._discard(_make_group(request, is_late=False), entry)
                insort(self._groups[_make_group(request, is_late=True)], entry)
                self._first_rank = None

    def _discard(self, group: _Group, entry: _Entry) -> None:
        """Remove an entry from a group if it is there, and the group if it is empty."""
        entries = self._groups[group]
        index = bisect_left(entries, entry)
        if index < len(entries) and entries[index] is entry:
            del entries[index]
        if not entries:
            del self._groups[group]

    def _rank(
        self, request: WaitingRequest, now: float
    ) -> tuple[bool | int | float, ...]:
        """Return the rank of a request; the lowest one is served first.

        All requests of a class with credit rank as its first one, which is correct for
        the comparison with the first rank, as they rank behind that one.
        """
        wait_class = classify_request(request, now=now)
        is_unstarted = wait_class is not WaitClass.STARTED
        return (
            is_unstarted,
            is_unstarted and not self._minimum_share.has_credit(request.urgency),
            request.urgency,
            wait_class is WaitClass.LATE,
            not request.is_promised,
            self._team_order.find_relative_use(request, now=now),
            request.arrived_at,
        )


def _make_group(request: WaitingRequest, *, is_late: bool) -> _Group:
    return not request.is_started, request.urgency, is_late, request.team


def _find_level(request: WaitingRequest, now: float) -> Level:
    is_late = classify_request(request, now=now) is WaitClass.LATE
    return Level(urgency=request.urgency, is_late=is_late)


def _has_demand(demand: ClassDemand) -> bool:
    return (
        demand.on_time_kv > 0
        or demand.late_kv > 0
        or demand.arriving_kv_per_s > 0
        or demand.promised_kv > 0
    )
