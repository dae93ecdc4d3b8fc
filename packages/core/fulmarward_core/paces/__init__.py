"""How slow targets are, by their own reports and by what peers told."""

from fulmarward_core.paces._table import (
    MIN_SLOWDOWN,
    REPORT_DURATION_S,
    Pace,
    PaceTable,
    SlowSigns,
)

__all__ = ["MIN_SLOWDOWN", "REPORT_DURATION_S", "Pace", "PaceTable", "SlowSigns"]
