"""Through which targets a request runs the layers of its model."""

from fulmarward_core.paths.decisions import (
    Hop,
    PathRequest,
    Stage,
    choose_path,
    compute_preference,
    count_tokens_held,
)

__all__ = [
    "Hop",
    "PathRequest",
    "Stage",
    "choose_path",
    "compute_preference",
    "count_tokens_held",
]
