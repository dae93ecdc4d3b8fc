"""One attempt of a completion on one target that holds the whole model."""

import asyncio
from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.health import note_refusal
from fulmarward.observability import log_event
from fulmarward.requests._locate import name_reader
from fulmarward.requests._progress import (
    DIFFERS,
    DIFFERS_DETAIL,
    AttemptProgress,
    locate_answer,
    take_texts,
)
from fulmarward.requests._work import Work
from fulmarward.targets import (
    EngineStream,
    StreamBroken,
    StreamOrder,
    StreamRefused,
    StreamUnknown,
    cancel_stream,
    open_stream,
    read_events,
    resume_stream,
)
from fulmarward_core.results import Failure, ResultCode, make_failure
from fulmarward_core.routing import TargetView
from fulmarward_core.streams import Stage

#: Times in a row that a connection is made anew without one event gained, by whether
#: the work is idempotent. Load: any; harm: a dead, frozen or looping engine holds its
#: callers; reason: another engine can run idempotent work again, other work is lost
#: with its stream and worth some seconds more. Progress starts the count again.
MOST_REATTACHES = {True: 2, False: 4}

#: Seconds that another attempt waits until the old stream is closed. Harm: a frozen
#: engine's callers wait for it twice; reason: the closing goes on by itself, and late
#: output of the old attempt is not read.
CLOSE_S = 0.5

#: Seconds a connection has to hold without an event before its loss counts for
#: nothing: a long queue at the engine is silent and is no fault.
SILENT_S = 1.5

#: Seconds before the second of them in a row; doubled for each further one. Harm: all
#: tries are spent while a cut lasts; reason: 0.35 s in all, beside a caller's first
#: token within 1.6 s. An engine where nothing listens has lost its streams and gets
#: no pause.
REATTACH_PAUSE_S = 0.05

#: When a caller may come back after a refusal, in milliseconds.
RETRY_AFTER_MS = 1_000


@dataclass(kw_only=True)
class _Attempt(AttemptProgress):
    """The state of one attempt."""

    #: The target that runs it.
    view: TargetView
    #: When it may first have been ordered, seconds on the steady clock.
    ordered_at: float


def _make_attempt(number: int, view: TargetView, ordered_at: float) -> _Attempt:
    stage = Stage(target=view.name, layers=view.target.layers)
    return _Attempt(number=number, stages=(stage,), view=view, ordered_at=ordered_at)


def _make_order(instance: Instance, work: Work, attempt: int) -> StreamOrder:
    return StreamOrder(
        request=work.request,
        attempt=attempt,
        team=work.team,
        model=work.pipeline.model,
        adapter=work.pipeline.adapter,
        prompt=work.prompt,
        max_tokens=work.max_tokens,
        urgency=work.urgency.value,
        reader=name_reader(instance),
    )


async def run_attempt(
    instance: Instance, work: Work, answer: Answer, number: int, view: TargetView
) -> Failure | None:
    """Run the request on one target; returns why it did not end well."""
    attempt = _make_attempt(number, view, instance.read_clock())
    was_dispatched, answer.is_dispatched = answer.is_dispatched, True
    try:
        stream = await open_stream(
            instance.session,
            view.target.address,
            _make_order(instance, work, number),
            instance.settings.limits.connect_ms / 1000,
        )
        if isinstance(stream, StreamRefused):
            note_refusal(instance, view.name, stream.detail)
            answer.is_dispatched = was_dispatched
            return _describe_refusal(stream)
        return await _relay(instance, work, answer, attempt, stream)
    except asyncio.CancelledError:
        cancel_later(instance, work, answer, number, view)
        raise


async def attach_attempt(
    instance: Instance, work: Work, answer: Answer, number: int, view: TargetView
) -> Failure | None:
    """Read an attempt that another instance began, from its first event on."""
    attempt = _make_attempt(number, view, float("-inf"))
    answer.is_dispatched = True
    try:
        stream = await _reattach(instance, work, attempt)
        return await _relay(instance, work, answer, attempt, stream)
    except asyncio.CancelledError:
        cancel_later(instance, work, answer, number, view)
        raise


def _describe_refusal(refused: StreamRefused) -> Failure:
    code = (
        ResultCode.TARGET_UNREACHABLE
        if refused.is_unreachable
        else ResultCode.TARGET_REFUSED
    )
    return make_failure(code, refused.detail, retry_after_ms=RETRY_AFTER_MS)


def cancel_later(
    instance: Instance, work: Work, answer: Answer, attempt: int, view: TargetView
) -> None:
    """Tell the engine to stop a stream that nobody waits for any more.

    An instance that stops leaves what its callers can come back for to run on.
    """
    if instance.lifecycle.state == "stopped" and answer.may_return:
        return
    cancelling = cancel_stream(
        instance.session,
        view.target.address,
        request=work.request,
        attempt=attempt,
        only_reader=name_reader(instance),
    )
    instance.keep_closing(asyncio.create_task(cancelling))


async def _reattach(
    instance: Instance, work: Work, attempt: _Attempt
) -> EngineStream | StreamUnknown | StreamBroken:
    return await resume_stream(
        instance.session,
        attempt.view.target.address,
        request=work.request,
        attempt=attempt.number,
        after=attempt.seen,
        reader=name_reader(instance),
        connect_s=instance.settings.limits.connect_ms / 1000,
    )


async def _relay(
    instance: Instance,
    work: Work,
    answer: Answer,
    attempt: _Attempt,
    stream: EngineStream | StreamUnknown | StreamBroken,
) -> Failure | None:
    """Copy events into the answer; attach again when the connection is lost."""
    failed = 0
    most = MOST_REATTACHES[work.idempotent]
    while failed <= most and not isinstance(stream, StreamUnknown):
        seen, began = attempt.seen, instance.read_clock()
        if isinstance(stream, EngineStream):
            locate_answer(instance, work, answer, attempt)
            async for events in read_events(stream):
                texts = [event.text for event in events if not event.end]
                end = events[-1].end
                outcome = take_texts(instance, work, answer, attempt, texts, end)
                if outcome is not None:
                    return await _end(instance, work, answer, attempt, outcome)
            instance.metrics.dropped.add({"reason": "not_ours"}, stream.dropped)
            held_s = instance.read_clock() - began
            if attempt.seen > seen or held_s >= SILENT_S:
                failed = 0
        if failed and not (isinstance(stream, StreamBroken) and stream.is_refused):
            await asyncio.sleep(REATTACH_PAUSE_S * 2 ** (failed - 1))
        failed += 1
        stream = await _reattach(instance, work, attempt)
        log_event(
            "reattach",
            request=work.request,
            attempt=attempt.number,
            target=attempt.view.name,
            after=attempt.seen,
            outcome=type(stream).__name__,
        )
    return await _give_up(instance, work, answer, attempt)


async def _end(
    instance: Instance, work: Work, answer: Answer, attempt: _Attempt, end: str
) -> Failure | None:
    if end in ("stop", "length"):
        answer.finish(end)
        return None
    if end == DIFFERS:
        await _close(instance, work, attempt)
        return make_failure(ResultCode.STREAM_LOST, DIFFERS_DETAIL)
    return make_failure(ResultCode.TARGET_FAILED, f"The stream ended as {end}.")


async def _close(
    instance: Instance, work: Work, attempt: _Attempt
) -> str | StreamBroken:
    return await cancel_stream(
        instance.session,
        attempt.view.target.address,
        request=work.request,
        attempt=attempt.number,
        age_s=instance.read_clock() - attempt.ordered_at,
    )


async def _give_up(
    instance: Instance, work: Work, answer: Answer, attempt: _Attempt
) -> Failure:
    """Close the lost stream, and say what is known of it."""
    closing = asyncio.create_task(_close(instance, work, attempt))
    instance.keep_closing(closing)
    if work.idempotent:
        await asyncio.wait([closing], timeout=CLOSE_S)
    else:
        await asyncio.wait([closing])
    state = closing.result() if closing.done() else StreamBroken(detail="no answer")
    has_begun = attempt.seen > 0 or attempt.is_located
    if state == "closed_before_start" and not has_begun:
        return make_failure(ResultCode.TARGET_REFUSED, retry_after_ms=RETRY_AFTER_MS)
    if isinstance(state, StreamBroken) and not has_begun:
        return make_failure(ResultCode.OUTCOME_UNKNOWN, state.detail)
    return make_failure(ResultCode.TARGET_FAILED, "The stream broke off.")
