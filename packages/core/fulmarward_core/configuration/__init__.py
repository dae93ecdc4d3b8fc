"""The fleet's single truth: the declaration in force and its rising epoch."""

from fulmarward_core.configuration._types import (
    EMPTY_HEAD,
    EMPTY_SNAPSHOT,
    Adoption,
    Head,
    Snapshot,
)
from fulmarward_core.configuration.decisions import decide_adoption

__all__ = [
    "EMPTY_HEAD",
    "EMPTY_SNAPSHOT",
    "Adoption",
    "Head",
    "Snapshot",
    "decide_adoption",
]
