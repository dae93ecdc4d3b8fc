"""Which targets an instance does not trust for now, by what it and peers saw."""

from fulmarward_core.suspicion._table import (
    FULL_S,
    SUSPECT_S,
    Suspicion,
    SuspicionTable,
)

__all__ = ["FULL_S", "SUSPECT_S", "Suspicion", "SuspicionTable"]
