"""Demand of each class of requests, from own requests and reports of peers."""

from fulmarward_core.demand._fleet_reports import FleetReports
from fulmarward_core.demand._reports import (
    MAX_AMOUNT,
    MAX_CLASSES,
    MAX_SERVICES,
    REPORT_DURATION_S,
    ReportSnapshot,
)
from fulmarward_core.demand._sums import Amounts, ClassAmounts, Demands
from fulmarward_core.demand._table import DemandTable
from fulmarward_core.demand._types import CentreDemand, ClassDemand

__all__ = [
    "MAX_AMOUNT",
    "MAX_CLASSES",
    "MAX_SERVICES",
    "REPORT_DURATION_S",
    "Amounts",
    "CentreDemand",
    "ClassAmounts",
    "ClassDemand",
    "DemandTable",
    "Demands",
    "FleetReports",
    "ReportSnapshot",
]
