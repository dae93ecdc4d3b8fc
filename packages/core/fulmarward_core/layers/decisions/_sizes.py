"""How many layers an engine of a kind may hold, and which kinds are fast."""

from collections.abc import Iterable, Mapping, Sequence

from fulmarward_core.fleet import EngineModel, TargetRecord

#: KV cache that an engine keeps beside its layers at least, in tokens: room for 40
#: requests of the usual size.
MIN_KV_TOKENS = 36_000

#: How many times as long a step of the slowest kind must take for a kind to be fast.
FAST_RATIO = 3.0

#: Steps of the search for the KV cache that all engines can keep.
_SEARCH_STEPS = 24


def size_ranges(
    engine: EngineModel, kind_names: Iterable[str], kv_tokens: float
) -> dict[str, int]:
    """Return for each kind the most layers that leave room for `kv_tokens`."""
    sizes = {}
    for name in set(kind_names):
        kind = engine.kinds.get(name)
        if kind is None:
            sizes[name] = 0
            continue
        per_layer_mb = engine.layer_mb + kv_tokens * engine.kv_bytes_per_token / (
            engine.layers * 1e6
        )
        sizes[name] = min(engine.layers, int(kind.memory_mb / per_layer_mb))
    return sizes


def count_layers(sizes: Mapping[str, int], targets: Sequence[TargetRecord]) -> int:
    """Return how many layers the targets hold in sum, with sizes by kind."""
    return sum(sizes.get(target.kind, 0) for target in targets)


def can_hold_model(
    engine: EngineModel, targets: Sequence[TargetRecord], kv_tokens: float
) -> bool:
    """Return whether the targets have memory for all layers and `kv_tokens` each."""
    sizes = size_ranges(engine, [target.kind for target in targets], kv_tokens)
    return count_layers(sizes, targets) >= engine.layers


def find_max_kv(
    engine: EngineModel, targets: Sequence[TargetRecord], layers: int
) -> float:
    """Return the most KV tokens that all can keep while they hold `layers` in sum."""
    names = [target.kind for target in targets]
    low, high = 0.0, 4e6
    for _ in range(_SEARCH_STEPS):
        middle = (low + high) / 2
        if count_layers(size_ranges(engine, names, middle), targets) >= layers:
            low = middle
        else:
            high = middle
    return low


def count_fast_kv(engine: EngineModel, instances: int) -> float:
    """Return the KV cache that a fast engine keeps, in tokens.

    Most answers pass through the few fast engines, and each instance may have sent one
    that the others do not know of yet: there is room for one more request of each.
    """
    usual = engine.usual_prompt + engine.usual_answer
    return MIN_KV_TOKENS + instances * usual


def find_fast_kinds(
    engine: EngineModel, targets: Iterable[TargetRecord]
) -> frozenset[str]:
    """Return the kinds whose steps are much shorter than the slowest kind's."""
    factors = {
        target.kind: engine.kinds[target.kind].step_factor
        for target in targets
        if target.kind in engine.kinds
    }
    slowest = max(factors.values(), default=0.0)
    return frozenset(
        name for name, factor in factors.items() if factor * FAST_RATIO <= slowest
    )


def group_by_centre(
    targets: Iterable[TargetRecord],
) -> dict[str, list[TargetRecord]]:
    """Return the targets of each data centre, in order of its name."""
    by_centre: dict[str, list[TargetRecord]] = {}
    for target in sorted(targets, key=lambda item: item.data_centre):
        by_centre.setdefault(target.data_centre, []).append(target)
    return by_centre
