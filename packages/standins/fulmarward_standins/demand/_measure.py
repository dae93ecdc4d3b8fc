"""What callers saw of a run, in one row."""

from statistics import quantiles

from fulmarward_standins.demand._calls import call_work_s
from fulmarward_standins.demand._types import Call, Scenario, Tally

#: Seconds over which the rate of useful answers is counted to see a recovery.
RECOVERY_BIN_S = 1.0

#: Share of the bound at which a fleet counts as recovered.
RECOVERED = 0.9


def _quantile(values: list[float], percent: int) -> float:
    if len(values) < 2:
        return round(values[0], 4) if values else 0.0
    return round(quantiles(values, n=100, method="inclusive")[percent - 1], 4)


def capacity_slots(scenario: Scenario, now: float) -> float:
    """Return the slots that work at full speed at a moment."""
    state = {place: {} for place in range(scenario.engines)}
    for fault in scenario.faults:
        if fault.at <= now:
            for place in fault.engines:
                state[place].update(fault.change)
    return sum(
        0
        if item.get("is_dead") or item.get("is_failing")
        else scenario.slots / item.get("slow", 1.0)
        for item in state.values()
    )


def _sum_work(scenario: Scenario, calls: list[Call]) -> float:
    return sum(call_work_s(scenario, call) for call in calls)


def _bound(scenario: Scenario, offered: list[Call], start: float, end: float) -> float:
    steps = max(1, round((end - start) / 0.5))
    capacity = sum(
        capacity_slots(scenario, start + 0.5 * step) * 0.5 for step in range(steps)
    )
    return min(_sum_work(scenario, offered), capacity)


def measure_run(scenario: Scenario, tally: Tally) -> dict[str, object]:
    """Return the row of a run."""
    start, end = scenario.warm_s, scenario.length_s
    whole = [call for call in tally.calls if call.end == "whole"]
    useful = [call for call in whole if start <= call.ended_at < end]
    first_arrivals = tally.first_arrivals
    offered = [
        call
        for call, at in zip(tally.calls, first_arrivals, strict=True)
        if start <= at < end
    ]
    first_s = [call.first_at - call.arrived for call in useful]
    urgent_s = [
        call.first_at - call.arrived for call in useful if call.kind.urgency == 0
    ]
    token_s = [call.token_s for call in useful]
    returns = sum(call.returns for call in tally.calls)
    taken = sum(call.returns_taken for call in tally.calls)
    return {
        "of_bound": round(
            _sum_work(scenario, useful) / _bound(scenario, offered, start, end), 3
        ),
        "first_p50_s": _quantile(first_s, 50),
        "first_p95_s": _quantile(first_s, 95),
        "urgent_p95_s": _quantile(urgent_s, 95),
        "token_p50_s": _quantile(token_s, 50),
        "token_p95_s": _quantile(token_s, 95),
        "worst_inside": _worst_inside(scenario, offered),
        "retries": round(tally.tries / max(1, tally.firsts), 3),
        "refused": len(tally.refusals_s),
        "refused_p95_s": _quantile(tally.refusals_s, 95),
        "late": sum(1 for call in offered if call.end == "late"),
        "failed": sum(1 for call in offered if call.end == "failed"),
        "returns_taken": round(taken / returns, 3) if returns else "",
        "recovery_s": _recovery_s(scenario, tally, whole),
    }


def _worst_inside(scenario: Scenario, offered: list[Call]) -> object:
    """Return what the worst team got of what it asked for inside its share."""
    parts = []
    for team, demand in scenario.teams.items():
        if demand.asked > demand.sold:
            continue
        its = [call for call in offered if call.team == team]
        got = [call for call in its if call.end == "whole"]
        parts.append(_sum_tokens(got) / max(1, _sum_tokens(its)))
    return round(min(parts), 3) if parts else ""


def _sum_tokens(calls: list[Call]) -> int:
    return sum(call.prompt + call.output for call in calls)


def _recovery_s(scenario: Scenario, tally: Tally, whole: list[Call]) -> object:
    """Return the seconds from the first fault to two good bins in a row."""
    if not scenario.faults:
        return ""
    fault_at = min(fault.at for fault in scenario.faults)
    demand = sum(item.asked for item in scenario.teams.values())
    slots = scenario.engines * scenario.slots
    good = 0
    now = fault_at
    while now < scenario.length_s:
        until = now + RECOVERY_BIN_S
        ended = [call for call in whole if now <= call.ended_at < until]
        bound = min(demand * slots, capacity_slots(scenario, until)) * RECOVERY_BIN_S
        good = good + 1 if _sum_work(scenario, ended) >= RECOVERED * bound else 0
        now = until
        if good == 2:
            return round(now - fault_at - 2 * RECOVERY_BIN_S, 1)
    return "never"
