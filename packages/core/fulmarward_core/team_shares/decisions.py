"""Which team is served first, and how much capacity each leaves to the others.

Teams are ordered by tags, as the flows of `fulmarward_core.fair_queueing`. There a tag
grows with what a flow was served at one instance. Here it is what a team holds at all
instances at present, its relative use. The order has to agree with the limits of
`compute_team_share`: with start tags, a request that had to leave capacity to other
teams was first in the queue, and theirs waited behind it.
"""

from collections.abc import Mapping

from fulmarward_core.fair_queueing import compute_tag
from fulmarward_core.reservations import MIN_KV_SHARE
from fulmarward_core.team_shares._types import TeamSettings, TeamUse

#: Part of its own relative use by which a team must exceed that of another to leave
#: capacity free for it. Counts are up to 0.5 s old; without a tolerance, teams with
#: equal use would alternately yield to each other.
USE_TOLERANCE = 0.1


def compute_relative_use(
    team: str, *, uses: Mapping[str, TeamUse], settings: TeamSettings
) -> float:
    """Return the KV cache that a team uses in a class, divided by its weight.

    `uses` holds the known uses of all teams in the class. A team that is not in it has
    no use.
    """
    use = uses.get(team)
    if use is None:
        return 0.0
    return compute_tag(use.used_kv, weight=settings.find_weight(team))


def compute_team_share(
    team: str,
    *,
    uses: Mapping[str, TeamUse],
    settings: TeamSettings,
    planned_kv: float,
) -> float:
    """Return the share of the planned KV cache that a team may fill in a class.

    It leaves free what teams with a lower relative use wait for. `planned_kv` is that
    of the usable targets, in tokens x layers. The share is between `MIN_KV_SHARE` and
    1.
    """
    limit = _compute_yield_limit(team, uses=uses, settings=settings)
    left_kv = sum(
        use.waiting_kv
        for use in uses.values()
        if compute_relative_use(use.team, uses=uses, settings=settings) < limit
    )
    if planned_kv <= 0:
        return MIN_KV_SHARE if left_kv > 0 else 1.0
    return max(MIN_KV_SHARE, 1.0 - left_kv / planned_kv)


def sum_level_kv(
    team: str, *, uses: Mapping[str, TeamUse], settings: TeamSettings
) -> float:
    """Return what a team and those of about the same relative use wait for.

    Teams with a higher use are served later, and the share of the team accounts for
    those with a lower one.
    """
    limit = _compute_yield_limit(team, uses=uses, settings=settings)
    own = compute_relative_use(team, uses=uses, settings=settings)
    return sum(
        use.waiting_kv
        for use in uses.values()
        if limit <= compute_relative_use(use.team, uses=uses, settings=settings) <= own
    )


def _compute_yield_limit(
    team: str, *, uses: Mapping[str, TeamUse], settings: TeamSettings
) -> float:
    """Return the relative use below which other teams precede a team."""
    own = compute_relative_use(team, uses=uses, settings=settings)
    return own * (1 - USE_TOLERANCE)
