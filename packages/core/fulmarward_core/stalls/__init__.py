"""Which targets may be lost, by the streams that stand still."""

from fulmarward_core.stalls.decisions import (
    LEAST_STILL_S,
    StreamView,
    find_still_targets,
)

__all__ = ["LEAST_STILL_S", "StreamView", "find_still_targets"]
