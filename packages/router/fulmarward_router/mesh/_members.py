"""The instances that are known, and what each last said of itself."""

from collections.abc import Iterable
from dataclasses import dataclass

from fulmarward_router.mesh._messages import Beat, MemberTold

#: Seconds without a heartbeat after which an instance is not given to callers. Load:
#: heartbeats each 0.3 s over links that lose packets, and instances that are slowed
#: down; harm: callers connect to a dead address and wait a second; reason: four
#: heartbeats, so that one retransmission hides nobody.
FRESH_S = 1.3

#: Seconds without a heartbeat after which an instance is no longer dialled, unless the
#: store still lists it. Reason: longer than a process takes to start again and a
#: partition to heal.
FORGET_S = 45.0


@dataclass(frozen=True, kw_only=True)
class Member:
    """Another instance."""

    #: What is told of it.
    told: MemberTold
    #: Its last heartbeat, `None` before the first.
    beat: Beat | None
    #: When it was last heard, or first told of; seconds on the steady clock.
    heard_at: float


class MemberTable:
    """All other instances by name."""

    def __init__(self, *, own_name: str) -> None:
        self._own_name = own_name
        self._members: dict[str, Member] = {}

    def take_told(self, told: Iterable[MemberTold], *, now: float) -> None:
        """Learn of instances; a later start of one replaces an earlier one."""
        for item in told:
            known = self._members.get(item.name)
            if item.name == self._own_name:
                continue
            if known is None or item.boot > known.told.boot:
                self._members[item.name] = Member(told=item, beat=None, heard_at=now)

    def take_beat(self, beat: Beat, *, now: float) -> None:
        """Take in a heartbeat; one of an earlier start says nothing."""
        name = beat.sender.name
        known = self._members.get(name)
        if name == self._own_name or (known and beat.sender.boot < known.told.boot):
            return
        self._members[name] = Member(told=beat.sender, beat=beat, heard_at=now)

    def drop(self, name: str) -> None:
        """An instance left for good."""
        self._members.pop(name, None)

    def forget_silent(self, *, now: float) -> None:
        """Drop instances that were silent for long."""
        for name, member in list(self._members.items()):
            if now - member.heard_at > FORGET_S:
                del self._members[name]

    def list_all(self) -> list[Member]:
        """Return all that are known, silent ones included."""
        return list(self._members.values())

    def list_fresh(self, *, now: float) -> list[Member]:
        """Return those that were heard lately."""
        return [
            member
            for member in self._members.values()
            if member.beat is not None and now - member.heard_at <= FRESH_S
        ]

    def list_ready(self, *, now: float) -> list[Member]:
        """Return those that callers may be sent to."""
        fresh = self.list_fresh(now=now)
        return [m for m in fresh if m.beat.is_ready and not m.beat.is_leaving]

    def count_instances(self, *, now: float) -> int:
        """Return how many instances serve, this one included."""
        return 1 + len(self.list_fresh(now=now))
