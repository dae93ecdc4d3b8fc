"""One run of a scenario under a policy."""

from fulmarward_standins.demand._calls import make_calls
from fulmarward_standins.demand._engines import Engine, fail_all
from fulmarward_standins.demand._entries import (
    Entry,
    fill_buckets,
    make_view,
    read_reports,
    review_targets,
    share_demand,
    submit_call,
)
from fulmarward_standins.demand._policies import POLICIES, make_generator
from fulmarward_standins.demand._types import Fault, Scenario, Tally
from fulmarward_standins.demand._world import World, run_world

DATA_CENTRES = ("palermo-a", "catania-b", "messina-c")

#: Seconds until a change of an engine's cache is heard of.
CACHE_EVENT_LAG_S = 0.3


def run_scenario(scenario: Scenario, *, policy: str, seed: int) -> Tally:
    """Run a scenario under a policy to its end."""
    world = World(
        scenario=scenario, generator=make_generator(seed, f"{scenario.name} run")
    )
    engines = _make_engines(scenario)
    entries = _make_entries(world, engines, policy)
    world.submit = lambda call: submit_call(entries[call.entry], call)
    calls = make_calls(scenario, make_generator(seed, scenario.name))
    world.tally.calls = calls
    world.tally.first_arrivals = [call.arrived for call in calls]
    for call in calls:
        world.at(call.arrived, lambda call=call: world.submit(call))
    for fault in scenario.faults:
        world.at(fault.at, lambda fault=fault: _strike(world, engines, fault))
    _start_tasks(world, engines, entries)
    run_world(world)
    return world.tally


def _make_engines(scenario: Scenario) -> dict[str, Engine]:
    return {
        f"t{place}": Engine(
            name=f"t{place}",
            data_centre=DATA_CENTRES[place % len(DATA_CENTRES)],
            scenario=scenario,
        )
        for place in range(scenario.engines)
    }


def _make_entries(world: World, engines: dict[str, Engine], policy: str) -> list[Entry]:
    choose, is_managed = POLICIES[policy]
    number = world.scenario.instances
    entries = [
        Entry(
            world=world,
            engines=engines,
            data_centre=DATA_CENTRES[place % len(DATA_CENTRES)],
            choose=choose,
            is_managed=is_managed,
            views={name: make_view(engine) for name, engine in engines.items()},
        )
        for place in range(number)
    ]
    for entry in entries:
        fill_buckets(entry, number)
    return entries


def _start_tasks(
    world: World, engines: dict[str, Engine], entries: list[Entry]
) -> None:
    events = [0]

    def note_loads() -> None:
        for engine in engines.values():
            load = (len(engine.running), len(engine.waiting))
            engine.loads.append((world.now, load))

    def tell_cache(name: str, held: frozenset[str]) -> None:
        events[0] += 1
        every = world.scenario.lose_event_every
        if every and events[0] % every == 0:
            return
        believed = dict.fromkeys(held, float("inf"))
        for entry in entries:
            view = entry.views[name]
            world.at(
                world.now + CACHE_EVENT_LAG_S,
                lambda view=view: setattr(view, "cached_prefixes", dict(believed)),
            )

    for engine in engines.values():
        engine.tell_cache = tell_cache
    world.every(0.1, note_loads)
    for place, entry in enumerate(entries):
        period_s = 1.0 + 0.01 * place
        world.every(period_s, lambda entry=entry: read_reports(entry))
        if entry.is_managed:
            world.every(0.1, lambda entry=entry: review_targets(entry))
    if entries[0].is_managed:
        world.every(1.0, lambda: share_demand(entries))


def _strike(world: World, engines: dict[str, Engine], fault: Fault) -> None:
    for place in fault.engines:
        engine = engines[f"t{place}"]
        for member, value in fault.change.items():
            setattr(engine, member, value)
        if engine.is_dead or engine.is_failing:
            fail_all(world, engine)
