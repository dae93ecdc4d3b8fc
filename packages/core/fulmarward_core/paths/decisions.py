"""Choice of the path of targets that run the layers of a model for a request.

Every layer runs once and in order: a path is a chain of hops with contiguous layer
ranges. The path with the lowest estimated time is chosen. The time of a hop is what its
accelerator needs for the request, scaled by the load there. A hop into another data
centre adds the network delay and the time for which the activations of the prompt
occupy the link that all requests share.
"""

import hashlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from itertools import accumulate, chain, pairwise, permutations
from typing import Protocol

from fulmarward_core.fleet import AcceleratorKind, EngineModel, LayerRange

#: Share of a target's KV cache that paths may plan with. The rest is for answers that
#: are longer than expected, and for requests that other instances sent meanwhile.
USABLE_KV_SHARE = 0.9

#: Weight of the transfer time on the link between data centres. Transfers queue, and
#: tokens of running answers wait behind them, so a path that crosses data centres must
#: cost more than any load within one.
LINK_TRANSFER_WEIGHT = 40.0

#: Extra cost of each target of a path, in ms, because a stream pauses whenever one of
#: its targets fails.
HOP_COST_MS = 40.0

#: Growth of a stage's cost with the fourth power of the reserved share of its KV cache:
#: almost none up to a half, four times the cost when it is nearly full.
LOAD_PENALTY = 4.0

#: Share of a target's KV cache that estimated loads fill at most.
ESTIMATED_KV_SHARE = 0.75

#: Range by which instances weight the time of the same target differently, as a share.
#: Guards against instances that all choose the same path at once because they learn of
#: each other's choice only later.
PREFERENCE_SPREAD = 0.3


@dataclass(frozen=True, kw_only=True)
class Stage:
    """A target as a candidate part of a path."""

    #: Name of the target.
    target: str
    address: str
    data_centre: str
    kind: AcceleratorKind
    #: Layers that it holds.
    layers: LayerRange
    #: Total KV cache, in tokens x layers.
    kv_capacity: float
    #: Factor that the choosing instance applies to its time.
    preference: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Occupancy:
    """Known load of a target when a path is chosen."""

    #: KV cache reserved for requests of all instances, in tokens x layers.
    kv_reserved: float
    #: Requests that run there, and those whose path starts there.
    running: int
    first_running: int
    #: Slowdown factor; above 1 when it is slow.
    pace: float


#: Returns the load of a stage, or `None` if it must not get new work.
ReadOccupancy = Callable[[Stage], Occupancy | None]


@dataclass(frozen=True, kw_only=True)
class Hop:
    """One part of a path: a target and the layers that it runs."""

    #: Name of the target.
    target: str
    address: str
    #: Layers that it runs for the path.
    layers: LayerRange


@dataclass(frozen=True, kw_only=True)
class KvCapacity:
    """KV cache for requests of a service, in tokens x layers of the model.

    The layer with the least KV cache limits both, as every request needs all layers.
    """

    #: What paths may plan with, and how much of it is not reserved.
    planned: float
    free: float


@dataclass(frozen=True, kw_only=True)
class RemoteTerms:
    """How targets in other data centres are weighted."""

    #: Extra cost of a first hop in another data centre, in ms.
    first_hop_ms: float
    #: Share of the KV cache of remote targets that paths may plan with.
    usable_kv_share: float
    #: Whether a path may cross data centres because that is cheaper, and not only if no
    #: data centre has a complete path.
    may_cross_for_cost: bool
    #: Data centres whose targets paths may use, `None` if all.
    data_centres: frozenset[str] | None = None


#: Used when every instance receives the loads of all others directly.
DIRECT_TERMS = RemoteTerms(
    first_hop_ms=200.0, usable_kv_share=USABLE_KV_SHARE, may_cross_for_cost=True
)

#: Used when hubs relay the loads of other data centres, which are then known late.
#: Guards against all data centres sending to the one with the fastest targets: these
#: would be saturated, and an answer need not be faster than its deadline.
HUB_TERMS = RemoteTerms(
    first_hop_ms=1000.0, usable_kv_share=0.7, may_cross_for_cost=False
)

#: Used for waiting requests of services with classes, so that a data centre that has
#: lost targets can use the others. A twentieth is left for what is sent there before
#: its load is known.
HUB_WAIT_TERMS = replace(HUB_TERMS, usable_kv_share=USABLE_KV_SHARE - 0.05)


class HeldLoad(Protocol):
    """What an attempt holds at a target, as `fulmarward_core.loads.Load`."""

    @property
    def kv(self) -> float:
        """KV cache, in tokens x layers."""

    @property
    def first_running(self) -> int:
        """1 if its path starts at the target, 0 otherwise."""


@dataclass(frozen=True, kw_only=True)
class PathRequest:
    """Request for which a path is chosen."""

    #: Tokens of the prompt, and expected tokens of the answer.
    prompt: int
    answer: int
    #: Tokens that the answer is likely to have, from which the duration of a path is
    #: estimated; `None` if as many as `answer`, which may be the caller's limit.
    likely_answer: int | None = None
    #: Data centre of the sending instance.
    data_centre: str
    #: Fixed first hop, when a running request is rerouted around a failed target.
    first: Hop | None = None
    #: Targets that must not be used.
    avoided: frozenset[str] = frozenset()
    #: Whether its tokens are those of an average request, as none are known, so that
    #: no path is too slow for it.
    has_unknown_length: bool = False
    #: Targets at which the path may begin, `None` if at any.
    first_targets: frozenset[str] | None = None
    #: Whether the path may span several data centres.
    may_cross: bool = True
    #: Share of the planned KV cache that it may fill.
    kv_share: float = 1.0
    #: Hops of the path of a running request, which hold their KV cache already.
    kept: frozenset[Hop] = frozenset()
    #: Load by target that ends before it begins: that of its own earlier attempt.
    released: Mapping[str, HeldLoad] = field(default_factory=dict, compare=False)
    #: Whether targets without room may be used, to learn if room is what is missing.
    ignores_load: bool = False
    #: How targets in other data centres are weighted.
    remote: RemoteTerms = DIRECT_TERMS
    #: Whether it waits for capacity in a service with classes.
    has_waited: bool = False
    #: A number from 0 to 1; it overflows if this is below the share that does. `None`
    #: where data centres are not balanced.
    overflow_draw: float | None = None


def compute_preference(instance: str, target: str) -> float:
    """Return the factor that an instance applies to a target's time.

    It lies between 1 and 1 + `PREFERENCE_SPREAD` and is deterministic, so that an
    instance keeps choosing the same paths.
    """
    digest = hashlib.blake2b(f"{instance}\n{target}".encode(), digest_size=2).digest()
    return 1.0 + PREFERENCE_SPREAD * int.from_bytes(digest) / 0xFFFF


def scale_kv(kv_reserved: float, scale: float, *, capacity: float) -> float:
    """Return the KV cache reserved if other instances send to a target as this one.

    An estimate fills the target up to a share only: it makes other paths cheaper, and
    leaves this one to requests that have no other.
    """
    limit = capacity * ESTIMATED_KV_SHARE
    return max(kv_reserved, min(kv_reserved * scale, limit))


def count_tokens_held(request: PathRequest) -> int:
    """Return the KV cache that a request occupies when it ends, in tokens."""
    return request.prompt + request.answer


def _compute_step_ms(engine: EngineModel, running: int) -> float:
    """Return the time of a step through all layers beside running requests, in ms."""
    step_ms = engine.step_ms + engine.sequence_ms * (running + 1)
    return step_ms + engine.context_ms_per_k * running


def _compute_prefill_ms(engine: EngineModel, request: PathRequest) -> float:
    """Return the time of the prefill of a prompt through all layers, in ms."""
    return request.prompt / engine.prefill_tokens_per_s * 1000


def _compute_transfer_ms(engine: EngineModel, request: PathRequest) -> float:
    """Return the time of a prompt's activations on the link, in ms."""
    bits = request.prompt * engine.activation_bytes * 8
    return bits / (engine.pipe_mbps * 1e3)


class _PartialPath:
    """The cheapest way to run all layers below a position, ending in a data centre.

    Not a frozen data class, because hundreds of them are created for each choice.
    """

    __slots__ = ("before", "cost", "position", "stage")

    def __init__(
        self,
        cost: float,
        *,
        stage: Stage | None = None,
        position: int = 0,
        before: "_PartialPath | None" = None,
    ) -> None:
        self.cost = cost
        #: The last target, the first layer that it runs, and the path up to there; no
        #: target at the start.
        self.stage = stage
        self.position = position
        self.before = before


_INFINITE = float("inf")


@dataclass(frozen=True, kw_only=True)
class _CostBound:
    """Lower bound on the cost of a path: per token, and for its hops."""

    answer_ms: float
    prompt_ms: float
    hops_ms: float

    def estimate_ms(self, request: PathRequest) -> float:
        """Return the minimum cost of a request, in ms."""
        tokens_ms = self.answer_ms * request.answer + self.prompt_ms * request.prompt
        return tokens_ms + self.hops_ms


class StageIndex:
    """The targets that hold each layer, by data centre.

    One index serves many choices until a target joins, leaves or holds other layers.
    The load of a target is read only if a path may reach it.
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
            centre: self._compute_bound(frozenset({centre}))
            for centre in self._holders[0]
        }
        self._fleet_bound = self._compute_bound(frozenset(centres))
        self._min_delay_ms = min(
            (engine.delays_ms.get(pair, 1.0) for pair in permutations(centres, 2)),
            default=_INFINITE,
        )

    def _compute_bound(self, centres: frozenset[str]) -> _CostBound:
        """Return the lower bound for paths within the given data centres."""
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
        return _CostBound(
            answer_ms=step_ms * steps[layers] / layers,
            prompt_ms=prefill_ms * prefills[layers] / layers,
            hops_ms=HOP_COST_MS * hops[layers],
        )

    def measure_capacity(self, *, read: ReadOccupancy) -> KvCapacity:
        """Return the KV cache of all targets that are not excluded."""
        return self._measure_stages(self._stages.values(), read)

    def measure_capacities(self, *, read: ReadOccupancy) -> dict[str, KvCapacity]:
        """Return the KV cache by data centre, each as `measure_capacity` does."""
        stages: dict[str, list[Stage]] = {}
        for stage in self._stages.values():
            stages.setdefault(stage.data_centre, []).append(stage)
        return {
            centre: self._measure_stages(listed, read)
            for centre, listed in stages.items()
        }

    def _measure_stages(
        self, stages: Iterable[Stage], read: ReadOccupancy
    ) -> KvCapacity:
        layers = self.engine.layers
        planned, free = ([0.0] * (layers + 1) for _ in range(2))
        for stage in stages:
            occupancy = read(stage)
            start, end = stage.layers.start, stage.layers.end
            if occupancy is None or start == end:
                continue
            planned_kv = stage.kv_capacity * USABLE_KV_SHARE
            free_kv = max(0.0, planned_kv - occupancy.kv_reserved)
            # Differences between neighbouring layers, summed up below.
            planned_kv, free_kv = planned_kv / (end - start), free_kv / (end - start)
            planned[start] += planned_kv
            planned[end] -= planned_kv
            free[start] += free_kv
            free[end] -= free_kv
        return KvCapacity(
            planned=max(0.0, min(accumulate(planned[:layers])) * layers),
            free=max(0.0, min(accumulate(free[:layers])) * layers),
        )

    def estimate_duration_s(
        self, path: Sequence[Hop], request: PathRequest, *, read: ReadOccupancy
    ) -> float | None:
        """Return the seconds that a request is likely to take on a path.

        It is the prefill of the prompt, and for each token of the answer the steps of
        all hops at their load and pace and the delays between data centres. `None` if
        it is not known: without step times, or without the load of a target.
        """
        engine, tokens = self.engine, request.answer
        if request.likely_answer is not None:
            tokens = request.likely_answer
        if engine.step_ms <= 0:
            return None
        prefill_ms = _compute_prefill_ms(engine, request)
        total_ms, centres = 0.0, []
        for hop in path:
            stage = self._stages.get(hop.target)
            occupancy = None if stage is None else read(stage)
            if occupancy is None:
                return None
            step_ms = _compute_step_ms(engine, occupancy.running) * tokens
            hop_ms = step_ms * stage.kind.step_factor
            hop_ms += prefill_ms * stage.kind.prefill_factor
            total_ms += hop_ms * occupancy.pace * len(hop.layers) / engine.layers
            centres.append(stage.data_centre)
        for pair in pairwise(centres):
            if pair[0] != pair[1]:
                delay_ms = engine.delays_ms.get(pair, 1.0)
                total_ms += delay_ms * tokens + _compute_transfer_ms(engine, request)
        return total_ms / 1000

    def choose_path(
        self, request: PathRequest, *, read: ReadOccupancy
    ) -> tuple[Hop, ...] | None:
        """Return the hops of the cheapest path, or `None` when there is none with room.

        A target is used at most once, since each hop runs up to the last layer that its
        target holds. Paths within one data centre are searched first. Paths that cross
        data centres are searched only if none was found or, where the request allows
        it, if one of them may be cheaper.
        """
        search = _Search(self.engine, request, read)
        first = request.first
        if first is not None:
            centre = request.data_centre
            if first.target in self._stages:
                centre = self._stages[first.target].data_centre
            start = {centre: _PartialPath(0.0)}
            end = self._search_all(search, first.layers.end, start)
            return None if end is None else _list_hops(end, first)
        end = self._search_within(search)
        if request.may_cross and self._may_cross(search, end):
            start = {request.data_centre: _PartialPath(0.0)}
            end = self._search_all(search, 0, start) or end
        return None if end is None else _list_hops(end, None)

    def _may_cross(self, search: "_Search", end: _PartialPath | None) -> bool:
        """Return whether a crossing path may replace the one that was found."""
        if end is None:
            return True
        if not search.request.remote.may_cross_for_cost:
            return False
        crossing_ms = search.estimate_crossing_ms(self._min_delay_ms)
        return self._fleet_bound.estimate_ms(search.request) + crossing_ms < end.cost

    def _search_within(self, search: "_Search") -> _PartialPath | None:
        """Return the end of the cheapest path that stays in one data centre."""
        request, cheapest = search.request, None
        centres = sorted(
            self._bounds,
            key=lambda centre: (centre != request.data_centre, centre),
        )
        for centre in centres:
            remote_ms = (
                0.0 if centre == request.data_centre else request.remote.first_hop_ms
            )
            lower_bound_ms = remote_ms + self._bounds[centre].estimate_ms(request)
            if cheapest is not None and lower_bound_ms >= cheapest.cost:
                continue
            holders = [
                {centre: by_centre[centre]} if centre in by_centre else {}
                for by_centre in self._holders
            ]
            end = self._search_from(
                search, holders, 0, {centre: _PartialPath(remote_ms)}
            )
            if end is not None and (cheapest is None or end.cost < cheapest.cost):
                cheapest = end
        return cheapest

    def _search_all(
        self, search: "_Search", position: int, start: dict[str, _PartialPath]
    ) -> _PartialPath | None:
        """Return the end of the cheapest path from a layer on, in any data centre."""
        return self._search_from(search, self._holders, position, start)

    def _search_from(
        self,
        search: "_Search",
        holders: Sequence[dict[str, list[Stage]]],
        position: int,
        start: dict[str, _PartialPath],
    ) -> _PartialPath | None:
        reached: list[dict[str, _PartialPath]] = [
            {} for _ in range(self.engine.layers + 1)
        ]
        reached[position] = start
        for at in range(position, self.engine.layers):
            if reached[at]:
                search.extend(reached, at, holders[at])
        ends = reached[self.engine.layers]
        return min(ends.values(), key=lambda path: path.cost, default=None)


def _list_hops(end: _PartialPath, first: Hop | None) -> tuple[Hop, ...]:
    """Return the hops of the path that ends with `end`."""
    hops = []
    path = end
    while path.stage is not None:
        stage = path.stage
        layers = LayerRange(start=path.position, end=stage.layers.end)
        hops.append(Hop(target=stage.target, address=stage.address, layers=layers))
        path = path.before
    if first is not None:
        hops.append(first)
    return tuple(reversed(hops))


class _Search:
    """Search for one path; computes the values of each target once."""

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
        self._prefill_ms = _compute_prefill_ms(engine, request)
        self._kept = {hop.target: hop.layers for hop in request.kept}
        #: Time per layer by target, in ms; `None` if it must not be used.
        self._layer_ms: dict[str, float | None] = {}
        #: Targets with no free slot.
        self._full_targets: set[str] = set()
        self._crossing_ms: dict[tuple[str, str], float] = {}

    def extend(
        self,
        reached: Sequence[dict[str, _PartialPath]],
        position: int,
        holders: dict[str, list[Stage]],
    ) -> None:
        """Extend the paths that end at a layer, and keep the cheapest for each end."""
        # At layer 0 there is only the empty path from which the search starts.
        is_start = position == 0 and self.request.first is None
        paths = list(reached[position].items())
        for centre, stages in holders.items():
            cheapest = self._choose_origin(paths, centre, is_start)
            if cheapest is None:
                continue
            cost, before = cheapest
            for stage in stages:
                end = stage.layers.end
                if self._kept and self._is_kept(stage, position):
                    layer_ms = self._estimate_layer_ms(stage, is_kept=True)
                else:
                    layer_ms = self._get_layer_ms(stage)
                if layer_ms is None or is_start and not self._may_begin(stage):
                    continue
                total = cost + HOP_COST_MS + layer_ms * (end - position)
                known = reached[end].get(centre)
                if known is None or total < known.cost:
                    reached[end][centre] = _PartialPath(
                        total, stage=stage, position=position, before=before
                    )

    def _is_kept(self, stage: Stage, position: int) -> bool:
        """Return whether the hop from a layer to the end of a stage runs there now."""
        layers = self._kept.get(stage.target)
        return (
            layers is not None
            and layers.start == position
            and layers.end == stage.layers.end
        )

    def _may_begin(self, stage: Stage) -> bool:
        """Return whether the path may begin at a stage."""
        names = self.request.first_targets
        is_allowed = names is None or stage.target in names
        return is_allowed and stage.target not in self._full_targets

    def _choose_origin(
        self, paths: Sequence[tuple[str, _PartialPath]], centre: str, is_start: bool
    ) -> tuple[float, _PartialPath] | None:
        """Return the cheapest path to continue in a data centre, with its cost."""
        cheapest: tuple[float, _PartialPath] | None = None
        for origin, path in paths:
            crossing_ms = 0.0
            if origin != centre:
                if is_start:
                    crossing_ms = self.request.remote.first_hop_ms
                elif not self.request.may_cross:
                    continue
                else:
                    crossing_ms = self._get_crossing_ms(origin, centre)
            if cheapest is None or path.cost + crossing_ms < cheapest[0]:
                cheapest = path.cost + crossing_ms, path
        return cheapest

    def _get_crossing_ms(self, origin: str, destination: str) -> float:
        """Return the cost of crossing between two data centres, in ms."""
        pair = origin, destination
        if pair not in self._crossing_ms:
            delay_ms = self._engine.delays_ms.get(pair, 1.0)
            self._crossing_ms[pair] = self.estimate_crossing_ms(delay_ms)
        return self._crossing_ms[pair]

    def estimate_crossing_ms(self, delay_ms: float) -> float:
        """Return the cost of crossing a link with the given delay, in ms."""
        request = self.request
        transfer_ms = _compute_transfer_ms(self._engine, request)
        return delay_ms * request.answer + transfer_ms * LINK_TRANSFER_WEIGHT

    def _get_layer_ms(self, stage: Stage) -> float | None:
        """Return the time per layer of the request at a stage, in ms.

        `None` if the stage must not be a part of the path.
        """
        if stage.target not in self._layer_ms:
            self._layer_ms[stage.target] = self._estimate_layer_ms(stage)
        return self._layer_ms[stage.target]

    def _estimate_layer_ms(
        self, stage: Stage, *, is_kept: bool = False
    ) -> float | None:
        if stage.target in self._avoided:
            return None
        occupancy = self._read(stage)
        if occupancy is None:
            return None
        required = self._tokens * (stage.layers.end - stage.layers.start)
        is_local = stage.data_centre == self.request.data_centre
        usable_centres = self.request.remote.data_centres
        if usable_centres is not None and stage.data_centre not in usable_centres:
            return None
        planned = USABLE_KV_SHARE if is_local else self.request.remote.usable_kv_share
        planned *= self.request.kv_share
        kv_reserved, first_running = occupancy.kv_reserved, occupancy.first_running
        released = self.request.released.get(stage.target)
        if released is not None:
            kv_reserved = max(0.0, kv_reserved - released.kv)
            first_running -= released.first_running
        needs_room = not (is_kept or self.request.ignores_load)
        if needs_room and kv_reserved + required > stage.kv_capacity * planned:
            return None
        engine = self._engine
        if first_running >= engine.slots and not self.request.ignores_load:
            self._full_targets.add(stage.target)
        step = _compute_step_ms(engine, occupancy.running)
        work = step * stage.kind.step_factor * self.request.answer
        if not is_kept:
            work += self._prefill_ms * stage.kind.prefill_factor
        used = kv_reserved / max(stage.kv_capacity, 1.0)
        penalty = 1 + LOAD_PENALTY * used**4
        return work * occupancy.pace * penalty * stage.preference / engine.layers
