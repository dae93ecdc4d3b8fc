"""Comparison of all routing policies in all scenarios, with the same seeds.

Runs use virtual time, so the results do not depend on the machine. `of_bound` is the
work of answers completed in time, as a share of the smaller of demand and capacity.
"""

from fulmarward_standins.demand import (
    POLICIES,
    SCENARIOS,
    measure_run,
    run_scenario,
)


def measure(*, seed: int) -> list[dict]:
    """Return a row for each scenario and policy."""
    rows = []
    for scenario in SCENARIOS:
        for policy in POLICIES:
            record = run_scenario(scenario, policy=policy, seed=seed)
            row = {"scenario": scenario.name, "policy": policy}
            rows.append(row | measure_run(scenario, record))
    return rows
