"""How slow targets are, by their own reports and by what peers told."""

from fulmarward_core.paces._table import (
    LEAST_SLOW,
    PACE_S,
    Pace,
    PaceTable,
    SlowSigns,
)

__all__ = ["LEAST_SLOW", "PACE_S", "Pace", "PaceTable", "SlowSigns"]
