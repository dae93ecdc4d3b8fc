"""Layers for a fleet that holds none yet."""

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
    count_layers,
    find_fast_kinds,
    find_max_kv,
    group_by_centre,
    size_ranges,
)
from fulmarward_core.layers.decisions._types import Assignment


def plan_layers(
    engine: EngineModel, targets: Sequence[TargetRecord], *, instances: int
) -> list[Assignment]:
    """Return the layers for a fleet that holds none yet, with that many instances.

    Fast engines of all data centres form a chain of their own, the slow ones of each
    data centre a copy of the model. So an answer passes through fast engines for as
    far as they reach, and goes on through slow ones of the same data centre; the loss
    of a fast engine leaves the slow ones that hold its layers, and the loss of a slow
    one is felt by few answers.
    """
    planned = _plan_by_speed(engine, targets, instances)
    return _plan_evenly(engine, targets) if planned is None else planned


def _plan_by_speed(
    engine: EngineModel, targets: Sequence[TargetRecord], instances: int
) -> list[Assignment] | None:
    """Plan fast and slow engines apart; `None` where that leaves a layer unheld."""
    fast_kinds = find_fast_kinds(engine, targets)
    fast = [target for target in targets if target.kind in fast_kinds]
    slow = [target for target in targets if target.kind not in fast_kinds]
    chain = _plan_chain(engine, fast, count_fast_kv(engine, instances))
    ranges = {item.target: item.layers for item in chain}
    planned = list(chain)
    thin: list[TargetRecord] = []
    for centre, members in group_by_centre(slow).items():
        if can_hold_model(engine, members, MIN_KV_TOKENS):
            planned += _plan_group(engine, members)
            continue
        near = [ranges[t.name] for t in fast if t.data_centre == centre]
        rest = _plan_beside(engine, members, near)
        if rest is None:
            thin += members
        else:
            planned += rest
    if thin:
        rest = _plan_beside(engine, thin, list(ranges.values()))
        if rest is None:
            return None
        planned += rest
    return planned


def _plan_chain(
    engine: EngineModel, targets: Sequence[TargetRecord], kv_tokens: float
) -> list[Assignment]:
    """Lay the ranges of fast engines end to end, those of a data centre together."""
    sizes = size_ranges(engine, [target.kind for target in targets], kv_tokens)
    return _lay_out(engine, _order_chain(engine, targets, sizes), sizes)


def _order_chain(
    engine: EngineModel, targets: Sequence[TargetRecord], sizes: Mapping[str, int]
) -> list[TargetRecord]:
    """Order fast engines by data centre, the one that holds most first."""
    held = {
        centre: count_layers(sizes, members)
        for centre, members in group_by_centre(targets).items()
    }
    return sorted(
        targets,
        key=lambda target: (
            -held[target.data_centre],
            target.data_centre,
            engine.kinds[target.kind].step_factor,
            target.name,
        ),
    )


def _plan_beside(
    engine: EngineModel, targets: Sequence[TargetRecord], held: Sequence[LayerRange]
) -> list[Assignment] | None:
    """Plan targets that hold the whole model only together with ranges held already.

    What is not held yet goes first, then what is held least. Returns `None` where a
    layer is still unheld.
    """
    sizes = size_ranges(engine, [target.kind for target in targets], MIN_KV_TOKENS)
    ranges = list(held)
    planned = []
    for target in _mix_kinds(targets):
        size = sizes.get(target.kind, 0)
        if size == 0:
            continue
        layers = _choose_thinnest(engine, size, ranges)
        ranges.append(layers)
        planned.append(Assignment(target=target.name, layers=layers))
    return None if find_gaps(engine.layers, ranges) else planned


def _choose_thinnest(
    engine: EngineModel, size: int, ranges: Sequence[LayerRange]
) -> LayerRange:
    """Return the `size` layers of which most are unheld, or that are held least."""
    counts = count_holders(engine.layers, ranges)

    def weigh(span: slice) -> tuple[int, int]:
        return -counts[span].count(0), sum(counts[span])

    return choose_range(engine.layers, size, weigh)


def _plan_evenly(
    engine: EngineModel, targets: Sequence[TargetRecord]
) -> list[Assignment]:
    """Plan data centres that hold the whole model by themselves, the others together.

    All kinds keep the same KV cache. This is for fleets whose slow engines do not hold
    what the fast ones leave.
    """
    assignments, thin = [], []
    for members in group_by_centre(targets).values():
        if can_hold_model(engine, members, MIN_KV_TOKENS):
            assignments += _plan_group(engine, members)
        else:
            thin += members
    if thin:
        assignments += _plan_group(engine, thin)
    return assignments


def _plan_group(
    engine: EngineModel, targets: Sequence[TargetRecord]
) -> list[Assignment]:
    """Plan for targets that form whole copies among themselves, if they can.

    Just whole copies are laid, so that most memory is KV cache.
    """
    ordered = _mix_kinds(targets)
    names = [target.kind for target in ordered]
    most = size_ranges(engine, names, MIN_KV_TOKENS)
    copies = count_layers(most, ordered) // engine.layers
    if copies == 0:
        return _lay_out(engine, ordered, most)
    for wanted in (copies, max(1, copies - 1)):
        # Rounding at the end of each copy loses some layers, so ask for a few more.
        for spare in range(engine.layers + 1):
            kv_tokens = find_max_kv(engine, ordered, wanted * engine.layers + spare)
            if kv_tokens < MIN_KV_TOKENS:
                break
            sizes = size_ranges(engine, names, kv_tokens)
            laid = _lay_out(engine, ordered, sizes)
            holders = count_holders(engine.layers, [item.layers for item in laid])
            if min(holders) >= wanted:
                return laid
    return _lay_out(engine, ordered, most)


def _lay_out(
    engine: EngineModel, targets: Sequence[TargetRecord], sizes: Mapping[str, int]
) -> list[Assignment]:
    """Lay ranges end to end, beginning anew at layer 0 after the last one.

    The last one before that reaches back over layers that the one before it holds,
    rather than hold fewer: its memory would be idle, and they have two holders so.
    """
    assignments = []
    position = 0
    for target in targets:
        size = sizes.get(target.kind, 0)
        if size == 0:
            continue
        end = min(position + size, engine.layers)
        layers = LayerRange(start=end - size, end=end)
        assignments.append(Assignment(target=target.name, layers=layers))
        position = 0 if end == engine.layers else end
    return assignments


def _mix_kinds(targets: Sequence[TargetRecord]) -> list[TargetRecord]:
    """Order targets so that each part of the order has a share of every kind."""
    by_kind: dict[str, list[TargetRecord]] = {}
    for target in sorted(targets, key=lambda item: item.name):
        by_kind.setdefault(target.kind, []).append(target)
    placed = []
    for kind, members in sorted(by_kind.items()):
        for index, target in enumerate(members):
            placed.append(((index + 0.5) / len(members), kind, target.name, target))
    return [item[-1] for item in sorted(placed, key=lambda item: item[:3])]
