"""Which layers each engine shall hold, at the start and after losses.

An engine's memory is shared by weights and KV cache, so the number of its layers
is a choice. Four things count: every layer is held; each data centre holds the whole
model if it can (a prompt's activations between data centres fill the pipe for tens of
ms); an answer's tokens pass through fast engines for as many layers as these can hold;
and the engine with the least room for KV cache has as much as possible, since a request
needs room on every engine of its path.
"""

from fulmarward_core.layers.decisions._coverage import count_holders, find_gaps
from fulmarward_core.layers.decisions._gaps import GAP_KV_TOKENS
from fulmarward_core.layers.decisions._plan import plan_layers
from fulmarward_core.layers.decisions._repairs import plan_repairs
from fulmarward_core.layers.decisions._sizes import (
    MIN_KV_TOKENS,
    group_by_centre,
    size_ranges,
)
from fulmarward_core.layers.decisions._types import Assignment, LayerOrder

__all__ = [
    "GAP_KV_TOKENS",
    "MIN_KV_TOKENS",
    "Assignment",
    "LayerOrder",
    "count_holders",
    "find_gaps",
    "group_by_centre",
    "plan_layers",
    "plan_repairs",
    "size_ranges",
]
