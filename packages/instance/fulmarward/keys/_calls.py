"""Keyed calls of plain services, which have no streams that could be resumed."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

from fulmarward._instance import Instance
from fulmarward.keys._home import claim_call, find_home_refusal, make_confirmation
from fulmarward.keys._prefixes import find_address, is_home, read_key
from fulmarward.keys._relay import (
    DEADLINE_GRACE_S,
    HEARTBEAT_INTERVAL_S,
    HOME_TIMEOUT_S,
)
from fulmarward.keys._takeover import take_key_over
from fulmarward.keys._witness import check_boot, send_update
from fulmarward.observability import log_event
from fulmarward.peers import (
    AnswerPart,
    CallEnd,
    ForwardCall,
    InvalidMessageError,
    PeerLost,
)
from fulmarward.requests import ServiceCall, make_request_id, run_call, track_call
from fulmarward_core.keys import (
    IssuedKey,
    KeyEntry,
    RecordStep,
    ResultCopy,
    end_key,
    remove_key,
)
from fulmarward_core.membership import Member
from fulmarward_core.results import Failure, ResultCode, make_failure

#: Largest answer that is copied to the witness, in bytes. Every non-idempotent call
#: sends its answer over the network twice; such answers are usually a word or a small
#: record.
MAX_COPY_BYTES = 64_000


async def execute_call(
    instance: Instance, call: ServiceCall, key: IssuedKey, body_hash: str
) -> CallEnd:
    """Return the result of a call under a key, executing it if it is new."""
    if is_home(instance, key):
        return await asyncio.shield(_open_at_home(instance, call, key, body_hash))
    return await _relay(instance, call, key, body_hash)


def _open_at_home(
    instance: Instance, call: ServiceCall, key: IssuedKey, body_hash: str
) -> asyncio.Future[CallEnd]:
    entry, is_new, failure = claim_call(
        instance, key, team=call.team, request=call.request, body_hash=body_hash
    )
    result_future = asyncio.get_running_loop().create_future()
    if failure is None and is_new:
        entry.answer = result_future
        running = _run(instance, call, key, body_hash, entry)
        instance.keep_task(asyncio.create_task(running))
    elif failure is None:
        return entry.answer
    else:
        result_future.set_result(
            CallEnd(request=call.request, result=None, failure=failure)
        )
    return result_future


async def _run(
    instance: Instance,
    call: ServiceCall,
    key: IssuedKey,
    body_hash: str,
    entry: KeyEntry,
) -> None:
    """Execute a call and end its key, whether or not its caller still waits.

    The witness gets a copy of the answer before any caller does: if the home is lost,
    the call cannot be repeated to get the answer.
    """
    result_future = entry.answer
    confirm = make_confirmation(
        instance, key, body_hash=body_hash, request=call.request, stream_layers=None
    )
    outcome = make_failure(ResultCode.OUTCOME_UNKNOWN)
    try:
        with track_call(instance, f"{call.request} at home", call.team):
            outcome = find_home_refusal(instance) or await run_call(
                instance, call, confirm
            )
            await _report_outcome(instance, key, outcome)
    finally:
        is_failure = isinstance(outcome, Failure)
        end_key(
            instance.key_table,
            key.text,
            failure=outcome if is_failure else None,
            size=0 if is_failure else len(outcome.body),
            keep_s=instance.settings.limits.keep_ms / 1000,
            now=instance.read_wall_clock(),
        )
        if is_failure and call.idempotent:
            remove_key(instance.key_table, key.text)
        result_future.set_result(make_call_end(call.request, outcome))


async def _report_outcome(
    instance: Instance, key: IssuedKey, outcome: ResultCopy | Failure
) -> None:
    if isinstance(outcome, Failure):
        await send_update(instance, key, RecordStep.END, failure=outcome)
        return
    copy = outcome if len(outcome.body) <= MAX_COPY_BYTES else None
    await send_update(instance, key, RecordStep.END, answer=copy)


def make_call_end(request: str, outcome: ResultCopy | Failure) -> CallEnd:
    """Return the result of a call in the form sent to callers and peers."""
    if isinstance(outcome, Failure):
        return CallEnd(request=request, result=None, failure=outcome)
    return CallEnd(request=request, result=outcome, failure=None)


async def answer_forwarded_call(
    instance: Instance, peer: Member, message: ForwardCall
) -> AsyncIterator[object]:
    """Handle a forwarded call at the home of its key."""
    check_boot(instance, message.boot)
    key = read_key(instance, message.team, message.key)
    if not isinstance(key, IssuedKey) or not is_home(instance, key):
        raise InvalidMessageError("expected a key of this instance")
    call = ServiceCall(
        request=make_request_id(),
        team=message.team,
        service=message.service,
        method=message.method,
        path=message.path,
        query=message.query,
        body=message.body,
        content_type=message.content_type,
        idempotent=False,
        deadline=instance.read_clock() + message.deadline_ms / 1000,
    )
    result_future = _open_at_home(instance, call, key, message.body_hash)
    while not result_future.done():
        yield AnswerPart(request="", locator="", texts=())
        await asyncio.wait([result_future], timeout=HEARTBEAT_INTERVAL_S)
    yield result_future.result()


async def _relay(
    instance: Instance, call: ServiceCall, key: IssuedKey, body_hash: str
) -> CallEnd:
    timeout_s = call.deadline - instance.read_clock() + DEADLINE_GRACE_S
    try:
        async with asyncio.timeout(max(timeout_s, 0.0)):
            end = await _read_home(instance, call, key, body_hash)
            return end or await _take_over(instance, call, key, body_hash)
    except TimeoutError:
        return make_call_end(call.request, make_failure(ResultCode.OUTCOME_UNKNOWN))


async def _read_home(
    instance: Instance, call: ServiceCall, key: IssuedKey, body_hash: str
) -> CallEnd | None:
    address = find_address(instance, key.prefix.home)
    if address is None or instance.links is None:
        return None
    remaining_s = call.deadline - instance.read_clock()
    message = ForwardCall(
        boot=key.prefix.home.boot,
        key=key.text,
        body_hash=body_hash,
        team=call.team,
        service=call.service,
        method=call.method,
        path=call.path,
        query=call.query,
        body=call.body,
        content_type=call.content_type,
        deadline_ms=max(1, round(remaining_s * 1000)),
    )
    try:
        async for item in instance.links.stream(address, message, HOME_TIMEOUT_S):
            if isinstance(item, CallEnd):
                return item
    except PeerLost as lost:
        log_event(
            "home_call_failed",
            request=call.request,
            home=key.prefix.home.name,
            reason=str(lost),
        )
    return None


async def _take_over(
    instance: Instance, call: ServiceCall, key: IssuedKey, body_hash: str
) -> CallEnd:
    """Return the result that the witness recorded, "unknown" if it has none."""
    _, taken, failure = await take_key_over(
        instance, key, request=call.request, body_hash=body_hash
    )
    request = taken.record.request if taken.record else ""
    end = make_call_end(request or call.request, failure or taken.record.answer)
    if end.result is None and end.failure is None:
        failure = make_failure(ResultCode.OUTCOME_UNKNOWN)
        return replace(end, failure=failure)
    return end
