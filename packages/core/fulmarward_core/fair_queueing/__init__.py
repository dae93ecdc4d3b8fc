"""Start-time fair queueing: flows are served in proportion to their weights."""

from fulmarward_core.fair_queueing.decisions import (
    Flow,
    FlowSchedule,
    choose,
    compute_tag,
    estimate_ahead,
    pop,
    push,
    remove,
)

__all__ = [
    "Flow",
    "FlowSchedule",
    "choose",
    "compute_tag",
    "estimate_ahead",
    "pop",
    "push",
    "remove",
]
