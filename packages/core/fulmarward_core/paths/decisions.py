"""Through which targets a request runs the layers of its model.

Every layer is run once and in order: a path is a chain of hops whose ranges meet
end to end. Among all chains the one with the least estimated time is taken. The time
of a hop is what its accelerator needs for the usual request, stretched by what
already runs there; a hop into another data centre adds its delay and the time for
which the prompt's activations fill the pipe that all share.
"""

import hashlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from itertools import chain, permutations

from fulmarward_core.fleet import AcceleratorKind, EngineModel, LayerRange

#: Share of a target's KV cache that paths may plan with. The rest is for answers that
#: are longer than hinted, and for what other instances sent meanwhile.
PLANNED_KV = 0.9

#: How often the pipe's transfer time counts. Transfers queue one after another, and
#: tokens of running answers wait behind them, so that a path that crosses must be worse
#: than any load within a data centre.
PIPE_WEIGHT = 40.0

#: Milliseconds that each target of a path counts extra: a stream pauses whenever one of
#: its targets is lost.
HOP_MS = 40.0

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
    #: KV cache in all; tokens x layers.
    kv_capacity: float
    #: Factor by which the instance that chooses counts its time.
    preference: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Occupancy:
    """What runs at a target, as far as known when a path is chosen."""

    #: KV cache reserved for requests of all instances; tokens x layers.
    kv_reserved: float
    #: Requests that run there, and those for which it is the first of the path.
    running: int
    first_running: int
    #: Factor on its times: over 1 when it is slow.
    pace: float


#: Returns what runs at a stage, `None` if it may take no new work.
ReadOccupancy = Callable[[Stage], Occupancy | None]


@dataclass(frozen=True, kw_only=True)
class Hop:
    """A part of a path: a target and the layers that it runs."""

    #: Name and address of the target.
    target: str
    address: str
    #: The layers.
    layers: LayerRange


@dataclass(frozen=True, kw_only=True)
class FarTerms:
    """How a choice weighs targets outside of the own data centre."""

    #: Milliseconds that a first hop there counts extra.
    first_ms: float
    #: Share of their KV cache that paths may plan with.
    planned_kv: float
    #: Whether a path may cross data centres for being cheaper, not only where none of
    #: them has a path of its own.
    may_cross_for_cost: bool


#: Terms where every instance hears the loads of all others at once.
DIRECT_TERMS = FarTerms(first_ms=200.0, planned_kv=PLANNED_KV, may_cross_for_cost=True)

#: Terms where hubs pass on what other data centres send, so that it is known late.
#: Guards against all data centres that send to the one with the fastest targets: an
#: answer is no more in time for being faster, and these targets are saturated.
HUB_TERMS = FarTerms(first_ms=1000.0, planned_kv=0.7, may_cross_for_cost=False)


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
    #: Share of the planned KV cache that it may fill.
    kv_share: float = 1.0
    #: How targets of other data centres count.
    far: FarTerms = DIRECT_TERMS


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
    """The best way to have run all layers below a point, ending in a data centre.

    No frozen data class, since a choice makes hundreds of them.
    """

    __slots__ = ("before", "cost", "position", "stage")

    def __init__(
        self,
        cost: float,
        *,
        stage: Stage | None = None,
        position: int = 0,
        before: "_Reach | None" = None,
    ) -> None:
        self.cost = cost
        #: The target, the first layer that it runs, and the way up to there; `None` at
        #: the start.
        self.stage = stage
        self.position = position
        self.before = before


_INFINITE = float("inf")


@dataclass(frozen=True, kw_only=True)
class _Bound:
    """What a path costs at least while nothing runs: for each token, and in all."""

    answer_ms: float
    prompt_ms: float
    hops_ms: float

    def estimate_ms(self, request: PathRequest) -> float:
        """Return what a request costs at least, in ms."""
        tokens_ms = self.answer_ms * request.answer + self.prompt_ms * request.prompt
        return tokens_ms + self.hops_ms


class StageIndex:
    """The targets that hold each layer, by data centre.

    It holds as long as no target comes, goes or holds other layers, for the choice of
    many paths. What runs at a target is read only where a path may come to it.
    """

    def __init__(self, *, engine: EngineModel, stages: Iterable[Stage]) -> None:
        self.engine = engine
        self._stages = {stage.target: stage for stage in stages}
        self._holders: list[dict[str, list[Stage]]] = [{} for _ in range(engine.layers)]
        for stage in self._stages.values():
            held = self._holders[stage.layers.start : stage.layers.end]
            for by_centre in held:
                by_centre.setdefault(stage.data_centre, []).append(stage)
        centres = {stage.data_centre for stage in self._stages.values()}
        self._bounds = {
            centre: self._bound(frozenset({centre})) for centre in self._holders[0]
        }
        self._fleet_bound = self._bound(frozenset(centres))
        self._min_delay_ms = min(
            (engine.delays_ms.get(pair, 1.0) for pair in permutations(centres, 2)),
            default=_INFINITE,
        )

    def _bound(self, centres: frozenset[str]) -> _Bound:
        """Return what the best path within data centres costs at least."""
        layers = self.engine.layers
        steps, prefills, hops = ([0.0] + [_INFINITE] * layers for _ in range(3))
        for position, holders in enumerate(self._holders):
            held = chain.from_iterable(holders.get(centre, ()) for centre in centres)
            for stage in held:
                end, kind = stage.layers.end, stage.kind
                width = end - position
                step = steps[position] + kind.step_factor * width
                prefill = prefills[position] + kind.prefill_factor * width
                steps[end] = min(steps[end], step)
                prefills[end] = min(prefills[end], prefill)
                hops[end] = min(hops[end], hops[position] + 1)
        step_ms = self.engine.step_ms + self.engine.sequence_ms
        prefill_ms = 1000 / self.engine.prefill_tokens_per_s
        return _Bound(
            answer_ms=step_ms * steps[layers] / layers,
            prompt_ms=prefill_ms * prefills[layers] / layers,
            hops_ms=HOP_MS * hops[layers],
        )

    def choose_path(
        self, request: PathRequest, *, read: ReadOccupancy
    ) -> tuple[Hop, ...] | None:
        """Return the hops of the cheapest path, or `None` when there is none with room.

        A target serves at most one part: having run its layers up to their end, a path
        is past all that it holds. Paths within one data centre are searched first, and
        those that cross only where none was found or, if the request's terms allow it,
        where one of them may be cheaper.
        """
        search = _Search(self.engine, request, read)
        first = request.first
        if first is not None:
            centre = request.data_centre
            if first.target in self._stages:
                centre = self._stages[first.target].data_centre
            start = {centre: _Reach(0.0)}
            end = self._search_all(search, first.layers.end, start)
            return None if end is None else _list_hops(end, first)
        end = self._search_within(search)
        if request.may_cross and self._may_cross(search, end):
            start = {request.data_centre: _Reach(0.0)}
            end = self._search_all(search, 0, start) or end
        return None if end is None else _list_hops(end, None)

    def _may_cross(self, search: "_Search", end: _Reach | None) -> bool:
        """Return whether a path that crosses may go before one that was found."""
        if end is None:
            return True
        if not search.request.far.may_cross_for_cost:
            return False
        crossing_ms = search.estimate_crossing_ms(self._min_delay_ms)
        return self._fleet_bound.estimate_ms(search.request) + crossing_ms < end.cost

    def _search_within(self, search: "_Search") -> _Reach | None:
        """Return the end of the cheapest path that stays in one data centre."""
        request, best = search.request, None
        centres = sorted(
            self._bounds,
            key=lambda centre: (centre != request.data_centre, centre),
        )
        for centre in centres:
            far_ms = 0.0 if centre == request.data_centre else request.far.first_ms
            least_ms = far_ms + self._bounds[centre].estimate_ms(request)
            if best is not None and least_ms >= best.cost:
                continue
            holders = [
                {centre: by_centre[centre]} if centre in by_centre else {}
                for by_centre in self._holders
            ]
            end = self._run(search, holders, 0, {centre: _Reach(far_ms)})
            if end is not None and (best is None or end.cost < best.cost):
                best = end
        return best

    def _search_all(
        self, search: "_Search", position: int, start: dict[str, _Reach]
    ) -> _Reach | None:
        """Return the end of the cheapest path that goes on from a layer."""
        return self._run(search, self._holders, position, start)

    def _run(
        self,
        search: "_Search",
        holders: Sequence[dict[str, list[Stage]]],
        position: int,
        start: dict[str, _Reach],
    ) -> _Reach | None:
        reached: list[dict[str, _Reach]] = [{} for _ in range(self.engine.layers + 1)]
        reached[position] = start
        for at in range(position, self.engine.layers):
            if reached[at]:
                search.extend(reached, at, holders[at])
        ends = reached[self.engine.layers]
        return min(ends.values(), key=lambda reach: reach.cost, default=None)


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
    """What the choice of one path works out once for each target."""

    def __init__(
        self, engine: EngineModel, request: PathRequest, read: ReadOccupancy
    ) -> None:
        self._engine = engine
        self.request = request
        self._read = read
        self._tokens = count_tokens_held(request)
        self._avoided = request.avoided
        if request.first is not None:
            self._avoided = request.avoided | {request.first.target}
        self._prefill_ms = request.prompt / engine.prefill_tokens_per_s * 1000
        #: Time of each layer at a target, in ms, `None` for one that may not be used.
        self._layer_ms: dict[str, float | None] = {}
        #: Targets all of whose slots are taken.
        self._full: set[str] = set()
        self._moving_ms: dict[tuple[str, str], float] = {}

    def extend(
        self,
        reached: Sequence[dict[str, _Reach]],
        position: int,
        holders: dict[str, list[Stage]],
    ) -> None:
        """Note the ways on from a layer that are the best to where they lead."""
        # Whoever begins is the only one at its layer.
        is_beginning = position == 0 and self.request.first is None
        here = list(reached[position].items())
        for centre, stages in holders.items():
            best = self._choose_origin(here, centre, is_beginning)
            if best is None:
                continue
            cost, before = best
            for stage in stages:
                layer_ms = self._find_layer_ms(stage)
                if layer_ms is None or is_beginning and stage.target in self._full:
                    continue
                end = stage.layers.end
                total = cost + HOP_MS + layer_ms * (end - position)
                known = reached[end].get(centre)
                if known is None or total < known.cost:
                    reached[end][centre] = _Reach(
                        total, stage=stage, position=position, before=before
                    )

    def _choose_origin(
        self, here: Sequence[tuple[str, _Reach]], centre: str, is_beginning: bool
    ) -> tuple[float, _Reach] | None:
        """Return the cheapest way to go on in a data centre, with its cost."""
        best: tuple[float, _Reach] | None = None
        for origin, reach in here:
            moving = 0.0
            if origin != centre:
                if is_beginning:
                    moving = self.request.far.first_ms
                elif not self.request.may_cross:
                    continue
                else:
                    moving = self._find_moving_ms(origin, centre)
            if best is None or reach.cost + moving < best[0]:
                best = reach.cost + moving, reach
        return best

    def _find_moving_ms(self, before: str, after: str) -> float:
        """Return what it costs to go on in another data centre, in ms."""
        pair = before, after
        if pair not in self._moving_ms:
            delay_ms = self._engine.delays_ms.get(pair, 1.0)
            self._moving_ms[pair] = self.estimate_crossing_ms(delay_ms)
        return self._moving_ms[pair]

    def estimate_crossing_ms(self, delay_ms: float) -> float:
        """Return what it costs to go on over a link with that delay, in ms."""
        engine, request = self._engine, self.request
        bits = request.prompt * engine.activation_bytes * 8
        transfer_ms = bits / (engine.pipe_mbps * 1e3)
        return delay_ms * request.answer + transfer_ms * PIPE_WEIGHT

    def _find_layer_ms(self, stage: Stage) -> float | None:
        """Return the time that the request spends at a stage for each layer, in ms.

        `None` if the stage may not be a part of the path.
        """
        if stage.target not in self._layer_ms:
            self._layer_ms[stage.target] = self._estimate_layer_ms(stage)
        return self._layer_ms[stage.target]

    def _estimate_layer_ms(self, stage: Stage) -> float | None:
        if stage.target in self._avoided:
            return None
        occupancy = self._read(stage)
        if occupancy is None:
            return None
        wanted = self._tokens * (stage.layers.end - stage.layers.start)
        is_near = stage.data_centre == self.request.data_centre
        planned = PLANNED_KV if is_near else self.request.far.planned_kv
        planned *= self.request.kv_share
        if occupancy.kv_reserved + wanted > stage.kv_capacity * planned:
            return None
        engine = self._engine
        if occupancy.first_running >= engine.slots:
            self._full.add(stage.target)
        running = occupancy.running
        step = engine.step_ms + engine.sequence_ms * (running + 1)
        step += engine.context_ms_per_k * running
        work = step * stage.kind.step_factor * self.request.answer
        work += self._prefill_ms * stage.kind.prefill_factor
        used = occupancy.kv_reserved / max(stage.kv_capacity, 1.0)
        penalty = 1 + LOAD_PENALTY * used**4
        return work * occupancy.pace * penalty * stage.preference / engine.layers
