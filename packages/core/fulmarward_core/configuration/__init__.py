"""The declaration in force for the fleet, identified by an increasing epoch."""

from fulmarward_core.configuration._types import (
    EMPTY_HEAD,
    EMPTY_SNAPSHOT,
    Adoption,
    ApplyStep,
    Head,
    Snapshot,
)
from fulmarward_core.configuration.decisions import (
    choose_poll_delay,
    decide_adoption,
    decide_apply,
    is_newest_known,
    is_same_apply,
)

__all__ = [
    "EMPTY_HEAD",
    "EMPTY_SNAPSHOT",
    "Adoption",
    "ApplyStep",
    "Head",
    "Snapshot",
    "choose_poll_delay",
    "decide_adoption",
    "decide_apply",
    "is_newest_known",
    "is_same_apply",
]
