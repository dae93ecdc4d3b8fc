"""Choice of the target for a request."""

from fulmarward_core.routing._types import (
    PLAIN_ASK,
    Ask,
    Choice,
    LoadReport,
    PoolSpeed,
    TargetView,
)
from fulmarward_core.routing.decisions import (
    choose_target,
    count_cached,
    estimate_load,
    measure_pool,
)

__all__ = [
    "PLAIN_ASK",
    "Ask",
    "Choice",
    "LoadReport",
    "PoolSpeed",
    "TargetView",
    "choose_target",
    "count_cached",
    "estimate_load",
    "measure_pool",
]
