"""Layers for targets that came back empty, and for gaps that losses left."""

from collections.abc import Mapping, Sequence

from fulmarward_core.fleet import EngineModel, LayerRange, TargetRecord
from fulmarward_core.layers.decisions._coverage import (
    choose_range,
    count_holders,
    find_gaps,
)
from fulmarward_core.layers.decisions._sizes import (
    MIN_KV_TOKENS,
    can_hold_model,
    count_fast_kv,
    find_fast_kinds,
    group_by_centre,
    size_ranges,
)
from fulmarward_core.layers.decisions._types import Assignment, LayerOrder

#: KV cache that the neighbours of a gap keep, in tokens. The largest that closes it is
#: chosen; the smallest still holds ten requests of the usual size.
GAP_KV_TOKENS = (MIN_KV_TOKENS, 20_000, 10_000)


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
    beside those that they hold, or by a target that holds what others hold as well;
    that moves no layer away from where requests run.
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
    return orders + _close_gaps(engine, targets, ranges, pending, fast_kinds)


def _choose_for_empty(
    engine: EngineModel,
    target: TargetRecord,
    size: int,
    targets: Sequence[TargetRecord],
    ranges: Mapping[str, LayerRange],
    fast_kinds: frozenset[str],
) -> LayerRange | None:
    """Return the range that an empty target helps most with.

    A fast engine takes what the fast ones lack, since slow ones may hold what its data
    centre lacks; then what the data centre lacks goes first, then the layers that are
    held least nearby and everywhere. It is given as many layers as it may hold, not
    just what closes a small gap.
    """
    if size == 0:
        return None
    held = [item for item in targets if item.name in ranges]

    def count(members: list[TargetRecord]) -> list[int]:
        return count_holders(engine.layers, [ranges[item.name] for item in members])

    near = count([item for item in held if item.data_centre == target.data_centre])
    everywhere = count(held)
    is_fast = target.kind in fast_kinds
    fast = count([item for item in held if item.kind in fast_kinds])

    def weigh(span: slice) -> tuple[int, ...]:
        lacking_fast = fast[span].count(0) if is_fast else 0
        lacking = near[span].count(0)
        return -lacking_fast, -lacking, sum(near[span]), sum(everywhere[span])

    return choose_range(engine.layers, size, weigh)


def _close_gaps(
    engine: EngineModel,
    targets: Sequence[TargetRecord],
    ranges: Mapping[str, LayerRange],
    pending: Mapping[str, LayerRange],
    fast_kinds: frozenset[str],
) -> list[LayerOrder]:
    orders = []
    holding = [target for target in targets if target.name in ranges]
    for members in group_by_centre(holding).values():
        if not can_hold_model(engine, members, GAP_KV_TOKENS[-1]):
            continue
        now_held = {member.name: ranges[member.name] for member in members}
        movable = [
            member
            for member in members
            if member.name not in pending and member.kind not in fast_kinds
        ]
        for gap in find_gaps(engine.layers, list(now_held.values())):
            closing = _close_gap(engine, gap, members, movable, now_held, pending)
            for order in closing:
                now_held[order.assignment.target] = order.assignment.layers
            movable = [
                member
                for member in movable
                if member.name not in {order.assignment.target for order in closing}
            ]
            orders += closing
    return orders


def _close_gap(
    engine: EngineModel,
    gap: LayerRange,
    members: Sequence[TargetRecord],
    movable: Sequence[TargetRecord],
    ranges: Mapping[str, LayerRange],
    pending: Mapping[str, LayerRange],
) -> list[LayerOrder]:
    """Close a gap with as much KV cache left as can be."""
    names = [member.kind for member in members]
    for kv_tokens in GAP_KV_TOKENS:
        sizes = size_ranges(engine, names, kv_tokens)
        orders = _extend_neighbours(gap, members, ranges, sizes, pending)
        if not orders and kv_tokens == MIN_KV_TOKENS:
            orders = _move_redundant(engine, gap, members, movable, ranges, sizes)
        if orders:
            return orders
    return []


def _move_redundant(
    engine: EngineModel,
    gap: LayerRange,
    members: Sequence[TargetRecord],
    movable: Sequence[TargetRecord],
    ranges: Mapping[str, LayerRange],
    sizes: Mapping[str, int],
) -> list[LayerOrder]:
    """Move a target into the gap whose layers others of the data centre hold as well.

    Guards against neighbours that give up KV cache for the gap: all paths of the data
    centre would be as narrow. Few answers pass through an engine beside which a fast
    one holds the same layers, so it gives them up at once.
    """
    # What is only ordered, of others or of the same target, may not be there yet.
    staying = [_intersect(member.layers, ranges[member.name]) for member in members]
    counts = count_holders(engine.layers, [item for item in staying if item])
    free = [
        member
        for member in movable
        if sizes[member.kind] >= len(gap)
        and member.layers is not None
        and min(counts[member.layers.start : member.layers.end]) > 1
    ]
    if not free:
        return []
    mover = min(free, key=lambda member: (sizes[member.kind], member.name))
    size = sizes[mover.kind]
    start = max(0, min(gap.start, engine.layers - size))
    layers = LayerRange(start=start, end=start + size)
    assignment = Assignment(target=mover.name, layers=layers)
    return [LayerOrder(assignment=assignment, reason="spare")]


def _intersect(held: LayerRange | None, wanted: LayerRange) -> LayerRange | None:
    """Return the layers in both, `None` when there are none."""
    if held is None:
        return None
    start, end = max(held.start, wanted.start), min(held.end, wanted.end)
    return LayerRange(start=start, end=end) if start < end else None


def _extend_neighbours(
    gap: LayerRange,
    members: Sequence[TargetRecord],
    ranges: Mapping[str, LayerRange],
    sizes: Mapping[str, int],
    pending: Mapping[str, LayerRange],
) -> list[LayerOrder]:
    """Extend a neighbour on each side of the gap; only if that closes it whole."""

    def find_room(member: TargetRecord) -> int:
        if member.name in pending:
            return 0
        return max(0, sizes[member.kind] - len(ranges[member.name]))

    left = [m for m in members if ranges[m.name].end == gap.start]
    right = [m for m in members if ranges[m.name].start == gap.end]
    best_left = max(left, key=find_room, default=None)
    best_right = max(right, key=find_room, default=None)
    room_left = 0 if best_left is None else find_room(best_left)
    room_right = 0 if best_right is None else find_room(best_right)
    if room_left + room_right < len(gap):
        return []
    take_left = min(room_left, len(gap))
    take_right = len(gap) - take_left
    orders = []
    if take_left:
        held = ranges[best_left.name]
        layers = LayerRange(start=held.start, end=held.end + take_left)
        orders.append((best_left, layers))
    if take_right:
        held = ranges[best_right.name]
        layers = LayerRange(start=held.start - take_right, end=held.end)
        orders.append((best_right, layers))
    return [
        LayerOrder(
            assignment=Assignment(target=member.name, layers=layers), reason="gap"
        )
        for member, layers in orders
    ]
