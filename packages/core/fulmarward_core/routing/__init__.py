"""Choice of the target for a request."""

from fulmarward_core.routing._types import (
    DEFAULT_PROFILE,
    Choice,
    LoadReport,
    PoolSpeed,
    RequestProfile,
    TargetView,
)
from fulmarward_core.routing.decisions import (
    choose_target,
    count_cached,
    estimate_load,
    measure_pool,
)

__all__ = [
    "DEFAULT_PROFILE",
    "RequestProfile",
    "Choice",
    "LoadReport",
    "PoolSpeed",
    "TargetView",
    "choose_target",
    "count_cached",
    "estimate_load",
    "measure_pool",
]
