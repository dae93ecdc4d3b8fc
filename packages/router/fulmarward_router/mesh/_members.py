"""The instances that are known, and what each last said of itself."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from fulmarward_router.mesh._messages import Beat, MemberTold

#: Seconds without a heartbeat after which an instance is not given to callers. Load:
#: heartbeats each 0.3 s over links that lose packets, and instances that are slowed
#: down; harm: callers connect to a dead address and wait a second; reason: four
#: heartbeats, so that one retransmission hides nobody.
FRESH_S = 1.3

#: Seconds between two heartbeats with up to `_FEW` instances; with more it grows, so
#: that an instance's heartbeats cost alike. Load: FRESH_S decides who is given to
#: callers; reason: four heartbeats fit in.
BEAT_S = 0.3
_FEW = 16

#: Heartbeats that may be missing before an instance counts as silent. Instances that
#: are killed are noticed by the end of their links; this is for those that fall silent.
_MISSING_BEATS = 3.0

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

    def note_link_lost(self, name: str) -> None:
        """The link that an instance dialled has ended; it is silent until it dials.

        Guards against a killed instance that stays in the lookup for several
        heartbeats; its callers connect in vain meanwhile.
        """
        known = self._members.get(name)
        if known is not None:
            self._members[name] = replace(known, beat=None)

    @property
    def is_large(self) -> bool:
        """Whether there are so many instances that not all do everything."""
        return len(self._members) >= _FEW

    @property
    def beat_pause_s(self) -> float:
        """Seconds between two heartbeats."""
        return BEAT_S * max(1.0, (len(self._members) + 1) / _FEW)

    @property
    def fresh_s(self) -> float:
        """Seconds after which an instance that is not heard counts as silent."""
        return max(FRESH_S, _MISSING_BEATS * self.beat_pause_s)

    def find_data_centre(self, peer_address: str) -> str | None:
        """Return where the instance at a peer address stands, `None` if unknown."""
        for member in self._members.values():
            if member.told.peer_address == peer_address:
                return member.told.data_centre
        return None

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
        fresh_s = self.fresh_s
        return [
            member
            for member in self._members.values()
            if member.beat is not None and now - member.heard_at <= fresh_s
        ]

    def list_ready(self, *, now: float) -> list[Member]:
        """Return those that callers may be sent to."""
        fresh = self.list_fresh(now=now)
        return [m for m in fresh if m.beat.is_ready and not m.beat.is_leaving]

    def count_instances(self, *, now: float) -> int:
        """Return how many instances serve, this one included."""
        return 1 + len(self.list_fresh(now=now))
