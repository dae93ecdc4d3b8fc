"""One attempt of a completion on one target that holds the whole model."""

import asyncio
from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.health import note_refusal
from fulmarward.observability import log_event
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward.requests._locate import make_reader_name
from fulmarward.requests._progress import (
    DIFFERS,
    DIFFERS_DETAIL,
    AttemptProgress,
    append_texts,
    publish_locator,
)
from fulmarward.targets import (
    EngineStream,
    StreamBroken,
    StreamRefused,
    StreamRequest,
    StreamUnknown,
    cancel_stream,
    open_stream,
    read_events,
    resume_stream,
)
from fulmarward_core.results import Failure, ResultCode, make_failure
from fulmarward_core.routing import TargetView
from fulmarward_core.streams import Stage

#: Maximum consecutive reconnections without a new event, by whether the request is
#: idempotent. The limit keeps a dead, frozen or looping engine from holding its
#: callers. Idempotent work can run on another engine; other work is lost with its
#: stream, so it gets some seconds more. Progress resets the count.
MAX_REATTACHES = {True: 2, False: 4}

#: Seconds that the next attempt waits for the old stream to be closed. A longer wait
#: would make callers of a frozen engine wait twice. The close continues in the
#: background, and late output of the old attempt is not read.
CLOSE_WAIT_S = 0.5

#: Seconds after which the loss of a connection without events is not counted as a
#: failure: a stream that waits in a long queue at the engine sends nothing.
STABLE_CONNECTION_S = 1.5

#: Seconds before the second consecutive reconnection, doubled for each further one.
#: Without a pause, all reconnections would be used up during one network cut. The
#: pauses add up to 0.35 s, against a first token within 1.6 s. There is no pause for
#: an engine whose port is closed, since it has lost its streams.
REATTACH_PAUSE_S = 0.05

#: Retry delay, in milliseconds, sent to the caller with a refusal.
RETRY_AFTER_MS = 1_000


@dataclass(kw_only=True)
class _Attempt(AttemptProgress):
    """The state of one attempt on a target with the whole model."""

    view: TargetView
    #: Earliest time at which it can have been sent, in seconds on the monotonic clock.
    earliest_sent_at: float


def _make_attempt(number: int, view: TargetView, earliest_sent_at: float) -> _Attempt:
    stage = Stage(target=view.name, layers=view.target.layers)
    return _Attempt(
        number=number, stages=(stage,), view=view, earliest_sent_at=earliest_sent_at
    )


def _make_stream_request(
    instance: Instance, work: CompletionRequest, attempt: int
) -> StreamRequest:
    return StreamRequest(
        request=work.request,
        attempt=attempt,
        team=work.team,
        model=work.pipeline.model,
        adapter=work.pipeline.adapter,
        prompt=work.prompt,
        max_tokens=work.max_tokens,
        urgency=work.urgency.value,
        reader=make_reader_name(instance),
    )


async def run_attempt(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    number: int,
    view: TargetView,
) -> Failure | None:
    """Run the request on one target; return the failure, if any."""
    attempt = _make_attempt(number, view, instance.read_clock())
    was_dispatched, answer.is_dispatched = answer.is_dispatched, True
    try:
        stream = await open_stream(
            instance.session,
            view.target.address,
            _make_stream_request(instance, work, number),
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
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    number: int,
    view: TargetView,
) -> Failure | None:
    """Read an attempt that another instance started, from its first event."""
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
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    attempt: int,
    view: TargetView,
) -> None:
    """Cancel, in the background, a stream that no caller waits for.

    An instance that shuts down leaves streams running that callers can resume.
    """
    if instance.lifecycle.state == "stopped" and answer.is_resumable:
        return
    cancelling = cancel_stream(
        instance.session,
        view.target.address,
        request=work.request,
        attempt=attempt,
        only_reader=make_reader_name(instance),
    )
    instance.keep_closing_task(asyncio.create_task(cancelling))


async def _reattach(
    instance: Instance, work: CompletionRequest, attempt: _Attempt
) -> EngineStream | StreamUnknown | StreamBroken:
    return await resume_stream(
        instance.session,
        attempt.view.target.address,
        request=work.request,
        attempt=attempt.number,
        after=attempt.received,
        reader=make_reader_name(instance),
        connect_s=instance.settings.limits.connect_ms / 1000,
    )


async def _relay(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    attempt: _Attempt,
    stream: EngineStream | StreamUnknown | StreamBroken,
) -> Failure | None:
    """Copy events into the answer, reconnecting when the connection is lost."""
    failures = 0
    max_reattaches = MAX_REATTACHES[work.idempotent]
    while failures <= max_reattaches and not isinstance(stream, StreamUnknown):
        received, began = attempt.received, instance.read_clock()
        if isinstance(stream, EngineStream):
            publish_locator(instance, work, answer, attempt)
            async for events in read_events(stream):
                texts = [event.text for event in events if not event.end]
                end = events[-1].end
                outcome = append_texts(instance, work, answer, attempt, texts, end)
                if outcome is not None:
                    return await _finish_attempt(
                        instance, work, answer, attempt, outcome
                    )
            instance.metrics.dropped.add({"reason": "not_ours"}, stream.dropped)
            held_s = instance.read_clock() - began
            if attempt.received > received or held_s >= STABLE_CONNECTION_S:
                failures = 0
        if failures and not (isinstance(stream, StreamBroken) and stream.is_refused):
            await asyncio.sleep(REATTACH_PAUSE_S * 2 ** (failures - 1))
        failures += 1
        stream = await _reattach(instance, work, attempt)
        log_event(
            "stream_reattach_attempted",
            request=work.request,
            attempt=attempt.number,
            target=attempt.view.name,
            after=attempt.received,
            outcome=type(stream).__name__,
        )
    return await _give_up(instance, work, answer, attempt)


async def _finish_attempt(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    attempt: _Attempt,
    end: str,
) -> Failure | None:
    if end in ("stop", "length"):
        answer.finish(end)
        return None
    if end == DIFFERS:
        await _close_stream(instance, work, attempt)
        return make_failure(ResultCode.STREAM_LOST, DIFFERS_DETAIL)
    return make_failure(ResultCode.TARGET_FAILED, f"The stream ended as {end}.")


async def _close_stream(
    instance: Instance, work: CompletionRequest, attempt: _Attempt
) -> str | StreamBroken:
    return await cancel_stream(
        instance.session,
        attempt.view.target.address,
        request=work.request,
        attempt=attempt.number,
        age_s=instance.read_clock() - attempt.earliest_sent_at,
    )


async def _give_up(
    instance: Instance, work: CompletionRequest, answer: Answer, attempt: _Attempt
) -> Failure:
    """Close the lost stream and return the failure that its state implies."""
    closing = asyncio.create_task(_close_stream(instance, work, attempt))
    instance.keep_closing_task(closing)
    if work.idempotent:
        await asyncio.wait([closing], timeout=CLOSE_WAIT_S)
    else:
        await asyncio.wait([closing])
    state = closing.result() if closing.done() else StreamBroken(detail="no answer")
    has_begun = attempt.received > 0 or attempt.is_located
    if state == "closed_before_start" and not has_begun:
        return make_failure(ResultCode.TARGET_REFUSED, retry_after_ms=RETRY_AFTER_MS)
    if isinstance(state, StreamBroken) and not has_begun:
        return make_failure(ResultCode.OUTCOME_UNKNOWN, state.detail)
    return make_failure(ResultCode.TARGET_FAILED, "The stream broke off.")
