"""Whether and when an accepted request may go to a target."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from math import ceil

from fulmarward._instance import Instance
from fulmarward.admission import Pool, find_pool
from fulmarward.answers import Answer
from fulmarward.observability import log_event
from fulmarward.requests._route import list_candidates, list_engines
from fulmarward.requests._work import Work
from fulmarward.shares import find_bucket
from fulmarward_core.admission import (
    Outputs,
    Refusal,
    Ticket,
    admit_ticket,
    count_demand,
    doubt_output,
    drop_late,
    expect_output,
    note_output,
    note_wait,
    pop_next,
    remove_ticket,
    settle_tokens,
)
from fulmarward_core.performance import review_pool
from fulmarward_core.results import Failure, ResultCode, make_failure
from fulmarward_core.routing import PoolSpeed, measure_pool

#: Seconds between two looks at what waits and at targets that may be set aside.
REVIEW_EVERY_S = 0.1

#: Least weight of a team in the order; one that was sold nothing has this.
LEAST_WEIGHT = 1e-3

#: When a request that was dropped from the queue may come back, in seconds.
DROPPED_RETRY_S = 1.0


@dataclass(frozen=True, kw_only=True)
class _Case:
    """A request, the pool it goes to and what is known of both."""

    work: Work
    pool: Pool
    speed: PoolSpeed
    ticket: Ticket
    outputs: Outputs
    #: The answer as it grows, to settle what was really used.
    answer: Answer | None


def _measure(instance: Instance, work: Work) -> PoolSpeed:
    """Return what the request's pool carries: whole engines, else chains of stages.

    A chain takes a slot on each of its stages, so stages count by their layers; their
    limits are not measured and count as the slots.
    """
    now = instance.read_clock()
    whole = list_candidates(instance, work)
    if whole:
        return measure_pool(whole, now=now)
    stages = list_engines(instance, work)
    layers = work.snapshot.declaration.models[work.pipeline.model].layers
    held = sum(view.target.layers[1] - view.target.layers[0] for view in stages)
    speed = measure_pool(stages, now=now)
    chains = speed.capacity * held / max(1, len(stages) * layers)
    return replace(speed, places=chains, capacity=chains)


def _make_case(instance: Instance, work: Work) -> _Case:
    speed = _measure(instance, work)
    outputs = instance.admission.outputs.setdefault(work.pipeline_name, Outputs())
    expected = expect_output(outputs, work.max_tokens)
    prompt = len(work.prompt.split())
    ticket = Ticket(
        request=work.request,
        team=work.team,
        urgency=work.urgency,
        tokens=prompt + expected,
        service_s=prompt * speed.prefill_s + expected * speed.token_s,
        deadline=work.deadline,
    )
    return _Case(
        work=work,
        pool=find_pool(instance.admission, work.pipeline.model),
        speed=speed,
        ticket=ticket,
        outputs=outputs,
        answer=instance.answers.get(work.request),
    )


def _decide(instance: Instance, case: _Case) -> Ticket | Refusal:
    work, now = case.work, instance.read_clock()
    team = work.snapshot.declaration.teams[work.team]
    count_demand(instance.admission.demand, work.team, case.ticket.tokens)
    result = admit_ticket(
        case.pool.queue,
        find_bucket(instance, work.team, team),
        case.ticket,
        weight=max(LEAST_WEIGHT, team.tokens_per_s),
        running=len(case.pool.running),
        places=case.speed.capacity,
        now=now,
        generator=instance.generator,
    )
    if isinstance(result, Refusal) and result.retry_after_s is None:
        doubt_output(case.outputs)
    return result


def _log(instance: Instance, case: _Case, result: Ticket | Refusal) -> None:
    is_refused = isinstance(result, Refusal)
    reason = result.code.name.lower() if is_refused else _name_capacity(result)
    instance.metrics.decisions.inc({"kind": "admit", "reason": reason})
    log_event(
        "admit",
        request=case.work.request,
        team=case.work.team,
        pipeline=case.work.pipeline_name,
        reason=reason,
        tokens=round(case.ticket.tokens),
        service_s=round(case.ticket.service_s, 3),
        waiting=case.pool.queue.length,
        running=len(case.pool.running),
        places=round(case.speed.capacity, 1),
        retry_after_s=result.retry_after_s if is_refused else None,
    )


def _name_capacity(ticket: Ticket) -> str:
    return "lent" if ticket.is_lent else "sold"


def _make_failure(refusal: Refusal) -> Failure:
    after_s = refusal.retry_after_s
    after_ms = None if after_s is None else ceil(after_s * 1000)
    return make_failure(refusal.code, retry_after_ms=after_ms)


def _start_places(instance: Instance, work: Work) -> None:
    """Give the free places of a pool to those whose turn it is."""
    pool = find_pool(instance.admission, work.pipeline.model)
    places = _measure(instance, work).places
    while ticket := pop_next(pool.queue, running=len(pool.running), places=places):
        note_wait(pool.queue, ticket, now=instance.read_clock())
        pool.running[ticket.request] = ticket
        turn = pool.turns[ticket.request]
        if not turn.done():
            turn.set_result(None)


def _drop_late(instance: Instance, pool: Pool) -> None:
    """Refuse at once what waits and can no longer make its deadline."""
    now = instance.read_clock()
    for ticket in drop_late(pool.queue, now=now):
        note_wait(pool.queue, ticket, now=now)
        turn = pool.turns[ticket.request]
        if not turn.done():
            refusal = Refusal(
                code=ResultCode.DEADLINE_TOO_NEAR,
                retry_after_s=DROPPED_RETRY_S,
                wait_s=0.0,
            )
            turn.set_result(refusal)


def _settle(instance: Instance, ticket: Ticket, used: float) -> None:
    bucket = instance.admission.buckets.get(ticket.team)
    if bucket is not None and not ticket.is_lent:
        now = instance.read_clock()
        settle_tokens(bucket, reserved=ticket.tokens, used=used, now=now)


def _count_used(case: _Case, ticket: Ticket) -> float:
    """Return the tokens that a request used; nothing when it was not run."""
    answer = case.answer
    if answer is None:
        return ticket.tokens
    if not answer.locator:
        return 0.0
    return len(case.work.prompt.split()) + len(answer.texts)


def _leave(instance: Instance, case: _Case, ticket: Ticket) -> None:
    """Free the place, settle the share and start the next."""
    pool = case.pool
    pool.turns.pop(ticket.request, None)
    has_run = pool.running.pop(ticket.request, None) is not None
    remove_ticket(pool.queue, ticket)
    _settle(instance, ticket, _count_used(case, ticket) if has_run else 0.0)
    if case.answer is not None and case.answer.end:
        note_output(case.outputs, len(case.answer.texts))
    _start_places(instance, case.work)


@asynccontextmanager
async def admit_work(instance: Instance, work: Work) -> AsyncIterator[Failure | None]:
    """Wait for the request's turn and hold its place; gives the refusal, if any."""
    case = _make_case(instance, work)
    if case.speed.capacity <= 0:
        # No engine takes work now: choosing a target says so at once.
        yield None
        return
    result = _decide(instance, case)
    _log(instance, case, result)
    if isinstance(result, Refusal):
        yield _make_failure(result)
        return
    turn = asyncio.get_running_loop().create_future()
    case.pool.turns[result.request] = turn
    try:
        _start_places(instance, work)
        refusal = await turn
        if refusal is not None:
            _log(instance, case, refusal)
        yield None if refusal is None else _make_failure(refusal)
    finally:
        _leave(instance, case, result)


def _review_targets(instance: Instance, model: str) -> None:
    views = {
        name: view
        for name, view in instance.views.items()
        if view.target.serves == model and not view.leaving
    }
    pool = {name: view.performance for name, view in views.items()}
    for name, reason in review_pool(pool, now=instance.read_clock()):
        instance.metrics.decisions.inc({"kind": "set_aside", "reason": reason})
        log_event(
            "set_aside",
            target=name,
            reason=reason,
            seconds=pool[name].aside_s,
            pool=model,
        )


async def run_admission(instance: Instance) -> None:
    """Drop what is late, and set targets aside, again and again."""
    while True:
        for model, pool in list(instance.admission.pools.items()):
            _drop_late(instance, pool)
            _review_targets(instance, model)
        await asyncio.sleep(REVIEW_EVERY_S)
