"""Targets that refuse new work though they have room: they are leaving unseen."""

from collections.abc import Iterable
from dataclasses import dataclass

#: Refusals with room, without anything taken on in between, after which a target is
#: believed to be leaving. Reason: one may be a load that is not known yet.
MOST_REFUSALS = 2

#: Seconds for which that is believed without another refusal. Load: an outage of the
#: store of up to 9 s; harm: a target that takes work again is left out; reason: tried
#: once more after the usual outage.
BELIEVED_S = 8.0

#: Seconds for which a peer's word counts. Reason: several heartbeats.
_TOLD_S = 2.5

#: Part of a target's KV cache up to which it has room beyond doubt. Load: promises that
#: peers made within the last heartbeat are not known; reason: leaves half of it for
#: them.
ROOM_PART = 0.5


@dataclass(frozen=True, kw_only=True)
class _Refusals:
    """Refusals of one target in a row, and when the last one came."""

    count: int
    at: float

    def show_leaving(self, now: float) -> bool:
        """Return whether they show that the target is leaving."""
        return self.count >= MOST_REFUSALS and now - self.at <= BELIEVED_S


class RefusalTable:
    """Which targets refuse although they have room, by own tries and peers' word.

    Load: the store is out, and targets leave; harm: nobody hears of it, each instance
    sends to each of them again and again, and what they hold is not taken over by
    others until the store is back; reason: a leaving target refuses all that is new.
    """

    def __init__(self) -> None:
        self._own: dict[str, _Refusals] = {}
        self._told: dict[str, float] = {}

    def note_refused(self, target: str, *, now: float) -> bool:
        """A target with room refused; return whether it is believed to leave anew."""
        known = self._own.get(target)
        is_first = known is None or now - known.at > BELIEVED_S
        count = 1 if is_first else known.count + 1
        self._own[target] = _Refusals(count=count, at=now)
        return count == MOST_REFUSALS

    def note_taken(self, targets: Iterable[str]) -> None:
        """Targets took new work on."""
        for target in targets:
            self._own.pop(target, None)
            self._told.pop(target, None)

    def merge_reports(self, targets: Iterable[str], *, now: float) -> None:
        """Take in which targets a peer believes to be leaving."""
        for target in targets:
            self._told[target] = now

    def list_own(self, *, now: float) -> list[str]:
        """Return the targets believed to be leaving by own tries, for peers."""
        return [
            target for target, known in self._own.items() if known.show_leaving(now)
        ]

    def list_all(self, *, now: float) -> list[str]:
        """Return the targets believed to be leaving, by own tries or peers' reports."""
        names = {*self._own, *self._told}
        return [name for name in names if self.is_refusing(name, now=now)]

    def is_refusing(self, target: str, *, now: float) -> bool:
        """Return whether a target is believed to be leaving."""
        known = self._own.get(target)
        is_own = known is not None and known.show_leaving(now)
        return is_own or now - self._told.get(target, float("-inf")) <= _TOLD_S
