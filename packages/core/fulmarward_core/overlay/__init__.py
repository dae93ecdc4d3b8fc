"""Topology of the links between instances."""

from fulmarward_core.overlay.decisions import (
    FULL_MESH,
    HUBS_PER_DATA_CENTRE,
    TRIED_PER_TURN,
    Node,
    choose_hubs,
    choose_links,
    choose_subscriptions,
)

__all__ = [
    "FULL_MESH",
    "HUBS_PER_DATA_CENTRE",
    "TRIED_PER_TURN",
    "Node",
    "choose_hubs",
    "choose_links",
    "choose_subscriptions",
]
