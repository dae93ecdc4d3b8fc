"""What runs on each target, and how many repeats are still allowed."""

from fulmarward_core.loads._allowance import (
    UNBEGUN_PART,
    RepeatAllowance,
    RepeatCount,
    RepeatTurn,
)
from fulmarward_core.loads._ledger import (
    FleetLoads,
    LoadLedger,
    LoadSnapshot,
    Reservation,
)
from fulmarward_core.loads._sums import Load, TargetLoad

__all__ = [
    "UNBEGUN_PART",
    "FleetLoads",
    "Load",
    "LoadLedger",
    "LoadSnapshot",
    "Reservation",
    "RepeatAllowance",
    "RepeatCount",
    "RepeatTurn",
    "TargetLoad",
]
