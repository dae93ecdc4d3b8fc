"""Ends an attempt on a chain: frees its caches and determines the failure."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.observability import log_event
from fulmarward.requests._attempt import RETRY_AFTER_MS
from fulmarward.requests._chain_progress import ChainProgress
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward.requests._drive import (
    StageLost,
)
from fulmarward.requests._move import find_address
from fulmarward.requests._progress import (
    DIFFERS,
    DIFFERS_DETAIL,
)
from fulmarward.targets import (
    StreamBroken,
    close_steps,
)
from fulmarward_core.results import Failure, ResultCode, make_failure
from fulmarward_core.streams import Stage

#: Seconds for which the target of a lost stage gets no new chain.
AVOID_STAGE_S = 1.0


async def close_chain(
    instance: Instance,
    work: CompletionRequest,
    attempt: ChainProgress,
    kept: tuple[Stage, ...] = (),
) -> list[str | StreamBroken]:
    """Close an attempt at all stages except `kept`; return the reply of each target.

    A stage that a newer driver has claimed replies `driven` and stays open.
    """
    addresses = {
        find_address(instance, stage) for stage in attempt.stages if stage not in kept
    }
    closing = [
        close_steps(
            instance.session,
            address,
            request=work.request,
            attempt=attempt.number,
            term=attempt.term,
        )
        for address in addresses
        if address is not None
    ]
    return await asyncio.gather(*closing)


def close_chain_later(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    attempt: ChainProgress,
    kept: tuple[Stage, ...] = (),
) -> None:
    """Free, in the background, the caches of a finished or abandoned attempt.

    A complete answer stays readable at its last stage (`kept`), for a caller that
    lost its connection.
    """
    if instance.lifecycle.state == "stopped" and answer.is_resumable:
        return
    closing = close_chain(instance, work, attempt, kept)
    instance.keep_closing_task(asyncio.create_task(closing))


async def give_up_chain(
    instance: Instance, work: CompletionRequest, attempt: ChainProgress, lost: StageLost
) -> Failure:
    """Close the attempt at all stages before a new one starts; return the failure."""
    log_event(
        "chain_failed",
        request=work.request,
        attempt=attempt.number,
        target=lost.stage.target,
        position=attempt.received,
        reason=lost.detail,
    )
    view = instance.views.get(lost.stage.target)
    if view is not None and lost.detail != DIFFERS:
        view.avoided_until = instance.read_clock() + AVOID_STAGE_S
    states = await close_chain(instance, work, attempt)
    if lost.is_closed or "driven" in states:
        detail = "Another instance goes on with it."
        return make_failure(ResultCode.STREAM_LOST, detail)
    if lost.detail == DIFFERS:
        return make_failure(ResultCode.STREAM_LOST, DIFFERS_DETAIL)
    if lost.may_have_run:
        detail = f"Stage {lost.stage.target} was lost: {lost.detail}."
        return make_failure(ResultCode.TARGET_FAILED, detail)
    code = (
        ResultCode.TARGET_UNREACHABLE
        if lost.is_unreachable
        else ResultCode.TARGET_REFUSED
    )
    return make_failure(code, lost.detail, retry_after_ms=RETRY_AFTER_MS)
