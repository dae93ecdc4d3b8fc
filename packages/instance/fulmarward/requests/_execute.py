"""The task of one completion: choose a target, stream, retry what may be."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.placement import count_attempt
from fulmarward.requests._admit import admit_work
from fulmarward.requests._attempt import RETRY_AFTER_MS, run_attempt
from fulmarward.requests._route import choose_route
from fulmarward.requests._work import Work
from fulmarward_core.results import Failure, ResultCode, make_failure

#: Attempts of one request. Load: a failing pool; harm: each request times the number
#: of targets; reason: two more targets find a good one unless most are bad.
MOST_ATTEMPTS = 3

#: How long a target that refused or broke gets no new work, in seconds.
AVOID_S = 1.0


async def run_completion(instance: Instance, work: Work, answer: Answer) -> None:
    """Execute a completion and write its answer; always ends the answer."""
    timeout_s = work.deadline - instance.read_clock()
    try:
        async with asyncio.timeout(max(timeout_s, 0.0)):
            async with admit_work(instance, work) as refusal:
                failure = refusal or await _try_targets(instance, work, answer)
    except TimeoutError:
        code = (
            ResultCode.DEADLINE_PASSED
            if answer.locator
            else ResultCode.DEADLINE_TOO_NEAR
        )
        failure = make_failure(code)
    if failure is not None and not answer.is_over:
        answer.fail(failure)


async def _try_targets(
    instance: Instance, work: Work, answer: Answer
) -> Failure | None:
    failure = make_failure(ResultCode.NO_TARGET, retry_after_ms=RETRY_AFTER_MS)
    for attempt in range(1, MOST_ATTEMPTS + 1):
        choice = choose_route(instance, work, attempt)
        if choice is None:
            return failure
        view = choice.chosen
        view.in_flight += 1
        try:
            failure = await run_attempt(instance, work, answer, attempt, view)
        finally:
            view.in_flight -= 1
        count_attempt(instance, view, failure)
        if failure is None or not _may_retry(work, answer, failure):
            return failure
        view.avoided_until = instance.read_clock() + AVOID_S
    return failure


def _may_retry(work: Work, answer: Answer, failure: Failure) -> bool:
    """Return whether another target may run the request.

    Guards against a second execution of what must run once, and against a second
    beginning of an answer whose first part the caller already has.
    """
    if answer.texts:
        return False
    not_run = failure.code in (
        ResultCode.TARGET_REFUSED,
        ResultCode.TARGET_UNREACHABLE,
    )
    return not_run or work.idempotent
