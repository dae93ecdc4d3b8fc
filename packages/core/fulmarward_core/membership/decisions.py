"""Decisions about members: merging rumours, suspecting, choosing neighbours."""

from collections.abc import Sequence
from dataclasses import replace

from fulmarward_core.membership._types import Member, MemberState, MemberTable

#: Silence after which a neighbour is suspected, in seconds. Load: heartbeats each
#: second; harm: callers sent to an instance that is gone; reason: three lost in a row
#: are rarely chance.
SUSPECT_AFTER_S = 3.0

#: Suspicion after which a member is held dead, in seconds. Harm: a paused instance
#: thrown out for a moment's pause; reason: it has this long to refute the rumour.
DEAD_AFTER_S = 3.0


def _rank(member: Member) -> tuple[int, int, int]:
    return (member.boot, member.version, member.state)


def merge_member(table: MemberTable, rumour: Member, *, now: float) -> bool:
    """Take in a rumour if it is newer than what is believed; return whether it was.

    A later boot beats an earlier one, a later version of the same boot an earlier
    version, and of the same version the worse state wins, so that rumours that
    arrive in any order end in the same table everywhere.
    """
    known = table.members.get(rumour.name)
    if known is not None and _rank(rumour) <= _rank(known):
        return False
    table.members[rumour.name] = rumour
    if rumour.state is MemberState.SUSPECT:
        table.suspected_at.setdefault(rumour.name, now)
    else:
        table.suspected_at.pop(rumour.name, None)
    return True


def refute_rumour(own: Member, rumour: Member) -> Member | None:
    """Return this instance's newer word when `rumour` says something false of it.

    Guards against an instance that was paused or cut off and is believed dead: it
    is left out of the discovery answers until it says, with a higher version, that
    it lives. A rumour of an earlier run needs no word, its boot number loses.
    """
    is_false = rumour.boot >= own.boot and rumour.state in (
        MemberState.SUSPECT,
        MemberState.DEAD,
    )
    if not is_false:
        return None
    return replace(
        own,
        boot=max(own.boot, rumour.boot),
        version=max(own.version, rumour.version) + 1,
    )


def suspect_silent(
    table: MemberTable, watched: Sequence[str], *, now: float
) -> list[Member]:
    """Return the members of `watched` whose state silence changes, as it becomes."""
    changed = []
    for name in watched:
        member = table.members[name]
        silence = now - table.heard_at.get(name, now)
        if member.state is MemberState.ALIVE and silence > SUSPECT_AFTER_S:
            changed.append(replace(member, state=MemberState.SUSPECT))
    for name, since in table.suspected_at.items():
        if now - since > DEAD_AFTER_S:
            changed.append(replace(table.members[name], state=MemberState.DEAD))
    return changed


def select_neighbours(table: MemberTable) -> list[str]:
    """Return the members that this instance sends heartbeats to.

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
