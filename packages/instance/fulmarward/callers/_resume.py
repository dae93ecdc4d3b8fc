"""Resumes a stream at this instance, whichever instance began it.

A caller whose connection was closed sends the same body again with `Last-Event-ID`, as
the standard for server-sent events defines. The id contains the sealed locator of the
stream and the number of the last event that the caller received.
"""

import asyncio
import dataclasses

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.callers._errors import CallerError
from fulmarward.observability import log_event
from fulmarward.requests import CompletionRequest, run_resumed
from fulmarward_core.results import ResultCode, make_failure
from fulmarward_core.streams import (
    EventId,
    Locator,
    digest_prompt,
    open_locator,
    parse_event_id,
)

#: Defined by the standard for server-sent events.
EVENT_ID_HEADER = "Last-Event-ID"


def _make_event_id_error(detail: str) -> CallerError:
    return CallerError(failure=make_failure(ResultCode.EVENT_ID_WRONG, detail))


def _open_event_id(
    instance: Instance, team: str, event_id: str
) -> tuple[Locator, EventId]:
    event = parse_event_id(event_id)
    if event is None:
        raise _make_event_id_error("Expected LOCATOR.NUMBER.")
    for secret in instance.secrets.derive_keys("locators"):
        locator = open_locator(event.sealed, team=team, secret=secret)
        if locator is not None:
            return locator, event
    raise _make_event_id_error("Expected a locator of this team.")


def open_resumed(
    instance: Instance, request: web.Request, work: CompletionRequest, is_streamed: bool
) -> tuple[CompletionRequest, Answer, int]:
    """Return the work, its answer and the number of the last event received.

    Raises `CallerError` for an id that is not of a stream of this team and body.
    """
    locator, event = _open_event_id(
        instance, work.team, request.headers[EVENT_ID_HEADER]
    )
    is_same = (locator.pipeline, locator.digest) == (
        work.pipeline_name,
        digest_prompt(work.prompt),
    )
    if not is_same:
        raise _make_event_id_error("Expected the body that the stream was begun with.")
    if not is_streamed:
        raise _make_event_id_error("Expected a call that is streamed.")
    work = _restore_work(instance, work, locator)
    answer = instance.answers.get(work.request)
    is_here = answer is not None and answer.team == work.team
    log_event(
        "resume_requested",
        request=work.request,
        attempt=locator.attempt,
        team=work.team,
        after=event.number,
        stages=[stage.target for stage in locator.stages],
        reason="own_journal" if is_here else "engine",
    )
    if is_here:
        return work, answer, event.number
    answer = Answer(
        request=work.request, team=work.team, prompt_tokens=len(work.prompt.split())
    )
    instance.answers[work.request] = answer
    running = run_resumed(instance, work, answer, locator, event)
    instance.keep_task(asyncio.create_task(running))
    return work, answer, event.number


def _restore_work(
    instance: Instance, work: CompletionRequest, locator: Locator
) -> CompletionRequest:
    """Return the work with its original request id, deadline and idempotency.

    A request may be non-idempotent because of its key rather than its pipeline. The
    caller need not send the key with the event id, so the flag in the locator prevents
    a second run.
    """
    remaining = locator.deadline_at - instance.read_wall_clock()
    deadline = instance.read_clock() + remaining
    return dataclasses.replace(
        work,
        request=locator.request,
        deadline=deadline,
        idempotent=work.idempotent and locator.idempotent,
    )
