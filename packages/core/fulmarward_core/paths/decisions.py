"""Through which targets a request runs the layers of its model.

Every layer is run once and in order: a path is a chain of hops whose ranges meet
end to end. Among all chains the one with the least estimated time is taken. The time
of a hop is what its accelerator needs for the usual request, stretched by what
already runs there; a hop into another data centre adds its delay and the time for
which the prompt's activations fill the pipe that all share.
"""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from fulmarward_core.fleet import AcceleratorKind, EngineModel, LayerRange

#: Share of a target's KV cache that paths may plan with. The rest is for answers that
#: are longer than hinted, and for what other instances sent meanwhile.
PLANNED_KV = 0.9

#: Milliseconds that a first hop outside of the own data centre counts extra: answers
#: that cross are paid for by the byte.
FAR_FIRST_MS = 200.0

#: How often the pipe's transfer time counts. Transfers queue one after another, and
#: tokens of running answers wait behind them, so that a path that crosses must be worse
#: than any load within a data centre.
PIPE_WEIGHT = 40.0

#: Growth of a stage's cost with the share of its KV cache that is reserved, to the
#: fourth power: none up to a half, four times the cost when nearly full.
LOAD_PENALTY = 4.0

#: Share by which instances differ in how they count a target's time. Guards against
#: instances that all choose the same path in the same moment, each knowing the others'
#: choice only later.
PREFERENCE_SPREAD = 0.3


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
    #: KV cache in all, and reserved to requests by all instances; tokens x layers.
    kv_capacity: float
    kv_reserved: float
    #: Requests that run there, as far as known.
    running: int
    #: Requests for which it is the first of the path.
    first_running: int
    #: Factor on its times: over 1 when it is slow.
    pace: float
    #: Factor by which the instance that chooses counts its time.
    preference: float
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


def compute_preference(instance: str, target: str) -> float:
    """Return the factor by which an instance counts a target's time.

    It is between 1 and 1 + `PREFERENCE_SPREAD` and the same at every call, so that an
    instance keeps to its paths.
    """
    digest = hashlib.blake2b(f"{instance}\n{target}".encode(), digest_size=2).digest()
    return 1.0 + PREFERENCE_SPREAD * int.from_bytes(digest) / 0xFFFF


def count_tokens_held(request: PathRequest) -> int:
    """Return the KV cache that a request will hold at its end, in tokens."""
    return request.prompt + request.answer


class _Reach:
    """The best way to have run all layers below a point, ending at a target.

    No frozen data class, since a choice makes hundreds of them.
    """

    __slots__ = ("before", "cost", "data_centre", "position", "stage")

    def __init__(
        self,
        cost: float,
        data_centre: str,
        *,
        stage: Stage | None = None,
        position: int = 0,
        before: "_Reach | None" = None,
    ) -> None:
        self.cost = cost
        self.data_centre = data_centre
        #: The target, the first layer that it runs, and the way up to there; `None` at
        #: the start.
        self.stage = stage
        self.position = position
        self.before = before


def choose_path(
    engine: EngineModel, stages: Sequence[Stage], request: PathRequest
) -> tuple[Hop, ...] | None:
    """Return the hops of the cheapest path, or `None` when there is none with room.

    A target serves at most one part: having run its layers up to their end, a path is
    past all that it holds.
    """
    first = request.first
    usable = _list_usable(stages, request)
    position, start = 0, _Reach(0.0, request.data_centre)
    if first is not None:
        position = first.layers.end
        start = _Reach(0.0, _find_data_centre(stages, request))
    reached: dict[int, dict[str, _Reach]] = {position: {start.data_centre: start}}
    search = _Search(engine, request, usable)
    for position in range(engine.layers):
        if position in reached:
            search.extend(reached, position)
    ends = reached.get(engine.layers)
    if not ends:
        return None
    return _list_hops(min(ends.values(), key=lambda reach: reach.cost), first)


def _list_usable(stages: Sequence[Stage], request: PathRequest) -> list[Stage]:
    """Return the stages that may be a part of the path."""
    tokens = count_tokens_held(request)
    first = None if request.first is None else request.first.target
    return [
        stage
        for stage in stages
        if stage.is_usable
        and stage.target not in request.avoided
        and stage.target != first
        and stage.kv_reserved + tokens * (stage.layers.end - stage.layers.start)
        <= stage.kv_capacity * PLANNED_KV
    ]


def _find_data_centre(stages: Sequence[Stage], request: PathRequest) -> str:
    """Return where the given first hop stands, as far as known."""
    for stage in stages:
        if stage.target == request.first.target:
            return stage.data_centre
    return request.data_centre


def _list_hops(end: _Reach, first: Hop | None) -> tuple[Hop, ...]:
    """Return the hops of the way that ends there."""
    hops = []
    reach = end
    while reach.stage is not None:
        stage = reach.stage
        layers = LayerRange(start=reach.position, end=stage.layers.end)
        hops.append(Hop(target=stage.target, address=stage.address, layers=layers))
        reach = reach.before
    if first is not None:
        hops.append(first)
    return tuple(reversed(hops))


class _Search:
    """What a choice works out once: by target, and by layer that paths come to.

    Guards against working it out for each way to a target, and against looking for it
    among all targets from each layer: together most of a choice among a hundred.
    """

    def __init__(
        self, engine: EngineModel, request: PathRequest, usable: Sequence[Stage]
    ) -> None:
        self._engine = engine
        self._request = request
        self._rates = {id(stage): self._rate(stage) for stage in usable}
        #: Stages that hold each layer, in their order.
        self._holders: list[list[Stage]] = [[] for _ in range(engine.layers)]
        for stage in usable:
            for holders in self._holders[stage.layers.start : stage.layers.end]:
                holders.append(stage)

    def _rate(self, stage: Stage) -> tuple[float, float, float]:
        """Return the time of a step through all layers, that of the whole prompt with
        no regard to accelerator and pace, and the load penalty.
        """
        engine, request = self._engine, self._request
        batch = engine.step_ms + engine.sequence_ms * (stage.running + 1)
        context = engine.context_ms_per_k * stage.running
        prefill = request.prompt / engine.prefill_tokens_per_s * 1000
        used = stage.kv_reserved / max(stage.kv_capacity, 1.0)
        step = (batch + context) * stage.kind.step_factor
        return step, prefill, 1 + LOAD_PENALTY * used**4

    def extend(self, reached: dict[int, dict[str, _Reach]], position: int) -> None:
        """Note the ways on from a layer that are the best to where they lead."""
        # Whoever begins is the only one at its layer.
        is_beginning = position == 0 and self._request.first is None
        best = self._list_best(position, is_beginning)
        for reach in list(reached[position].values()):
            moves: dict[str, float | None] = {}
            for stage, working in best:
                centre = stage.data_centre
                if centre not in moves:
                    moves[centre] = self._find_moving(reach, centre, is_beginning)
                moving = moves[centre]
                if moving is None:
                    continue
                cost = reach.cost + moving + working
                ways = reached.setdefault(stage.layers.end, {})
                known = ways.get(centre)
                if known is None or cost < known.cost:
                    ways[centre] = _Reach(
                        cost, centre, stage=stage, position=position, before=reach
                    )

    def _list_best(
        self, position: int, is_beginning: bool
    ) -> Iterable[tuple[Stage, float]]:
        """Return the quickest stages from a layer on, one for each data centre and end,
        and their times: any other costs more for every way that leads there.
        """
        best: dict[tuple[str, int], tuple[Stage, float]] = {}
        for stage in self._holders[position]:
            if is_beginning and stage.first_running >= self._engine.slots:
                continue
            working = self._estimate_ms(stage, position)
            place = (stage.data_centre, stage.layers.end)
            if place not in best or working < best[place][1]:
                best[place] = (stage, working)
        return best.values()

    def _estimate_ms(self, stage: Stage, position: int) -> float:
        """Return the time that a request spends at a stage from a layer on, in ms."""
        step, prefill, penalty = self._rates[id(stage)]
        share = (stage.layers.end - position) / self._engine.layers
        work = step * share * stage.pace * self._request.answer
        work += prefill * (stage.kind.prefill_factor * share * stage.pace)
        return work * penalty * stage.preference

    def _find_moving(
        self, reach: _Reach, data_centre: str, is_beginning: bool
    ) -> float | None:
        """Return what it costs to go on in a data centre, `None` if it may not be."""
        request = self._request
        if is_beginning:
            return 0.0 if data_centre == request.data_centre else FAR_FIRST_MS
        if data_centre == reach.data_centre:
            return 0.0
        if not request.may_cross:
            return None
        return _estimate_hop_ms(self._engine, reach.data_centre, data_centre, request)


def _estimate_hop_ms(
    engine: EngineModel, before: str, after: str, request: PathRequest
) -> float:
    """Return what it costs to go on in another data centre, in ms."""
    delay = engine.delays_ms.get((before, after), 1.0)
    transfer = request.prompt * engine.activation_bytes * 8 / (engine.pipe_mbps * 1e3)
    return delay * request.answer + transfer * PIPE_WEIGHT
