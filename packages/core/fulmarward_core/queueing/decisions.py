"""The order in which waiting requests are served when the fleet is overloaded.

In order of arrival, every request would wait until it is late, and no caller would be
answered in time. Therefore requests that can still meet their objective are served
first. Late requests get the rest, up to a lower share of the capacity, so that new
arrivals at any other instance find room without coordination.
"""

import math
from collections.abc import Hashable
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

#: Share of its objective that a request may spend waiting and still count as on time.
#: The rest is needed for its first event.
ON_TIME_SHARE = 0.65

#: Share of the planned KV cache that late requests may fill.
LATE_KV_SHARE = 0.85

#: Range from which the retry delay of a rejected caller is drawn, in seconds, so that
#: callers that were rejected together do not retry together.
MIN_RETRY_AFTER_S = 2.0
MAX_RETRY_AFTER_S = 4.0


class WaitClass(IntEnum):
    """Classes of waiting requests, in the order in which they are served."""

    #: The answer has started; the caller disconnects if it does not continue.
    STARTED = 0
    #: The answer can still start within the objective.
    ON_TIME = 1
    #: The answer is late whenever it starts.
    LATE = 2


#: Share of the planned KV cache that each class may fill.
_KV_SHARES = {
    WaitClass.STARTED: 1.0,
    WaitClass.ON_TIME: 1.0,
    WaitClass.LATE: LATE_KV_SHARE,
}


@dataclass(frozen=True, kw_only=True)
class WaitingRequest:
    """A request that waits for capacity."""

    #: Unique in its queue.
    key: Hashable
    #: 0 is served first within a class.
    urgency: int
    #: Time of arrival, in seconds on the monotonic clock.
    arrived_at: float
    #: Target time to the first event, in seconds.
    objective_s: float
    #: Whether a part of its answer was already sent.
    is_started: bool
    #: KV cache that it needs, in tokens x layers. Without effect in `WaitQueue`.
    kv: float = 0.0
    #: Whether its caller was promised capacity. Without effect in `WaitQueue`.
    is_promised: bool = False
    #: Name of its team, empty if it has none. Without effect without a `TeamOrder`.
    team: str = ""

    def __post_init__(self) -> None:
        if self.objective_s < 0:
            raise ValueError(
                f"objective_s must not be negative, found {self.objective_s}"
            )
        if not (math.isfinite(self.kv) and self.kv >= 0):
            raise ValueError(f"kv must be finite and not negative, found {self.kv}")


def classify_request(request: WaitingRequest, *, now: float) -> WaitClass:
    """Return the class of a request at time `now`."""
    if request.is_started:
        return WaitClass.STARTED
    waited_s = now - request.arrived_at
    is_on_time = waited_s <= request.objective_s * ON_TIME_SHARE
    return WaitClass.ON_TIME if is_on_time else WaitClass.LATE


def find_kv_share(wait_class: WaitClass) -> float:
    """Return the share of the planned KV cache that a class may fill."""
    return _KV_SHARES[wait_class]


def choose_retry_after_s(draw: float) -> float:
    """Return the retry delay of a rejected caller; `draw` is uniform in [0, 1)."""
    return MIN_RETRY_AFTER_S + (MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S) * draw


#: Wait class, urgency, relative use of the team, and time of arrival.
_Rank = tuple[WaitClass, int, float, float]


class TeamOrder(Protocol):
    """The order of the teams of a service, as `fulmarward_core.team_shares`."""

    def find_revision(self, *, now: float) -> Hashable:
        """Return a value that differs whenever the relative uses may differ."""

    def find_relative_use(self, request: WaitingRequest, *, now: float) -> float:
        """Return the relative use of its team; the lowest one is served first."""


class EqualTeams:
    """Makes no difference between teams."""

    def find_revision(self, *, now: float) -> Hashable:
        """Return always the same."""
        return None

    def find_relative_use(self, request: WaitingRequest, *, now: float) -> float:
        """Return the same for all requests."""
        return 0.0


class WaitQueue:
    """The requests for one service that wait at one instance.

    `now` must not decrease from call to call.
    """

    def __init__(self, *, team_order: TeamOrder | None = None) -> None:
        self._team_order = team_order or EqualTeams()
        self._waiting: dict[Hashable, WaitingRequest] = {}
        #: The request that is served first, with its rank and the revision of the
        #: teams' order when it was found; `None` after a change.
        self._first: tuple[WaitingRequest, _Rank, Hashable] | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: WaitingRequest) -> None:
        """Add a request to the queue; adding it again has no effect."""
        if request.key not in self._waiting:
            self._waiting[request.key] = request
            self._first = None

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request from the queue if it is there."""
        if self._waiting.pop(request.key, None) is not None:
            self._first = None

    def is_next(self, request: WaitingRequest, *, now: float) -> bool:
        """Return whether no waiting request is served before this one.

        The request need not be in the queue: new arrivals check before they are added.
        """
        if not self._waiting:
            return True
        return self._rank(request, now) <= self._find_first_rank(now)

    def _find_first_rank(self, now: float) -> _Rank:
        """Return the rank of the request that is served first.

        Each waiting request asks every 40 ms. Ranks only rise with time, as requests
        turn late, so that the first one stays first while its own rank is the same.
        """
        revision = self._team_order.find_revision(now=now)
        if self._first is not None:
            request, rank, known_revision = self._first
            if revision == known_revision and self._rank(request, now) == rank:
                return rank
        ranks = {r.key: self._rank(r, now) for r in self._waiting.values()}
        key = min(ranks, key=ranks.__getitem__)
        self._first = self._waiting[key], ranks[key], revision
        return ranks[key]

    def _rank(self, request: WaitingRequest, now: float) -> _Rank:
        return (
            classify_request(request, now=now),
            request.urgency,
            self._team_order.find_relative_use(request, now=now),
            request.arrived_at,
        )
