"""Which targets an instance does not trust for now, by what it and peers saw."""

from fulmarward_core.suspicion._refusals import ROOM_PART, RefusalTable
from fulmarward_core.suspicion._table import (
    FULL_S,
    SUSPECT_S,
    Suspicion,
    SuspicionTable,
)

__all__ = [
    "FULL_S",
    "ROOM_PART",
    "SUSPECT_S",
    "RefusalTable",
    "Suspicion",
    "SuspicionTable",
]
