"""Records the demand of services without classes, for the balance of data centres."""

from collections import Counter
from collections.abc import Callable, Hashable

from fulmarward_core.demand import DemandTable
from fulmarward_core.queueing import WaitingRequest


class DemandRecorder:
    """Demand of a service without classes, by the urgency of its requests.

    Without effect while data centres are not balanced.
    """

    def __init__(
        self, *, service: str, demands: DemandTable, is_enabled: Callable[[], bool]
    ) -> None:
        self._service = service
        self._demands = demands
        self._is_enabled = is_enabled
        #: Waiting requests by their keys, and the KV cache that they need by urgency.
        self._waiting: dict[Hashable, WaitingRequest] = {}
        self._waiting_kv: Counter[int] = Counter()

    def record_arrival(self, request: WaitingRequest, *, now: float) -> None:
        """Record a request that asks for a path for the first time."""
        if self._is_enabled() and not request.is_started:
            self._demands.record_arrival(
                self._service, request.urgency, request.kv, now=now
            )

    def record_released(self, urgency: int, kv: float, *, now: float) -> None:
        """Record that a complete answer has released its KV cache."""
        if self._is_enabled():
            self._demands.record_released(self._service, urgency, kv, now=now)

    def add(self, request: WaitingRequest, *, now: float) -> None:
        """Add a request that waits; adding it again has no effect."""
        if request.key not in self._waiting and self._is_enabled():
            self._waiting[request.key] = request
            self._change(request.urgency, request.kv, now)

    def remove(self, request: WaitingRequest, *, now: float) -> None:
        """Remove a request if it is there."""
        known = self._waiting.pop(request.key, None)
        if known is not None:
            self._change(known.urgency, -known.kv, now)

    def _change(self, urgency: int, kv: float, now: float) -> None:
        self._waiting_kv[urgency] += kv
        # Late requests count like those on time: both need capacity now.
        self._demands.set_waiting(
            self._service,
            urgency,
            on_time_kv=self._waiting_kv[urgency],
            late_kv=0.0,
            now=now,
        )
