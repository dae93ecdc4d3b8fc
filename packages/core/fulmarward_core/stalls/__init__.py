"""Which targets may be lost, by the streams that stand still."""

from fulmarward_core.stalls.decisions import (
    MIN_STALL_S,
    StreamView,
    find_stalled_targets,
)

__all__ = ["MIN_STALL_S", "StreamView", "find_stalled_targets"]
