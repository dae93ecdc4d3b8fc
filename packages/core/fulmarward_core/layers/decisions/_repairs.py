"""Reassignment of layers to empty targets and to gaps after targets are lost."""

from collections.abc import Mapping, Sequence

from fulmarward_core.fleet import EngineModel, LayerRange, TargetRecord
from fulmarward_core.layers.decisions._coverage import choose_range, count_holders
from fulmarward_core.layers.decisions._gaps import close_gaps
from fulmarward_core.layers.decisions._sizes import (
    MIN_KV_TOKENS,
    can_hold_model,
    count_fast_kv,
    find_fast_kinds,
    size_ranges,
)
from fulmarward_core.layers.decisions._types import Assignment, LayerOrder


def plan_repairs(
    engine: EngineModel,
    targets: Sequence[TargetRecord],
    pending: Mapping[str, LayerRange],
    *,
    instances: int,
) -> list[LayerOrder]:
    """Return orders that assign layers to empty targets and close gaps.

    `pending` holds ranges that were ordered but do not show in the targets' records
    yet. A gap within a data centre is closed by the holders of adjacent layers, which
    extend their ranges, or by targets whose layers have other holders. Neither removes
    layers that running requests need.
    """
    ranges = {
        target.name: layers
        for target in targets
        if (layers := pending.get(target.name, target.layers)) is not None
    }
    fast_kinds = find_fast_kinds(engine, targets)
    orders = []
    for target in sorted(targets, key=lambda item: item.name):
        if target.name in ranges:
            continue
        is_fast = target.kind in fast_kinds
        kv_tokens = count_fast_kv(engine, instances) if is_fast else MIN_KV_TOKENS
        size = size_ranges(engine, [target.kind], kv_tokens)[target.kind]
        layers = _choose_for_empty(engine, target, size, targets, ranges, fast_kinds)
        if layers is None:
            continue
        ranges[target.name] = layers
        assignment = Assignment(target=target.name, layers=layers)
        orders.append(LayerOrder(assignment=assignment, reason="empty"))
    ordered = {*pending, *(order.assignment.target for order in orders)}
    return orders + close_gaps(engine, targets, ranges, ordered, fast_kinds)


def _choose_for_empty(
    engine: EngineModel,
    target: TargetRecord,
    size: int,
    targets: Sequence[TargetRecord],
    ranges: Mapping[str, LayerRange],
    fast_kinds: frozenset[str],
) -> LayerRange | None:
    """Return the range that an empty target should hold, `None` if it can hold none.

    Layers missing in its data centre come first, then those with the fewest holders in
    the data centre and in the fleet. If the slow engines of its data centre have memory
    for the whole model, a fast engine first fills gaps in the chain of fast engines.
    The range has the maximum size even where fewer layers would close the gap.
    """
    if size == 0:
        return None
    held = [item for item in targets if item.name in ranges]
    slow = [
        item
        for item in targets
        if item.data_centre == target.data_centre and item.kind not in fast_kinds
    ]
    is_in_chain = target.kind in fast_kinds and can_hold_model(
        engine, slow, MIN_KV_TOKENS
    )

    def count(members: list[TargetRecord]) -> list[int]:
        return count_holders(engine.layers, [ranges[item.name] for item in members])

    local = count([item for item in held if item.data_centre == target.data_centre])
    everywhere = count(held)
    fast = count([item for item in held if item.kind in fast_kinds])

    def score(span: slice) -> tuple[int, ...]:
        missing_fast = fast[span].count(0) if is_in_chain else 0
        missing = local[span].count(0)
        return -missing_fast, -missing, sum(local[span]), sum(everywhere[span])

    return choose_range(engine.layers, size, score)
