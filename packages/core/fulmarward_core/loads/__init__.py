"""What runs on each target, and how many repeats are still allowed."""

from fulmarward_core.loads._allowance import RepeatAllowance, RepeatCount
from fulmarward_core.loads._ledger import LoadLedger, Promise, TargetLoad

__all__ = ["LoadLedger", "Promise", "RepeatAllowance", "RepeatCount", "TargetLoad"]
