"""Which instances an instance keeps links to.

A few instances are linked each to each. Many are linked through hubs, two in each data
centre: the others of the data centre subscribe to them, and the hubs of all data
centres are linked each to each. Everyone finds the hubs alone, by name among those
that live.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

#: Instances, of the fleet or of a data centre, up to which each is linked to each.
FULL_MESH = 16

#: Hubs of a data centre: where one is killed, the other goes on.
HUBS = 2

#: Instances that are tried at once where no hub of a data centre is known to live.
TRIED = 4


@dataclass(frozen=True, kw_only=True)
class Node:
    """An instance as far as links are concerned."""

    #: Its name and data centre.
    name: str
    data_centre: str
    #: Whether it was heard lately, directly or by a hub's report.
    is_alive: bool
    #: Whether it hears others only on links that they dial: its code is older than
    #: subscriptions.
    needs_dialling: bool = False


def choose_hubs(nodes: Iterable[Node], data_centre: str) -> list[str]:
    """Return the names of the hubs of a data centre: the first that live."""
    names = [n.name for n in nodes if n.data_centre == data_centre and n.is_alive]
    return sorted(names)[:HUBS]


def choose_links(own: Node, others: Sequence[Node], *, turn: int = 0) -> frozenset[str]:
    """Return the names of the instances that `own` keeps links to.

    `turn` rises now and then. Where nobody of a data centre is known to live, a few are
    tried, others in each turn, and hubs try the silent ones of their own data centre.
    Guards against parts that stay apart after all power was lost, each waiting for the
    other's first message.
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
    """Return the names of the instances to link to in the own data centre."""
    if len(near) < FULL_MESH:
        return {node.name for node in near}
    links = {node.name for node in near if node.needs_dialling}
    links.update(hubs)
    links.discard(own.name)
    if own.name in hubs or not hubs:
        links.update(_list_tried([node for node in near if not node.is_alive], turn))
    return links


def choose_subscriptions(own: Node, others: Sequence[Node]) -> list[str]:
    """Return the names of the hubs that `own` follows, the first of them for reports.

    There are none where it hears all of its data centre itself.
    """
    near = [node for node in others if node.data_centre == own.data_centre]
    if len(others) < FULL_MESH or len(near) < FULL_MESH:
        return []
    hubs = choose_hubs([*near, own], own.data_centre)
    return [] if own.name in hubs else hubs


def _list_tried(silent: Sequence[Node], turn: int) -> list[str]:
    """Return whom to try of some that are not known to live."""
    names = sorted(node.name for node in silent)
    if not names:
        return []
    start = turn * TRIED % len(names)
    return (names + names)[start : start + min(TRIED, len(names))]
