"""Plain services: `/services/NAME/...` passes a call through."""

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.callers._authenticate import authenticate_team
from fulmarward.callers._bodies import read_body
from fulmarward.callers._completions import make_request_id
from fulmarward.callers._errors import CallerError
from fulmarward.observability import log_event
from fulmarward.targets import (
    ServiceAnswer,
    ServiceOrder,
    ServiceRefused,
    call_service,
)
from fulmarward_core.declaration import Service, TargetKind
from fulmarward_core.results import ResultCode, make_failure
from fulmarward_core.routing import choose_target

#: When a caller may come back after a refusal, in milliseconds.
RETRY_AFTER_MS = 1_000


def _find_service(instance: Instance, team: str, name: str) -> Service:
    declaration = instance.snapshot.declaration
    service = declaration.services.get(name)
    if service is None:
        failure = make_failure(ResultCode.SERVICE_UNKNOWN, f"Found {name[:64]!r}.")
        raise CallerError(failure=failure)
    if name not in declaration.teams[team].services:
        raise CallerError(failure=make_failure(ResultCode.NOT_ALLOWED))
    return service


async def _pass_through(instance: Instance, request: web.Request) -> web.Response:
    team = authenticate_team(instance, request)
    name = request.match_info["name"]
    service = _find_service(instance, team, name)
    body = await read_body(instance, request)
    request_id = make_request_id()
    choice = choose_target(
        candidates=[
            view
            for view in instance.views.values()
            if view.target.kind is TargetKind.SERVICE and view.target.serves == name
        ],
        data_centre=instance.settings.data_centre,
        now=instance.read_clock(),
        generator=instance.generator,
    )
    log_event(
        "route",
        request=request_id,
        team=team,
        service=name,
        chosen=choice.chosen.name if choice else None,
        runner_up=choice.runner_up if choice else None,
        reason=choice.reason if choice else "no_open_target",
    )
    if choice is None:
        failure = make_failure(ResultCode.NO_TARGET, retry_after_ms=RETRY_AFTER_MS)
        raise CallerError(failure=failure)
    order = ServiceOrder(
        method=request.method,
        path="/" + request.match_info["path"],
        query=request.query_string,
        body=body,
        content_type=request.headers.get("Content-Type", ""),
        request=request_id,
        attempt=1,
        team=team,
    )
    outcome = await call_service(
        instance.session,
        choice.chosen.target.address,
        order,
        connect_s=instance.settings.limits.connect_ms / 1000,
        timeout_s=service.deadline_ms / 1000,
    )
    if isinstance(outcome, ServiceAnswer):
        return web.Response(
            status=outcome.status,
            body=outcome.body,
            content_type=outcome.content_type,
            headers={"X-Request-Id": request_id},
        )
    code = (
        ResultCode.TARGET_REFUSED
        if isinstance(outcome, ServiceRefused)
        else ResultCode.OUTCOME_UNKNOWN
    )
    raise CallerError(failure=make_failure(code, outcome.detail))


def make_service_routes(instance: Instance) -> list[web.RouteDef]:
    """Return the routes of this module."""

    async def pass_through(request: web.Request) -> web.Response:
        return await _pass_through(instance, request)

    return [web.route("*", "/services/{name}/{path:.*}", pass_through)]
