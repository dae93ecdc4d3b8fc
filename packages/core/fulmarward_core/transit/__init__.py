"""Bounds on how long messages between instances were in transit."""

from fulmarward_core.transit.decisions import TransitClock

__all__ = ["TransitClock"]
