"""One attempt of a completion on one target that holds the whole model."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.health import note_refusal
from fulmarward.requests._work import Work
from fulmarward.targets import (
    EngineStream,
    StreamBroken,
    StreamOrder,
    StreamRefused,
    cancel_stream,
    open_stream,
    read_events,
    resume_stream,
)
from fulmarward_core.requests import StreamEvent
from fulmarward_core.results import Failure, ResultCode, make_failure
from fulmarward_core.routing import TargetView
from fulmarward_core.streams import Locator, Stage, seal_locator

#: Times that a broken connection to a running stream is made anew.
MOST_REATTACHES = 3

#: When a caller may come back after a refusal, in milliseconds.
RETRY_AFTER_MS = 1_000


def _make_locator(
    instance: Instance, work: Work, attempt: int, view: TargetView
) -> str:
    remaining = work.deadline - instance.read_clock()
    locator = Locator(
        request=work.request,
        attempt=attempt,
        stages=(Stage(target=view.name, layers=view.target.layers),),
        pipeline=work.pipeline_name,
        epoch=work.snapshot.head.epoch,
        deadline_at=round(instance.read_wall_clock() + remaining, 3),
    )
    secret = instance.secrets.derive_key("locators")
    return seal_locator(locator, team=work.team, secret=secret)


def _make_order(work: Work, attempt: int) -> StreamOrder:
    return StreamOrder(
        request=work.request,
        attempt=attempt,
        team=work.team,
        model=work.pipeline.model,
        adapter=work.pipeline.adapter,
        prompt=work.prompt,
        max_tokens=work.max_tokens,
        urgency=work.urgency.value,
    )


async def run_attempt(
    instance: Instance, work: Work, answer: Answer, attempt: int, view: TargetView
) -> Failure | None:
    limits = instance.settings.limits
    stream = await open_stream(
        instance.session,
        view.target.address,
        _make_order(work, attempt),
        limits.connect_ms / 1000,
    )
    if isinstance(stream, StreamRefused):
        note_refusal(instance, view.name, stream.detail)
        code = (
            ResultCode.TARGET_UNREACHABLE
            if stream.is_unreachable
            else ResultCode.TARGET_REFUSED
        )
        return make_failure(code, stream.detail, retry_after_ms=RETRY_AFTER_MS)
    answer.set_locator(_make_locator(instance, work, attempt, view))
    try:
        return await _relay(instance, work, answer, attempt, view, stream)
    except asyncio.CancelledError:
        _cancel_later(instance, work, attempt, view)
        raise


def _cancel_later(
    instance: Instance, work: Work, attempt: int, view: TargetView
) -> None:
    """Tell the engine to stop a stream that nobody waits for any more."""
    cancelling = cancel_stream(
        instance.session, view.target.address, request=work.request, attempt=attempt
    )
    instance.keep_task(asyncio.create_task(cancelling))


async def _relay(
    instance: Instance,
    work: Work,
    answer: Answer,
    attempt: int,
    view: TargetView,
    stream: EngineStream | StreamBroken,
) -> Failure | None:
    """Copy events into the answer; attach again when the connection is lost."""
    for _ in range(MOST_REATTACHES + 1):
        if isinstance(stream, EngineStream):
            async for events in read_events(stream):
                end = _take_events(answer, events)
                if end:
                    return _finish(answer, end)
            instance.metrics.dropped.add({"reason": "not_ours"}, stream.dropped)
        stream = await resume_stream(
            instance.session,
            view.target.address,
            request=work.request,
            attempt=attempt,
            after=len(answer.texts),
            connect_s=instance.settings.limits.connect_ms / 1000,
        )
    return await _give_up(instance, work, attempt, view)


def _take_events(answer: Answer, events: list[StreamEvent]) -> str:
    """Append texts to the answer; return the end, if it is among the events."""
    end = events[-1].end
    texts = [event.text for event in events if not event.end]
    if texts:
        answer.add_texts(texts)
    return end


def _finish(answer: Answer, end: str) -> Failure | None:
    if end in ("stop", "length"):
        answer.finish(end)
        return None
    return make_failure(ResultCode.TARGET_FAILED, f"The stream ended as {end}.")


async def _give_up(
    instance: Instance, work: Work, attempt: int, view: TargetView
) -> Failure:
    """Close the lost stream, and say what is known of it."""
    state = await cancel_stream(
        instance.session,
        view.target.address,
        request=work.request,
        attempt=attempt,
    )
    if state == "closed_before_start":
        return make_failure(ResultCode.TARGET_REFUSED, retry_after_ms=RETRY_AFTER_MS)
    if isinstance(state, StreamBroken):
        return make_failure(ResultCode.OUTCOME_UNKNOWN, state.detail)
    return make_failure(ResultCode.STREAM_LOST)
