"""Routing policies: the policy of the instances and baselines."""

import random

from fulmarward_core.routing import TargetView
from fulmarward_standins.demand._instances import SimulatedInstance, choose_as_instance
from fulmarward_standins.demand._types import Call

#: Penalty for another data centre in the first version, in requests.
FIRST_VERSION_FAR_PENALTY = 2.0


def _list_untried(
    instance: SimulatedInstance, tried: frozenset[str]
) -> list[TargetView]:
    return [view for view in instance.views.values() if view.name not in tried]


def _choose_random(
    instance: SimulatedInstance, call: Call, tried: frozenset[str]
) -> TargetView | None:
    views = _list_untried(instance, tried)
    return instance.simulation.generator.choice(views) if views else None


def _choose_round_robin(
    instance: SimulatedInstance, call: Call, tried: frozenset[str]
) -> TargetView | None:
    views = _list_untried(instance, tried)
    instance.next_index += 1
    return views[instance.next_index % len(views)] if views else None


def _get_load(view: TargetView) -> int:
    others = max(0, view.report.running + view.report.waiting - view.in_flight)
    return view.in_flight + others


def _choose_least_in_flight(
    instance: SimulatedInstance, call: Call, tried: frozenset[str]
) -> TargetView | None:
    views = _list_untried(instance, tried)
    return min(views, key=_get_load) if views else None


def _choose_best_of_two(
    instance: SimulatedInstance, call: Call, tried: frozenset[str]
) -> TargetView | None:
    views = _list_untried(instance, tried)
    drawn = instance.simulation.generator.sample(views, min(2, len(views)))
    return min(drawn, key=_get_load) if drawn else None


def _choose_first_version(
    instance: SimulatedInstance, call: Call, tried: frozenset[str]
) -> TargetView | None:
    """Choose as the first version did: best of two, avoiding failed targets for 1 s."""
    now = instance.simulation.now
    views = [view for view in instance.views.values() if view.avoided_until <= now]
    drawn = instance.simulation.generator.sample(views, min(2, len(views)))

    def score(view: TargetView) -> float:
        is_far = view.target.data_centre != instance.data_centre
        load = view.in_flight + view.report.running + view.report.waiting
        return load + (FIRST_VERSION_FAR_PENALTY if is_far else 0.0)

    return min(drawn, key=score) if drawn else None


#: Choosers by name, and whether admission, limits and the retry budget are used.
POLICIES = {
    "random": (_choose_random, False),
    "round_robin": (_choose_round_robin, False),
    "least_in_flight": (_choose_least_in_flight, False),
    "best_of_two": (_choose_best_of_two, False),
    "earlier": (_choose_first_version, False),
    "ours": (choose_as_instance, True),
}


def make_generator(seed: int, name: str) -> random.Random:
    """Return a random generator for a part of a run, the same for each policy."""
    return random.Random(f"{seed} {name}")
