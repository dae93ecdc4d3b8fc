"""Completions: `/v1/chat/completions`, `/v1/completions` and `/v1/models`."""

import asyncio
import secrets

import orjson
from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.callers._authenticate import authenticate_team
from fulmarward.callers._bodies import (
    CompletionBody,
    parse_completion_body,
    read_body,
)
from fulmarward.callers._errors import (
    CallerError,
    make_failure_response,
    render_failure,
)
from fulmarward.callers._headers import read_deadline_ms, read_urgency
from fulmarward.callers._shapes import (
    CHAT_SHAPE,
    TEXT_SHAPE,
    AnswerHead,
    Shape,
    make_template,
    render_end,
    render_start,
    render_texts,
    render_whole,
)
from fulmarward.observability import log_event
from fulmarward.requests import Work, run_completion
from fulmarward_core.declaration import Pipeline
from fulmarward_core.results import Failure, ResultCode, make_failure


def make_request_id() -> str:
    """Return a fresh request id: 80 random bits."""
    return secrets.token_hex(10)


def _find_pipeline(instance: Instance, team: str, name: str) -> Pipeline:
    declaration = instance.snapshot.declaration
    pipeline = declaration.pipelines.get(name)
    if pipeline is None:
        failure = make_failure(ResultCode.PIPELINE_UNKNOWN, f"Found {name[:64]!r}.")
        raise CallerError(failure=failure)
    if name not in declaration.teams[team].pipelines:
        raise CallerError(failure=make_failure(ResultCode.NOT_ALLOWED))
    return pipeline


def _make_work(
    instance: Instance, request: web.Request, team: str, body: CompletionBody
) -> Work:
    pipeline = _find_pipeline(instance, team, body.pipeline)
    most = pipeline.max_output_tokens
    deadline_ms = read_deadline_ms(request, default=pipeline.deadline_ms)
    return Work(
        request=make_request_id(),
        team=team,
        snapshot=instance.snapshot,
        pipeline_name=body.pipeline,
        pipeline=pipeline,
        prompt=body.prompt,
        max_tokens=min(body.max_tokens or most, most),
        urgency=read_urgency(request, default=pipeline.urgency),
        idempotent=pipeline.idempotent,
        deadline=instance.read_clock() + deadline_ms / 1000,
    )


async def _complete(
    instance: Instance, request: web.Request, shape: Shape
) -> web.StreamResponse:
    team = authenticate_team(instance, request)
    raw = await read_body(instance, request)
    body = parse_completion_body(raw, is_chat=shape.is_chat)
    work = _make_work(instance, request, team, body)
    answer = Answer(
        request=work.request, team=team, prompt_tokens=len(work.prompt.split())
    )
    instance.answers[work.request] = answer
    instance.keep_task(asyncio.create_task(run_completion(instance, work, answer)))
    head = AnswerHead(
        shape=shape,
        request=work.request,
        created=int(instance.read_wall_clock()),
        pipeline=work.pipeline_name,
    )
    answer.readers += 1
    try:
        if body.stream:
            return await _send_stream(request, head, answer, body.include_usage)
        return await _send_whole(head, answer)
    finally:
        answer.readers -= 1
        _note_end(instance, work, answer)


def _note_end(instance: Instance, work: Work, answer: Answer) -> None:
    if not answer.is_over:
        return
    code = answer.failure.code if answer.failure else ResultCode.OK
    instance.metrics.requests.inc({"kind": "completion", "result": str(code.value)})
    log_event(
        "request_end",
        request=work.request,
        team=work.team,
        pipeline=work.pipeline_name,
        result=code.value,
        tokens=len(answer.texts),
    )
    instance.answers.pop(work.request, None)


async def _wait_for_start(answer: Answer) -> None:
    while not answer.locator and not answer.is_over:
        await answer.changed.wait()


async def _send_whole(head: AnswerHead, answer: Answer) -> web.Response:
    while not answer.is_over:
        await answer.changed.wait()
    headers = {"X-Request-Id": head.request}
    if answer.failure is not None:
        response = make_failure_response(answer.failure)
        response.headers.update(headers)
        return response
    return web.json_response(render_whole(head, answer), headers=headers)


async def _send_stream(
    request: web.Request, head: AnswerHead, answer: Answer, include_usage: bool
) -> web.StreamResponse:
    await _wait_for_start(answer)
    if answer.failure is not None and not answer.texts:
        return await _send_whole(head, answer)
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
            "X-Request-Id": head.request,
        }
    )
    await response.prepare(request)
    await response.write(render_start(head, answer.locator))
    await _send_events(response, head, answer, 0)
    if answer.failure is not None:
        await response.write(_render_failure_event(answer.failure))
    else:
        end = render_end(head, answer, answer.locator, include_usage=include_usage)
        await response.write(end)
    await response.write_eof()
    return response


async def _send_events(
    response: web.StreamResponse, head: AnswerHead, answer: Answer, sent: int
) -> None:
    """Send events after number `sent` until the answer is over, in batches."""
    template = make_template(head)
    while True:
        changed = answer.changed
        texts = answer.texts[sent:]
        if texts:
            events = render_texts(template, answer.locator, texts, sent + 1)
            await response.write(events)
            sent += len(texts)
        elif answer.is_over:
            return
        else:
            await changed.wait()


def _render_failure_event(failure: Failure) -> bytes:
    return b"event: error\ndata: " + orjson.dumps(render_failure(failure)) + b"\n\n"


def make_completion_routes(instance: Instance) -> list[web.RouteDef]:
    """Return the routes of this module."""

    async def complete_chat(request: web.Request) -> web.StreamResponse:
        return await _complete(instance, request, CHAT_SHAPE)

    async def complete_text(request: web.Request) -> web.StreamResponse:
        return await _complete(instance, request, TEXT_SHAPE)

    async def list_pipelines(request: web.Request) -> web.Response:
        team = authenticate_team(instance, request)
        names = instance.snapshot.declaration.teams[team].pipelines
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "fulmarward"}
            for name in names
        ]
        return web.json_response({"object": "list", "data": data})

    return [
        web.post("/v1/chat/completions", complete_chat),
        web.post("/v1/completions", complete_text),
        web.get("/v1/models", list_pipelines),
    ]
