"""Which members an instance sends heartbeats to, and how often."""

from collections.abc import Sequence

from fulmarward_core.membership._types import (
    MemberState,
    MemberTable,
)

#: Seconds between two heartbeats to the nearest neighbours in the ring, and to the
#: others. With one interval of a second for all, each of 330 instances, with 9
#: neighbours, would handle 36 messages a second. Two neighbours check each member every
#: second and detect its failure. The far ones only spread rumours, and new rumours are
#: sent at once instead of with the next heartbeat.
NEAR_HEARTBEAT_S = 1.0

FAR_HEARTBEAT_S = 3.0

NEAR_NEIGHBOURS = 2


def select_neighbours(table: MemberTable) -> list[str]:
    """Return the members that this instance sends heartbeats to, near ones first.

    These are the members 1, 2, 4, 8, ... positions after it in the ring of names. A
    rumour thus reaches n members in about log2(n) hops, and each of 330 instances has 9
    neighbours instead of 329. With one 40-byte heartbeat a second to each of 330
    members, an instance would send 13 KB/s, three times its budget.
    """
    ring = sorted(
        name
        for name, member in table.members.items()
        if member.state is not MemberState.DEAD or name == table.own_name
    )
    if table.own_name not in ring:
        return []
    own = ring.index(table.own_name)
    neighbours = []
    distance = 1
    while distance < len(ring):
        neighbours.append(ring[(own + distance) % len(ring)])
        distance *= 2
    return neighbours


def choose_heartbeat(neighbours: Sequence[str], name: str) -> float:
    """Return the seconds between two heartbeats to a neighbour."""
    is_near = name in neighbours[:NEAR_NEIGHBOURS]
    return NEAR_HEARTBEAT_S if is_near else FAR_HEARTBEAT_S
