"""Choice of the target for a request."""

import random
from collections.abc import Mapping, Sequence
from statistics import median

from fulmarward_core.performance import get_limit
from fulmarward_core.routing._types import (
    DEFAULT_PROFILE,
    Choice,
    PoolSpeed,
    RequestProfile,
    TargetView,
)

#: Extra cost of a target in another data centre, in seconds, so that work does not
#: cross slow links while local targets are idle. It is more than the current links take
#: and less than one position in a queue.
REMOTE_PENALTY_S = 0.05

#: Number of random candidates in the local and in other data centres, of which the best
#: is chosen. Many instances that see the same delayed reports would all choose the same
#: idle target at once; two samples spread the work and still avoid loaded targets.
LOCAL_SAMPLES = 2
REMOTE_SAMPLES = 1

#: Extra cost of a full target over an empty one, in seconds, before any request waits.
#: Without it, one target could be filled while others are empty, and would queue at the
#: smallest burst. It is about a quarter of the time for processing a prompt.
OCCUPANCY_PENALTY_S = 0.2

#: Age at which a report expires, in seconds, so that a target is not avoided or
#: preferred for an outdated load when reports are late or missing. Requests take a few
#: seconds, so most of those in a report have ended by then.
REPORT_LIFETIME_S = 5.0

#: Maximum load, as a multiple of the mean of the pool, at which a target is preferred
#: for its cache, plus the requests that it may always have. If half of all requests
#: share a prefix, the target that caches it would get them all. A quarter above the
#: mean costs less than processing the prefix again.
CACHE_IMBALANCE = 1.25
CACHE_FREE_REQUESTS = 1.0

#: Share of a pool that stays available whatever has failed. In a general fault, each
#: target would be avoided in turn until none is left. Half of a pool still carries most
#: of its load, and the fault may be on this side.
MIN_AVAILABLE_SHARE = 0.5

#: Seconds per output token if the speed of a target is neither declared nor measured.
DEFAULT_TOKEN_S = 0.02


def choose_target(
    *,
    candidates: Sequence[TargetView],
    data_centre: str,
    now: float,
    generator: random.Random,
    profile: RequestProfile = DEFAULT_PROFILE,
    remote_costs: Mapping[str, float] | None = None,
) -> Choice | None:
    """Return the choice among `candidates`, or `None` if none is available.

    `data_centre` is that of this instance. `now` is in seconds on the monotonic clock.
    `remote_costs` is the extra cost in seconds by data centre, `REMOTE_PENALTY_S` for
    those not in it.
    """
    available = _list_available(candidates, profile, now)
    if not available:
        return None
    loads = {view.name: estimate_load(view, now=now) for view in available}
    below_limit = _list_below_limit(available, loads, profile)
    cached = _count_usable_cached(below_limit or available, loads, profile, now)
    sampled = _sample_candidates(
        below_limit or available, cached, data_centre, generator
    )
    speed = measure_pool(available, now=now)
    costs = remote_costs or {}
    scored = []
    for index, view in enumerate(sampled):
        score = _score_view(view, loads[view.name], cached[view.name], speed, profile)
        if view.target.data_centre != data_centre:
            score += costs.get(view.target.data_centre, REMOTE_PENALTY_S)
        scored.append((score, index, view))
    scored.sort()
    score, _, chosen = scored[0]
    runner_up = scored[1][2].name if len(scored) > 1 else ""
    return Choice(
        chosen=chosen,
        score=score,
        runner_up=runner_up,
        reason=_choose_reason(cached[chosen.name], runner_up, bool(below_limit)),
    )


def _choose_reason(cached: int, runner_up: str, has_room: bool) -> str:
    if not has_room:
        return "no_room"
    if not runner_up:
        return "only_candidate"
    return "cached_prefix" if cached else "lower_score"


def _list_available(
    candidates: Sequence[TargetView], profile: RequestProfile, now: float
) -> list[TargetView]:
    """Return the targets that may get the request.

    Guards against a general fault or slowdown that empties the pool: a minimum share of
    the targets that are not leaving stays available, those that recover first.
    """
    remaining = [view for view in candidates if not view.leaving]
    remaining.sort(key=_get_available_at)
    min_available = -int(-len(remaining) * MIN_AVAILABLE_SHARE // 1)
    return [
        view
        for place, view in enumerate(remaining)
        if (place < min_available or _get_available_at(view) <= now)
        and view.name not in profile.tried
    ]


def _get_available_at(view: TargetView) -> float:
    return max(view.avoided_until, view.performance.aside_until)


def _list_below_limit(
    views: Sequence[TargetView], loads: Mapping[str, float], profile: RequestProfile
) -> list[TargetView]:
    below_limit = [
        view
        for view in views
        if view.in_flight < get_limit(view.performance, slots=view.target.slots)
    ]
    if profile.may_probe:
        return below_limit
    not_probing = [view for view in below_limit if not view.performance.probes_left]
    return not_probing or below_limit


def estimate_load(view: TargetView, *, now: float) -> float:
    """Return the requests on a target: the own ones and those of a recent report."""
    age_s = max(0.0, now - view.report.received_at)
    freshness = max(0.0, 1 - age_s / REPORT_LIFETIME_S)
    others = max(0, view.report.running + view.report.waiting - view.in_flight)
    return view.in_flight + others * freshness


def count_cached(view: TargetView, profile: RequestProfile, *, now: float) -> int:
    """Return the prompt tokens that the target has probably cached."""
    if not view.cached_prefixes:
        return 0
    for place in range(len(profile.prefixes), 0, -1):
        if view.cached_prefixes.get(profile.prefixes[place - 1], now) > now:
            return place * profile.prefix_tokens
    return 0


def _count_usable_cached(
    views: Sequence[TargetView],
    loads: Mapping[str, float],
    profile: RequestProfile,
    now: float,
) -> dict[str, int]:
    """Return the cached prompt tokens by target; none for overloaded targets."""
    mean = sum(loads[view.name] for view in views) / len(views)
    max_load = mean * CACHE_IMBALANCE + CACHE_FREE_REQUESTS
    return {
        view.name: count_cached(view, profile, now=now)
        if loads[view.name] <= max_load
        else 0
        for view in views
    }


def _sample_candidates(
    views: Sequence[TargetView],
    cached: Mapping[str, int],
    data_centre: str,
    generator: random.Random,
) -> list[TargetView]:
    """Return a few random targets, and the one with most of the prompt cached."""
    local = [view for view in views if view.target.data_centre == data_centre]
    remote = [view for view in views if view.target.data_centre != data_centre]
    remote_samples = REMOTE_SAMPLES if local else LOCAL_SAMPLES
    sampled = generator.sample(local, min(LOCAL_SAMPLES, len(local)))
    sampled += generator.sample(remote, min(remote_samples, len(remote)))
    best = max(views, key=lambda view: (cached[view.name], view.name))
    if cached[best.name] and best not in sampled:
        sampled.append(best)
    return sampled


def _score_view(
    view: TargetView,
    load: float,
    cached: int,
    speed: PoolSpeed,
    profile: RequestProfile,
) -> float:
    """Return the expected completion time, with penalties for failures and lateness."""
    slots = view.target.slots
    uncached = max(0, profile.prompt_tokens - cached)
    token_s = view.performance.token_s or speed.token_s
    service_s = uncached * view.performance.prefill_s + profile.output_tokens * token_s
    wait_s = max(0.0, load + 1 - slots) / slots * service_s
    score = service_s + wait_s + OCCUPANCY_PENALTY_S * load / slots
    score /= max(0.1, 1 - view.performance.failed_share)
    is_late = service_s + wait_s > profile.slack_s
    return score + (profile.slack_s + service_s if is_late else 0.0)


def measure_pool(views: Sequence[TargetView], *, now: float) -> PoolSpeed:
    """Return the combined capacity and speed of the available targets."""
    available = _list_available(views, DEFAULT_PROFILE, now)
    if not available:
        return PoolSpeed(places=0, capacity=0, prefill_s=0, token_s=0)
    limits = [
        get_limit(view.performance, slots=view.target.slots) for view in available
    ]
    grown = [
        max(limit, view.target.slots) if view.performance.is_ramping else limit
        for view, limit in zip(available, limits, strict=True)
    ]
    return PoolSpeed(
        places=sum(limits),
        capacity=sum(grown),
        prefill_s=median(view.performance.prefill_s for view in available),
        token_s=median(_estimate_token_s(view) for view in available),
    )


def _estimate_token_s(view: TargetView) -> float:
    if view.performance.token_s:
        return view.performance.token_s
    if view.target.tokens_per_s:
        return view.target.slots / view.target.tokens_per_s
    return DEFAULT_TOKEN_S
