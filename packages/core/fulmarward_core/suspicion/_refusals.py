"""Detection of targets that leave unannounced: they reject work with spare capacity."""

from collections.abc import Iterable
from dataclasses import dataclass

#: Consecutive rejections despite spare capacity after which a target is considered to
#: be leaving. A single one may be due to load that this instance does not know of yet.
MAX_REFUSALS = 2

#: Seconds for which that holds without another rejection: the length of a typical
#: outage of the store.
LEAVING_DURATION_S = 8.0

#: Seconds for which a peer's report is valid: several heartbeat intervals.
_REPORT_DURATION_S = 2.5

#: Share of a target's KV cache up to which it certainly has spare capacity. The rest
#: covers reservations that peers made since their last heartbeat.
LOW_OCCUPANCY_SHARE = 0.5


@dataclass(frozen=True, kw_only=True)
class _Refusals:
    """Number of consecutive rejections by one target, and the time of the last one."""

    count: int
    at: float

    def show_leaving(self, now: float) -> bool:
        """Return whether the rejections indicate that the target is leaving."""
        return self.count >= MAX_REFUSALS and now - self.at <= LEAVING_DURATION_S


class RefusalTable:
    """Targets that reject work despite spare capacity, observed here or by peers.

    Guards against targets that leave during an outage of the store, when no instance
    is notified: every instance would keep sending requests to them, and no other target
    would take over their layers. A target that is leaving rejects all new work.
    """

    def __init__(self) -> None:
        self._own: dict[str, _Refusals] = {}
        self._reported: dict[str, float] = {}

    def record_refusal(self, target: str, *, now: float) -> bool:
        """Record that a target with spare capacity rejected a request.

        Returns whether this rejection makes it count as leaving.
        """
        known = self._own.get(target)
        is_first = known is None or now - known.at > LEAVING_DURATION_S
        count = 1 if is_first else known.count + 1
        self._own[target] = _Refusals(count=count, at=now)
        return count == MAX_REFUSALS

    def record_accepted(self, targets: Iterable[str]) -> None:
        """Record that targets accepted new work."""
        for target in targets:
            self._own.pop(target, None)
            self._reported.pop(target, None)

    def merge_reports(self, targets: Iterable[str], *, now: float) -> None:
        """Store a peer's report of the targets that it considers to be leaving."""
        for target in targets:
            self._reported[target] = now

    def list_observed(self, *, now: float) -> list[str]:
        """Return the targets that this instance found leaving, to report to peers."""
        return [
            target for target, known in self._own.items() if known.show_leaving(now)
        ]

    def list_all(self, *, now: float) -> list[str]:
        """Return the targets that this instance or a peer found leaving."""
        names = {*self._own, *self._reported}
        return [name for name in names if self.is_refusing(name, now=now)]

    def is_refusing(self, target: str, *, now: float) -> bool:
        """Return whether a target is considered to be leaving."""
        known = self._own.get(target)
        is_own = known is not None and known.show_leaving(now)
        reported_at = self._reported.get(target, float("-inf"))
        return is_own or now - reported_at <= _REPORT_DURATION_S
