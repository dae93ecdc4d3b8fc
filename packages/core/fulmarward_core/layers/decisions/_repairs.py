"""Layers for targets that came back empty, and for gaps that losses left."""

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
    """Return orders that give empty targets layers and close gaps.

    `pending` are ranges ordered lately that the targets' records do not show yet.
    A gap within a data centre is closed by its neighbours, which take more layers
    beside those that they hold, or by targets that hold what others hold as well; that
    moves no layer away from where requests run.
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
    """Return the range that an empty target helps most with.

    What its data centre lacks goes first, then the layers that are held least nearby
    and everywhere. Before that a fast engine takes what the fast ones lack, where the
    slow ones of its data centre have memory for the whole model. It is given as many
    layers as it may hold, not just what closes a small gap.
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

    near = count([item for item in held if item.data_centre == target.data_centre])
    everywhere = count(held)
    fast = count([item for item in held if item.kind in fast_kinds])

    def weigh(span: slice) -> tuple[int, ...]:
        lacking_fast = fast[span].count(0) if is_in_chain else 0
        lacking = near[span].count(0)
        return -lacking_fast, -lacking, sum(near[span]), sum(everywhere[span])

    return choose_range(engine.layers, size, weigh)
