"""The targets that an instance knows of, from the store and from peers."""

from fulmarward_core.catalogue._catalogue import (
    OUTAGE_S,
    RETURN_S,
    KnownRow,
    TargetCatalogue,
)

__all__ = ["OUTAGE_S", "RETURN_S", "KnownRow", "TargetCatalogue"]
