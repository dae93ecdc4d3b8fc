"""Whom an instance sends heartbeats to, and how often."""

from collections.abc import Sequence

from fulmarward_core.membership._types import (
    MemberState,
    MemberTable,
)

#: Seconds between two heartbeats to the nearest neighbours in the ring, and to the
#: others. Load: 330 instances with 9 neighbours each; harm: 36 messages a second for
#: each instance; reason: two watch over each member every second and notice its loss,
#: the far ones carry news, which is sent when it happens and does not wait for them.
NEAR_HEARTBEAT_S = 1.0

FAR_HEARTBEAT_S = 3.0

NEAR_NEIGHBOURS = 2


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
