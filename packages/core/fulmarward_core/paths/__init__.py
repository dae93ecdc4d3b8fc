"""Through which targets a request runs the layers of its model."""

from fulmarward_core.paths.decisions import (
    DIRECT_TERMS,
    HUB_TERMS,
    FarTerms,
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
    "DIRECT_TERMS",
    "HUB_TERMS",
    "FarTerms",
    "Hop",
    "Occupancy",
    "PathRequest",
    "ReadOccupancy",
    "Stage",
    "StageIndex",
    "compute_preference",
    "count_tokens_held",
]
