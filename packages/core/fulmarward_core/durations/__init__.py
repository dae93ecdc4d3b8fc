"""How long recent answers took."""

from fulmarward_core.durations.decisions import DurationTable

__all__ = ["DurationTable"]
