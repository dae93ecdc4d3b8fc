"""A seeded load simulation in virtual time that compares routing policies."""

from fulmarward_standins.demand._measure import measure_run
from fulmarward_standins.demand._policies import POLICIES
from fulmarward_standins.demand._run import run_scenario
from fulmarward_standins.demand._scenarios import SCENARIOS, find_scenario, make_teams
from fulmarward_standins.demand._types import RunRecord, Scenario, TeamDemand

__all__ = [
    "POLICIES",
    "SCENARIOS",
    "Scenario",
    "RunRecord",
    "TeamDemand",
    "find_scenario",
    "make_teams",
    "measure_run",
    "run_scenario",
]
