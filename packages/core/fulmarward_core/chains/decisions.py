"""Selection of the targets that run the layers of a request's model.

The instance drives a chain itself: each token's activation goes from the instance to
a stage and back. So only the latency between the instance and each target counts, and
the latency between two targets does not.
"""

import random
from collections.abc import Collection, Iterable, Sequence

from fulmarward_core.chains._types import Chain, ExtraTime, StageOffer, StepTimes
from fulmarward_core.declaration import Link, Target
from fulmarward_core.routing import TargetView
from fulmarward_core.streams import Stage

#: One-way latency assumed between data centres without a declared link.
UNDECLARED_LINK_MS = 50.0

#: Size of the activation of one token between two layers, in kilobits: 8,192 numbers of
#: 16 bits.
ACTIVATION_KBIT = 131.0

#: Weight of a new measurement in the exponential moving average. Steps arrive every few
#: milliseconds. A single pause must not move all work, and a degraded link must not
#: keep it for long: five steps in a row show a change, one alone does not.
SMOOTHING = 0.2

#: Half-life of a measurement, in seconds. Without decay, a link that was slow once
#: would never be tried again; a try every half minute costs a few slow tokens.
HALF_LIFE_S = 10.0

#: Maximum random increase of a cost, as a fraction. Without it, many instances that see
#: the same reports would all choose the same chain at once. It varies the order of
#: targets of similar cost, and a target at twice the cost is still not chosen.
JITTER = 0.2

#: Cost ratio of a stage to its replacement from which a running chain's cache moves.
#: Many chains may share a link that degrades, and their caches must not move back and
#: forth between similar targets: the ratio is far above the jitter and a short queue.
MOVE_FACTOR = 3.0


def estimate_step_ms(
    target: Target, *, layers: int, data_centre: str, links: Iterable[Link]
) -> float:
    """Return the time of one step through `layers` layers according to declarations."""
    round_trip_ms = _estimate_round_trip_ms(target.data_centre, data_centre, links)
    return round_trip_ms + layers * _estimate_layer_ms(target)


def _estimate_round_trip_ms(first: str, second: str, links: Iterable[Link]) -> float:
    if first == second:
        return 0.0
    for link in links:
        if set(link.between) == {first, second}:
            return 2 * (link.latency_ms + ACTIVATION_KBIT / link.mbit_per_s)
    return 2 * UNDECLARED_LINK_MS


def _estimate_layer_ms(target: Target) -> float:
    """Return the time of one layer when the target runs `slots` tokens at once."""
    first, end = target.layers
    token_ms = 1000 * target.slots / max(target.tokens_per_s, 1e-3)
    return token_ms / (end - first)


def record_step_time(
    times: StepTimes, *, target: str, took_ms: float, expected_ms: float, now: float
) -> None:
    """Record the difference between a step's measured and expected time."""
    extra_ms = took_ms - expected_ms
    previous_ms = _read_extra_ms(times, target, now)
    if target in times.extra:
        extra_ms = previous_ms + SMOOTHING * (extra_ms - previous_ms)
    times.extra[target] = ExtraTime(extra_ms=extra_ms, measured_at=now)


def _read_extra_ms(times: StepTimes, target: str, now: float) -> float:
    """Return the target's extra step time, decayed by the age of its measurement."""
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
    """Return an offer for each target that accepts new work.

    Targets that are leaving or failed recently are left out. A degraded link shows in
    longer steps, which raise the cost of its targets and divert new chains.
    """
    return [
        _make_offer(view, data_centre, links, times, now, generator)
        for view in views
        if not view.leaving and view.avoided_until <= now
    ]


def _make_offer(
    view: TargetView,
    data_centre: str,
    links: Sequence[Link],
    times: StepTimes,
    now: float,
    generator: random.Random,
) -> StageOffer:
    target, report = view.target, view.report
    load = (view.in_flight + report.running + report.waiting) / target.slots
    cost_factor = 1 + JITTER * generator.random()
    round_trip_ms = _estimate_round_trip_ms(target.data_centre, data_centre, links)
    extra_ms = _read_extra_ms(times, view.name, now)
    return StageOffer(
        target=view.name,
        layers=target.layers,
        call_ms=max(round_trip_ms + extra_ms, 0.0) * cost_factor,
        layer_ms=_estimate_layer_ms(target) * (1 + load) * cost_factor,
    )


def find_chain(offers: Sequence[StageOffer], *, layers: int) -> Chain | None:
    """Return the cheapest chain over `[0, layers)`, or `None` if there is none.

    Finds a shortest path over layer boundaries: from each reachable boundary, every
    target that holds the next layer has an edge to each later boundary in its range.
    So stages meet without gaps or overlaps for any ranges of the targets. Costs are
    additive and non-negative, and boundaries are processed in ascending order, so the
    cost of a boundary is minimal when it is processed.
    """
    boundaries = sorted(
        {0, layers, *(boundary for item in offers for boundary in item.layers)}
    )
    best: dict[int, Chain] = {0: Chain(stages=(), cost_ms=0.0)}
    for start in boundaries:
        if start not in best or start >= layers:
            continue
        reached = best[start]
        for offer in offers:
            first, end = offer.layers
            if not first <= start < end:
                continue
            for boundary in boundaries:
                if start < boundary <= min(end, layers):
                    _relax(best, reached, offer, start, boundary)
    return best.get(layers)


def _relax(
    best: dict[int, Chain], reached: Chain, offer: StageOffer, start: int, boundary: int
) -> None:
    cost_ms = reached.cost_ms + offer.call_ms + offer.layer_ms * (boundary - start)
    current = best.get(boundary)
    if current is not None and current.cost_ms <= cost_ms:
        return
    stage = Stage(target=offer.target, layers=(start, boundary))
    best[boundary] = Chain(stages=(*reached.stages, stage), cost_ms=cost_ms)


def find_replacement(
    offers: Sequence[StageOffer], *, layers: tuple[int, int]
) -> StageOffer | None:
    """Return the cheapest offer that holds all of `layers`, `None` if there is none."""
    first, end = layers
    holding = [
        offer for offer in offers if offer.layers[0] <= first and end <= offer.layers[1]
    ]
    return min(
        holding, key=lambda offer: _compute_range_ms(offer, layers), default=None
    )


def _compute_range_ms(offer: StageOffer, layers: tuple[int, int]) -> float:
    first, end = layers
    return offer.call_ms + offer.layer_ms * (end - first)


def choose_move(
    offers: Sequence[StageOffer], stages: Sequence[Stage], *, leaving: Collection[str]
) -> tuple[Stage, StageOffer] | None:
    """Return a stage whose cache should move and the offer to move it to, if any.

    A stage on a leaving target moves to the cheapest target that holds its range, which
    frees the leaving target sooner; without such a target it stays until it ends. Any
    other stage moves only to a target that is cheaper by `MOVE_FACTOR`.
    """
    offers_by_target = {offer.target: offer for offer in offers}
    for stage in stages:
        others = [offer for offer in offers if offer.target != stage.target]
        replacement = find_replacement(others, layers=stage.layers)
        if replacement is None:
            continue
        if stage.target in leaving:
            return stage, replacement
        if stage.target not in offers_by_target:
            continue
        range_ms = _compute_range_ms(offers_by_target[stage.target], stage.layers)
        if range_ms > MOVE_FACTOR * _compute_range_ms(replacement, stage.layers):
            return stage, replacement
    return None


def covers_layers(stages: Sequence[Stage], *, layers: int) -> bool:
    """Return whether stages cover `[0, layers)` in order without gaps or overlaps."""
    reached = 0
    for stage in stages:
        first, end = stage.layers
        if first != reached or end <= first:
            return False
        reached = end
    return reached == layers
