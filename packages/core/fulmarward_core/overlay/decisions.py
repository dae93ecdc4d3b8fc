"""Which instances an instance keeps links to.

A few instances are linked each to each. Many are linked each to each within a data
centre only, and two hubs of each data centre are linked to the hubs of the others: a
hub tells the others what it heard in its own data centre, and its own data centre what
it heard from the others. Everyone finds the hubs alone, by name among those that live.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

#: Instances up to which each is linked to each. Load: 77 instances linked each to each
#: send 2,700 heartbeats a second between data centres; harm: bytes between data centres
#: are dear, and a link of 10 Mbit/s carries 152 conversations; reason: with 16 each
#: has no more to hear than within a data centre of 26.
FULL_MESH = 16

#: Hubs of a data centre. Load: one of them is killed; harm: until the next one has
#: linked, the data centre hears nothing of the others; reason: the second one goes on.
HUBS = 2

#: Instances of a silent data centre that a hub tries at once. Load: a start of all, and
#: a data centre that is cut off; harm: six hubs that dial 26 each, again and again;
#: reason: the first by name are its hubs, if they live at all.
TRIED = 4


@dataclass(frozen=True, kw_only=True)
class Node:
    """An instance as far as links are concerned."""

    #: Its name and data centre.
    name: str
    data_centre: str
    #: Whether it was heard lately, directly or by others' word.
    is_alive: bool


def choose_hubs(nodes: Iterable[Node], data_centre: str) -> list[str]:
    """Return the names of the hubs of a data centre: the first that live."""
    names = [n.name for n in nodes if n.data_centre == data_centre and n.is_alive]
    return sorted(names)[:HUBS]


def choose_links(own: Node, others: Sequence[Node], *, turn: int = 0) -> frozenset[str]:
    """Return the names of the instances that `own` keeps links to.

    `turn` rises now and then. Where nobody of a data centre is known to live, hubs try
    a few that are known there, others in each turn: whoever answers ends the darkness.
    Guards against data centres that stay apart after all power was lost, each waiting
    for the other's first word.
    """
    if len(others) < FULL_MESH:
        return frozenset(node.name for node in others)
    links = {n.name for n in others if n.data_centre == own.data_centre}
    if own.name in choose_hubs([*others, own], own.data_centre):
        for centre in {n.data_centre for n in others} - {own.data_centre}:
            hubs = choose_hubs(others, centre)
            links.update(hubs or _list_tried(others, centre, turn))
    return frozenset(links)


def _list_tried(nodes: Iterable[Node], data_centre: str, turn: int) -> list[str]:
    """Return whom to try of a data centre of which nobody is known to live."""
    names = sorted(node.name for node in nodes if node.data_centre == data_centre)
    start = turn * TRIED % len(names)
    return (names + names)[start : start + min(TRIED, len(names))]
