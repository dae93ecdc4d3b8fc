"""Merging, telling and levelling what is said of members."""

import hashlib
from collections.abc import Sequence
from dataclasses import replace

from fulmarward_core.membership._types import (
    BUCKETS,
    Member,
    MemberState,
    MemberTable,
)

#: Most members kept. Harm: memory taken by names that a faulty peer makes up; reason:
#: three times the 330 of the design.
MOST_MEMBERS = 1_000

#: Rumours in one message. Load: 330 instances started at once, each told 27 times;
#: harm: at twelve a message 8 KB/s for minutes, of 4; reason: at four 2.8 KB/s, and
#: the least told go first, so that a lost data centre's 17 are out in five heartbeats.
MOST_RUMOURS = 4

#: A change is told this many times log2(members). Harm: with too few some members
#: never hear it and need a comparison of tables; reason: 3 reaches all but a few in a
#: thousand, as in the literature on gossip, and the comparison catches those.
TELL_FACTOR = 3


def _rank(member: Member) -> tuple[int, int, int]:
    return (member.boot, member.version, member.state)


def is_newer(rumour: Member, known: Member | None) -> bool:
    """Return whether a rumour goes before what is known of the same name.

    A later boot beats an earlier one, a later version of the same boot an earlier
    version, and of the same version the worse state wins, so that rumours that
    arrive in any order end in the same table everywhere.
    """
    return known is None or _rank(rumour) > _rank(known)


def find_bucket(name: str) -> int:
    """Return the bucket of a member."""
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def _digest(member: Member | None) -> int:
    """Return a member's part of its bucket's digest; dead ones have none.

    Dead members are forgotten at other times everywhere, and tables that differ in
    nothing else need not be compared.
    """
    if member is None or member.state is MemberState.DEAD:
        return 0
    text = f"{member.name}:{member.boot}:{member.version}:{int(member.state)}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest())


def place(table: MemberTable, name: str, member: Member | None) -> None:
    known = table.members.get(name)
    table.digests[find_bucket(name)] ^= _digest(known) ^ _digest(member)
    table.revision += 1
    if member is None:
        del table.members[name]
    else:
        table.members[name] = member


def _note_since(
    since: dict[str, float], member: Member, state: MemberState, now: float
) -> None:
    if member.state is state:
        since.setdefault(member.name, now)
    else:
        since.pop(member.name, None)


def count_tellings(members: int) -> int:
    """Return how often a change is told in a fleet of `members`."""
    return TELL_FACTOR * max(1, members.bit_length())


def merge_member(table: MemberTable, rumour: Member, *, now: float) -> bool:
    """Take in a rumour if it is newer than what is believed; return whether it was.

    What was news here is told on. What comes again and is no news is told once less,
    but once at least: others are telling it too, and most have heard it.
    """
    known = table.members.get(rumour.name)
    if not is_newer(rumour, known):
        if rumour == known and table.untold.get(rumour.name, 0) > 1:
            table.untold[rumour.name] -= 1
        return False
    if known is None and len(table.members) >= MOST_MEMBERS:
        return False
    place(table, rumour.name, rumour)
    _note_since(table.suspected_at, rumour, MemberState.SUSPECT, now)
    _note_since(table.dead_at, rumour, MemberState.DEAD, now)
    table.untold[rumour.name] = count_tellings(len(table.members))
    return True


def take_rumours(table: MemberTable) -> tuple[Member, ...]:
    """Return the changes to tell in the next message, the least told first."""
    names = sorted(table.untold, key=table.untold.__getitem__, reverse=True)
    names = names[:MOST_RUMOURS]
    for name in names:
        table.untold[name] -= 1
        if table.untold[name] <= 0:
            del table.untold[name]
    return tuple(table.members[name] for name in names if name in table.members)


def combine_digests(table: MemberTable) -> int:
    """Return a number that is equal for equal member tables."""
    combined = 0
    for digest in table.digests:
        combined ^= digest
    return combined


def select_differing(table: MemberTable, digests: Sequence[int]) -> list[Member]:
    """Return the members in the buckets that another table has differently.

    The dead are among them for as long as they are remembered. Guards against a
    member that lives and is held dead here alone: its own side has no news of it, and
    only by hearing that it is held dead can it say that it lives.
    """
    differing = {
        number
        for number, (own, other) in enumerate(zip(table.digests, digests, strict=False))
        if own != other
    }
    return [
        member
        for name, member in table.members.items()
        if find_bucket(name) in differing
    ]


def refute_rumour(own: Member, rumour: Member) -> Member | None:
    """Return this instance's newer word when `rumour` says something false of it.

    Guards against an instance that was paused or cut off and is believed dead: it
    is left out of the discovery answers until it says, with a higher version, that
    it lives.

    Guards too against a restart under a wall clock that went back: peers know a
    higher boot of this name than the new run's, and hold its word for old news. It
    takes the boot after theirs, and not theirs, which is its predecessor's.
    """
    if (rumour.boot, rumour.version) > (own.boot, own.version):
        return replace(own, boot=rumour.boot + 1, version=1)
    is_same_run = (rumour.boot, rumour.version) == (own.boot, own.version)
    if is_same_run and rumour.state in (MemberState.SUSPECT, MemberState.DEAD):
        return replace(own, version=own.version + 1)
    return None
