"""Seeded fault injection under mixed load, checked against every ledger."""

from fulmarward_standins.faults._check import Verdict, check_records
from fulmarward_standins.faults._work_records import Outcome, WorkRecord

__all__ = ["Outcome", "Verdict", "WorkRecord", "check_records"]
