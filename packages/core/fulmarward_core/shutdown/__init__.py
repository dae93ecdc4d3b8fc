"""Which requests a stopping instance takes, and when it ends those it has taken."""

from fulmarward_core.shutdown.decisions import ClosingLoad, StopSchedule

__all__ = ["ClosingLoad", "StopSchedule"]
