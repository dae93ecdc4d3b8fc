"""Going on with a stream at this instance, whichever began it.

A caller whose connection was cut sends the same body again with `Last-Event-ID`, as
the standard of server-sent events has it. The id holds the sealed locator of the
stream and the number of the last event that the caller has.
"""

import asyncio
import dataclasses

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.callers._errors import CallerError
from fulmarward.observability import log_event
from fulmarward.requests import Work, run_resumed
from fulmarward_core.results import ResultCode, make_failure
from fulmarward_core.streams import (
    EventId,
    Locator,
    digest_prompt,
    open_locator,
    split_event_id,
)

#: The header of the standard.
EVENT_ID_HEADER = "Last-Event-ID"


def _refuse(detail: str) -> CallerError:
    return CallerError(failure=make_failure(ResultCode.EVENT_ID_WRONG, detail))


def _open_event_id(
    instance: Instance, team: str, event_id: str
) -> tuple[Locator, EventId]:
    event = split_event_id(event_id)
    if event is None:
        raise _refuse("Expected LOCATOR.NUMBER.")
    for secret in instance.secrets.derive_keys("locators"):
        locator = open_locator(event.sealed, team=team, secret=secret)
        if locator is not None:
            return locator, event
    raise _refuse("Expected a locator of this team.")


def open_resumed(
    instance: Instance, request: web.Request, work: Work, is_streamed: bool
) -> tuple[Work, Answer, int]:
    """Return the work, its answer and the last event that the caller has.

    Raises `CallerError` for an id that is no stream of this team and this body.
    """
    locator, event = _open_event_id(
        instance, work.team, request.headers[EVENT_ID_HEADER]
    )
    is_same = (locator.pipeline, locator.digest) == (
        work.pipeline_name,
        digest_prompt(work.prompt),
    )
    if not is_same:
        raise _refuse("Expected the body that the stream was begun with.")
    if not is_streamed:
        raise _refuse("Expected a call that is streamed.")
    work = _take_over(instance, work, locator)
    answer = instance.answers.get(work.request)
    is_here = answer is not None and answer.team == work.team
    log_event(
        "resume",
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


def _take_over(instance: Instance, work: Work, locator: Locator) -> Work:
    """Return the work under the name, the deadline and the promise it began with.

    Guards against a second run of a request whose key, not its pipeline, says that it
    may run once: the caller need not send the key with the event id.
    """
    remaining = locator.deadline_at - instance.read_wall_clock()
    deadline = instance.read_clock() + remaining
    return dataclasses.replace(
        work,
        request=locator.request,
        deadline=deadline,
        idempotent=work.idempotent and locator.idempotent,
    )
