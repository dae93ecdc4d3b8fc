"""Slowdown factors ("paces") of targets, from own and forwarded reports."""

from fulmarward_core.paces._table import (
    MIN_SLOWDOWN,
    REPORT_DURATION_S,
    Pace,
    PaceTable,
    SlowStreamDetector,
)

__all__ = [
    "MIN_SLOWDOWN",
    "REPORT_DURATION_S",
    "Pace",
    "PaceTable",
    "SlowStreamDetector",
]
