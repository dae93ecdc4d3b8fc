"""Slowdown factors ("paces") of targets, from own and forwarded reports."""

from fulmarward_core.paces._polling import (
    POLL_INTERVAL_S,
    SLOW_READ_INTERVAL_S,
    choose_polled_targets,
)
from fulmarward_core.paces._table import (
    MIN_SLOWDOWN,
    REPORT_DURATION_S,
    Pace,
    PaceTable,
    SlowStreamDetector,
)

__all__ = [
    "MIN_SLOWDOWN",
    "POLL_INTERVAL_S",
    "REPORT_DURATION_S",
    "SLOW_READ_INTERVAL_S",
    "Pace",
    "PaceTable",
    "SlowStreamDetector",
    "choose_polled_targets",
]
