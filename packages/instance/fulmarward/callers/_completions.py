"""Completions: `/v1/chat/completions`, `/v1/completions` and `/v1/models`."""

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.callers._authenticate import authenticate_team
from fulmarward.callers._bodies import (
    CompletionBody,
    parse_completion_body,
    read_body,
)
from fulmarward.callers._errors import CallerError
from fulmarward.callers._headers import KEY_HEADER, read_deadline_ms, read_urgency
from fulmarward.callers._open import open_answer
from fulmarward.callers._release import release_answer
from fulmarward.callers._resume import EVENT_ID_HEADER, open_resumed
from fulmarward.callers._send import send_stream, send_whole
from fulmarward.callers._shapes import (
    CHAT_SHAPE,
    TEXT_SHAPE,
    AnswerHead,
    Shape,
)
from fulmarward.observability import log_event
from fulmarward.requests import CompletionRequest, make_request_id
from fulmarward_core.declaration import Pipeline
from fulmarward_core.results import ResultCode, make_failure


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
) -> CompletionRequest:
    pipeline = _find_pipeline(instance, team, body.pipeline)
    limit = pipeline.max_output_tokens
    deadline_ms = read_deadline_ms(request, default=pipeline.deadline_ms)
    return CompletionRequest(
        request=make_request_id(),
        team=team,
        snapshot=instance.snapshot,
        pipeline_name=body.pipeline,
        pipeline=pipeline,
        prompt=body.prompt,
        max_tokens=min(body.max_tokens or limit, limit),
        urgency=read_urgency(request, default=pipeline.urgency),
        idempotent=pipeline.idempotent,
        deadline=instance.read_clock() + deadline_ms / 1000,
    )


async def _complete(
    instance: Instance, request: web.Request, shape: Shape
) -> web.StreamResponse:
    began = instance.read_clock()
    team = authenticate_team(instance, request)
    raw = await read_body(instance, request)
    body = parse_completion_body(raw, is_chat=shape.is_chat)
    work = _make_work(instance, request, team, body)
    after = None
    if EVENT_ID_HEADER in request.headers:
        work, answer, after = open_resumed(instance, request, work, body.stream)
    else:
        answer = await open_answer(instance, request, work)
    answer.is_resumable |= body.stream or KEY_HEADER in request.headers
    head = AnswerHead(
        shape=shape,
        request=answer.request,
        created=int(instance.read_wall_clock()),
        pipeline=work.pipeline_name,
    )
    answer.readers += 1
    is_sent = False
    try:
        if body.stream:
            response = await send_stream(
                request,
                head,
                answer,
                body.include_usage,
                after,
                on_first_token=lambda: _record_first_token(instance, work, began),
            )
        else:
            response = await send_whole(head, answer)
        is_sent = True
        return response
    finally:
        release_answer(instance, answer, is_sent=is_sent)
        _record_end(instance, work, answer, began)


def _record_first_token(
    instance: Instance, work: CompletionRequest, began: float
) -> None:
    labels = {"pipeline": work.pipeline_name}
    instance.metrics.first_token_seconds.observe(labels, instance.read_clock() - began)


def _record_end(
    instance: Instance, work: CompletionRequest, answer: Answer, began: float
) -> None:
    if not answer.is_over:
        return
    labels = {"pipeline": work.pipeline_name}
    instance.metrics.request_seconds.observe(labels, instance.read_clock() - began)
    code = answer.failure.code if answer.failure else ResultCode.OK
    instance.metrics.requests.inc({"kind": "completion", "result": str(code.value)})
    log_event(
        "request_ended",
        request=work.request,
        team=work.team,
        pipeline=work.pipeline_name,
        result=code.value,
        tokens=len(answer.texts),
    )


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
