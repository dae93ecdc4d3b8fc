"""The plain way to choose a path, to compare with: each target from each layer."""

from collections.abc import Sequence
from dataclasses import dataclass

from fulmarward_core.fleet import EngineModel, LayerRange
from fulmarward_core.paths import Hop, PathRequest, count_tokens_held
from fulmarward_core.paths.decisions import (
    HOP_MS,
    LOAD_PENALTY,
    PIPE_WEIGHT,
    PLANNED_KV,
)
from fulmarward_core.paths.tests.stages import LoadedStage


@dataclass(frozen=True)
class _Reach:
    """The best way to have run all layers below a point, ending at a target."""

    cost: float
    hops: tuple[Hop, ...]
    data_centre: str


def _estimate_ms(
    engine: EngineModel, stage: LoadedStage, layers: int, request: PathRequest
) -> float:
    """Return the time that a request spends at a stage, in ms."""
    share = layers / engine.layers
    batch = engine.step_ms + engine.sequence_ms * (stage.running + 1)
    context = engine.context_ms_per_k * stage.running
    step = (batch + context) * stage.kind.step_factor * share * stage.pace
    prefill = request.prompt / engine.prefill_tokens_per_s * 1000
    prefill *= stage.kind.prefill_factor * share * stage.pace
    used = stage.kv_reserved / max(stage.kv_capacity, 1.0)
    penalty = 1 + LOAD_PENALTY * used**4
    return (step * request.answer + prefill) * penalty * stage.preference


def _estimate_hop_ms(
    engine: EngineModel, before: str, after: str, request: PathRequest
) -> float:
    """Return what it costs to go on in another data centre, in ms."""
    if before == after:
        return 0.0
    delay = engine.delays_ms.get((before, after), 1.0)
    transfer = request.prompt * engine.activation_bytes * 8 / (engine.pipe_mbps * 1e3)
    return delay * request.answer + transfer * PIPE_WEIGHT


def choose_path_plainly(
    engine: EngineModel, stages: Sequence[LoadedStage], request: PathRequest
) -> tuple[Hop, ...] | None:
    """Return the hops of the cheapest path, or `None` when there is none with room."""
    way = find_cheapest_plainly(engine, stages, request)
    return None if way is None else way.hops


def find_cheapest_plainly(
    engine: EngineModel, stages: Sequence[LoadedStage], request: PathRequest
) -> _Reach | None:
    """Return the cheapest path with its cost, or `None` when there is none with room.

    A target serves at most one part: having run its layers up to their end, a path is
    past all that it holds.
    """
    tokens = count_tokens_held(request)
    usable = [stage for stage in stages if _has_room(stage, tokens, request)]
    reached: dict[int, dict[str, _Reach]] = {}
    if request.first is None:
        start = _Reach(cost=0.0, hops=(), data_centre=request.data_centre)
        reached[0] = {"": start}
    else:
        centre = next(
            (s.data_centre for s in stages if s.target == request.first.target),
            request.data_centre,
        )
        start = _Reach(cost=0.0, hops=(request.first,), data_centre=centre)
        reached[request.first.layers.end] = {centre: start}
        usable = [stage for stage in usable if stage.target != request.first.target]
    for position in range(engine.layers):
        for reach in list(reached.get(position, {}).values()):
            for stage in usable:
                if stage.layers.start <= position < stage.layers.end:
                    _extend(engine, reached, reach, stage, position, request)
    ends = reached.get(engine.layers, {})
    if not ends:
        return None
    return min(ends.values(), key=lambda reach: reach.cost)


def _has_room(stage: LoadedStage, tokens: int, request: PathRequest) -> bool:
    if not stage.is_usable or stage.target in request.avoided:
        return False
    wanted = tokens * len(stage.layers)
    is_near = stage.data_centre == request.data_centre
    planned = PLANNED_KV if is_near else request.far.planned_kv
    planned *= request.kv_share
    return stage.kv_reserved + wanted <= stage.kv_capacity * planned


def _extend(
    engine: EngineModel,
    reached: dict[int, dict[str, _Reach]],
    reach: _Reach,
    stage: LoadedStage,
    position: int,
    request: PathRequest,
) -> None:
    """Note the way on through `stage`, if it is the best one to where it leads."""
    if not reach.hops:
        if stage.first_running >= engine.slots:
            return
        is_far = stage.data_centre != request.data_centre
        moving = request.far.first_ms if is_far else 0.0
    elif stage.data_centre != reach.data_centre and not request.may_cross:
        return
    else:
        moving = _estimate_hop_ms(engine, reach.data_centre, stage.data_centre, request)
    end = stage.layers.end
    working = _estimate_ms(engine, stage, end - position, request)
    cost = reach.cost + moving + HOP_MS + working
    known = reached.setdefault(end, {}).get(stage.data_centre)
    if known is not None and known.cost <= cost:
        return
    hop = Hop(
        target=stage.target,
        address=stage.address,
        layers=LayerRange(start=position, end=end),
    )
    reached[end][stage.data_centre] = _Reach(
        cost=cost, hops=(*reach.hops, hop), data_centre=stage.data_centre
    )
