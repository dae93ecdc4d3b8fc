"""Random but seeded faults under mixed load, checked against every ledger."""

from fulmarward_standins.faults._check import Verdict, check_told
from fulmarward_standins.faults._told import Ending, Told

__all__ = ["Ending", "Told", "Verdict", "check_told"]
