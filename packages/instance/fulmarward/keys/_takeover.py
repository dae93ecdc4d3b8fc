"""Takes over a key whose home is unreachable, from its witness and the targets."""

from dataclasses import replace

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.keys._witness import request_takeover, send_update
from fulmarward.observability import log_event
from fulmarward.peers import TakeKeyReply
from fulmarward.requests import CompletionRequest, make_locator, make_reader_name
from fulmarward.targets import (
    EngineStream,
    StreamBroken,
    StreamUnknown,
    cancel_stream,
    read_events,
    resume_stream,
)
from fulmarward_core.keys import (
    AttemptPlace,
    Conclusion,
    IssuedKey,
    RecordStep,
    conclude_closing,
    conclude_takeover,
    list_closable,
)
from fulmarward_core.results import ExecutionState, Failure, ResultCode, make_failure
from fulmarward_core.streams import Stage

#: Times that a broken connection to a running stream is reopened.
MAX_REATTACHES = 3

_CONCLUSION_CODES = {
    Conclusion.NOT_RUN: ResultCode.KEY_CLOSED,
    Conclusion.ANSWER_EXPIRED: ResultCode.ALREADY_RAN,
    Conclusion.UNKNOWN: ResultCode.OUTCOME_UNKNOWN,
}


async def take_key_over(
    instance: Instance, key: IssuedKey, *, request: str, body_hash: str
) -> tuple[Conclusion, TakeKeyReply, Failure | None]:
    """Take the key over at its witness.

    Returns the conclusion, the witness's reply and the failure for the caller, if any.
    """
    taken = await request_takeover(instance, key, body_hash)
    record = taken.record
    conclusion = conclude_takeover(record)
    log_event(
        "takeover_concluded",
        request=record.request if record and record.request else request,
        witness=key.prefix.witness.name if key.prefix.witness else None,
        reason=conclusion.value,
    )
    if record is not None and record.request and record.body_hash != body_hash:
        failure = make_failure(ResultCode.IDEMPOTENCY_KEY_REUSED)
    elif conclusion is Conclusion.FAILED:
        failure = record.failure
    elif conclusion in _CONCLUSION_CODES:
        failure = make_failure(_CONCLUSION_CODES[conclusion])
    else:
        failure = None
    return conclusion, taken, failure


async def take_over(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    key: IssuedKey,
    body_hash: str,
) -> None:
    """Finish `answer` without the home: from the engine's stream or with a failure."""
    conclusion, taken, failure = await take_key_over(
        instance, key, request=work.request, body_hash=body_hash
    )
    if failure is None and conclusion is not Conclusion.RESUME:
        failure = make_failure(ResultCode.IDEMPOTENCY_KEY_REUSED)
    if failure is None:
        answer.request = answer.request or taken.record.request
        work = replace(work, request=taken.record.request)
        failure = await _resume(instance, work, answer, key, taken)
    if failure is not None:
        answer.fail(_adjust_failure(answer, failure))


def _adjust_failure(answer: Answer, failure: Failure) -> Failure:
    """Replace a "not run" failure if the caller has already received events."""
    if answer.texts and failure.ran is ExecutionState.NOT_RUN:
        return make_failure(ResultCode.STREAM_LOST)
    return failure


async def _resume(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    key: IssuedKey,
    taken: TakeKeyReply,
) -> Failure | None:
    """Read the latest attempt's stream that still exists, or close all streams."""
    record = taken.record
    replies = []
    for place in list_closable(record.places):
        end = await _read_attempt(instance, work, answer, key, place)
        if end in ("stop", "length"):
            answer.finish(end)
            return None
        if end:
            detail = f"The stream ended as {end}."
            return make_failure(ResultCode.TARGET_FAILED, detail)
        state = await cancel_stream(
            instance.session,
            place.address,
            request=record.request,
            attempt=place.attempt,
            age_s=taken.age_s,
        )
        replies.append(None if isinstance(state, StreamBroken) else state)
    code = conclude_closing(record, replies)
    log_event(
        "streams_closed", request=record.request, replies=replies, result=code.value
    )
    if code is ResultCode.KEY_CLOSED:
        await send_update(instance, key, RecordStep.CLOSE)
    return make_failure(code)


async def _read_attempt(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    key: IssuedKey,
    place: AttemptPlace,
) -> str:
    """Copy an attempt's stream into the answer; return its end, empty without one."""
    for _ in range(MAX_REATTACHES + 1):
        stream = await resume_stream(
            instance.session,
            place.address,
            request=work.request,
            attempt=place.attempt,
            after=len(answer.texts),
            reader=make_reader_name(instance),
            connect_s=instance.settings.limits.connect_ms / 1000,
        )
        if isinstance(stream, StreamUnknown):
            return ""
        if isinstance(stream, EngineStream):
            if not answer.locator:
                layers = work.snapshot.declaration.models[work.pipeline.model].layers
                stages = (Stage(target=place.target, layers=(0, layers)),)
                locator = make_locator(instance, work, place.attempt, stages)
                answer.set_locator(locator)
                await send_update(instance, key, RecordStep.BEGIN)
            end = await _copy_events(answer, stream)
            if end:
                return end
    return ""


async def _copy_events(answer: Answer, stream: EngineStream) -> str:
    async for events in read_events(stream):
        texts = [event.text for event in events if not event.end]
        if texts:
            answer.add_texts(texts)
        if events[-1].end:
            return events[-1].end
    return ""
