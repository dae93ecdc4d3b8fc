"""Runs one completion: chooses targets, streams, and retries where that is safe."""

import asyncio
from collections.abc import Awaitable, Callable

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.placement import count_attempt, count_chain
from fulmarward.requests._admit import admit_work
from fulmarward.requests._attempt import RETRY_AFTER_MS, run_attempt
from fulmarward.requests._budget import record_first_try, take_retry
from fulmarward.requests._chain import run_chain
from fulmarward.requests._chain_choice import choose_chain
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward.requests._measure import measure_attempt
from fulmarward.requests._route import choose_route
from fulmarward_core.requests import choose_failure
from fulmarward_core.results import Failure, ResultCode, make_failure
from fulmarward_core.routing import TargetView

#: Maximum attempts of one request. Without a limit, a failing pool would multiply
#: every request by the number of targets. Two retries find a working target unless
#: most targets are bad.
MAX_ATTEMPTS = 3

#: Seconds for which a target that refused or failed gets no new work.
AVOID_TARGET_S = 1.0

#: Decides whether an attempt may be dispatched to a target (for a chain, its first
#: target). Returns `None` to allow it; a failure ends the request.
ConfirmDispatch = Callable[[int, TargetView], Awaitable[Failure | None]]


async def confirm_always(attempt: int, view: TargetView) -> None:
    """Allow every dispatch, for requests that may run more than once."""


async def run_completion(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    confirm: ConfirmDispatch = confirm_always,
) -> None:
    """Execute a completion and write its answer, which is always ended.

    `confirm` is called right before each dispatch.
    """
    answer.task = asyncio.current_task()
    timeout_s = work.deadline - instance.read_clock()
    try:
        async with asyncio.timeout(max(timeout_s, 0.0)):
            async with admit_work(instance, work) as refusal:
                failure = refusal or await run_attempts(
                    instance, work, answer, 1, confirm
                )
    except TimeoutError:
        failure = describe_timeout(answer)
    if failure is not None and not answer.is_over:
        answer.fail(failure)


def describe_timeout(answer: Answer) -> Failure:
    """Return the failure of a request whose deadline passed."""
    if answer.locator or answer.texts:
        return make_failure(ResultCode.DEADLINE_PASSED)
    if answer.is_dispatched:
        return make_failure(ResultCode.OUTCOME_UNKNOWN, "The deadline passed.")
    return make_failure(ResultCode.DEADLINE_TOO_NEAR)


async def run_attempts(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    first_attempt: int,
    confirm: ConfirmDispatch = confirm_always,
) -> Failure | None:
    """Run attempts until one succeeds or no further one is allowed."""
    failure = None
    tried: set[str] = set()
    record_first_try(instance, work)
    for attempt in range(first_attempt, first_attempt + MAX_ATTEMPTS):
        outcome = await _run_one_attempt(
            instance, work, answer, attempt, confirm, tried
        )
        if outcome is None:
            return None
        failure = choose_failure(failure, outcome)
        if not _may_retry(work, outcome) or not take_retry(instance, work):
            return failure
    return failure


async def _run_one_attempt(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    attempt: int,
    confirm: ConfirmDispatch,
    tried: set[str],
) -> Failure | None:
    """Run an attempt on a target with the whole model or, if none, on a chain."""
    choice = choose_route(instance, work, attempt, frozenset(tried))
    if choice is None:
        chosen = choose_chain(instance, work, attempt)
        if chosen is None:
            return make_failure(ResultCode.NO_TARGET, retry_after_ms=RETRY_AFTER_MS)
        chain, version = chosen
        refusal = await confirm(attempt, instance.views[chain.stages[0].target])
        if refusal is not None:
            return refusal
        failure = await run_chain(instance, work, answer, attempt, chain, version)
        count_chain(instance, work.pipeline.model, version, failure)
        return failure
    view = choice.chosen
    refusal = await confirm(attempt, view)
    if refusal is not None:
        return refusal
    tried.add(view.name)
    view.in_flight += 1
    try:
        with measure_attempt(instance, work, answer, view) as measured:
            failure = await run_attempt(instance, work, answer, attempt, view)
            measured.has_ended = True
            measured.failure = failure
    finally:
        view.in_flight -= 1
    count_attempt(instance, view, failure)
    if failure is not None:
        view.avoided_until = instance.read_clock() + AVOID_TARGET_S
    return failure


def _may_retry(work: CompletionRequest, failure: Failure) -> bool:
    """Return whether another attempt may run the request.

    Prevents a second execution of a non-idempotent request. A lost stream is final:
    an earlier attempt has shown that the answer cannot be continued.
    """
    if failure.code in (ResultCode.STREAM_LOST, ResultCode.NO_TARGET):
        return False
    not_run = failure.code in (
        ResultCode.TARGET_REFUSED,
        ResultCode.TARGET_UNREACHABLE,
    )
    return not_run or work.idempotent
