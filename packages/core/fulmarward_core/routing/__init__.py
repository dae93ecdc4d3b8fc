"""Choosing the target that carries a request."""

from fulmarward_core.routing._types import Choice, LoadReport, TargetView
from fulmarward_core.routing.decisions import choose_target

__all__ = ["Choice", "LoadReport", "TargetView", "choose_target"]
