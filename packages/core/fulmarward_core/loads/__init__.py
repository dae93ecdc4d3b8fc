"""What runs on each target, and how many repeats are still allowed."""

from fulmarward_core.loads._allowance import (
    UNBEGUN_PART,
    RepeatAllowance,
    RepeatCount,
    RepeatTurn,
)
from fulmarward_core.loads._ledger import Load, LoadLedger, Reservation, TargetLoad

__all__ = [
    "UNBEGUN_PART",
    "Load",
    "LoadLedger",
    "Reservation",
    "RepeatAllowance",
    "RepeatCount",
    "RepeatTurn",
    "TargetLoad",
]
