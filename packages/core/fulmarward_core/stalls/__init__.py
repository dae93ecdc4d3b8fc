"""Detection of targets that may have failed, based on stalled streams."""

from fulmarward_core.stalls.decisions import (
    MIN_JOINT_STALL_S,
    MIN_STALL_S,
    REPORT_HOLD_S,
    STALL_FACTOR,
    SilenceCause,
    StallThresholds,
    StreamView,
    compute_check_delay_s,
    compute_stall_thresholds,
    decay_longest_pause_s,
    find_silence_cause,
    find_stalled_targets,
)

__all__ = [
    "MIN_JOINT_STALL_S",
    "MIN_STALL_S",
    "REPORT_HOLD_S",
    "STALL_FACTOR",
    "SilenceCause",
    "StallThresholds",
    "StreamView",
    "compute_check_delay_s",
    "compute_stall_thresholds",
    "decay_longest_pause_s",
    "find_silence_cause",
    "find_stalled_targets",
]
