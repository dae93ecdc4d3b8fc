"""Sends an answer to its caller, whole or as server-sent events."""

from collections.abc import Callable

import orjson
from aiohttp import web

from fulmarward.answers import Answer
from fulmarward.callers._errors import make_failure_response, render_failure
from fulmarward.callers._shapes import (
    AnswerHead,
    make_template,
    render_end,
    render_start,
    render_texts,
    render_whole,
)
from fulmarward_core.results import Failure
from fulmarward_core.streams import TextDigest


async def _wait_for_start(answer: Answer) -> None:
    while not answer.locator and not answer.is_over:
        await answer.changed.wait()


async def send_whole(head: AnswerHead, answer: Answer) -> web.Response:
    """Send the answer as one JSON body once it is complete."""
    while not answer.is_over:
        await answer.changed.wait()
    headers = {"X-Request-Id": head.request}
    if answer.failure is not None:
        response = make_failure_response(answer.failure)
        response.headers.update(headers)
        return response
    return web.json_response(render_whole(head, answer), headers=headers)


async def send_stream(
    request: web.Request,
    head: AnswerHead,
    answer: Answer,
    include_usage: bool,
    after: int | None = None,
    *,
    on_first_token: Callable[[], None],
) -> web.StreamResponse:
    """Send the answer's events; a resuming caller has those up to number `after`.

    `on_first_token` is called after the first text has been written.
    """
    await _wait_for_start(answer)
    if answer.failure is not None and not answer.texts:
        return await send_whole(head, answer)
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
            "X-Request-Id": head.request,
        }
    )
    await response.prepare(request)
    if after is None:
        await response.write(render_start(head, answer.locator))
    await _send_events(response, head, answer, after or 0, on_first_token)
    if answer.failure is not None:
        await response.write(_render_failure_event(answer.failure))
    else:
        end = render_end(
            head, answer, answer.locator, include_usage=include_usage, after=after or 0
        )
        await response.write(end)
    await response.write_eof()
    return response


async def _send_events(
    response: web.StreamResponse,
    head: AnswerHead,
    answer: Answer,
    sent: int,
    on_first_token: Callable[[], None],
) -> None:
    """Send the events after number `sent` in batches until the answer is complete."""
    template = make_template(head)
    digest = TextDigest()
    is_first = True
    while True:
        changed = answer.changed
        texts = answer.texts[sent:]
        if texts:
            if is_first:
                for text in answer.texts[:sent]:
                    digest.add(text)
            events = render_texts(template, answer.locator, texts, sent + 1, digest)
            await response.write(events)
            sent += len(texts)
            if is_first:
                is_first = False
                on_first_token()
        elif answer.is_over:
            return
        else:
            await changed.wait()


def _render_failure_event(failure: Failure) -> bytes:
    return b"event: error\ndata: " + orjson.dumps(render_failure(failure)) + b"\n\n"
