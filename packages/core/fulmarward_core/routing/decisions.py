"""Which target carries a request."""

import random
from collections.abc import Mapping, Sequence
from statistics import median

from fulmarward_core.performance import get_limit
from fulmarward_core.routing._types import (
    PLAIN_ASK,
    Ask,
    Choice,
    PoolSpeed,
    TargetView,
)

#: What a target in another data centre costs beside a near one, in seconds. Load:
#: any; harm: work that crosses slow links while near targets are idle; reason: more
#: than the links of today take, less than a place in a queue.
FAR_S = 0.05

#: Targets drawn at random near by, and elsewhere, of which the best is taken. Load:
#: many instances that see the same late reports; harm: all of them choose the same
#: idle target at once; reason: two draws spread the work and still avoid the loaded.
NEAR_DRAWS = 2
FAR_DRAWS = 1

#: What a full target costs beside an empty one, in seconds, before any request waits.
#: Load: below saturation; harm: one target filled while others are empty, whose queue
#: then starts at the least burst; reason: about a quarter of a prompt's reading.
CROWD_S = 0.2

#: Age at which a report counts nothing any more, in seconds. Load: reports that come
#: late or not at all; harm: a target is shunned or sought for a load of long ago;
#: reason: requests of some seconds have ended by then.
REPORT_LIFE_S = 5.0

#: Times the pool's mean load up to which a target is chosen for its cache, and
#: requests that may always be on it. Load: one prefix in half of all requests; harm:
#: its target gets them all; reason: a quarter more costs less than reading it anew.
CACHE_IMBALANCE = 1.25
CACHE_FREE_REQUESTS = 1.0

#: Share of a pool that takes work whatever has failed. Load: a general fault; harm:
#: each target is avoided in turn until none is left; reason: half still carries most
#: of a pool's load, and the fault may be on this side.
LEAST_OPEN_SHARE = 0.5

#: Seconds for an output token of a target whose speed is neither declared nor known.
FIRST_TOKEN_S = 0.02


def choose_target(
    *,
    candidates: Sequence[TargetView],
    data_centre: str,
    now: float,
    generator: random.Random,
    ask: Ask = PLAIN_ASK,
    far_costs: Mapping[str, float] | None = None,
) -> Choice | None:
    """Return the choice among `candidates`, or `None` when none takes work.

    `data_centre` is the instance's own. `now` is in seconds on the steady clock.
    `far_costs` are seconds by data centre, `FAR_S` for those not in it.
    """
    open_views = _list_open(candidates, ask, now)
    if not open_views:
        return None
    loads = {view.name: estimate_load(view, now=now) for view in open_views}
    roomy = _list_roomy(open_views, loads, ask)
    cached = _count_useful_cached(roomy or open_views, loads, ask, now)
    drawn = _draw(roomy or open_views, cached, data_centre, generator)
    speed = measure_pool(open_views, now=now)
    costs = far_costs or {}
    scored = []
    for index, view in enumerate(drawn):
        score = _score_view(view, loads[view.name], cached[view.name], speed, ask)
        if view.target.data_centre != data_centre:
            score += costs.get(view.target.data_centre, FAR_S)
        scored.append((score, index, view))
    scored.sort()
    score, _, chosen = scored[0]
    runner_up = scored[1][2].name if len(scored) > 1 else ""
    return Choice(
        chosen=chosen,
        score=score,
        runner_up=runner_up,
        reason=_name_reason(cached[chosen.name], runner_up, bool(roomy)),
    )


def _name_reason(cached: int, runner_up: str, has_room: bool) -> str:
    if not has_room:
        return "no_room"
    if not runner_up:
        return "only_candidate"
    return "cached_prefix" if cached else "lower_score"


def _list_open(
    candidates: Sequence[TargetView], ask: Ask, now: float
) -> list[TargetView]:
    """Return the targets that may be asked; some always may, if they are not leaving.

    Guards against a general fault or slowdown that empties the pool: those that come
    back soonest are asked all the same.
    """
    staying = [view for view in candidates if not view.leaving]
    staying.sort(key=_get_return)
    least = -int(-len(staying) * LEAST_OPEN_SHARE // 1)
    return [
        view
        for place, view in enumerate(staying)
        if (place < least or _get_return(view) <= now) and view.name not in ask.tried
    ]


def _get_return(view: TargetView) -> float:
    return max(view.avoided_until, view.performance.aside_until)


def _list_roomy(
    views: Sequence[TargetView], loads: Mapping[str, float], ask: Ask
) -> list[TargetView]:
    roomy = [
        view
        for view in views
        if view.in_flight < get_limit(view.performance, slots=view.target.slots)
    ]
    if ask.may_probe:
        return roomy
    trusted = [view for view in roomy if not view.performance.probes_left]
    return trusted or roomy


def estimate_load(view: TargetView, *, now: float) -> float:
    """Return the requests on a target: the own ones, and what a fresh report adds."""
    age_s = max(0.0, now - view.report.received_at)
    trust = max(0.0, 1 - age_s / REPORT_LIFE_S)
    others = max(0, view.report.running + view.report.waiting - view.in_flight)
    return view.in_flight + others * trust


def count_cached(view: TargetView, ask: Ask, *, now: float) -> int:
    """Return the prompt tokens that the target is thought to hold already."""
    if not view.cached_prefixes:
        return 0
    for place in range(len(ask.prefixes), 0, -1):
        if view.cached_prefixes.get(ask.prefixes[place - 1], now) > now:
            return place * ask.prefix_tokens
    return 0


def _count_useful_cached(
    views: Sequence[TargetView], loads: Mapping[str, float], ask: Ask, now: float
) -> dict[str, int]:
    """Return the cached prompt tokens that count, none on a crowded target."""
    mean = sum(loads[view.name] for view in views) / len(views)
    most = mean * CACHE_IMBALANCE + CACHE_FREE_REQUESTS
    return {
        view.name: count_cached(view, ask, now=now) if loads[view.name] <= most else 0
        for view in views
    }


def _draw(
    views: Sequence[TargetView],
    cached: Mapping[str, int],
    data_centre: str,
    generator: random.Random,
) -> list[TargetView]:
    """Return the few targets to compare: some at random, and the best by its cache."""
    near = [view for view in views if view.target.data_centre == data_centre]
    far = [view for view in views if view.target.data_centre != data_centre]
    far_draws = FAR_DRAWS if near else NEAR_DRAWS
    drawn = generator.sample(near, min(NEAR_DRAWS, len(near)))
    drawn += generator.sample(far, min(far_draws, len(far)))
    best = max(views, key=lambda view: (cached[view.name], view.name))
    if cached[best.name] and best not in drawn:
        drawn.append(best)
    return drawn


def _score_view(
    view: TargetView, load: float, cached: int, speed: PoolSpeed, ask: Ask
) -> float:
    """Return the expected seconds to the end, failures and lateness counted in."""
    slots = view.target.slots
    uncached = max(0, ask.prompt_tokens - cached)
    token_s = view.performance.token_s or speed.token_s
    service_s = uncached * view.performance.prefill_s + ask.output_tokens * token_s
    wait_s = max(0.0, load + 1 - slots) / slots * service_s
    score = service_s + wait_s + CROWD_S * load / slots
    score /= max(0.1, 1 - view.performance.failed_share)
    is_late = service_s + wait_s > ask.slack_s
    return score + (ask.slack_s + service_s if is_late else 0.0)


def measure_pool(views: Sequence[TargetView], *, now: float) -> PoolSpeed:
    """Return what the open ones of `views` carry together."""
    open_views = _list_open(views, PLAIN_ASK, now)
    if not open_views:
        return PoolSpeed(places=0, capacity=0, prefill_s=0, token_s=0)
    limits = [
        get_limit(view.performance, slots=view.target.slots) for view in open_views
    ]
    grown = [
        max(limit, view.target.slots) if view.performance.is_ramping else limit
        for view, limit in zip(open_views, limits, strict=True)
    ]
    return PoolSpeed(
        places=sum(limits),
        capacity=sum(grown),
        prefill_s=median(view.performance.prefill_s for view in open_views),
        token_s=median(_guess_token_s(view) for view in open_views),
    )


def _guess_token_s(view: TargetView) -> float:
    if view.performance.token_s:
        return view.performance.token_s
    if view.target.tokens_per_s:
        return view.target.slots / view.target.tokens_per_s
    return FIRST_TOKEN_S
