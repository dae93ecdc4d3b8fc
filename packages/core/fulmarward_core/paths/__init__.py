"""Through which targets a request runs the layers of its model."""

from fulmarward_core.paths.decisions import (
    Hop,
    Occupancy,
    PathRequest,
    ReadOccupancy,
    Stage,
    StageIndex,
    compute_preference,
    count_tokens_held,
)

__all__ = [
    "Hop",
    "Occupancy",
    "PathRequest",
    "ReadOccupancy",
    "Stage",
    "StageIndex",
    "compute_preference",
    "count_tokens_held",
]
