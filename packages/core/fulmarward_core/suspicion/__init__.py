"""Temporary exclusion of targets, based on direct and indirect observations."""

from fulmarward_core.suspicion._refusals import LOW_OCCUPANCY_SHARE, RefusalTable
from fulmarward_core.suspicion._table import (
    MAX_SUSPECT_DURATION_S,
    SATURATED_DURATION_S,
    SUSPECT_DURATION_S,
    SUSPICION_REASONS,
    FailureKind,
    Suspicion,
    SuspicionTable,
)

__all__ = [
    "MAX_SUSPECT_DURATION_S",
    "SATURATED_DURATION_S",
    "LOW_OCCUPANCY_SHARE",
    "SUSPECT_DURATION_S",
    "SUSPICION_REASONS",
    "FailureKind",
    "RefusalTable",
    "Suspicion",
    "SuspicionTable",
]
