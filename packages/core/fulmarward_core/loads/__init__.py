"""What runs on each target."""

from fulmarward_core.loads._ledger import (
    HubLoads,
    LoadLedger,
    LoadSnapshot,
    Reservation,
)
from fulmarward_core.loads._sums import Load, TargetLoad

__all__ = [
    "HubLoads",
    "Load",
    "LoadLedger",
    "LoadSnapshot",
    "Reservation",
    "TargetLoad",
]
