"""Dissemination of large snapshots without saturating the links between instances."""

from fulmarward_core.spread._fetch import (
    DEFER_DURATION_S,
    FetchTimeout,
    PendingFetch,
)
from fulmarward_core.spread._packing import pack_in_steps, pack_value, unpack_value
from fulmarward_core.spread._transfers import TransferLimiter, find_max_in_flight

__all__ = [
    "DEFER_DURATION_S",
    "FetchTimeout",
    "PendingFetch",
    "TransferLimiter",
    "find_max_in_flight",
    "pack_in_steps",
    "pack_value",
    "unpack_value",
]
