"""Detection of targets that may have failed, based on stalled streams."""

from fulmarward_core.stalls.decisions import (
    MIN_STALL_S,
    StreamView,
    compute_check_delay_s,
    compute_joint_stall_s,
    find_stalled_targets,
)

__all__ = [
    "MIN_STALL_S",
    "StreamView",
    "compute_check_delay_s",
    "compute_joint_stall_s",
    "find_stalled_targets",
]
