"""Through which targets a request runs the layers of its model.

Every layer is run once and in order: a path is a chain of hops whose ranges meet
end to end. Among all chains the one with the least estimated time is taken. The time
of a hop is what its accelerator needs for the usual request, stretched by what
already runs there; a hop into another data centre adds its delay and the time for
which the prompt's activations fill the pipe that all share.
"""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from fulmarward_core.fleet import AcceleratorKind, EngineModel, LayerRange

#: Part of a target's KV cache that paths may plan with. Load: requests whose answers
#: are longer than hinted; harm: the engine preempts its newest request in the middle
#: of the stream; reason: leaves a tenth for what other instances sent meanwhile.
PLANNED_KV = 0.9

#: Milliseconds that a first hop outside the own data centre counts extra. Load: a
#: balanced fleet; harm: answers cross data centres, which is paid for by the byte;
#: reason: a tenth of the usual answer's time, so that a small difference of load moves
#: nothing and a queue does.
FAR_FIRST_MS = 200.0

#: How often the pipe's transfer time counts. Load: all data centres' prompts meet in
#: one pipe, one after another, and tokens of running answers wait behind them; harm:
#: pauses of all streams that cross; reason: a prompt of 800 tokens holds the pipe for
#: 37 ms, and a path that crosses must be worse than any crowding within a data centre.
#: With 3 in place of 40, 0.7 prompts crossed for each request of a calm day.
PIPE_WEIGHT = 40.0


#: Growth of a stage's cost with the part of its KV cache that is promised, to the
#: fourth power. Load: a data centre that takes another's requests; harm: answers that
#: grow longer than hinted push out the newest request; reason: nothing up to a half,
#: four times the cost when nearly full. What runs slows each step besides, and that is
#: in the step's time.
CROWDING = 4.0


#: Part by which instances differ in how they count a target's time. Load: a data centre
#: loses a part of its model, and 79 instances send what ran there to others in the same
#: moment, each knowing the others' choice only a second later; harm: all choose the
#: same best path, its KV cache is full in 0.2 s and callers are refused (88 attempts in
#: a second, 19 with this); reason: two paths that are this close are as good as each
#: other, and usual pauses are a fifth of what answers may take.
TASTE = 0.3


@dataclass(frozen=True, kw_only=True)
class Stage:
    """One target as a possible part of a path."""

    #: Name, address and data centre of the target.
    target: str
    address: str
    data_centre: str
    #: Its kind of accelerator.
    kind: AcceleratorKind
    #: The layers that it holds.
    layers: LayerRange
    #: KV cache in all, and promised to requests by all instances; tokens x layers.
    kv_capacity: float
    kv_promised: float
    #: Requests that run there, as far as known.
    running: int
    #: Requests for which it is the first of the path.
    first_running: int
    #: Factor on its times: over 1 when it is slow.
    pace: float
    #: Factor by which the instance that chooses counts its time.
    taste: float
    #: Whether it may take new work.
    is_usable: bool


@dataclass(frozen=True, kw_only=True)
class Hop:
    """A part of a path: a target and the layers that it runs."""

    #: Name and address of the target.
    target: str
    address: str
    #: The layers.
    layers: LayerRange


@dataclass(frozen=True, kw_only=True)
class PathRequest:
    """What a path is wanted for."""

    #: Tokens of the prompt, and of the answer that is expected.
    prompt: int
    answer: int
    #: Data centre of the instance that sends it.
    data_centre: str
    #: First hop that is given, when a running request is led around a lost target.
    first: Hop | None = None
    #: Targets not to be used.
    avoided: frozenset[str] = frozenset()
    #: Whether it may go on in another data centre than it began in.
    may_cross: bool = True


def compute_taste(instance: str, target: str) -> float:
    """Return the factor by which an instance counts a target's time, 1 to 1 + `TASTE`.

    It is the same at every call, so that an instance keeps to its paths.
    """
    digest = hashlib.blake2b(f"{instance}\n{target}".encode(), digest_size=2).digest()
    return 1.0 + TASTE * int.from_bytes(digest) / 0xFFFF


def count_tokens_held(request: PathRequest) -> int:
    """Return the KV cache that a request will hold at its end, in tokens."""
    return request.prompt + request.answer


@dataclass(frozen=True)
class _Reach:
    """The best way to have run all layers below a point, ending at a target."""

    cost: float
    hops: tuple[Hop, ...]
    data_centre: str


def _estimate_ms(
    engine: EngineModel, stage: Stage, layers: int, request: PathRequest
) -> float:
    """Return the time that a request spends at a stage, in ms."""
    share = layers / engine.layers
    batch = engine.step_ms + engine.sequence_ms * (stage.running + 1)
    context = engine.context_ms_per_k * stage.running
    step = (batch + context) * stage.kind.step_factor * share * stage.pace
    prefill = request.prompt / engine.prefill_tokens_per_s * 1000
    prefill *= stage.kind.prefill_factor * share * stage.pace
    used = stage.kv_promised / max(stage.kv_capacity, 1.0)
    crowding = 1 + CROWDING * used**4
    return (step * request.answer + prefill) * crowding * stage.taste


def _estimate_hop_ms(
    engine: EngineModel, before: str, after: str, request: PathRequest
) -> float:
    """Return what it costs to go on in another data centre, in ms."""
    if before == after:
        return 0.0
    delay = engine.delays_ms.get((before, after), 1.0)
    transfer = request.prompt * engine.activation_bytes * 8 / (engine.pipe_mbps * 1e3)
    return delay * request.answer + transfer * PIPE_WEIGHT


def choose_path(
    engine: EngineModel, stages: Sequence[Stage], request: PathRequest
) -> tuple[Hop, ...] | None:
    """Return the hops of the cheapest path, or `None` when there is none with room.

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
    return min(ends.values(), key=lambda reach: reach.cost).hops


def _has_room(stage: Stage, tokens: int, request: PathRequest) -> bool:
    if not stage.is_usable or stage.target in request.avoided:
        return False
    wanted = tokens * len(stage.layers)
    return stage.kv_promised + wanted <= stage.kv_capacity * PLANNED_KV


def _extend(
    engine: EngineModel,
    reached: dict[int, dict[str, _Reach]],
    reach: _Reach,
    stage: Stage,
    position: int,
    request: PathRequest,
) -> None:
    """Note the way on through `stage`, if it is the best one to where it leads."""
    if not reach.hops:
        if stage.first_running >= engine.slots:
            return
        is_far = stage.data_centre != request.data_centre
        moving = FAR_FIRST_MS if is_far else 0.0
    elif stage.data_centre != reach.data_centre and not request.may_cross:
        return
    else:
        moving = _estimate_hop_ms(engine, reach.data_centre, stage.data_centre, request)
    end = stage.layers.end
    working = _estimate_ms(engine, stage, end - position, request)
    cost = reach.cost + moving + working
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
