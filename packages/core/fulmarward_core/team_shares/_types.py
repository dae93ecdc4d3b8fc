"""Settings of the shares of teams, and what the requests of a team use."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

#: Bounds on the weight of a team, and the weight of those that are not listed.
MIN_WEIGHT = 0.01
MAX_WEIGHT = 100.0
DEFAULT_WEIGHT = 1.0


@dataclass(frozen=True, kw_only=True)
class TeamSettings:
    """Settings of the shares of teams.

    Raises `ValueError` for a weight that is out of bounds, or for weights without
    shares.
    """

    #: Whether the shares of teams are in force.
    is_enabled: bool = False
    #: Weights by the name of the team.
    weights: Mapping[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        if self.weights and not self.is_enabled:
            raise ValueError("expected no weights of teams without their shares")
        for team, weight in self.weights.items():
            if not MIN_WEIGHT <= weight <= MAX_WEIGHT:
                raise ValueError(
                    f"expected a weight from {MIN_WEIGHT:g} to {MAX_WEIGHT:g} of "
                    f"{team!r}, found {weight}"
                )

    def find_weight(self, team: str) -> float:
        """Return the weight of a team."""
        return self.weights.get(team, DEFAULT_WEIGHT)


@dataclass(frozen=True, kw_only=True)
class TeamUse:
    """KV cache of the requests of one team with one urgency, in tokens x layers.

    Raises `ValueError` for a number that is negative or not finite.
    """

    urgency: int
    #: Name of the team, empty for requests without one.
    team: str
    #: KV cache that its running requests hold.
    used_kv: float
    #: KV cache that its waiting requests need.
    waiting_kv: float

    def __post_init__(self) -> None:
        for value in (self.urgency, self.used_kv, self.waiting_kv):
            if not 0 <= value < math.inf:
                raise ValueError(f"expected a finite number from 0 on, found {value}")
