"""Ends the requests that are still open when an instance stops."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward_core.results import Failure, ResultCode, make_failure

#: Seconds for callers to receive their final event and for engines to be told of
#: cancelled work, which is one message each. Without the limit a caller that doesn't
#: read would block the stop.
FINAL_MESSAGES_S = 2.0

#: Seconds between two checks whether all callers have disconnected.
CHECK_INTERVAL_S = 0.02


def list_open_answers(instance: Instance) -> list[Answer]:
    """Return the answers that are unfinished or still being read by a caller."""
    return [
        answer
        for answer in instance.answers.values()
        if answer.readers or not answer.is_over
    ]


async def fail_open_answers(instance: Instance) -> None:
    """Send callers of open requests the reason of the failure, and end the tasks.

    Without it their connections would just break when the stop is expedited or has
    reached its time limit. A resumable stream keeps running at its engine and can be
    read through another instance; other work is cancelled there.
    """
    answers = list_open_answers(instance)
    for answer in answers:
        if not answer.is_over:
            answer.fail(_describe_stop(answer))
    tasks = [answer.task for answer in answers if answer.task is not None]
    for task in tasks:
        task.cancel()
    try:
        async with asyncio.timeout(FINAL_MESSAGES_S):
            await asyncio.gather(*tasks, return_exceptions=True)
            while any(answer.readers for answer in answers):
                await asyncio.sleep(CHECK_INTERVAL_S)
            await asyncio.gather(*instance.closing_tasks, return_exceptions=True)
    except TimeoutError:
        return


def _describe_stop(answer: Answer) -> Failure:
    if answer.is_dispatched:
        return make_failure(ResultCode.INSTANCE_STOPPED)
    return make_failure(ResultCode.STOPPING)
