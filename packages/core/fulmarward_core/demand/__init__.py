"""Demand of the classes of requests, at this instance and at its peers."""

from fulmarward_core.demand._types import ClassDemand

__all__ = ["ClassDemand"]
