"""The targets that an instance knows of, from the store and from peers."""

from fulmarward_core.catalogue._catalogue import (
    RETURN_S,
    KnownRow,
    TargetCatalogue,
)

__all__ = ["RETURN_S", "KnownRow", "TargetCatalogue"]
