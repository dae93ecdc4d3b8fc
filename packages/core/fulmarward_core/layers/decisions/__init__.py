"""Assignment of model layers to engines, initially and after engines are lost.

Weights and KV cache share an engine's memory, so the number of layers per engine is a
trade-off. The planner aims for the following:

- Every layer is held by some engine.
- Each data centre holds the whole model if its memory allows it, since a
  prompt's activations occupy the link between data centres for tens of ms.
- The tokens of an answer pass through fast engines for as many layers as these hold.
- The smallest KV cache of any engine is as large as possible, since a request needs
  KV cache on every engine of its path.
"""

from fulmarward_core.layers.decisions._coverage import count_holders, find_gaps
from fulmarward_core.layers.decisions._gaps import GAP_KV_TOKENS
from fulmarward_core.layers.decisions._plan import plan_layers
from fulmarward_core.layers.decisions._repairs import plan_repairs
from fulmarward_core.layers.decisions._sizes import (
    MIN_KV_TOKENS,
    group_by_data_centre,
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
    "group_by_data_centre",
    "plan_layers",
    "plan_repairs",
    "size_ranges",
]
