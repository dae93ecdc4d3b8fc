"""Summarizes a run from the callers' view in one row."""

from statistics import quantiles

from fulmarward_standins.demand._calls import call_work_s
from fulmarward_standins.demand._types import Call, RunRecord, Scenario

#: Length of the intervals in which useful work is summed to detect recovery.
RECOVERY_BIN_S = 1.0

#: Share of the upper bound of useful work at which a fleet counts as recovered.
RECOVERED_SHARE = 0.9


def _quantile(values: list[float], percent: int) -> float:
    if len(values) < 2:
        return round(values[0], 4) if values else 0.0
    return round(quantiles(values, n=100, method="inclusive")[percent - 1], 4)


def capacity_slots(scenario: Scenario, now: float) -> float:
    """Return the working slots at a time, with slow ones counted in part."""
    state = {index: {} for index in range(scenario.engines)}
    for fault in scenario.faults:
        if fault.at <= now:
            for index in fault.engines:
                state[index].update(fault.change)
    return sum(
        0
        if item.get("is_dead") or item.get("is_failing")
        else scenario.slots / item.get("slowdown", 1.0)
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


def measure_run(scenario: Scenario, record: RunRecord) -> dict[str, object]:
    """Return the result row of a run."""
    start, end = scenario.warmup_s, scenario.duration_s
    completed = [call for call in record.calls if call.outcome == "whole"]
    useful = [call for call in completed if start <= call.ended_at < end]
    first_arrivals = record.first_arrivals
    offered = [
        call
        for call, at in zip(record.calls, first_arrivals, strict=True)
        if start <= at < end
    ]
    first_s = [call.first_at - call.arrived for call in useful]
    urgent_s = [
        call.first_at - call.arrived for call in useful if call.kind.urgency == 0
    ]
    token_s = [call.token_s for call in useful]
    resubmissions = sum(call.resubmissions for call in record.calls)
    admitted = sum(call.resubmissions_admitted for call in record.calls)
    return {
        "of_bound": round(
            _sum_work(scenario, useful) / _bound(scenario, offered, start, end), 3
        ),
        "first_p50_s": _quantile(first_s, 50),
        "first_p95_s": _quantile(first_s, 95),
        "urgent_p95_s": _quantile(urgent_s, 95),
        "token_p50_s": _quantile(token_s, 50),
        "token_p95_s": _quantile(token_s, 95),
        "worst_inside": _measure_worst_compliant_team(scenario, offered),
        "retries": round(record.tries / max(1, record.first_tries), 3),
        "refused": len(record.refusals_s),
        "refused_p95_s": _quantile(record.refusals_s, 95),
        "late": sum(1 for call in offered if call.outcome == "late"),
        "failed": sum(1 for call in offered if call.outcome == "failed"),
        "returns_taken": round(admitted / resubmissions, 3) if resubmissions else "",
        "recovery_s": _measure_recovery_s(scenario, record, completed),
    }


def _measure_worst_compliant_team(scenario: Scenario, offered: list[Call]) -> object:
    """Return the lowest share of tokens served, over teams within their sold share."""
    shares = []
    for team, demand in scenario.teams.items():
        if demand.asked > demand.sold:
            continue
        offered_by_team = [call for call in offered if call.team == team]
        completed = [call for call in offered_by_team if call.outcome == "whole"]
        shares.append(_sum_tokens(completed) / max(1, _sum_tokens(offered_by_team)))
    return round(min(shares), 3) if shares else ""


def _sum_tokens(calls: list[Call]) -> int:
    return sum(call.prompt + call.output for call in calls)


def _measure_recovery_s(
    scenario: Scenario, record: RunRecord, completed: list[Call]
) -> object:
    """Return the seconds from the first fault to two recovered intervals in a row."""
    if not scenario.faults:
        return ""
    fault_at = min(fault.at for fault in scenario.faults)
    demand = sum(item.asked for item in scenario.teams.values())
    slots = scenario.engines * scenario.slots
    good = 0
    now = fault_at
    while now < scenario.duration_s:
        until = now + RECOVERY_BIN_S
        ended = [call for call in completed if now <= call.ended_at < until]
        bound = min(demand * slots, capacity_slots(scenario, until)) * RECOVERY_BIN_S
        good = good + 1 if _sum_work(scenario, ended) >= RECOVERED_SHARE * bound else 0
        now = until
        if good == 2:
            return round(now - fault_at - 2 * RECOVERY_BIN_S, 1)
    return "never"
