"""Which targets run the layers of a request's model.

The instance drives a chain itself: each token's value goes from the instance to a
stage and back. So the cost of a stage is the way between this instance and the
target, and no way between two targets counts.
"""

import random
from collections.abc import Collection, Iterable, Sequence

from fulmarward_core.chains._types import Chain, ExtraTime, StageOffer, StepTimes
from fulmarward_core.declaration import Link, Target
from fulmarward_core.routing import TargetView
from fulmarward_core.streams import Stage

#: One-way latency taken for data centres between which no link is declared.
UNDECLARED_LINK_MS = 50.0

#: Size of the value that one token hands from layer to layer, in kilobits: 8,192
#: numbers of 16 bits.
VALUE_KBIT = 131.0

#: Share of a new measurement in the smoothed one. Load: a step every few
#: milliseconds; harm: one pause moves all work, or a bad link keeps it for long;
#: reason: five steps in a row show a change, one alone does not.
SMOOTHING = 0.2

#: Seconds after which half of a measurement is forgotten. Harm: a link that was once
#: slow is never tried again; reason: a try each half minute costs a few slow tokens.
HALF_LIFE_S = 10.0

#: Largest share by which a price is raised at random. Load: many instances that see
#: the same reports; harm: all of them choose the same chain at once; reason: among
#: alike targets the order changes, a target twice as dear is still left.
JITTER = 0.2

#: How many times dearer than another a stage must be before a running chain's cache
#: moves off it. Load: many chains on a link that degrades; harm: caches go to and fro
#: between alike targets; reason: far above the jitter and a passing queue.
MOVE_FACTOR = 3.0


def estimate_step_ms(
    target: Target, *, layers: int, data_centre: str, links: Iterable[Link]
) -> float:
    """Return what one step through `layers` layers takes by the declaration alone."""
    way_ms = _estimate_way_ms(target.data_centre, data_centre, links)
    return way_ms + layers * _estimate_layer_ms(target)


def _estimate_way_ms(first: str, second: str, links: Iterable[Link]) -> float:
    if first == second:
        return 0.0
    for link in links:
        if set(link.between) == {first, second}:
            return 2 * (link.latency_ms + VALUE_KBIT / link.mbit_per_s)
    return 2 * UNDECLARED_LINK_MS


def _estimate_layer_ms(target: Target) -> float:
    """Return the time of one layer: full, the target runs `slots` tokens at once."""
    first, end = target.layers
    token_ms = 1000 * target.slots / max(target.tokens_per_s, 1e-3)
    return token_ms / (end - first)


def note_step(
    times: StepTimes, *, target: str, took_ms: float, expected_ms: float, now: float
) -> None:
    """Remember how long a step took beside what the declaration lets expect."""
    extra_ms = took_ms - expected_ms
    earlier = _read_extra_ms(times, target, now)
    if target in times.extra:
        extra_ms = earlier + SMOOTHING * (extra_ms - earlier)
    times.extra[target] = ExtraTime(extra_ms=extra_ms, measured_at=now)


def _read_extra_ms(times: StepTimes, target: str, now: float) -> float:
    """Return what is left of the target's measurement: old ones fade away."""
    extra = times.extra.get(target)
    if extra is None:
        return 0.0
    age_s = max(now - extra.measured_at, 0.0)
    return extra.extra_ms * 0.5 ** (age_s / HALF_LIFE_S)


def list_offers(
    views: Iterable[TargetView],
    *,
    data_centre: str,
    links: Sequence[Link],
    times: StepTimes,
    now: float,
    generator: random.Random,
) -> list[StageOffer]:
    """Return what each target that takes new work offers, and the price.

    A target that is leaving or that failed just now offers nothing. A degraded link
    shows as longer steps: its targets become dear and new chains go elsewhere.
    """
    return [
        _price_target(view, data_centre, links, times, now, generator)
        for view in views
        if not view.leaving and view.avoided_until <= now
    ]


def _price_target(
    view: TargetView,
    data_centre: str,
    links: Sequence[Link],
    times: StepTimes,
    now: float,
    generator: random.Random,
) -> StageOffer:
    target, report = view.target, view.report
    load = (view.in_flight + report.running + report.waiting) / target.slots
    dearer = 1 + JITTER * generator.random()
    way_ms = _estimate_way_ms(target.data_centre, data_centre, links)
    extra_ms = _read_extra_ms(times, view.name, now)
    return StageOffer(
        target=view.name,
        layers=target.layers,
        call_ms=max(way_ms + extra_ms, 0.0) * dearer,
        layer_ms=_estimate_layer_ms(target) * (1 + load) * dearer,
    )


def find_chain(offers: Sequence[StageOffer], *, layers: int) -> Chain | None:
    """Return the cheapest chain over `[0, layers)`, or `None` when there is none.

    A shortest path over layer boundaries: from each boundary that can be reached,
    every target that holds the next layer leads to each later boundary inside its
    range. The stages therefore meet without a gap or an overlap, whatever ranges the
    targets hold. The cost is additive and never negative, and boundaries are taken in
    order, so the first cost found for a finished boundary is the least.
    """
    bounds = sorted({0, layers, *(bound for item in offers for bound in item.layers)})
    best: dict[int, Chain] = {0: Chain(stages=(), cost_ms=0.0)}
    for start in bounds:
        if start not in best or start >= layers:
            continue
        reached = best[start]
        for offer in offers:
            first, end = offer.layers
            if not first <= start < end:
                continue
            for bound in bounds:
                if start < bound <= min(end, layers):
                    _improve(best, reached, offer, start, bound)
    return best.get(layers)


def _improve(
    best: dict[int, Chain], reached: Chain, offer: StageOffer, start: int, bound: int
) -> None:
    cost_ms = reached.cost_ms + offer.call_ms + offer.layer_ms * (bound - start)
    known = best.get(bound)
    if known is not None and known.cost_ms <= cost_ms:
        return
    stage = Stage(target=offer.target, layers=(start, bound))
    best[bound] = Chain(stages=(*reached.stages, stage), cost_ms=cost_ms)


def find_replacement(
    offers: Sequence[StageOffer], *, layers: tuple[int, int]
) -> StageOffer | None:
    """Return the cheapest offer that holds all of `layers`, if there is one."""
    first, end = layers
    holding = [
        offer for offer in offers if offer.layers[0] <= first and end <= offer.layers[1]
    ]
    return min(holding, key=lambda offer: _price_range(offer, layers), default=None)


def _price_range(offer: StageOffer, layers: tuple[int, int]) -> float:
    first, end = layers
    return offer.call_ms + offer.layer_ms * (end - first)


def choose_move(
    offers: Sequence[StageOffer], stages: Sequence[Stage], *, leaving: Collection[str]
) -> tuple[Stage, StageOffer] | None:
    """Return a stage whose cache should move and the target to move it to, if any.

    A stage on a leaving target moves to whatever target holds its range, so that the
    target is free sooner; without one it ends where it is. A slow one moves when
    another is far cheaper.
    """
    own = {offer.target: offer for offer in offers}
    for stage in stages:
        others = [offer for offer in offers if offer.target != stage.target]
        found = find_replacement(others, layers=stage.layers)
        if found is None:
            continue
        if stage.target in leaving:
            return stage, found
        if stage.target not in own:
            continue
        price = _price_range(own[stage.target], stage.layers)
        if price > MOVE_FACTOR * _price_range(found, stage.layers):
            return stage, found
    return None


def covers_layers(stages: Sequence[Stage], *, layers: int) -> bool:
    """Return whether stages cover `[0, layers)` in order, without gap or overlap."""
    reached = 0
    for stage in stages:
        first, end = stage.layers
        if first != reached or end <= first:
            return False
        reached = end
    return reached == layers
