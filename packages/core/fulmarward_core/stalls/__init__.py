"""Which targets may be lost, by the streams that stand still."""

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
