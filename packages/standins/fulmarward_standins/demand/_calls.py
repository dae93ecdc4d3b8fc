"""Seeded generation of calls."""

import random
from collections.abc import Iterator

from fulmarward_standins.demand._types import Call, RequestKind, Scenario


def mean_work_s(scenario: Scenario) -> float:
    """Return the mean slot seconds of a request."""
    return sum(kind.share * _kind_work_s(scenario, kind) for kind in scenario.kinds)


def _kind_work_s(scenario: Scenario, kind: RequestKind) -> float:
    shared = scenario.prefix_tokens if scenario.prefixes else 0
    prompt = kind.prompt + shared if scenario.prefixes else kind.prompt
    return (prompt - shared) * scenario.prefill_s + kind.output * scenario.token_s


def call_work_s(scenario: Scenario, call: Call) -> float:
    """Return the slot seconds of a call whose prefix is cached."""
    shared = scenario.prefix_tokens if call.prefix >= 0 else 0
    return (call.prompt - shared) * scenario.prefill_s + call.output * scenario.token_s


def mean_tokens(scenario: Scenario) -> float:
    """Return the mean tokens of a request, prompt plus output."""
    shared = scenario.prefix_tokens if scenario.prefixes else 0
    return sum(
        kind.share * (kind.prompt + shared + kind.output) for kind in scenario.kinds
    )


def capacity_per_s(scenario: Scenario) -> float:
    """Return the requests per second that all slots can serve."""
    return scenario.engines * scenario.slots / mean_work_s(scenario)


def _vary(generator: random.Random, mean: int) -> int:
    return max(1, round(mean * generator.uniform(0.5, 1.5)))


def _is_burst(scenario: Scenario, now: float) -> bool:
    return now % 10 < scenario.burst_s


def _list_arrivals(
    scenario: Scenario, rate: float, generator: random.Random
) -> Iterator[float]:
    """Yield the arrivals of a Poisson process with bursts, by thinning."""
    peak = rate * max(1.0, scenario.burst_factor)
    now = 0.0
    while peak > 0:
        now += generator.expovariate(peak)
        if now >= scenario.duration_s:
            return
        wanted = rate * (scenario.burst_factor if _is_burst(scenario, now) else 1.0)
        if generator.random() < wanted / peak:
            yield now


def _pick_prefix(scenario: Scenario, generator: random.Random) -> int:
    if not scenario.prefixes:
        return -1
    indexes = range(scenario.prefixes)
    weights = [1 / (index + 1) ** scenario.prefix_skew for index in indexes]
    return generator.choices(indexes, weights)[0]


def make_calls(scenario: Scenario, generator: random.Random) -> list[Call]:
    """Return the calls of a run, ordered by arrival."""
    calls = []
    shares = [kind.share for kind in scenario.kinds]
    shared = scenario.prefix_tokens if scenario.prefixes else 0
    for index, (team, demand) in enumerate(scenario.teams.items()):
        rate = demand.asked * capacity_per_s(scenario)
        for arrived in _list_arrivals(scenario, rate, generator):
            kind = generator.choices(scenario.kinds, shares)[0]
            output = _vary(generator, kind.output)
            instance = generator.randrange(scenario.instances)
            calls.append(
                Call(
                    number=0,
                    team=team,
                    kind=kind,
                    prompt=shared + _vary(generator, kind.prompt),
                    output=output,
                    bound=round(output * generator.uniform(1, 3)),
                    prefix=_pick_prefix(scenario, generator),
                    instance=index % scenario.instances
                    if scenario.has_sticky_teams
                    else instance,
                    arrived=arrived,
                    retries_when_told=generator.random() < 0.5,
                )
            )
    calls.sort(key=lambda call: call.arrived)
    for number, call in enumerate(calls):
        call.number = number
    return calls
