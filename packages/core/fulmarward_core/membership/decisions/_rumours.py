"""Merging and spreading rumours, and comparing member tables."""

import hashlib
from collections.abc import Sequence
from dataclasses import replace

from fulmarward_core.membership._types import (
    BUCKETS,
    Member,
    MemberState,
    MemberTable,
)

#: Maximum number of members in a table: three times the design size of 330. Bounds the
#: memory that a faulty peer can take with invented names.
MAX_MEMBERS = 1_000

#: Maximum number of rumours in one message. If 330 instances start at the same time,
#: each of these changes is sent 27 times: with twelve rumours a message that takes
#: 8 KB/s for minutes, of 4 KB/s allowed; with four it takes 2.8 KB/s. The least often
#: sent rumours go first, so that the 17 of a failed data centre are sent within five
#: heartbeats.
MAX_RUMOURS_PER_MESSAGE = 4

#: A change is sent this many times log2(members). According to the literature on
#: gossip, a factor of 3 reaches all but a few members in a thousand; the comparison of
#: tables reaches the rest.
TRANSMIT_FACTOR = 3


def _rank(member: Member) -> tuple[int, int, int]:
    return (member.boot, member.version, member.state)


def is_newer(rumour: Member, known: Member | None) -> bool:
    """Return whether a rumour supersedes the known entry of the same name.

    A higher boot number wins, then a higher version, then the worse state. Tables thus
    converge whatever the order in which rumours arrive.
    """
    return known is None or _rank(rumour) > _rank(known)


def find_bucket(name: str) -> int:
    """Return the number of the bucket that a member belongs to."""
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def _digest(member: Member | None) -> int:
    """Return a member's contribution to its bucket's digest, 0 if it is dead.

    Each instance forgets dead members at another time; tables that differ only in these
    need no synchronization.
    """
    if member is None or member.state is MemberState.DEAD:
        return 0
    text = f"{member.name}:{member.boot}:{member.version}:{int(member.state)}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest())


def set_member(table: MemberTable, name: str, member: Member | None) -> None:
    known = table.members.get(name)
    table.digests[find_bucket(name)] ^= _digest(known) ^ _digest(member)
    table.revision += 1
    if member is None:
        del table.members[name]
    else:
        table.members[name] = member


def _note_since(
    times: dict[str, float], member: Member, state: MemberState, now: float
) -> None:
    if member.state is state:
        times.setdefault(member.name, now)
    else:
        times.pop(member.name, None)


def count_transmissions(members: int) -> int:
    """Return how often a change is sent in a fleet of `members` instances."""
    return TRANSMIT_FACTOR * max(1, members.bit_length())


def merge_member(table: MemberTable, rumour: Member, *, now: float) -> bool:
    """Merge a rumour into the table; return whether it was newer than the known entry.

    A newer rumour is queued for sending. A duplicate of a queued one reduces its
    remaining transmissions by one, down to one: others are sending it too, and most
    members have received it.
    """
    known = table.members.get(rumour.name)
    if not is_newer(rumour, known):
        if rumour == known and table.pending_transmissions.get(rumour.name, 0) > 1:
            table.pending_transmissions[rumour.name] -= 1
        return False
    if known is None and len(table.members) >= MAX_MEMBERS:
        return False
    set_member(table, rumour.name, rumour)
    _note_since(table.suspected_at, rumour, MemberState.SUSPECT, now)
    _note_since(table.dead_at, rumour, MemberState.DEAD, now)
    table.pending_transmissions[rumour.name] = count_transmissions(len(table.members))
    return True


def dequeue_rumours(table: MemberTable) -> tuple[Member, ...]:
    """Return the rumours for the next message, the least often sent first."""
    names = sorted(
        table.pending_transmissions,
        key=table.pending_transmissions.__getitem__,
        reverse=True,
    )
    names = names[:MAX_RUMOURS_PER_MESSAGE]
    for name in names:
        table.pending_transmissions[name] -= 1
        if table.pending_transmissions[name] <= 0:
            del table.pending_transmissions[name]
    return tuple(table.members[name] for name in names if name in table.members)


def combine_digests(table: MemberTable) -> int:
    """Return the digest of the whole table. Equal tables have equal digests."""
    combined = 0
    for digest in table.digests:
        combined ^= digest
    return combined


def select_differing(table: MemberTable, digests: Sequence[int]) -> list[Member]:
    """Return the members in the buckets whose digests differ from another table's.

    Dead members are included until they are forgotten. Guards against a live member
    that only this table considers dead: the other table has no change to send, and the
    member can refute the rumour only once it receives it.
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
    """Return a newer entry of this instance that refutes a false rumour about it.

    Guards against an instance that was paused or isolated and is considered dead: it is
    missing from discovery answers until it announces with a higher version that it is
    alive.

    Also guards against a restart after the wall clock was set back: peers know a higher
    boot number of this name and ignore the new run's entry as outdated. The new run
    takes the next higher boot number, since the known one belongs to its predecessor.
    """
    if (rumour.boot, rumour.version) > (own.boot, own.version):
        return replace(own, boot=rumour.boot + 1, version=1)
    is_same_run = (rumour.boot, rumour.version) == (own.boot, own.version)
    if is_same_run and rumour.state in (MemberState.SUSPECT, MemberState.DEAD):
        return replace(own, version=own.version + 1)
    return None
