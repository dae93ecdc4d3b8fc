"""Closing gaps: layers that no target of a data centre holds any more.

A data centre without a whole copy of the model sends every prompt through the pipe
that all data centres share.
"""

from collections.abc import Mapping, Sequence, Set as AbstractSet

from fulmarward_core.fleet import EngineModel, LayerRange, TargetRecord
from fulmarward_core.layers.decisions._cover import Change, Holder, find_cover
from fulmarward_core.layers.decisions._coverage import count_holders, find_gaps
from fulmarward_core.layers.decisions._sizes import (
    MIN_KV_TOKENS,
    can_hold_model,
    group_by_centre,
    size_ranges,
)
from fulmarward_core.layers.decisions._types import Assignment, LayerOrder

#: KV cache that targets keep when they close a gap, in tokens. The largest that closes
#: it is chosen; the smallest still holds ten requests of the usual size.
GAP_KV_TOKENS = (MIN_KV_TOKENS, 20_000, 10_000)

#: KV cache that targets keep when some of them give up layers for it. With less, the
#: data centre would carry fewer requests than the pipe does.
SHIFT_KV_TOKENS = (MIN_KV_TOKENS, 20_000)

#: Most targets that move into the gaps of a data centre.
MAX_MOVED = 3

#: What the log calls each kind of change.
_REASONS = {"extended": "gap", "moved": "spare", "shifted": "shift"}


def close_gaps(
    engine: EngineModel,
    targets: Sequence[TargetRecord],
    ranges: Mapping[str, LayerRange],
    ordered: AbstractSet[str],
    fast_kinds: frozenset[str],
) -> list[LayerOrder]:
    """Return the orders that make data centres whole, where that is possible.

    `ranges` are held or ordered by now; the targets in `ordered` have an order that
    does not show yet, and get no other.
    """
    orders: list[LayerOrder] = []
    fleet = [target for target in targets if target.name in ranges]
    known = dict(ranges)
    # The fleet as a whole comes last: where a layer is held by nobody, no data centre
    # is whole, and several may have the memory together.
    for members in [*group_by_centre(fleet).values(), fleet]:
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
    """Return the changes after which some targets hold the whole model.

    As much KV cache is left as can be. That a target gives up layers which no other of
    them holds is the last way: what passes through it must end first, and these layers
    are served by others only, of whom there are `elsewhere` so many for each layer.
    """
    if not can_hold_model(engine, members, GAP_KV_TOKENS[-1]):
        return []
    spares = _choose_spares(engine, members, ranges, busy, fast_kinds)

    def has_others(holder: Holder, layers: LayerRange) -> bool:
        given_up = set(range(holder.held.start, holder.held.end))
        given_up.difference_update(range(layers.start, layers.end))
        return all(elsewhere[layer] for layer in given_up)

    def never(holder: Holder, layers: LayerRange) -> bool:
        return False

    ways = [(kv_tokens, never) for kv_tokens in GAP_KV_TOKENS]
    ways += [(kv_tokens, has_others) for kv_tokens in SHIFT_KV_TOKENS]
    for kv_tokens, may_shift in ways:
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
    """Return targets that may all move, since others hold what they hold.

    Slow ones go first: a fast one that moves is missing in the chain of fast ones that
    the answers of all data centres pass through.
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
    """Return the layers that targets hold now and will hold after their orders.

    What is only ordered may not be there yet.
    """
    staying = [_intersect(target.layers, ranges[target.name]) for target in targets]
    return [layers for layers in staying if layers is not None]


def _intersect(held: LayerRange | None, wanted: LayerRange) -> LayerRange | None:
    """Return the layers in both, `None` when there are none."""
    if held is None:
        return None
    start, end = max(held.start, wanted.start), min(held.end, wanted.end)
    return LayerRange(start=start, end=end) if start < end else None


def _make_order(change: Change) -> LayerOrder:
    assignment = Assignment(target=change.name, layers=change.layers)
    return LayerOrder(assignment=assignment, reason=_REASONS[change.kind])
