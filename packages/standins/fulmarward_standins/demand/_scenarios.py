"""Scenarios for the comparison of policies."""

from dataclasses import replace

from fulmarward_standins.demand._types import (
    CODING,
    LOOKUP,
    SUMMARY,
    Fault,
    Scenario,
    TeamDemand,
)

#: Shares of the capacity sold to four teams.
SOLD = {"folha": 0.4, "osservatorio": 0.2, "comune": 0.2, "porto": 0.1}

#: The team whose demand always stays within its share, and how much of it it uses.
COMPLIANT_TEAM, COMPLIANT_USE = "comune", 0.9

#: Default time of faults.
FAULT_AT_S = 25.0


def make_teams(load: float) -> dict[str, TeamDemand]:
    """Return teams with a total demand of `load` times the capacity."""
    inside = min(SOLD[COMPLIANT_TEAM] * COMPLIANT_USE, SOLD[COMPLIANT_TEAM] * load)
    rest = sum(sold for team, sold in SOLD.items() if team != COMPLIANT_TEAM)
    return {
        team: TeamDemand(
            sold=sold,
            asked=inside if team == COMPLIANT_TEAM else (load - inside) * sold / rest,
        )
        for team, sold in SOLD.items()
    }


def _make(name: str, load: float, **members: object) -> Scenario:
    return Scenario(name=name, teams=make_teams(load), **members)


def _fault(*engines: int, at: float = FAULT_AT_S, **change: object) -> Fault:
    return Fault(at=at, engines=engines, change=change)


_SKEWED_TEAMS = {
    "folha": TeamDemand(sold=0.2, asked=1.6),
    "osservatorio": TeamDemand(sold=0.4, asked=0.36),
    "comune": TeamDemand(sold=0.2, asked=0.18),
    "porto": TeamDemand(sold=0.1, asked=0.05),
}
_LONG = replace(CODING, prompt=6000, output=400, share=0.1)
_SHORT = replace(LOOKUP, share=0.6)
_ONE_DATA_CENTRE = (0, 3, 6)

SCENARIOS = (
    _make("load 0.7", 0.7),
    _make("load 1.0", 1.0),
    _make("load 1.5", 1.5),
    _make("load 3", 3.0),
    _make("bursts", 0.7, burst_factor=3.0, burst_s=2.0),
    Scenario(name="skewed teams", teams=_SKEWED_TEAMS),
    Scenario(name="sticky teams", teams=_SKEWED_TEAMS, has_sticky_teams=True),
    _make("skewed prefixes", 0.9, prefixes=60),
    _make("prefixes, gaps", 0.9, prefixes=60, lose_event_every=3),
    _make(
        "long and short",
        0.9,
        kinds=(_SHORT, replace(SUMMARY, share=0.3), _LONG),
    ),
    _make("one slow", 0.7, faults=(_fault(1, slowdown=6.0),)),
    _make("one fails fast", 0.7, faults=(_fault(1, is_failing=True),)),
    _make("one lies", 0.9, faults=(_fault(1, at=0.0, reports_no_load=True),)),
    _make("all slow", 0.7, faults=(_fault(*range(8), slowdown=2.0),)),
    _make("target lost", 0.7, faults=(_fault(1, is_dead=True),)),
    _make("data centre lost", 0.7, faults=(_fault(*_ONE_DATA_CENTRE, is_dead=True),)),
    _make("report lag 0.1 s", 0.9, report_lag_s=0.1),
    _make("report lag 5 s", 0.9, report_lag_s=5.0),
)


def find_scenario(name: str) -> Scenario:
    """Return the scenario with a name."""
    return next(item for item in SCENARIOS if item.name == name)
