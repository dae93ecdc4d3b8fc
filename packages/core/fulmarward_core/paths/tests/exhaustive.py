"""Reference implementation for choosing a path: tries each target at each layer."""

from collections.abc import Sequence
from dataclasses import dataclass

from fulmarward_core.fleet import EngineModel, LayerRange
from fulmarward_core.paths import Hop, PathRequest, count_tokens_held
from fulmarward_core.paths.decisions import (
    HOP_COST_MS,
    LINK_TRANSFER_WEIGHT,
    LOAD_PENALTY,
    USABLE_KV_SHARE,
)
from fulmarward_core.paths.tests.stages import LoadedStage


@dataclass(frozen=True)
class _PartialPath:
    """The cheapest way to run all layers below a position."""

    cost: float
    hops: tuple[Hop, ...]
    data_centre: str


def _estimate_ms(
    engine: EngineModel, stage: LoadedStage, layers: int, request: PathRequest
) -> float:
    """Return the time of a request at a stage, in ms."""
    share = layers / engine.layers
    batch = engine.step_ms + engine.sequence_ms * (stage.running + 1)
    context = engine.context_ms_per_k * stage.running
    step = (batch + context) * stage.kind.step_factor * share * stage.pace
    prefill = request.prompt / engine.prefill_tokens_per_s * 1000
    prefill *= stage.kind.prefill_factor * share * stage.pace
    used = stage.kv_reserved / max(stage.kv_capacity, 1.0)
    penalty = 1 + LOAD_PENALTY * used**4
    return (step * request.answer + prefill) * penalty * stage.preference


def _estimate_crossing_ms(
    engine: EngineModel, origin: str, destination: str, request: PathRequest
) -> float:
    """Return the cost of crossing between two data centres, in ms."""
    if origin == destination:
        return 0.0
    delay = engine.delays_ms.get((origin, destination), 1.0)
    transfer = request.prompt * engine.activation_bytes * 8 / (engine.pipe_mbps * 1e3)
    return delay * request.answer + transfer * LINK_TRANSFER_WEIGHT


def choose_path_exhaustively(
    engine: EngineModel, stages: Sequence[LoadedStage], request: PathRequest
) -> tuple[Hop, ...] | None:
    """Return the hops of the cheapest path, or `None` when there is none with room."""
    path = find_cheapest_exhaustively(engine, stages, request)
    return None if path is None else path.hops


def find_cheapest_exhaustively(
    engine: EngineModel, stages: Sequence[LoadedStage], request: PathRequest
) -> _PartialPath | None:
    """Return the cheapest path with its cost, or `None` when there is none with room.

    A target is used at most once, since each hop runs up to the last layer that its
    target holds.
    """
    tokens = count_tokens_held(request)
    usable = [stage for stage in stages if _has_room(stage, tokens, request)]
    reached: dict[int, dict[str, _PartialPath]] = {}
    if request.first is None:
        start = _PartialPath(cost=0.0, hops=(), data_centre=request.data_centre)
        reached[0] = {"": start}
    else:
        centre = next(
            (s.data_centre for s in stages if s.target == request.first.target),
            request.data_centre,
        )
        start = _PartialPath(cost=0.0, hops=(request.first,), data_centre=centre)
        reached[request.first.layers.end] = {centre: start}
        usable = [stage for stage in usable if stage.target != request.first.target]
    for position in range(engine.layers):
        for path in list(reached.get(position, {}).values()):
            for stage in usable:
                if stage.layers.start <= position < stage.layers.end:
                    _extend(engine, reached, path, stage, position, request)
    ends = reached.get(engine.layers, {})
    if not ends:
        return None
    return min(ends.values(), key=lambda path: path.cost)


def _has_room(stage: LoadedStage, tokens: int, request: PathRequest) -> bool:
    if not stage.is_usable or stage.target in request.avoided:
        return False
    required = tokens * len(stage.layers)
    is_local = stage.data_centre == request.data_centre
    planned = USABLE_KV_SHARE if is_local else request.remote.usable_kv_share
    planned *= request.kv_share
    return stage.kv_reserved + required <= stage.kv_capacity * planned


def _extend(
    engine: EngineModel,
    reached: dict[int, dict[str, _PartialPath]],
    path: _PartialPath,
    stage: LoadedStage,
    position: int,
    request: PathRequest,
) -> None:
    """Extend a path by `stage`, and keep it if it is the cheapest to its end."""
    if not path.hops:
        if stage.first_running >= engine.slots:
            return
        is_remote = stage.data_centre != request.data_centre
        crossing_ms = request.remote.first_hop_ms if is_remote else 0.0
    elif stage.data_centre != path.data_centre and not request.may_cross:
        return
    else:
        crossing_ms = _estimate_crossing_ms(
            engine, path.data_centre, stage.data_centre, request
        )
    end = stage.layers.end
    stage_ms = _estimate_ms(engine, stage, end - position, request)
    cost = path.cost + crossing_ms + HOP_COST_MS + stage_ms
    known = reached.setdefault(end, {}).get(stage.data_centre)
    if known is not None and known.cost <= cost:
        return
    hop = Hop(
        target=stage.target,
        address=stage.address,
        layers=LayerRange(start=position, end=end),
    )
    reached[end][stage.data_centre] = _PartialPath(
        cost=cost, hops=(*path.hops, hop), data_centre=stage.data_centre
    )
