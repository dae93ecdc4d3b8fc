"""Assignment of model layers to engines."""

from fulmarward_core.layers.decisions import (
    Assignment,
    LayerOrder,
    count_holders,
    find_gaps,
    group_by_data_centre,
    plan_layers,
    plan_repairs,
    size_ranges,
)

__all__ = [
    "Assignment",
    "LayerOrder",
    "count_holders",
    "find_gaps",
    "group_by_data_centre",
    "plan_layers",
    "plan_repairs",
    "size_ranges",
]
