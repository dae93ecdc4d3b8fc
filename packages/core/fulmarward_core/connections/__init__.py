"""What all callers together can make an instance hold, and whom it closes first."""

from fulmarward_core.connections.decisions import (
    HARD_FACTOR,
    MIN_IDLE_S,
    ConnectionLimits,
    Holding,
    choose_closed,
    make_limits,
)

__all__ = [
    "HARD_FACTOR",
    "MIN_IDLE_S",
    "ConnectionLimits",
    "Holding",
    "choose_closed",
    "make_limits",
]
