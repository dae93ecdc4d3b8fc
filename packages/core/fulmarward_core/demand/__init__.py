"""Demand of each class of requests, from own requests and reports of peers."""

from fulmarward_core.demand._reports import REPORT_DURATION_S, DemandSnapshot
from fulmarward_core.demand._sums import Demands
from fulmarward_core.demand._table import DemandTable
from fulmarward_core.demand._types import ClassDemand

__all__ = [
    "REPORT_DURATION_S",
    "ClassDemand",
    "DemandSnapshot",
    "DemandTable",
    "Demands",
]
