"""Admission control: decides whether and when an accepted request is dispatched."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from math import ceil

from fulmarward._instance import Instance
from fulmarward.admission import Pool, find_pool
from fulmarward.answers import Answer
from fulmarward.observability import log_event
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward.requests._route import list_engine_views, list_whole_model_views
from fulmarward.shares import find_bucket
from fulmarward_core.admission import (
    OutputLengths,
    Refusal,
    Ticket,
    admit_ticket,
    count_demand,
    decay_output_estimate,
    drop_expired,
    estimate_output,
    note_wait,
    pop_next,
    record_output,
    remove_ticket,
    settle_tokens,
)
from fulmarward_core.performance import review_pool
from fulmarward_core.results import Failure, ResultCode, make_failure
from fulmarward_core.routing import PoolSpeed, measure_pool

#: Seconds between reviews of the queues and of slow or failing targets.
REVIEW_INTERVAL_S = 0.1

#: Minimum weight of a team in the fair queue, for teams without a purchased share.
MIN_TEAM_WEIGHT = 1e-3

#: Retry delay, in seconds, sent with the refusal of a queued request that expired.
DROPPED_RETRY_S = 1.0


@dataclass(frozen=True, kw_only=True)
class _PendingRequest:
    """A request in admission, with its pool, capacity estimate and ticket."""

    work: CompletionRequest
    pool: Pool
    speed: PoolSpeed
    ticket: Ticket
    outputs: OutputLengths
    #: The answer under construction, from which the tokens used are counted.
    answer: Answer | None


def _estimate_capacity(instance: Instance, work: CompletionRequest) -> PoolSpeed:
    """Return the capacity of the request's pool: whole-model engines, else chains.

    A chain takes a slot on each of its stages, so each stage counts by its share of
    the layers. The limits of stages are not measured, so their slots are used.
    """
    now = instance.read_clock()
    whole_model_views = list_whole_model_views(instance, work)
    if whole_model_views:
        return measure_pool(whole_model_views, now=now)
    stages = list_engine_views(instance, work)
    layers = work.snapshot.declaration.models[work.pipeline.model].layers
    held = sum(view.target.layers[1] - view.target.layers[0] for view in stages)
    speed = measure_pool(stages, now=now)
    chains = speed.capacity * held / max(1, len(stages) * layers)
    return replace(speed, places=chains, capacity=chains)


def _make_pending(instance: Instance, work: CompletionRequest) -> _PendingRequest:
    speed = _estimate_capacity(instance, work)
    outputs = instance.admission.outputs.setdefault(work.pipeline_name, OutputLengths())
    expected = estimate_output(outputs, work.max_tokens)
    prompt = len(work.prompt.split())
    ticket = Ticket(
        request=work.request,
        team=work.team,
        urgency=work.urgency,
        tokens=prompt + expected,
        service_s=prompt * speed.prefill_s + expected * speed.token_s,
        deadline=work.deadline,
    )
    return _PendingRequest(
        work=work,
        pool=find_pool(instance.admission, work.pipeline.model),
        speed=speed,
        ticket=ticket,
        outputs=outputs,
        answer=instance.answers.get(work.request),
    )


def _admit_or_refuse(instance: Instance, pending: _PendingRequest) -> Ticket | Refusal:
    work, now = pending.work, instance.read_clock()
    team = work.snapshot.declaration.teams[work.team]
    count_demand(instance.admission.demand, work.team, pending.ticket.tokens)
    result = admit_ticket(
        pending.pool.queue,
        find_bucket(instance, work.team, team),
        pending.ticket,
        weight=max(MIN_TEAM_WEIGHT, team.tokens_per_s),
        running=len(pending.pool.running),
        places=pending.speed.capacity,
        now=now,
        generator=instance.generator,
    )
    if isinstance(result, Refusal) and result.retry_after_s is None:
        decay_output_estimate(pending.outputs)
    return result


def _log_decision(
    instance: Instance, pending: _PendingRequest, result: Ticket | Refusal
) -> None:
    is_refused = isinstance(result, Refusal)
    reason = result.code.name.lower() if is_refused else _describe_share(result)
    instance.metrics.decisions.inc({"kind": "admit", "reason": reason})
    log_event(
        "admission_decided",
        request=pending.work.request,
        team=pending.work.team,
        pipeline=pending.work.pipeline_name,
        reason=reason,
        tokens=round(pending.ticket.tokens),
        service_s=round(pending.ticket.service_s, 3),
        waiting=pending.pool.queue.length,
        running=len(pending.pool.running),
        places=round(pending.speed.capacity, 1),
        retry_after_s=result.retry_after_s if is_refused else None,
    )


def _describe_share(ticket: Ticket) -> str:
    return "lent" if ticket.is_lent else "sold"


def _make_failure(refusal: Refusal) -> Failure:
    after_s = refusal.retry_after_s
    after_ms = None if after_s is None else ceil(after_s * 1000)
    return make_failure(refusal.code, retry_after_ms=after_ms)


def _start_waiting(instance: Instance, work: CompletionRequest) -> None:
    """Start the next queued requests of a pool while it has free places."""
    pool = find_pool(instance.admission, work.pipeline.model)
    places = _estimate_capacity(instance, work).places
    while ticket := pop_next(pool.queue, running=len(pool.running), places=places):
        note_wait(pool.queue, ticket, now=instance.read_clock())
        pool.running[ticket.request] = ticket
        admission_future = pool.admission_futures[ticket.request]
        if not admission_future.done():
            admission_future.set_result(None)


def _refuse_expired(instance: Instance, pool: Pool) -> None:
    """Refuse queued requests that can no longer meet their deadline."""
    now = instance.read_clock()
    for ticket in drop_expired(pool.queue, now=now):
        note_wait(pool.queue, ticket, now=now)
        admission_future = pool.admission_futures[ticket.request]
        if not admission_future.done():
            refusal = Refusal(
                code=ResultCode.DEADLINE_TOO_NEAR,
                retry_after_s=DROPPED_RETRY_S,
                wait_s=0.0,
            )
            admission_future.set_result(refusal)


def _settle_tokens(instance: Instance, ticket: Ticket, used: float) -> None:
    bucket = instance.admission.buckets.get(ticket.team)
    if bucket is not None and not ticket.is_lent:
        now = instance.read_clock()
        settle_tokens(bucket, reserved=ticket.tokens, used=used, now=now)


def _count_used_tokens(pending: _PendingRequest, ticket: Ticket) -> float:
    """Return the number of tokens that a request used, 0 if it did not run."""
    answer = pending.answer
    if answer is None:
        return ticket.tokens
    if not answer.locator:
        return 0.0
    return len(pending.work.prompt.split()) + len(answer.texts)


def _release(instance: Instance, pending: _PendingRequest, ticket: Ticket) -> None:
    """Free the place, settle the team's token bucket and start queued requests."""
    pool = pending.pool
    pool.admission_futures.pop(ticket.request, None)
    has_run = pool.running.pop(ticket.request, None) is not None
    remove_ticket(pool.queue, ticket)
    _settle_tokens(
        instance, ticket, _count_used_tokens(pending, ticket) if has_run else 0.0
    )
    if pending.answer is not None and pending.answer.end:
        record_output(pending.outputs, len(pending.answer.texts))
    _start_waiting(instance, pending.work)


@asynccontextmanager
async def admit_work(
    instance: Instance, work: CompletionRequest
) -> AsyncIterator[Failure | None]:
    """Wait in the queue and hold a place; yields the refusal, if there is one."""
    pending = _make_pending(instance, work)
    if pending.speed.capacity <= 0:
        # No engine accepts work, which target selection reports without a wait.
        yield None
        return
    result = _admit_or_refuse(instance, pending)
    _log_decision(instance, pending, result)
    if isinstance(result, Refusal):
        yield _make_failure(result)
        return
    admission_future = asyncio.get_running_loop().create_future()
    pending.pool.admission_futures[result.request] = admission_future
    try:
        _start_waiting(instance, work)
        refusal = await admission_future
        if refusal is not None:
            _log_decision(instance, pending, refusal)
        yield None if refusal is None else _make_failure(refusal)
    finally:
        _release(instance, pending, result)


def _set_targets_aside(instance: Instance, model: str) -> None:
    views = {
        name: view
        for name, view in instance.views.items()
        if view.target.serves == model and not view.leaving
    }
    pool = {name: view.performance for name, view in views.items()}
    for name, reason in review_pool(pool, now=instance.read_clock()):
        instance.metrics.decisions.inc({"kind": "set_aside", "reason": reason})
        log_event(
            "target_set_aside",
            target=name,
            reason=reason,
            seconds=pool[name].aside_s,
            pool=model,
        )


async def run_admission(instance: Instance) -> None:
    """Periodically refuse expired requests and set aside slow or failing targets."""
    while True:
        for model, pool in list(instance.admission.pools.items()):
            _refuse_expired(instance, pool)
            _set_targets_aside(instance, model)
        await asyncio.sleep(REVIEW_INTERVAL_S)
