"""Ours beside other policies in every scenario, on the same seeds.

Virtual time: the figures do not depend on the machine. `of_bound` is the work of
useful answers in time as a share of the lesser of demand and capacity.
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
            tally = run_scenario(scenario, policy=policy, seed=seed)
            row = {"scenario": scenario.name, "policy": policy}
            rows.append(row | measure_run(scenario, tally))
    return rows
