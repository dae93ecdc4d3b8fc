"""Runs a scenario under a policy."""

from fulmarward_standins.demand._calls import make_calls
from fulmarward_standins.demand._engines import Engine, fail_all
from fulmarward_standins.demand._instances import (
    SimulatedInstance,
    fill_buckets,
    make_view,
    read_reports,
    rebalance_shares,
    review_targets,
    submit_call,
)
from fulmarward_standins.demand._policies import POLICIES, make_generator
from fulmarward_standins.demand._simulation import Simulation, run_simulation
from fulmarward_standins.demand._types import Fault, RunRecord, Scenario

DATA_CENTRES = ("palermo-a", "catania-b", "messina-c")

#: Seconds until instances learn of a change of an engine's cache.
CACHE_EVENT_LAG_S = 0.3


def run_scenario(scenario: Scenario, *, policy: str, seed: int) -> RunRecord:
    """Run a scenario under a policy until all calls have ended."""
    simulation = Simulation(
        scenario=scenario, generator=make_generator(seed, f"{scenario.name} run")
    )
    engines = _make_engines(scenario)
    instances = _make_instances(simulation, engines, policy)
    simulation.submit = lambda call: submit_call(instances[call.instance], call)
    calls = make_calls(scenario, make_generator(seed, scenario.name))
    simulation.record.calls = calls
    simulation.record.first_arrivals = [call.arrived for call in calls]
    for call in calls:
        simulation.schedule(call.arrived, lambda call=call: simulation.submit(call))
    for fault in scenario.faults:
        simulation.schedule(
            fault.at, lambda fault=fault: _apply_fault(simulation, engines, fault)
        )
    _start_tasks(simulation, engines, instances)
    run_simulation(simulation)
    return simulation.record


def _make_engines(scenario: Scenario) -> dict[str, Engine]:
    return {
        f"t{index}": Engine(
            name=f"t{index}",
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            scenario=scenario,
        )
        for index in range(scenario.engines)
    }


def _make_instances(
    simulation: Simulation, engines: dict[str, Engine], policy: str
) -> list[SimulatedInstance]:
    choose, is_managed = POLICIES[policy]
    number = simulation.scenario.instances
    instances = [
        SimulatedInstance(
            simulation=simulation,
            engines=engines,
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            choose=choose,
            is_managed=is_managed,
            views={name: make_view(engine) for name, engine in engines.items()},
        )
        for index in range(number)
    ]
    for instance in instances:
        fill_buckets(instance, number)
    return instances


def _start_tasks(
    simulation: Simulation,
    engines: dict[str, Engine],
    instances: list[SimulatedInstance],
) -> None:
    event_count = [0]

    def sample_loads() -> None:
        for engine in engines.values():
            load = (len(engine.running), len(engine.waiting))
            engine.loads.append((simulation.now, load))

    def on_cache_change(name: str, held: frozenset[str]) -> None:
        event_count[0] += 1
        every = simulation.scenario.lose_event_every
        if every and event_count[0] % every == 0:
            return
        cached = dict.fromkeys(held, float("inf"))
        for instance in instances:
            view = instance.views[name]
            simulation.schedule(
                simulation.now + CACHE_EVENT_LAG_S,
                lambda view=view: setattr(view, "cached_prefixes", dict(cached)),
            )

    for engine in engines.values():
        engine.on_cache_change = on_cache_change
    simulation.schedule_every(0.1, sample_loads)
    for index, instance in enumerate(instances):
        period_s = 1.0 + 0.01 * index
        simulation.schedule_every(
            period_s, lambda instance=instance: read_reports(instance)
        )
        if instance.is_managed:
            simulation.schedule_every(
                0.1, lambda instance=instance: review_targets(instance)
            )
    if instances[0].is_managed:
        simulation.schedule_every(1.0, lambda: rebalance_shares(instances))


def _apply_fault(
    simulation: Simulation, engines: dict[str, Engine], fault: Fault
) -> None:
    for index in fault.engines:
        engine = engines[f"t{index}"]
        for member, value in fault.change.items():
            setattr(engine, member, value)
        if engine.is_dead or engine.is_failing:
            fail_all(simulation, engine)
