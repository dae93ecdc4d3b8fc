"""Seeded demand: who calls when, for what."""

import random
from collections.abc import Iterator

from fulmarward_standins.demand._types import Call, Kind, Scenario


def mean_work_s(scenario: Scenario) -> float:
    """Return the mean seconds that a request needs a slot."""
    return sum(kind.part * _kind_work_s(scenario, kind) for kind in scenario.kinds)


def _kind_work_s(scenario: Scenario, kind: Kind) -> float:
    shared = scenario.prefix_tokens if scenario.prefixes else 0
    prompt = kind.prompt + shared if scenario.prefixes else kind.prompt
    return (prompt - shared) * scenario.prefill_s + kind.output * scenario.token_s


def call_work_s(scenario: Scenario, call: Call) -> float:
    """Return the seconds that a call needs a slot when its prefix is held."""
    shared = scenario.prefix_tokens if call.prefix >= 0 else 0
    return (call.prompt - shared) * scenario.prefill_s + call.output * scenario.token_s


def mean_tokens(scenario: Scenario) -> float:
    """Return the mean tokens of a request, prompt and output together."""
    shared = scenario.prefix_tokens if scenario.prefixes else 0
    return sum(
        kind.part * (kind.prompt + shared + kind.output) for kind in scenario.kinds
    )


def capacity_per_s(scenario: Scenario) -> float:
    """Return the requests a second that the slots carry."""
    return scenario.engines * scenario.slots / mean_work_s(scenario)


def _spread(generator: random.Random, mean: int) -> int:
    return max(1, round(mean * generator.uniform(0.5, 1.5)))


def _is_burst(scenario: Scenario, now: float) -> bool:
    return now % 10 < scenario.burst_s


def _list_arrivals(
    scenario: Scenario, rate: float, generator: random.Random
) -> Iterator[float]:
    """Yield moments of a Poisson process that bursts at times."""
    peak = rate * max(1.0, scenario.burst_factor)
    now = 0.0
    while peak > 0:
        now += generator.expovariate(peak)
        if now >= scenario.length_s:
            return
        wanted = rate * (scenario.burst_factor if _is_burst(scenario, now) else 1.0)
        if generator.random() < wanted / peak:
            yield now


def _pick_prefix(scenario: Scenario, generator: random.Random) -> int:
    if not scenario.prefixes:
        return -1
    places = range(scenario.prefixes)
    weights = [1 / (place + 1) ** scenario.prefix_skew for place in places]
    return generator.choices(places, weights)[0]


def make_calls(scenario: Scenario, generator: random.Random) -> list[Call]:
    """Return the calls of a run, in the order of arrival."""
    calls = []
    parts = [kind.part for kind in scenario.kinds]
    shared = scenario.prefix_tokens if scenario.prefixes else 0
    for place, (team, demand) in enumerate(scenario.teams.items()):
        rate = demand.asked * capacity_per_s(scenario)
        for arrived in _list_arrivals(scenario, rate, generator):
            kind = generator.choices(scenario.kinds, parts)[0]
            output = _spread(generator, kind.output)
            entry = generator.randrange(scenario.instances)
            calls.append(
                Call(
                    number=0,
                    team=team,
                    kind=kind,
                    prompt=shared + _spread(generator, kind.prompt),
                    output=output,
                    bound=round(output * generator.uniform(1, 3)),
                    prefix=_pick_prefix(scenario, generator),
                    entry=place % scenario.instances
                    if scenario.has_sticky_teams
                    else entry,
                    arrived=arrived,
                    obeys=generator.random() < 0.5,
                )
            )
    calls.sort(key=lambda call: call.arrived)
    for number, call in enumerate(calls):
        call.number = number
    return calls
