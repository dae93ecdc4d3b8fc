"""The task of one completion: choose a target, stream, retry what may be."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.requests._admit import admit_work
from fulmarward.requests._attempt import RETRY_AFTER_MS, run_attempt
from fulmarward.requests._route import choose_route
from fulmarward.requests._work import Work
from fulmarward_core.results import Failure, Ran, ResultCode, make_failure
from fulmarward_core.routing import TargetView

#: Attempts of one request. Load: a failing pool; harm: each request times the number
#: of targets; reason: two more targets find a good one unless most are bad.
MOST_ATTEMPTS = 3

#: How long a target that refused or broke gets no new work, in seconds.
AVOID_S = 1.0

#: Asks whether an attempt may be dispatched to a target; `None` says yes.
Confirm = Callable[[int, TargetView], Awaitable[Failure | None]]


@dataclass(kw_only=True)
class _Progress:
    """How far a request has come, for what is told when its time is over."""

    #: Whether anything may have been written to a target.
    is_dispatched: bool = False


async def _confirm_always(attempt: int, view: TargetView) -> None:
    """Say yes, for a request that may run more than once."""


async def run_completion(
    instance: Instance,
    work: Work,
    answer: Answer,
    confirm: Confirm = _confirm_always,
) -> None:
    """Execute a completion and write its answer; always ends the answer.

    `confirm` is asked right before each dispatch.
    """
    progress = _Progress()
    timeout_s = work.deadline - instance.read_clock()
    try:
        async with asyncio.timeout(max(timeout_s, 0.0)):
            async with admit_work(instance, work) as refusal:
                failure = refusal or await _try_targets(
                    instance, work, answer, confirm, progress
                )
    except TimeoutError:
        failure = make_failure(_judge_timeout(answer, progress))
    if failure is not None and not answer.is_over:
        answer.fail(failure)


def _judge_timeout(answer: Answer, progress: _Progress) -> ResultCode:
    """Return what is true of a request whose time is over.

    Guards against "not run" for an order that was written to a target which had not
    answered yet: it may be running.
    """
    if answer.locator:
        return ResultCode.DEADLINE_PASSED
    if progress.is_dispatched:
        return ResultCode.OUTCOME_UNKNOWN
    return ResultCode.DEADLINE_TOO_NEAR


async def _try_targets(
    instance: Instance,
    work: Work,
    answer: Answer,
    confirm: Confirm,
    progress: _Progress,
) -> Failure | None:
    failure = make_failure(ResultCode.NO_TARGET, retry_after_ms=RETRY_AFTER_MS)
    for attempt in range(1, MOST_ATTEMPTS + 1):
        choice = choose_route(instance, work, attempt)
        if choice is None:
            return failure
        view = choice.chosen
        refusal = await confirm(attempt, view)
        if refusal is not None:
            return refusal
        progress.is_dispatched = True
        view.in_flight += 1
        try:
            failure = await run_attempt(instance, work, answer, attempt, view)
        finally:
            view.in_flight -= 1
        failure = _check_failure(answer, failure)
        progress.is_dispatched = failure is None or failure.ran is not Ran.NOT_RUN
        if failure is None or not _may_retry(work, answer, failure):
            return failure
        view.avoided_until = instance.read_clock() + AVOID_S
    return failure


def _check_failure(answer: Answer, failure: Failure | None) -> Failure | None:
    """Return a truthful failure of an attempt.

    Guards against an engine that was restarted in the middle of a stream: it has
    forgotten the stream and closes its name as if it had never begun. Events that
    came from it are the proof that it had.
    """
    if failure is not None and failure.ran is Ran.NOT_RUN and answer.texts:
        return make_failure(ResultCode.STREAM_LOST, failure.message)
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
