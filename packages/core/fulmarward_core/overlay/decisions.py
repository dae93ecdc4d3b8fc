"""Topology of the links between instances.

Small fleets form a full mesh. Larger ones are linked through hubs, two in each data
centre: the other instances of the data centre subscribe to them, and the hubs of all
data centres form a full mesh. Each instance determines the hubs by itself: the first
live instances by name.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

#: Number of instances, in the fleet or in a data centre, up to which they form a full
#: mesh.
FULL_MESH = 16

#: Number of hubs per data centre. If one fails, the other one takes over.
HUBS_PER_DATA_CENTRE = 2

#: Number of instances tried at a time if no live hub of a data centre is known.
TRIED_PER_TURN = 4


@dataclass(frozen=True, kw_only=True)
class Node:
    """An instance in the topology."""

    name: str
    data_centre: str
    #: Whether it was heard from recently, directly or through a hub's report.
    is_alive: bool
    #: Whether it receives messages only on links that others open to it, since its
    #: version is older than subscriptions.
    needs_dialling: bool = False


def choose_hubs(nodes: Iterable[Node], data_centre: str) -> list[str]:
    """Return the names of a data centre's hubs: its first live instances by name."""
    names = [n.name for n in nodes if n.data_centre == data_centre and n.is_alive]
    return sorted(names)[:HUBS_PER_DATA_CENTRE]


def choose_links(own: Node, others: Sequence[Node], *, turn: int = 0) -> frozenset[str]:
    """Return the names of the instances that `own` keeps links to.

    If no instance of a data centre is known to be alive, hubs try a few of them; hubs
    also try the silent instances of their own data centre. `turn` is incremented
    periodically and rotates which ones are tried. Guards against parts of the fleet
    that stay disconnected after a power failure, each waiting for the other's first
    message.
    """
    if len(others) < FULL_MESH:
        return frozenset(node.name for node in others)
    near = [node for node in others if node.data_centre == own.data_centre]
    hubs = choose_hubs([*near, own], own.data_centre)
    links = _choose_near(own, near, hubs, turn)
    if own.name in hubs:
        for centre in {n.data_centre for n in others} - {own.data_centre}:
            far = [node for node in others if node.data_centre == centre]
            links.update(choose_hubs(far, centre) or _list_tried(far, turn))
    return frozenset(links)


def _choose_near(
    own: Node, near: Sequence[Node], hubs: Sequence[str], turn: int
) -> set[str]:
    """Return the names of the instances in its own data centre that `own` links to."""
    if len(near) < FULL_MESH:
        return {node.name for node in near}
    links = {node.name for node in near if node.needs_dialling}
    links.update(hubs)
    links.discard(own.name)
    if own.name in hubs or not hubs:
        links.update(_list_tried([node for node in near if not node.is_alive], turn))
    return links


def choose_subscriptions(own: Node, others: Sequence[Node]) -> list[str]:
    """Return the names of the hubs that `own` subscribes to.

    The first one sends it reports. There are none if `own` is a hub or is linked to all
    instances of its data centre.
    """
    near = [node for node in others if node.data_centre == own.data_centre]
    if len(others) < FULL_MESH or len(near) < FULL_MESH:
        return []
    hubs = choose_hubs([*near, own], own.data_centre)
    return [] if own.name in hubs else hubs


def _list_tried(silent: Sequence[Node], turn: int) -> list[str]:
    """Return the names of the silent instances to try in this turn."""
    names = sorted(node.name for node in silent)
    if not names:
        return []
    start = turn * TRIED_PER_TURN % len(names)
    return (names + names)[start : start + min(TRIED_PER_TURN, len(names))]
