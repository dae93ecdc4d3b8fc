"""Initial assignment of layers to a fleet that holds none yet."""

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
    find_max_kv,
    group_by_data_centre,
    group_kinds,
    size_ranges,
)
from fulmarward_core.layers.decisions._types import Assignment


def plan_layers(
    engine: EngineModel, targets: Sequence[TargetRecord], *, instances: int
) -> list[Assignment]:
    """Return the initial layers of each target for a fleet with `instances` instances.

    Engines of one tier of speed in a data centre form copies of the model by
    themselves where their memory allows it, so that no token waits for a slower one.
    The other fast engines of all data centres form one chain: an answer uses them for
    the layers that they cover and slower engines of the same data centre for the rest.
    When a fast engine is lost, slower engines still hold its layers; the loss of a slow
    engine affects few answers.
    """
    planned = _plan_by_speed(engine, targets, instances)
    return _plan_uniformly(engine, targets) if planned is None else planned


def _plan_by_speed(
    engine: EngineModel, targets: Sequence[TargetRecord], instances: int
) -> list[Assignment] | None:
    """Plan each tier of speed separately; `None` if that leaves layers unheld."""
    *fast_tiers, slowest = group_kinds(engine, targets) or [frozenset()]
    planned: list[Assignment] = []
    in_chain: list[TargetRecord] = []
    for kinds in fast_tiers:
        members = [target for target in targets if target.kind in kinds]
        for group in group_by_data_centre(members).values():
            if can_hold_model(engine, group, MIN_KV_TOKENS):
                planned += _plan_group(engine, group)
            else:
                in_chain += group
    slow = [target for target in targets if target.kind in slowest]
    planned += _plan_chain(engine, in_chain, count_fast_kv(engine, instances))
    ranges = {item.target: item.layers for item in planned}
    incomplete: list[TargetRecord] = []
    for centre, members in group_by_data_centre(slow).items():
        if can_hold_model(engine, members, MIN_KV_TOKENS):
            planned += _plan_group(engine, members)
            continue
        held_nearby = [
            ranges[target.name]
            for target in targets
            if target.name in ranges and target.data_centre == centre
        ]
        rest = _plan_complement(engine, members, held_nearby)
        if rest is None:
            incomplete += members
        else:
            planned += rest
    if incomplete:
        rest = _plan_complement(engine, incomplete, list(ranges.values()))
        if rest is None:
            return None
        planned += rest
    return planned


def _plan_chain(
    engine: EngineModel, targets: Sequence[TargetRecord], kv_tokens: float
) -> list[Assignment]:
    """Assign consecutive ranges to fast engines, grouped by data centre."""
    sizes = size_ranges(engine, [target.kind for target in targets], kv_tokens)
    return _assign_consecutively(engine, _order_chain(engine, targets, sizes), sizes)


def _order_chain(
    engine: EngineModel, targets: Sequence[TargetRecord], sizes: Mapping[str, int]
) -> list[TargetRecord]:
    """Sort fast engines by data centre, the one with the most layers first."""
    held = {
        centre: count_layers(sizes, members)
        for centre, members in group_by_data_centre(targets).items()
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


def _plan_complement(
    engine: EngineModel, targets: Sequence[TargetRecord], held: Sequence[LayerRange]
) -> list[Assignment] | None:
    """Plan targets that complete the model only together with the ranges in `held`.

    Layers without a holder come first, then those with the fewest holders. Returns
    `None` if a layer is still without a holder.
    """
    sizes = size_ranges(engine, [target.kind for target in targets], MIN_KV_TOKENS)
    ranges = list(held)
    planned = []
    for target in _interleave_kinds(targets):
        size = sizes.get(target.kind, 0)
        if size == 0:
            continue
        layers = _choose_least_held(engine, size, ranges)
        ranges.append(layers)
        planned.append(Assignment(target=target.name, layers=layers))
    return None if find_gaps(engine.layers, ranges) else planned


def _choose_least_held(
    engine: EngineModel, size: int, ranges: Sequence[LayerRange]
) -> LayerRange:
    """Return the range of `size` layers with most unheld, then fewest holders."""
    counts = count_holders(engine.layers, ranges)

    def score(span: slice) -> tuple[int, int]:
        return -counts[span].count(0), sum(counts[span])

    return choose_range(engine.layers, size, score)


def _plan_uniformly(
    engine: EngineModel, targets: Sequence[TargetRecord]
) -> list[Assignment]:
    """Plan each data centre that can hold the model alone, and the others together.

    All kinds keep the same KV cache. This is the fallback for fleets whose slow engines
    cannot hold the layers that the fast ones leave.
    """
    assignments, incomplete = [], []
    for members in group_by_data_centre(targets).values():
        if can_hold_model(engine, members, MIN_KV_TOKENS):
            assignments += _plan_group(engine, members)
        else:
            incomplete += members
    if incomplete:
        assignments += _plan_group(engine, incomplete)
    return assignments


def _plan_group(
    engine: EngineModel, targets: Sequence[TargetRecord]
) -> list[Assignment]:
    """Plan targets that form complete copies of the model, if their memory allows it.

    Only complete copies are planned, which leaves the remaining memory to KV cache.
    """
    ordered = _interleave_kinds(targets)
    names = [target.kind for target in ordered]
    max_sizes = size_ranges(engine, names, MIN_KV_TOKENS)
    copies = count_layers(max_sizes, ordered) // engine.layers
    if copies == 0:
        return _assign_consecutively(engine, ordered, max_sizes)
    for wanted in (copies, max(1, copies - 1)):
        # Rounding at the end of each copy loses layers, so request some extra ones.
        for extra in range(engine.layers + 1):
            kv_tokens = find_max_kv(engine, ordered, wanted * engine.layers + extra)
            if kv_tokens < MIN_KV_TOKENS:
                break
            sizes = size_ranges(engine, names, kv_tokens)
            assignments = _assign_consecutively(engine, ordered, sizes)
            holders = count_holders(
                engine.layers, [item.layers for item in assignments]
            )
            if min(holders) >= wanted:
                return assignments
    return _assign_consecutively(engine, ordered, max_sizes)


def _assign_consecutively(
    engine: EngineModel, targets: Sequence[TargetRecord], sizes: Mapping[str, int]
) -> list[Assignment]:
    """Assign consecutive ranges, starting again at layer 0 after the last layer.

    The last range of a copy overlaps its predecessor instead of being shorter: a
    shorter one would leave memory idle, and the overlap gives layers a second holder.
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


def _interleave_kinds(targets: Sequence[TargetRecord]) -> list[TargetRecord]:
    """Sort targets so that the kinds are spread evenly over the order."""
    by_kind: dict[str, list[TargetRecord]] = {}
    for target in sorted(targets, key=lambda item: item.name):
        by_kind.setdefault(target.kind, []).append(target)
    placed = []
    for kind, members in sorted(by_kind.items()):
        for index, target in enumerate(members):
            placed.append(((index + 0.5) / len(members), kind, target.name, target))
    return [item[-1] for item in sorted(placed, key=lambda item: item[:3])]
