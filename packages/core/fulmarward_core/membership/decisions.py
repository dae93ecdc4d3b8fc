"""Decisions about members: merging rumours, suspecting, choosing neighbours."""

import hashlib
import random
from collections.abc import Iterable, Sequence
from dataclasses import replace

from fulmarward_core.membership._types import (
    BUCKETS,
    Listed,
    Member,
    MemberState,
    MemberTable,
    Miss,
)

#: Heartbeats in a row without an answer after which others are asked. Load: one each
#: second; harm: an instance suspected for one lost packet; reason: two in a row, and
#: then two others that do not reach it either, are rarely chance.
MOST_MISSES = 2

#: Members that are asked to try a silent one.
PROBERS = 2

#: Suspicion after which a member is held dead, in seconds. Harm: a paused instance
#: thrown out for a moment's pause; reason: it has this long to refute the rumour.
DEAD_AFTER_S = 3.0

#: Seconds for which a dead member is remembered. Load: 690 replaced a day and a data
#: centre of 17 lost at once; harm: a table that grows for ever, or a peer's old news
#: that brings a dead member back; reason: news is everywhere within seconds, and in
#: five minutes no more than some twenty have died.
FORGET_S = 300.0

#: Seconds without a place on the platform's list after which suspicion is enough to
#: hold a member dead. Reason: the list lags, by less than this.
UNLISTED_S = 60.0

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

#: Mean seconds between two reads of the platform's list by one instance of a fleet
#: of up to `LIST_MEMBERS`, and the most for any. Load: 330 instances, a list of them
#: is 50 KB; harm: at five seconds it would take 10 KB/s from each, of 4; reason: at
#: two minutes it takes 0.4 KB/s, the fleet still reads it thrice a second, and what
#: it tells is a hint beside the heartbeats.
LIST_S = 5.0
LIST_MEMBERS = 9
MOST_LIST_S = 120.0

#: Seconds between two heartbeats to the nearest neighbours in the ring, and to the
#: others. Load: 330 instances with 9 neighbours each; harm: 36 messages a second for
#: each instance; reason: two watch over each member every second and notice its loss,
#: the far ones carry news, which is sent when it happens and does not wait for them.
NEAR_HEARTBEAT_S = 1.0
FAR_HEARTBEAT_S = 3.0
NEAR_NEIGHBOURS = 2


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


def _place(table: MemberTable, name: str, member: Member | None) -> None:
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
    _place(table, rumour.name, rumour)
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


def judge_miss(misses: int, *, is_refused: bool) -> Miss:
    """Return what to do after `misses` heartbeats in a row without an answer.

    A refused connection says that nobody listens there, which silence does not:
    there is nothing to wait for.
    """
    if is_refused or misses >= MOST_MISSES:
        return Miss.ASK_OTHERS
    return Miss.TRY_AGAIN


def choose_probers(
    table: MemberTable, name: str, generator: random.Random
) -> list[Member]:
    """Return the members that are asked to try the silent member `name`.

    Guards against a cut in one direction or between two places: the silent one is
    reached by others, and must not be declared dead for everyone.
    """
    others = [
        member
        for member in table.members.values()
        if member.name not in (name, table.own_name)
        and member.state is MemberState.ALIVE
    ]
    return generator.sample(others, min(PROBERS, len(others)))


def worsen_member(member: Member) -> Member:
    """Return what is said of a member that nobody reached.

    One that said itself that it is leaving has gone and gets no suspicion first.
    """
    if member.state is MemberState.LEAVING:
        return replace(member, state=MemberState.DEAD)
    return replace(member, state=MemberState.SUSPECT)


def find_dead(table: MemberTable, *, now: float) -> list[Member]:
    """Return suspects whose time is over, as dead.

    A suspect that the platform has not listed for long is dead at once.
    """
    return [
        replace(table.members[name], state=MemberState.DEAD)
        for name, since in table.suspected_at.items()
        if now - since > DEAD_AFTER_S
        or now - table.unlisted_at.get(name, now) > UNLISTED_S
    ]


def forget_dead(table: MemberTable, *, now: float) -> list[str]:
    """Drop members that are dead for long and return their names."""
    names = [name for name, since in table.dead_at.items() if now - since > FORGET_S]
    for name in names:
        del table.dead_at[name]
        table.untold.pop(name, None)
        table.unlisted_at.pop(name, None)
        _place(table, name, None)
    return names


def forgive_silence(table: MemberTable, *, now: float) -> None:
    """Count every suspicion from now on.

    Guards against an instance that was paused: all suspicions look old to it, and
    the words that refute them stand unread in its sockets.
    """
    for name in table.suspected_at:
        table.suspected_at[name] = now


def take_list(table: MemberTable, listed: Iterable[Listed], *, now: float) -> None:
    """Keep what the platform's list names, as a hint in both directions.

    It lags: a name on it may be dead, and a new instance may be missing. So it never
    changes a member's state by itself.
    """
    table.listed = {entry.name: entry for entry in listed}
    for name in table.members:
        if name in table.listed:
            table.unlisted_at.pop(name, None)
        else:
            table.unlisted_at.setdefault(name, now)
    for name in set(table.unlisted_at) - set(table.members):
        del table.unlisted_at[name]


def list_usable(table: MemberTable) -> list[Member]:
    """Return the members that callers may be sent to.

    A member that the platform lists as leaving is left out while the list says so.
    """
    return [
        member
        for name, member in table.members.items()
        if member.state is MemberState.ALIVE
        and not (name in table.listed and table.listed[name].is_leaving)
    ]


def list_strangers(table: MemberTable, seeds: Sequence[str]) -> list[str]:
    """Return addresses that may hold an instance with which no link stands.

    Guards against two data centres that were parted for so long that each holds the
    other dead, or has forgotten it: one address tried now and then joins them again.
    """
    own = table.members[table.own_name].peer_address
    known = {
        member.peer_address
        for member in table.members.values()
        if member.state is not MemberState.DEAD
    }
    named = {
        *seeds,
        *(entry.peer_address for entry in table.listed.values()),
        *(table.members[name].peer_address for name in table.dead_at),
    }
    return sorted(named - known - {own, ""})


def select_neighbours(table: MemberTable) -> list[str]:
    """Return the members that this instance sends heartbeats to, near ones first.

    In the order of names they are the ones 1, 2, 4, 8, ... places on. A rumour so
    reaches n members in about log2(n) hops, and an instance of 330 has 9 neighbours
    in place of 329: 330 members at one 40-byte heartbeat each second to everyone is
    13 KB/s, three times the budget.
    """
    ring = sorted(
        name
        for name, member in table.members.items()
        if member.state is not MemberState.DEAD or name == table.own_name
    )
    if table.own_name not in ring:
        return []
    own = ring.index(table.own_name)
    steps = []
    step = 1
    while step < len(ring):
        steps.append(ring[(own + step) % len(ring)])
        step *= 2
    return steps


def choose_heartbeat(neighbours: Sequence[str], name: str) -> float:
    """Return the seconds between two heartbeats to a neighbour."""
    is_near = name in neighbours[:NEAR_NEIGHBOURS]
    return NEAR_HEARTBEAT_S if is_near else FAR_HEARTBEAT_S


def choose_list_delay(
    *, members: int, failures: int, generator: random.Random
) -> float:
    """Return the seconds until this instance reads the platform's list again.

    The mean grows with the fleet, so that all together read it two or three times a
    second at any size. It doubles with each failure, so that the end of an outage
    meets reads that are spread out.
    """
    mean = LIST_S * max(1.0, members / LIST_MEMBERS) * 2 ** min(failures, 3)
    return min(mean, MOST_LIST_S) * generator.uniform(0.5, 1.5)
