"""What each target shall hold, and how to get there without an outage."""

from fulmarward_core.placement._types import Held, Wanted
from fulmarward_core.placement.decisions import can_serve

__all__ = ["Held", "Wanted", "can_serve"]
