"""Topology of the links between instances."""

from fulmarward_core.overlay.decisions import (
    FULL_MESH,
    HUBS,
    TRIED,
    Node,
    choose_hubs,
    choose_links,
    choose_subscriptions,
)

__all__ = [
    "FULL_MESH",
    "HUBS",
    "TRIED",
    "Node",
    "choose_hubs",
    "choose_links",
    "choose_subscriptions",
]
