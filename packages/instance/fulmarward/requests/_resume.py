"""Resumes a stream that another instance started."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.requests._attempt import attach_attempt
from fulmarward.requests._chain import attach_chain
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward.requests._execute import describe_timeout, run_attempts
from fulmarward.targets import find_view
from fulmarward_core.requests import choose_failure
from fulmarward_core.results import Failure, ResultCode, make_failure
from fulmarward_core.streams import EventId, Locator

#: Range from which the first number of later attempts is drawn at random. Prevents two
#: instances that both continue a request (one was suspended and resumed) from using
#: one number for two attempts, whose events could then not be told apart.
FIRST_RESUMED_ATTEMPT, END_RESUMED_ATTEMPT = 1_000, 2**31


async def run_resumed(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    locator: Locator,
    event: EventId,
) -> None:
    """Write an answer from the stream that `locator` names, and always end it.

    The stream is read from its first event, so that the answer holds everything that
    the caller has up to `event` and a later attempt can be compared with it.
    """
    answer.task = asyncio.current_task()
    answer.is_dispatched = True
    remaining = work.deadline - instance.read_clock()
    try:
        async with asyncio.timeout(max(remaining, 0.0)):
            failure = await _continue_answer(instance, work, answer, locator, event)
    except TimeoutError:
        failure = describe_timeout(answer)
    if failure is not None and not answer.is_over:
        answer.fail(failure)


async def _continue_answer(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    locator: Locator,
    event: EventId,
) -> Failure | None:
    failure = await _attach(instance, work, answer, locator)
    if failure is None or failure.code is ResultCode.STREAM_LOST:
        return failure
    lost = make_failure(ResultCode.STREAM_LOST, failure.message)
    is_incomplete = len(answer.texts) < event.number
    if not work.idempotent or (is_incomplete and not event.digest):
        # The request must not run again, or nothing identifies the caller's texts.
        return lost
    if is_incomplete:
        answer.expected_events, answer.expected_digest = event.number, event.digest
    first = instance.generator.randrange(FIRST_RESUMED_ATTEMPT, END_RESUMED_ATTEMPT)
    later = await run_attempts(instance, work, answer, first)
    return later and choose_failure(lost, later)


async def _attach(
    instance: Instance, work: CompletionRequest, answer: Answer, locator: Locator
) -> Failure | None:
    if len(locator.stages) > 1:
        return await attach_chain(
            instance, work, answer, locator.attempt, locator.stages
        )
    view = find_view(instance, locator.stages[0].target)
    if view is None:
        return make_failure(ResultCode.STREAM_LOST, "The target is declared no more.")
    return await attach_attempt(instance, work, answer, locator.attempt, view)
