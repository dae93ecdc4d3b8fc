"""The ways of choosing that ours is compared with."""

import random

from fulmarward_core.routing import TargetView
from fulmarward_standins.demand._entries import Entry, choose_ours
from fulmarward_standins.demand._types import Call

#: What another data centre cost in the earlier version, in requests.
EARLIER_FAR_PENALTY = 2.0


def _list_open(entry: Entry, tried: frozenset[str]) -> list[TargetView]:
    return [view for view in entry.views.values() if view.name not in tried]


def _choose_random(
    entry: Entry, call: Call, tried: frozenset[str]
) -> TargetView | None:
    views = _list_open(entry, tried)
    return entry.world.generator.choice(views) if views else None


def _choose_in_turn(
    entry: Entry, call: Call, tried: frozenset[str]
) -> TargetView | None:
    views = _list_open(entry, tried)
    entry.turn += 1
    return views[entry.turn % len(views)] if views else None


def _get_load(view: TargetView) -> int:
    others = max(0, view.report.running + view.report.waiting - view.in_flight)
    return view.in_flight + others


def _choose_least(entry: Entry, call: Call, tried: frozenset[str]) -> TargetView | None:
    views = _list_open(entry, tried)
    return min(views, key=_get_load) if views else None


def _choose_best_of_two(
    entry: Entry, call: Call, tried: frozenset[str]
) -> TargetView | None:
    views = _list_open(entry, tried)
    drawn = entry.world.generator.sample(views, min(2, len(views)))
    return min(drawn, key=_get_load) if drawn else None


def _choose_earlier(
    entry: Entry, call: Call, tried: frozenset[str]
) -> TargetView | None:
    """Choose as the first version did: best of two, failed targets avoided a second."""
    now = entry.world.now
    views = [view for view in entry.views.values() if view.avoided_until <= now]
    drawn = entry.world.generator.sample(views, min(2, len(views)))

    def score(view: TargetView) -> float:
        is_far = view.target.data_centre != entry.data_centre
        load = view.in_flight + view.report.running + view.report.waiting
        return load + (EARLIER_FAR_PENALTY if is_far else 0.0)

    return min(drawn, key=score) if drawn else None


#: Choosers by name, and whether admission, limits and the budget are in use.
POLICIES = {
    "random": (_choose_random, False),
    "round_robin": (_choose_in_turn, False),
    "least_in_flight": (_choose_least, False),
    "best_of_two": (_choose_best_of_two, False),
    "earlier": (_choose_earlier, False),
    "ours": (choose_ours, True),
}


def make_generator(seed: int, name: str) -> random.Random:
    """Return the random numbers of one part of a run, the same for each policy."""
    return random.Random(f"{seed} {name}")
