"""Choice of the path of targets that run the layers of a model for a request."""

from fulmarward_core.paths.decisions import (
    DIRECT_TERMS,
    HUB_TERMS,
    HUB_WAIT_TERMS,
    Hop,
    KvCapacity,
    Occupancy,
    PathRequest,
    ReadOccupancy,
    RemoteTerms,
    Stage,
    StageIndex,
    compute_preference,
    count_tokens_held,
    scale_kv,
)

__all__ = [
    "DIRECT_TERMS",
    "HUB_TERMS",
    "HUB_WAIT_TERMS",
    "RemoteTerms",
    "Hop",
    "KvCapacity",
    "Occupancy",
    "PathRequest",
    "ReadOccupancy",
    "Stage",
    "StageIndex",
    "compute_preference",
    "count_tokens_held",
    "scale_kv",
]
