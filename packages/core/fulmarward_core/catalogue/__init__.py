"""Catalogue of all known targets, fed by the store and by peers."""

from fulmarward_core.catalogue._catalogue import (
    EXPIRY_AGE_S,
    RECOVERY_DURATION_S,
    KnownRow,
    LeaveAnnouncement,
    TargetCatalogue,
)
from fulmarward_core.catalogue._confirmation import find_confirmed_at
from fulmarward_core.catalogue._named import NamedTargets

__all__ = [
    "EXPIRY_AGE_S",
    "RECOVERY_DURATION_S",
    "KnownRow",
    "LeaveAnnouncement",
    "NamedTargets",
    "TargetCatalogue",
    "find_confirmed_at",
]
