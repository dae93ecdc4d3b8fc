"""The order in which waiting requests are served while there is no room for all.

It answers a load above the capacity of the fleet. Served in order of arrival, every
request would wait until it is late, and no caller would be answered in time. Requests
that can still be answered in time go first; late ones take what is left, up to a lower
share of the capacity, so that arrivals at any other instance find room without asking.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from enum import IntEnum

#: Share of the objective that a request may have used up and still be answered in time.
#: The rest is for its first event.
ON_TIME_SHARE = 0.65

#: Share of the KV cache that is planned with which late requests may fill.
LATE_KV_SHARE = 0.85

#: Seconds after which a rejected caller should return: drawn from this range, so that
#: callers who were rejected together do not return together.
MIN_RETRY_AFTER_S = 2.0
MAX_RETRY_AFTER_S = 4.0


class WaitClass(IntEnum):
    """Classes of waiting requests, the first one served first."""

    #: The answer has started: the caller leaves if it does not go on.
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
    """A request that waits for room."""

    #: Identifies it in its queue.
    key: Hashable
    #: Urgency; 0 goes first within a class.
    urgency: int
    #: When it arrived, seconds on the steady clock.
    arrived_at: float
    #: Seconds to the first event that users expect.
    objective_s: float
    #: Whether its answer has started.
    is_started: bool

    def __post_init__(self) -> None:
        if self.objective_s < 0:
            raise ValueError(
                f"expected an objective of 0 seconds or more, found {self.objective_s}"
            )


def classify_request(request: WaitingRequest, *, now: float) -> WaitClass:
    """Return the class of a request at this moment."""
    if request.is_started:
        return WaitClass.STARTED
    waited_s = now - request.arrived_at
    is_on_time = waited_s <= request.objective_s * ON_TIME_SHARE
    return WaitClass.ON_TIME if is_on_time else WaitClass.LATE


def find_kv_share(wait_class: WaitClass) -> float:
    """Return the share of the planned KV cache that a class may fill."""
    return _KV_SHARES[wait_class]


def choose_retry_after_s(draw: float) -> float:
    """Return when a rejected caller should return; `draw` is uniform in [0, 1)."""
    return MIN_RETRY_AFTER_S + (MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S) * draw


class WaitQueue:
    """The requests that wait at one instance for one service."""

    def __init__(self) -> None:
        self._waiting: dict[Hashable, WaitingRequest] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: WaitingRequest) -> None:
        """Let a request wait; adding it again changes nothing."""
        self._waiting.setdefault(request.key, request)

    def remove(self, request: WaitingRequest) -> None:
        """Take a request out, whether it waits or not."""
        self._waiting.pop(request.key, None)

    def is_next(self, request: WaitingRequest, *, now: float) -> bool:
        """Return whether no waiting request goes before this one.

        It need not wait itself: an arrival asks before it is added.
        """
        rank = _rank(request, now)
        return not any(_rank(other, now) < rank for other in self._waiting.values())


def _rank(request: WaitingRequest, now: float) -> tuple[WaitClass, int, float]:
    wait_class = classify_request(request, now=now)
    return wait_class, request.urgency, request.arrived_at
