"""The requests that are open when an instance has to end."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward_core.results import Failure, ResultCode, make_failure

#: Seconds in which callers take their last event and engines hear of cancelled work.
#: Harm: one caller that reads nothing holds the stop; reason: both are one message.
LAST_WORD_S = 2.0

#: Seconds between two looks whether all callers have left.
LOOK_S = 0.02


def list_open(instance: Instance) -> list[Answer]:
    """Return the answers that are not over, or that a caller still reads."""
    return [
        answer
        for answer in instance.answers.values()
        if answer.readers or not answer.is_over
    ]


async def end_open(instance: Instance) -> None:
    """Tell the callers of open requests the truth, and end their tasks.

    Guards against connections that just break when a stop is hurried or has taken
    its whole time. A stream that its caller can come back for runs on at its engine
    and is read at another instance; other work is cancelled there.
    """
    answers = list_open(instance)
    for answer in answers:
        if not answer.is_over:
            answer.fail(_describe_stop(answer))
    tasks = [answer.task for answer in answers if answer.task is not None]
    for task in tasks:
        task.cancel()
    try:
        async with asyncio.timeout(LAST_WORD_S):
            await asyncio.gather(*tasks, return_exceptions=True)
            while any(answer.readers for answer in answers):
                await asyncio.sleep(LOOK_S)
            await asyncio.gather(*instance.closing, return_exceptions=True)
    except TimeoutError:
        return


def _describe_stop(answer: Answer) -> Failure:
    if answer.is_dispatched:
        return make_failure(ResultCode.INSTANCE_STOPPED)
    return make_failure(ResultCode.STOPPING)
