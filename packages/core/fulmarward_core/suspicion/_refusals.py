"""Targets that reject new work though they have room: they leave without notice."""

from collections.abc import Iterable
from dataclasses import dataclass

#: Rejections with room, with nothing accepted in between, after which a target is
#: considered to be leaving. One may be due to a load that is not known here yet.
MAX_REFUSALS = 2

#: Seconds for which that holds without another rejection; the store's usual outage.
LEAVING_DURATION_S = 8.0

#: Seconds for which a peer's report holds: several heartbeats.
_REPORT_DURATION_S = 2.5

#: Share of a target's KV cache up to which it has room beyond doubt. The rest covers
#: reservations of peers since their last heartbeat.
ROOM_SHARE = 0.5


@dataclass(frozen=True, kw_only=True)
class _Refusals:
    """Rejections of one target in a row, and when the last one came."""

    count: int
    at: float

    def show_leaving(self, now: float) -> bool:
        """Return whether they show that the target is leaving."""
        return self.count >= MAX_REFUSALS and now - self.at <= LEAVING_DURATION_S


class RefusalTable:
    """Targets that reject work although they have room, seen here or reported.

    Guards against targets that leave during an outage of the store, when nobody is
    notified: every instance would send to each of them again and again, and nobody
    would take over their layers. A target that is leaving rejects all new work.
    """

    def __init__(self) -> None:
        self._own: dict[str, _Refusals] = {}
        self._reported: dict[str, float] = {}

    def record_refusal(self, target: str, *, now: float) -> bool:
        """Record that a target with room rejected a request.

        Returns whether it is considered to be leaving since this rejection.
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
        """Take in which targets a peer considers to be leaving."""
        for target in targets:
            self._reported[target] = now

    def list_own(self, *, now: float) -> list[str]:
        """Return the targets that are leaving by direct observation, for peers."""
        return [
            target for target, known in self._own.items() if known.show_leaving(now)
        ]

    def list_all(self, *, now: float) -> list[str]:
        """Return the targets that are leaving, observed or reported."""
        names = {*self._own, *self._reported}
        return [name for name in names if self.is_refusing(name, now=now)]

    def is_refusing(self, target: str, *, now: float) -> bool:
        """Return whether a target is considered to be leaving."""
        known = self._own.get(target)
        is_own = known is not None and known.show_leaving(now)
        reported_at = self._reported.get(target, float("-inf"))
        return is_own or now - reported_at <= _REPORT_DURATION_S
