"""How long recent answers took, to estimate how long the next one may take."""

import math
from collections import OrderedDict, deque

#: Answers of each route that are remembered, and for how many seconds.
MAX_ANSWERS = 64
MEMORY_DURATION_S = 120.0

#: Upper bound on the routes and services with answers.
MAX_KEYS = 4096


class DurationTable:
    """Durations of recent complete answers, by service and route."""

    def __init__(self) -> None:
        #: When each answer ended and how long it took, in seconds. The name of the
        #: route is empty for all answers of the service.
        self._answers: OrderedDict[tuple[str, str], deque[tuple[float, float]]]
        self._answers = OrderedDict()

    def record(
        self, service: str, route: str, *, duration_s: float, now: float
    ) -> None:
        """Record that an answer is complete that took `duration_s`."""
        for key in ((service, route), (service, "")):
            answers = self._answers.setdefault(key, deque(maxlen=MAX_ANSWERS))
            answers.append((now, duration_s))
            self._answers.move_to_end(key)
        while len(self._answers) > MAX_KEYS:
            self._answers.popitem(last=False)

    def find_usual_s(
        self, service: str, route: str, *, share: float, now: float
    ) -> float | None:
        """Return the duration that a `share` of a route's recent answers stayed within.

        It is that of the whole service if the route has no recent answer, `None` if the
        service has none either.
        """
        recent = self._list_recent((service, route), now)
        recent = sorted(recent or self._list_recent((service, ""), now))
        if not recent:
            return None
        return recent[max(1, math.ceil(share * len(recent))) - 1]

    def _list_recent(self, key: tuple[str, str], now: float) -> list[float]:
        since = now - MEMORY_DURATION_S
        return [took for at, took in self._answers.get(key, ()) if at >= since]
