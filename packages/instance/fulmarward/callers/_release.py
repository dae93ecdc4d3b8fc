"""What becomes of an answer when the last of its readers has left."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.observability import log_event
from fulmarward_core.results import ResultCode, make_failure


def release_answer(instance: Instance, answer: Answer, *, is_sent: bool) -> None:
    """Note that a reader left: work that nobody reads is cancelled and dropped.

    Guards against work that runs on for callers that are gone: they show as a
    connection that ended, also while the request still waits. A caller that can come
    back (it has event ids or a key) has `linger_ms` to do so; another has none. What
    was sent whole can still be had from the engine. What runs at the home of its key
    runs to its end: its caller has longer to come back.
    """
    answer.readers -= 1
    if answer.readers or (answer.is_keyed and not answer.is_over):
        return
    answer.unread_since = instance.read_clock()
    may_wait = answer.may_return and not is_sent
    wait_s = instance.settings.limits.linger_ms / 1000 if may_wait else 0.0
    lingering = _drop_unread(instance, answer, answer.unread_since, wait_s)
    instance.keep_task(asyncio.create_task(lingering))


async def _drop_unread(
    instance: Instance, answer: Answer, unread_since: float, wait_s: float
) -> None:
    await asyncio.sleep(wait_s)
    if answer.readers or answer.unread_since != unread_since:
        return
    if not answer.is_over:
        log_event("abandoned", request=answer.request, tokens=len(answer.texts))
        instance.metrics.requests.inc(
            {"kind": "completion", "result": str(ResultCode.ABANDONED.value)}
        )
        answer.fail(make_failure(ResultCode.ABANDONED))
        if answer.task is not None:
            answer.task.cancel()
    if instance.answers.get(answer.request) is answer:
        del instance.answers[answer.request]
