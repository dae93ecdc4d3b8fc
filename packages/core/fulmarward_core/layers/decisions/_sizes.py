"""Layer capacity of engines by kind, and which kinds count as fast."""

from collections.abc import Iterable, Mapping, Sequence

from fulmarward_core.fleet import EngineModel, TargetRecord

#: Minimum KV cache of an engine in tokens: enough for 40 requests of typical size.
MIN_KV_TOKENS = 36_000

#: Kinds whose steps differ by less than this factor share copies of the model. A token
#: that passes through both waits for the slower one, so that others stay apart.
TIER_RATIO = 1.5

#: Bisection steps of `find_max_kv`.
_SEARCH_STEPS = 24


def size_ranges(
    engine: EngineModel, kind_names: Iterable[str], kv_tokens: float
) -> dict[str, int]:
    """Return for each kind the most layers that leave memory for `kv_tokens`."""
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
    """Return the total number of layers of the targets, given sizes by kind."""
    return sum(sizes.get(target.kind, 0) for target in targets)


def can_hold_model(
    engine: EngineModel, targets: Sequence[TargetRecord], kv_tokens: float
) -> bool:
    """Return whether the targets can hold all layers and `kv_tokens` each."""
    sizes = size_ranges(engine, [target.kind for target in targets], kv_tokens)
    return count_layers(sizes, targets) >= engine.layers


def find_max_kv(
    engine: EngineModel, targets: Sequence[TargetRecord], layers: int
) -> float:
    """Return the most KV tokens that each can keep with `layers` layers in total."""
    names = [target.kind for target in targets]
    low, high = 0.0, 4e6
    for _ in range(_SEARCH_STEPS):
        kv_tokens = (low + high) / 2
        if count_layers(size_ranges(engine, names, kv_tokens), targets) >= layers:
            low = kv_tokens
        else:
            high = kv_tokens
    return low


def count_fast_kv(engine: EngineModel, instances: int) -> float:
    """Return the KV cache that a fast engine keeps, in tokens.

    Most answers pass through the few fast engines, and each instance may have sent a
    request that the others do not know of yet. So the KV cache has room for one more
    request per instance.
    """
    request_tokens = engine.mean_prompt_tokens + engine.mean_answer_tokens
    return MIN_KV_TOKENS + instances * request_tokens


def group_kinds(
    engine: EngineModel, targets: Iterable[TargetRecord]
) -> list[frozenset[str]]:
    """Return the kinds of targets in tiers of similar speed, the fastest tier first."""
    kinds = {target.kind for target in targets if target.kind in engine.kinds}
    tiers: list[list[str]] = []
    for name in sorted(kinds, key=lambda name: (engine.kinds[name].step_factor, name)):
        factor = engine.kinds[name].step_factor
        if tiers and factor < engine.kinds[tiers[-1][0]].step_factor * TIER_RATIO:
            tiers[-1].append(name)
        else:
            tiers.append([name])
    return [frozenset(names) for names in tiers]


def find_fast_kinds(
    engine: EngineModel, targets: Iterable[TargetRecord]
) -> frozenset[str]:
    """Return the kinds of all tiers but the slowest one."""
    return frozenset().union(*group_kinds(engine, targets)[:-1])


def group_by_data_centre(
    targets: Iterable[TargetRecord],
) -> dict[str, list[TargetRecord]]:
    """Return the targets by data centre, sorted by its name."""
    by_centre: dict[str, list[TargetRecord]] = {}
    for target in sorted(targets, key=lambda item: item.data_centre):
        by_centre.setdefault(target.data_centre, []).append(target)
    return by_centre
