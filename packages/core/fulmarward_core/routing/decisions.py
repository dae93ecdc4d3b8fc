"""Which target carries a request."""

import random
from collections.abc import Sequence

from fulmarward_core.routing._types import Choice, TargetView

#: What a target in another data centre costs beside a near one, in requests in
#: flight. Load: any; harm: work that crosses slow links while near targets are idle;
#: reason: a few queued requests weigh more than a link of some milliseconds.
FAR_PENALTY = 2.0

#: Targets drawn at random of which the better is taken. Load: many instances that see
#: the same late reports; harm: all of them choose the same idle target at once;
#: reason: two draws spread the work and still avoid the loaded one.
DRAWS = 2


def choose_target(
    *,
    candidates: Sequence[TargetView],
    data_centre: str,
    now: float,
    generator: random.Random,
) -> Choice | None:
    """Return the choice among `candidates`, or `None` when none takes work.

    `data_centre` is the instance's own. `now` is in seconds on the steady clock.
    """
    open_views = [
        view for view in candidates if not view.leaving and view.avoided_until <= now
    ]
    if not open_views:
        return None
    drawn = generator.sample(open_views, min(DRAWS, len(open_views)))
    scored = sorted(
        (_score_view(view, data_centre), index, view)
        for index, view in enumerate(drawn)
    )
    score, _, chosen = scored[0]
    runner_up = scored[1][2].name if len(scored) > 1 else ""
    reason = "lower_score" if runner_up else "only_candidate"
    return Choice(chosen=chosen, score=score, runner_up=runner_up, reason=reason)


def _score_view(view: TargetView, data_centre: str) -> float:
    load = (view.in_flight + view.report.running + view.report.waiting) / (
        view.target.slots
    )
    far = FAR_PENALTY if view.target.data_centre != data_centre else 0.0
    return load * view.target.slots + far
