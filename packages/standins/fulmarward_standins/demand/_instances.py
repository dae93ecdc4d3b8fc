"""Simulated instances that use the decision functions of real instances."""

from collections.abc import Callable
from dataclasses import dataclass, field

from fulmarward_core.admission import (
    Bucket,
    FairQueue,
    OutputLengths,
    Refusal,
    Ticket,
    admit_ticket,
    compute_bucket_depth,
    compute_share_fraction,
    decay_output_estimate,
    drop_expired,
    estimate_output,
    make_bucket,
    note_wait,
    pop_next,
    record_output,
    resize_bucket,
    settle_tokens,
)
from fulmarward_core.declaration import Target, TargetKind, Urgency
from fulmarward_core.performance import (
    note_failure,
    note_first_token,
    note_refusal,
    note_success,
    review_pool,
)
from fulmarward_core.results import ResultCode
from fulmarward_core.retries import RetryBudget, note_first_try, spend_retry
from fulmarward_core.routing import (
    LoadReport,
    RequestProfile,
    TargetView,
    choose_target,
    estimate_load,
    measure_pool,
)
from fulmarward_standins.demand._calls import capacity_per_s, mean_tokens
from fulmarward_standins.demand._engines import (
    Engine,
    Stream,
    cancel_stream,
    start_stream,
)
from fulmarward_standins.demand._simulation import Simulation, finish_call, refuse_call
from fulmarward_standins.demand._types import Call, Scenario

#: Maximum number of tries of one request.
MAX_TRIES = 3

#: Seconds for which a target is avoided after a failure.
AVOID_S = 1.0

#: Chooses a target for a call, `None` if there is none.
Chooser = Callable[["SimulatedInstance", Call, frozenset[str]], TargetView | None]


@dataclass(kw_only=True)
class SimulatedInstance:
    """State of a simulated instance."""

    simulation: Simulation
    engines: dict[str, Engine]
    data_centre: str
    choose: Chooser
    #: Whether admission, limits and the retry budget are in use.
    is_managed: bool
    views: dict[str, TargetView] = field(default_factory=dict)
    queue: FairQueue = field(default_factory=FairQueue)
    buckets: dict[str, Bucket] = field(default_factory=dict)
    outputs: dict[str, OutputLengths] = field(default_factory=dict)
    budget: RetryBudget = field(default_factory=RetryBudget)
    #: Queued and running calls with their tickets, by request id.
    calls: dict[str, tuple[Call, Ticket]] = field(default_factory=dict)
    running: int = 0
    #: Smoothed demand in tokens per second by team, and tokens of the current second.
    demand: dict[str, float] = field(default_factory=dict)
    current_demand: dict[str, float] = field(default_factory=dict)
    #: Round-robin position, used by the round-robin policy only.
    next_index: int = 0


def make_view(engine: Engine) -> TargetView:
    """Return a new view of an engine."""
    scenario = engine.scenario
    target = Target(
        address="127.0.0.1:1",
        data_centre=engine.data_centre,
        kind=TargetKind.ENGINE,
        serves="model",
        accelerator="",
        layers=(0, 1),
        slots=scenario.slots,
        tokens_per_s=scenario.slots / scenario.token_s,
        checks_fencing=True,
    )
    return TargetView(name=engine.name, target=target)


def submit_call(instance: SimulatedInstance, call: Call) -> None:
    """Admit, queue or refuse a call as a real instance does."""
    if not instance.is_managed:
        _try(instance, call, frozenset(), None)
        return
    now = instance.simulation.now
    speed = measure_pool(list(instance.views.values()), now=now)
    outputs = instance.outputs.setdefault(call.kind.name, OutputLengths())
    expected = estimate_output(outputs, call.bound)
    ticket = Ticket(
        request=str(call.number),
        team=call.team,
        urgency=call.kind.urgency,
        tokens=call.prompt + expected,
        service_s=call.prompt * speed.prefill_s + expected * speed.token_s,
        deadline=call.deadline,
    )
    counted = instance.current_demand
    counted[call.team] = counted.get(call.team, 0.0) + ticket.tokens
    result = admit_ticket(
        instance.queue,
        instance.buckets[call.team],
        ticket,
        weight=max(1e-6, instance.simulation.scenario.teams[call.team].sold),
        running=instance.running,
        places=speed.capacity,
        now=now,
        generator=instance.simulation.generator,
    )
    if isinstance(result, Refusal):
        if result.retry_after_s is None:
            decay_output_estimate(outputs)
        refuse_call(instance.simulation, call, result.code.name, result.retry_after_s)
        return
    instance.calls[result.request] = (call, result)
    start_waiting_calls(instance)


def start_waiting_calls(instance: SimulatedInstance) -> None:
    """Refuse queued calls that are too late, then start calls in free places."""
    now = instance.simulation.now
    for ticket in drop_expired(instance.queue, now=now):
        call, _ = instance.calls.pop(ticket.request)
        note_wait(instance.queue, ticket, now=now)
        if not ticket.is_lent:
            _settle(instance, ticket, 0.0)
        refuse_call(instance.simulation, call, ResultCode.DEADLINE_TOO_NEAR.name, 1.0)
    speed = measure_pool(list(instance.views.values()), now=now)
    while ticket := pop_next(
        instance.queue, running=instance.running, places=speed.places
    ):
        note_wait(instance.queue, ticket, now=now)
        call, _ = instance.calls[ticket.request]
        instance.running += 1
        _try(instance, call, frozenset(), ticket)


def _settle(instance: SimulatedInstance, ticket: Ticket, used: float) -> None:
    settle_tokens(
        instance.buckets[ticket.team],
        reserved=ticket.tokens,
        used=used,
        now=instance.simulation.now,
    )


def _try(
    instance: SimulatedInstance,
    call: Call,
    tried: frozenset[str],
    ticket: Ticket | None,
) -> None:
    simulation = instance.simulation
    if simulation.now >= call.deadline:
        _finish(instance, call, ticket, "late")
        return
    view = instance.choose(instance, call, tried)
    if view is None:
        _finish(instance, call, ticket, "no_target")
        return
    simulation.record.tries += 1
    if not tried:
        simulation.record.first_tries += 1
        note_first_try(instance.budget)
    started = simulation.now
    view.in_flight += 1
    engine = instance.engines[view.name]

    def on_event(event: str) -> None:
        if event == "first":
            call.first_at = simulation.now
            if instance.is_managed:
                _note_first(instance, call, view, started, ticket)
            return
        view.in_flight -= 1
        if event == "whole":
            streamed_s = simulation.now - call.first_at
            note_success(view.performance, tokens=call.output, streamed_s=streamed_s)
            _finish(instance, call, ticket, "whole")
            return
        _fail(instance, call, tried, ticket, view, has_begun=call.first_at >= started)

    def expire() -> None:
        if not stream.is_over:
            cancel_stream(simulation, engine, stream)
            view.in_flight -= 1
            _finish(instance, call, ticket, "late")

    stream = Stream(call=call, on_event=on_event)
    if start_stream(simulation, engine, stream):
        simulation.schedule(call.deadline, expire)
        return
    view.in_flight -= 1
    note_refusal(view.performance, slots=view.target.slots, now=simulation.now)
    _fail(instance, call, tried, ticket, view, has_begun=False)


def _note_first(
    instance: SimulatedInstance,
    call: Call,
    view: TargetView,
    started: float,
    ticket: Ticket,
) -> None:
    now = instance.simulation.now
    note_first_token(
        view.performance,
        slots=view.target.slots,
        in_flight=view.in_flight,
        load=estimate_load(view, now=now),
        waited_s=now - started,
        prompt_tokens=call.prompt,
        is_lent=ticket.is_lent,
        now=now,
    )


def _fail(
    instance: SimulatedInstance,
    call: Call,
    tried: frozenset[str],
    ticket: Ticket | None,
    view: TargetView,
    *,
    has_begun: bool,
) -> None:
    now = instance.simulation.now
    note_failure(view.performance, slots=view.target.slots, now=now)
    view.avoided_until = now + AVOID_S
    tried = tried | {view.name}
    may_retry = not has_begun and len(tried) < MAX_TRIES
    if may_retry and (not instance.is_managed or spend_retry(instance.budget)):
        _try(instance, call, tried, ticket)
        return
    _finish(instance, call, ticket, "failed" if has_begun else "no_target")


def _finish(
    instance: SimulatedInstance, call: Call, ticket: Ticket | None, outcome: str
) -> None:
    simulation = instance.simulation
    if ticket is not None:
        instance.running -= 1
        instance.calls.pop(ticket.request, None)
        used = call.prompt + call.output if outcome == "whole" else ticket.tokens
        if not ticket.is_lent:
            _settle(instance, ticket, 0.0 if outcome == "no_target" else used)
    if outcome == "no_target":
        refuse_call(simulation, call, "NO_TARGET", 1.0)
    else:
        finish_call(simulation, call, outcome)
    if outcome == "whole":
        record_output(
            instance.outputs.setdefault(call.kind.name, OutputLengths()), call.output
        )
    if ticket is not None:
        simulation.schedule(simulation.now, lambda: start_waiting_calls(instance))


def choose_as_instance(
    instance: SimulatedInstance, call: Call, tried: frozenset[str]
) -> TargetView | None:
    """Choose a target as a real instance does."""
    prefixes = (str(call.prefix),) if call.prefix >= 0 else ()
    choice = choose_target(
        candidates=list(instance.views.values()),
        data_centre=instance.data_centre,
        now=instance.simulation.now,
        generator=instance.simulation.generator,
        profile=RequestProfile(
            prompt_tokens=call.prompt,
            output_tokens=call.output,
            prefixes=prefixes,
            prefix_tokens=instance.simulation.scenario.prefix_tokens,
            slack_s=call.deadline - instance.simulation.now,
            may_probe=call.kind.urgency is not Urgency.URGENT,
            tried=tried,
        ),
    )
    return choice.chosen if choice else None


def review_targets(instance: SimulatedInstance) -> None:
    """Exclude targets that perform worse than their peers, then start calls."""
    pool = {name: view.performance for name, view in instance.views.items()}
    review_pool(pool, now=instance.simulation.now)
    start_waiting_calls(instance)


def read_reports(instance: SimulatedInstance) -> None:
    """Read the load reports of the engines with the delay of the scenario."""
    simulation = instance.simulation
    horizon = simulation.now - simulation.scenario.report_lag_s
    for name, engine in instance.engines.items():
        seen = [load for at, load in engine.loads if at <= horizon]
        if engine.is_dead or not seen:
            continue
        running, waiting = (0, 0) if engine.reports_no_load else seen[-1]
        instance.views[name].report = LoadReport(
            running=running, waiting=waiting, received_at=simulation.now
        )


def rebalance_shares(instances: list[SimulatedInstance]) -> None:
    """Split the sold shares by the demand at each instance, one second late."""
    for index, instance in enumerate(instances):
        for team in instance.simulation.scenario.teams:
            others = {
                str(number): other.demand.get(team, 0.0)
                for number, other in enumerate(instances)
                if number != index
            }
            part = compute_share_fraction(
                own=instance.demand.get(team, 0.0),
                others=others,
                members=len(instances),
            )
            sold = sold_tokens_per_s(instance.simulation.scenario, team)
            resize_bucket(
                instance.buckets[team],
                rate=sold * part,
                depth=compute_bucket_depth(BURST_S * sold, part),
                now=instance.simulation.now,
            )
    for instance in instances:
        for team in instance.simulation.scenario.teams:
            counted = instance.current_demand.pop(team, 0.0)
            smoothed = instance.demand.get(team, counted)
            instance.demand[team] = smoothed + 0.3 * (counted - smoothed)


#: Burst size of a team, in seconds of its rate.
BURST_S = 3.0


def sold_tokens_per_s(scenario: Scenario, team: str) -> float:
    """Return the tokens per second sold to a team."""
    return scenario.teams[team].sold * capacity_per_s(scenario) * mean_tokens(scenario)


def fill_buckets(instance: SimulatedInstance, instances: int) -> None:
    """Give an instance an equal part of the share of each team."""
    for team in instance.simulation.scenario.teams:
        rate = sold_tokens_per_s(instance.simulation.scenario, team) / instances
        instance.buckets[team] = make_bucket(rate=rate, depth=BURST_S * rate, now=0.0)
