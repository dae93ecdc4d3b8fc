"""Shares of teams: order and limits by what the requests of each team use."""

from fulmarward_core.team_shares._shares import TeamShares
from fulmarward_core.team_shares._table import (
    MAX_TEAM_BYTES,
    MAX_TEAMS,
    TeamHold,
    TeamTable,
    TeamUses,
)
from fulmarward_core.team_shares._types import (
    DEFAULT_WEIGHT,
    MAX_WEIGHT,
    MIN_WEIGHT,
    TeamSettings,
    TeamUse,
)
from fulmarward_core.team_shares.decisions import (
    USE_TOLERANCE,
    compute_relative_use,
    compute_team_share,
    sum_level_kv,
)

__all__ = [
    "DEFAULT_WEIGHT",
    "MAX_TEAMS",
    "MAX_TEAM_BYTES",
    "MAX_WEIGHT",
    "MIN_WEIGHT",
    "USE_TOLERANCE",
    "TeamHold",
    "TeamSettings",
    "TeamShares",
    "TeamTable",
    "TeamUse",
    "TeamUses",
    "compute_relative_use",
    "compute_team_share",
    "sum_level_kv",
]
