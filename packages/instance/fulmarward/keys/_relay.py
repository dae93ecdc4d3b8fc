"""Relays a key's answer from its home to a caller of another instance."""

import asyncio
from collections.abc import AsyncIterator

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.keys._home import open_at_home
from fulmarward.keys._prefixes import find_address, is_home, read_key
from fulmarward.keys._takeover import take_over
from fulmarward.keys._witness import check_boot
from fulmarward.observability import log_event
from fulmarward.peers import (
    AnswerEnd,
    AnswerPart,
    ForwardCompletion,
    InvalidMessageError,
    PeerLost,
)
from fulmarward.requests import CompletionRequest, make_request_id
from fulmarward_core.keys import IssuedKey
from fulmarward_core.membership import Member
from fulmarward_core.results import ResultCode, make_failure

#: Seconds without a message after which the home is considered lost, so that callers do
#: not wait for a frozen home. Heartbeats come three times as often.
HOME_TIMEOUT_S = 1.5

#: Seconds between two heartbeats of the home.
HEARTBEAT_INTERVAL_S = 0.5

#: Seconds after a request's deadline within which the home reports its end.
DEADLINE_GRACE_S = 1.0


async def answer_forwarded_completion(
    instance: Instance, peer: Member, message: ForwardCompletion
) -> AsyncIterator[object]:
    """Handle a forwarded completion at the home of its key."""
    check_boot(instance, message.boot)
    key = read_key(instance, message.team, message.key)
    if not isinstance(key, IssuedKey) or not is_home(instance, key):
        raise InvalidMessageError("expected a key of this instance")
    pipeline = instance.snapshot.declaration.pipelines.get(message.pipeline)
    if pipeline is None:
        failure = make_failure(ResultCode.KEY_NOT_ASKED, "The home lags behind.")
        yield AnswerEnd(end="", failure=failure)
        return
    work = CompletionRequest(
        request=make_request_id(),
        team=message.team,
        snapshot=instance.snapshot,
        pipeline_name=message.pipeline,
        pipeline=pipeline,
        prompt=message.prompt,
        max_tokens=message.max_tokens,
        urgency=message.urgency,
        idempotent=False,
        deadline=instance.read_clock() + message.deadline_ms / 1000,
    )
    answer = open_at_home(instance, work, key, message.body_hash)
    async for item in _read_parts(instance, answer):
        yield item


async def _read_parts(instance: Instance, answer: Answer) -> AsyncIterator[object]:
    """Yield an answer's events as they come, and heartbeats in between."""
    sent = 0
    answer.readers += 1
    try:
        while True:
            changed = answer.changed
            texts = tuple(answer.texts[sent:])
            sent += len(texts)
            yield AnswerPart(
                request=answer.request, locator=answer.locator, texts=texts
            )
            if answer.is_over and sent == len(answer.texts):
                yield AnswerEnd(end=answer.end, failure=answer.failure)
                return
            await _wait_for(changed)
    finally:
        answer.readers -= 1
        if answer.is_over and not answer.readers:
            instance.answers.pop(answer.request, None)


async def _wait_for(changed: asyncio.Event) -> None:
    try:
        async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
            await changed.wait()
    except TimeoutError:
        return


async def open_relayed(
    instance: Instance, work: CompletionRequest, key: IssuedKey, body_hash: str
) -> Answer:
    """Return the answer of a key with another home, once its request id is known."""
    answer = Answer(request="", team=work.team, prompt_tokens=len(work.prompt.split()))
    running = _run(instance, work, answer, key, body_hash)
    instance.keep_task(asyncio.create_task(running))
    while not answer.request and not answer.is_over:
        await answer.changed.wait()
    answer.request = answer.request or work.request
    if not answer.is_over:
        instance.answers[answer.request] = answer
    return answer


async def _run(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    key: IssuedKey,
    body_hash: str,
) -> None:
    answer.task = asyncio.current_task()
    timeout_s = work.deadline - instance.read_clock() + DEADLINE_GRACE_S
    try:
        async with asyncio.timeout(max(timeout_s, 0.0)):
            if not await _read_home(instance, work, answer, key, body_hash):
                await take_over(instance, work, answer, key, body_hash)
    except TimeoutError:
        pass
    finally:
        if not answer.is_over:
            answer.fail(make_failure(ResultCode.OUTCOME_UNKNOWN))


async def _read_home(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    key: IssuedKey,
    body_hash: str,
) -> bool:
    """Copy the home's answer; return whether it is complete."""
    address = find_address(instance, key.prefix.home)
    if address is None or instance.links is None:
        _log_home_lost(work, key, "the home has restarted or is unknown")
        return False
    remaining_s = work.deadline - instance.read_clock()
    message = ForwardCompletion(
        boot=key.prefix.home.boot,
        key=key.text,
        body_hash=body_hash,
        team=work.team,
        pipeline=work.pipeline_name,
        prompt=work.prompt,
        max_tokens=work.max_tokens,
        urgency=work.urgency,
        deadline_ms=max(1, round(remaining_s * 1000)),
    )
    try:
        async for item in instance.links.stream(address, message, HOME_TIMEOUT_S):
            if isinstance(item, AnswerEnd):
                _end(answer, item)
                return True
            _add_part(answer, item)
    except PeerLost as lost:
        _log_home_lost(work, key, str(lost))
        return False
    _log_home_lost(work, key, "the answer was incomplete")
    return False


def _log_home_lost(work: CompletionRequest, key: IssuedKey, reason: str) -> None:
    log_event(
        "home_call_failed",
        request=work.request,
        home=key.prefix.home.name,
        reason=reason,
    )


def _add_part(answer: Answer, part: AnswerPart) -> None:
    answer.request = part.request
    if part.locator and not answer.locator:
        answer.locator = part.locator
    answer.add_texts(list(part.texts))


def _end(answer: Answer, end: AnswerEnd) -> None:
    if end.failure is not None:
        answer.fail(end.failure)
    else:
        answer.finish(end.end)
