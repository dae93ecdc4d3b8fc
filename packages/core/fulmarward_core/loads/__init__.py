"""Load of each target, from own reservations and reports of peers."""

from fulmarward_core.loads._ledger import (
    HubReport,
    LoadLedger,
    LoadSnapshot,
    Reservation,
)
from fulmarward_core.loads._sums import Load, TargetLoad

__all__ = [
    "HubReport",
    "Load",
    "LoadLedger",
    "LoadSnapshot",
    "Reservation",
    "TargetLoad",
]
