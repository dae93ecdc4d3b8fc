"""Which services an instance reaches, and through whom it serves the others."""

from fulmarward_core.isolation._contacts import (
    CERTAIN_AFTER_S,
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
    "CERTAIN_AFTER_S",
    "SAMPLE_SIZE",
    "Contact",
    "ContactEvent",
    "ContactTable",
    "RelayPeer",
    "ServiceContact",
    "choose_relay_peers",
    "choose_sample",
]
