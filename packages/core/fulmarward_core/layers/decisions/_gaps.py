"""Closing of gaps: layers that no target of a data centre holds any more.

A data centre without a complete copy of the model sends every prompt through the link
that all data centres share.
"""

from collections.abc import Mapping, Sequence, Set as AbstractSet

from fulmarward_core.fleet import EngineModel, LayerRange, TargetRecord
from fulmarward_core.layers.decisions._cover import Change, Holder, find_cover
from fulmarward_core.layers.decisions._coverage import count_holders, find_gaps
from fulmarward_core.layers.decisions._sizes import (
    MIN_KV_TOKENS,
    can_hold_model,
    group_by_data_centre,
    size_ranges,
)
from fulmarward_core.layers.decisions._types import Assignment, LayerOrder

#: KV cache that targets may be left with when they close a gap, in tokens, tried in
#: this order. The smallest still holds ten requests of typical size.
GAP_KV_TOKENS = (MIN_KV_TOKENS, 20_000, 10_000)

#: The same when some targets give up layers. With less KV cache the data centre would
#: serve fewer requests than go through the shared link without a complete model.
SHIFT_KV_TOKENS = (MIN_KV_TOKENS, 20_000)

#: Maximum number of targets that move to close gaps of one data centre.
MAX_MOVED = 3

#: Reason of the order for each kind of change.
_REASONS = {"extended": "gap", "moved": "spare", "shifted": "shift"}


def close_gaps(
    engine: EngineModel,
    targets: Sequence[TargetRecord],
    ranges: Mapping[str, LayerRange],
    ordered: AbstractSet[str],
    fast_kinds: frozenset[str],
) -> list[LayerOrder]:
    """Return orders that complete the model in each data centre, where possible.

    `ranges` holds the ranges held or ordered. Targets in `ordered` have an order that
    their records do not show yet, and get no other.
    """
    orders: list[LayerOrder] = []
    fleet = [target for target in targets if target.name in ranges]
    known = dict(ranges)
    # The whole fleet comes last: a layer that nobody holds is missing in every data
    # centre, and several data centres together may have the memory for it.
    for members in [*group_by_data_centre(fleet).values(), fleet]:
        if not find_gaps(engine.layers, [known[member.name] for member in members]):
            continue
        others = [target for target in fleet if target not in members]
        changes = _plan_changes(
            engine,
            members,
            known,
            busy=ordered | {order.assignment.target for order in orders},
            fast_kinds=fast_kinds,
            elsewhere=count_holders(engine.layers, _list_staying(others, known)),
        )
        known |= {change.name: change.layers for change in changes}
        orders += [_make_order(change) for change in changes]
    return orders


def _plan_changes(
    engine: EngineModel,
    members: Sequence[TargetRecord],
    ranges: Mapping[str, LayerRange],
    *,
    busy: AbstractSet[str],
    fast_kinds: frozenset[str],
    elsewhere: Sequence[int],
) -> list[Change]:
    """Return the changes after which `members` hold the whole model.

    Options that leave more KV cache are tried first. The last option is that a target
    gives up layers that no other member holds: requests that use them must end first,
    and afterwards only targets outside `members` serve these layers. `elsewhere` is
    the number of their holders per layer.
    """
    if not can_hold_model(engine, members, GAP_KV_TOKENS[-1]):
        return []
    spares = _choose_spares(engine, members, ranges, busy, fast_kinds)

    def is_held_elsewhere(holder: Holder, layers: LayerRange) -> bool:
        given_up = set(range(holder.held.start, holder.held.end))
        given_up.difference_update(range(layers.start, layers.end))
        return all(elsewhere[layer] for layer in given_up)

    def forbid_shift(holder: Holder, layers: LayerRange) -> bool:
        return False

    options = [(kv_tokens, forbid_shift) for kv_tokens in GAP_KV_TOKENS]
    options += [(kv_tokens, is_held_elsewhere) for kv_tokens in SHIFT_KV_TOKENS]
    for kv_tokens, may_shift in options:
        sizes = size_ranges(engine, {m.kind for m in members}, kv_tokens)
        holders = [
            Holder(
                name=member.name,
                held=ranges[member.name],
                size=sizes[member.kind],
                is_free=member.name not in busy and sizes[member.kind] > 0,
                is_spare=member.name in spares,
            )
            for member in members
        ]
        changes = find_cover(engine.layers, holders, may_shift=may_shift)
        if changes is not None:
            return changes
    return []


def _choose_spares(
    engine: EngineModel,
    members: Sequence[TargetRecord],
    ranges: Mapping[str, LayerRange],
    busy: AbstractSet[str],
    fast_kinds: frozenset[str],
) -> frozenset[str]:
    """Return targets that may all move, since other targets hold their layers.

    Slow targets come first: moving a fast one leaves a hole in the chain of fast
    engines that answers of all data centres use.
    """
    counts = count_holders(engine.layers, _list_staying(members, ranges))
    spares: set[str] = set()
    free = [m for m in members if m.layers is not None and m.name not in busy]
    free.sort(key=lambda m: (m.kind in fast_kinds, -len(m.layers), m.name))
    for member in free:
        held = slice(member.layers.start, member.layers.end)
        if len(spares) < MAX_MOVED and min(counts[held]) > 1:
            spares.add(member.name)
            counts[held] = [count - 1 for count in counts[held]]
    return frozenset(spares)


def _list_staying(
    targets: Sequence[TargetRecord], ranges: Mapping[str, LayerRange]
) -> list[LayerRange]:
    """Return the layers that targets hold both now and after their pending orders.

    Layers that are only ordered may not be loaded yet.
    """
    staying = [_intersect(target.layers, ranges[target.name]) for target in targets]
    return [layers for layers in staying if layers is not None]


def _intersect(held: LayerRange | None, wanted: LayerRange) -> LayerRange | None:
    """Return the layers in both ranges, `None` if there are none."""
    if held is None:
        return None
    start, end = max(held.start, wanted.start), min(held.end, wanted.end)
    return LayerRange(start=start, end=end) if start < end else None


def _make_order(change: Change) -> LayerOrder:
    assignment = Assignment(target=change.name, layers=change.layers)
    return LayerOrder(assignment=assignment, reason=_REASONS[change.kind])
