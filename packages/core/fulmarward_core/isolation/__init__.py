"""Which services an instance reaches, and through whom it serves the others."""

from fulmarward_core.isolation._contacts import (
    Contact,
    ContactEvent,
    ContactTable,
    ServiceContact,
)
from fulmarward_core.isolation.decisions import (
    SAMPLE_SIZE,
    RelayPeer,
    choose_relay_peers,
    choose_sample,
)

__all__ = [
    "SAMPLE_SIZE",
    "Contact",
    "ContactEvent",
    "ContactTable",
    "RelayPeer",
    "ServiceContact",
    "choose_relay_peers",
    "choose_sample",
]
