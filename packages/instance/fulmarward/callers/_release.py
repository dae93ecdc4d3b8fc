"""Releases an answer when its last reader has disconnected."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.observability import log_event
from fulmarward_core.results import ResultCode, make_failure


def release_answer(instance: Instance, answer: Answer, *, is_sent: bool) -> None:
    """Remove a reader; an answer without readers is cancelled and dropped.

    This stops work for callers whose connection has closed, also while their request
    is still queued. A caller that can return (it has event ids or a key) has
    `linger_ms` to do so, any other caller no time at all. An answer that was sent whole
    can still be read from the engine. A request at the home of its key runs to its end,
    since its caller has longer to return.
    """
    answer.readers -= 1
    if answer.readers or (answer.has_idempotency_key and not answer.is_over):
        return
    answer.unread_since = instance.read_clock()
    may_wait = answer.is_resumable and not is_sent
    wait_s = instance.settings.limits.linger_ms / 1000 if may_wait else 0.0
    lingering = _cancel_unread(instance, answer, answer.unread_since, wait_s)
    instance.keep_task(asyncio.create_task(lingering))


async def _cancel_unread(
    instance: Instance, answer: Answer, unread_since: float, wait_s: float
) -> None:
    await asyncio.sleep(wait_s)
    if answer.readers or answer.unread_since != unread_since:
        return
    if not answer.is_over:
        log_event("request_abandoned", request=answer.request, tokens=len(answer.texts))
        instance.metrics.requests.inc(
            {"kind": "completion", "result": str(ResultCode.ABANDONED.value)}
        )
        answer.fail(make_failure(ResultCode.ABANDONED))
        if answer.task is not None:
            answer.task.cancel()
    if instance.answers.get(answer.request) is answer:
        del instance.answers[answer.request]
