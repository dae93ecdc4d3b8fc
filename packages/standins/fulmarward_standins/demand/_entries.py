"""Instances in virtual time, which use the decisions that real ones use."""

from collections.abc import Callable
from dataclasses import dataclass, field

from fulmarward_core.admission import (
    Bucket,
    FairQueue,
    Outputs,
    Refusal,
    Ticket,
    admit_ticket,
    doubt_output,
    drop_late,
    expect_output,
    make_bucket,
    note_output,
    note_wait,
    pop_next,
    resize_bucket,
    settle_tokens,
    split_burst,
    split_share,
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
    Ask,
    LoadReport,
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
from fulmarward_standins.demand._types import Call, Scenario
from fulmarward_standins.demand._world import World, finish_call, refuse_call

#: Tries of one request.
MOST_TRIES = 3

#: Seconds that a target which failed gets no new work.
AVOID_S = 1.0

#: Chooses a target for a call, or none.
Chooser = Callable[["Entry", Call, frozenset[str]], TargetView | None]


@dataclass(kw_only=True)
class Entry:
    """One instance."""

    world: World
    engines: dict[str, Engine]
    data_centre: str
    choose: Chooser
    #: Whether admission, limits and the retry budget are in use.
    is_managed: bool
    views: dict[str, TargetView] = field(default_factory=dict)
    queue: FairQueue = field(default_factory=FairQueue)
    buckets: dict[str, Bucket] = field(default_factory=dict)
    outputs: dict[str, Outputs] = field(default_factory=dict)
    budget: RetryBudget = field(default_factory=RetryBudget)
    #: Calls and tickets that wait or run, by request.
    calls: dict[str, tuple[Call, Ticket]] = field(default_factory=dict)
    running: int = 0
    #: Tokens a second asked for by team, and in the present second.
    demand: dict[str, float] = field(default_factory=dict)
    counted: dict[str, float] = field(default_factory=dict)
    #: Baselines keep the turn of a round robin here.
    turn: int = 0


def make_view(engine: Engine) -> TargetView:
    """Return a fresh view of an engine."""
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


def submit_call(entry: Entry, call: Call) -> None:
    """Take a call as an instance does."""
    if not entry.is_managed:
        _try(entry, call, frozenset(), None)
        return
    now = entry.world.now
    speed = measure_pool(list(entry.views.values()), now=now)
    outputs = entry.outputs.setdefault(call.kind.name, Outputs())
    expected = expect_output(outputs, call.bound)
    ticket = Ticket(
        request=str(call.number),
        team=call.team,
        urgency=call.kind.urgency,
        tokens=call.prompt + expected,
        service_s=call.prompt * speed.prefill_s + expected * speed.token_s,
        deadline=call.deadline,
    )
    counted = entry.counted
    counted[call.team] = counted.get(call.team, 0.0) + ticket.tokens
    result = admit_ticket(
        entry.queue,
        entry.buckets[call.team],
        ticket,
        weight=max(1e-6, entry.world.scenario.teams[call.team].sold),
        running=entry.running,
        places=speed.capacity,
        now=now,
        generator=entry.world.generator,
    )
    if isinstance(result, Refusal):
        if result.retry_after_s is None:
            doubt_output(outputs)
        refuse_call(entry.world, call, result.code.name, result.retry_after_s)
        return
    entry.calls[result.request] = (call, result)
    grant_places(entry)


def grant_places(entry: Entry) -> None:
    """Drop what is late and start what has a place."""
    now = entry.world.now
    for ticket in drop_late(entry.queue, now=now):
        call, _ = entry.calls.pop(ticket.request)
        note_wait(entry.queue, ticket, now=now)
        if not ticket.is_lent:
            _settle(entry, ticket, 0.0)
        refuse_call(entry.world, call, ResultCode.DEADLINE_TOO_NEAR.name, 1.0)
    speed = measure_pool(list(entry.views.values()), now=now)
    while ticket := pop_next(entry.queue, running=entry.running, places=speed.places):
        note_wait(entry.queue, ticket, now=now)
        call, _ = entry.calls[ticket.request]
        entry.running += 1
        _try(entry, call, frozenset(), ticket)


def _settle(entry: Entry, ticket: Ticket, used: float) -> None:
    settle_tokens(
        entry.buckets[ticket.team],
        reserved=ticket.tokens,
        used=used,
        now=entry.world.now,
    )


def _try(
    entry: Entry, call: Call, tried: frozenset[str], ticket: Ticket | None
) -> None:
    world = entry.world
    if world.now >= call.deadline:
        _conclude(entry, call, ticket, "late")
        return
    view = entry.choose(entry, call, tried)
    if view is None:
        _conclude(entry, call, ticket, "no_target")
        return
    world.tally.tries += 1
    if not tried:
        world.tally.firsts += 1
        note_first_try(entry.budget)
    started = world.now
    view.in_flight += 1
    engine = entry.engines[view.name]

    def hear(what: str) -> None:
        if what == "first":
            call.first_at = world.now
            if entry.is_managed:
                _note_first(entry, call, view, started, ticket)
            return
        view.in_flight -= 1
        if what == "whole":
            streamed_s = world.now - call.first_at
            note_success(view.performance, tokens=call.output, streamed_s=streamed_s)
            _conclude(entry, call, ticket, "whole")
            return
        _fail(entry, call, tried, ticket, view, has_begun=call.first_at >= started)

    def expire() -> None:
        if not stream.is_over:
            cancel_stream(world, engine, stream)
            view.in_flight -= 1
            _conclude(entry, call, ticket, "late")

    stream = Stream(call=call, tell=hear)
    if start_stream(world, engine, stream):
        world.at(call.deadline, expire)
        return
    view.in_flight -= 1
    note_refusal(view.performance, slots=view.target.slots, now=world.now)
    _fail(entry, call, tried, ticket, view, has_begun=False)


def _note_first(
    entry: Entry, call: Call, view: TargetView, started: float, ticket: Ticket
) -> None:
    now = entry.world.now
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
    entry: Entry,
    call: Call,
    tried: frozenset[str],
    ticket: Ticket | None,
    view: TargetView,
    *,
    has_begun: bool,
) -> None:
    now = entry.world.now
    note_failure(view.performance, slots=view.target.slots, now=now)
    view.avoided_until = now + AVOID_S
    tried = tried | {view.name}
    may_retry = not has_begun and len(tried) < MOST_TRIES
    if may_retry and (not entry.is_managed or spend_retry(entry.budget)):
        _try(entry, call, tried, ticket)
        return
    _conclude(entry, call, ticket, "failed" if has_begun else "no_target")


def _conclude(entry: Entry, call: Call, ticket: Ticket | None, end: str) -> None:
    world = entry.world
    if ticket is not None:
        entry.running -= 1
        entry.calls.pop(ticket.request, None)
        used = call.prompt + call.output if end == "whole" else ticket.tokens
        if not ticket.is_lent:
            _settle(entry, ticket, 0.0 if end == "no_target" else used)
    if end == "no_target":
        refuse_call(world, call, "NO_TARGET", 1.0)
    else:
        finish_call(world, call, end)
    if end == "whole":
        note_output(entry.outputs.setdefault(call.kind.name, Outputs()), call.output)
    if ticket is not None:
        world.at(world.now, lambda: grant_places(entry))


def choose_ours(entry: Entry, call: Call, tried: frozenset[str]) -> TargetView | None:
    """Choose as a real instance does."""
    prefixes = (str(call.prefix),) if call.prefix >= 0 else ()
    choice = choose_target(
        candidates=list(entry.views.values()),
        data_centre=entry.data_centre,
        now=entry.world.now,
        generator=entry.world.generator,
        ask=Ask(
            prompt_tokens=call.prompt,
            output_tokens=call.output,
            prefixes=prefixes,
            prefix_tokens=entry.world.scenario.prefix_tokens,
            slack_s=call.deadline - entry.world.now,
            may_probe=call.kind.urgency is not Urgency.URGENT,
            tried=tried,
        ),
    )
    return choice.chosen if choice else None


def review_targets(entry: Entry) -> None:
    """Set aside what is bad beside its peers, then start what has a place."""
    pool = {name: view.performance for name, view in entry.views.items()}
    review_pool(pool, now=entry.world.now)
    grant_places(entry)


def read_reports(entry: Entry) -> None:
    """Take in what the engines report, as late as the scenario says."""
    world = entry.world
    horizon = world.now - world.scenario.report_lag_s
    for name, engine in entry.engines.items():
        seen = [load for at, load in engine.loads if at <= horizon]
        if engine.is_dead or not seen:
            continue
        running, waiting = (0, 0) if engine.is_lying else seen[-1]
        entry.views[name].report = LoadReport(
            running=running, waiting=waiting, received_at=world.now
        )


def share_demand(entries: list[Entry]) -> None:
    """Split the sold shares anew by what was asked for where, a second late."""
    for place, entry in enumerate(entries):
        for team in entry.world.scenario.teams:
            others = {
                str(number): other.demand.get(team, 0.0)
                for number, other in enumerate(entries)
                if number != place
            }
            part = split_share(
                own=entry.demand.get(team, 0.0), others=others, members=len(entries)
            )
            sold = sold_tokens_per_s(entry.world.scenario, team)
            resize_bucket(
                entry.buckets[team],
                rate=sold * part,
                depth=split_burst(BURST_S * sold, part),
                now=entry.world.now,
            )
    for entry in entries:
        for team in entry.world.scenario.teams:
            counted = entry.counted.pop(team, 0.0)
            known = entry.demand.get(team, counted)
            entry.demand[team] = known + 0.3 * (counted - known)


#: A team's burst, in seconds of its rate.
BURST_S = 3.0


def sold_tokens_per_s(scenario: Scenario, team: str) -> float:
    """Return the tokens a second that a team was sold."""
    return scenario.teams[team].sold * capacity_per_s(scenario) * mean_tokens(scenario)


def fill_buckets(entry: Entry, instances: int) -> None:
    """Give an instance its even part of each share."""
    for team in entry.world.scenario.teams:
        rate = sold_tokens_per_s(entry.world.scenario, team) / instances
        entry.buckets[team] = make_bucket(rate=rate, depth=BURST_S * rate, now=0.0)
