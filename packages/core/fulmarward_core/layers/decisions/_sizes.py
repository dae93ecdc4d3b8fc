"""How many layers an engine of a kind may hold, and which kinds are fast."""

from collections.abc import Iterable, Mapping, Sequence

from fulmarward_core.fleet import EngineModel, TargetRecord

#: Least KV cache that an engine keeps beside its layers, in tokens. Load: usual
#: prompts and answers of 900 to 1,000 tokens; harm: a path whose thinnest engine
#: sheds while the others are idle; reason: 40 requests of the usual size at once.
LEAST_KV_TOKENS = 36_000

#: How many times as long a step of the slowest kind must take for a kind to count as
#: fast. Reason: kinds differ by 7% or by a factor of five and more, little between.
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


def find_most_kv(
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

    `LEAST_KV_TOKENS`, and one usual request of each instance. Load: most of 31 answers
    a second, each open for 1.5 s, pass through the few fast engines, and each instance
    may have sent one that the others do not know of yet; harm: with less, engines
    preempt streams that run (86 instances, 40,000 tokens: 300 preempted in a day, 60
    cut; worth 0.532 against 0.625 with equal KV cache everywhere); with more, fast
    engines hold fewer layers and each answer is open for longer (9 instances: 1.63 s
    with 64,000 tokens, 1.45 s with 40,000). Mean worth of ten days with trouble on
    three fleets of 6 to 9 instances with 64,000, 40,000 and 28,000: 0.738 0.754 0.757,
    0.706 0.702 0.674, 0.792 0.807 0.797.
    """
    usual = engine.usual_prompt + engine.usual_answer
    return LEAST_KV_TOKENS + instances * usual


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
