"""Plain services: `/services/NAME/...` forwards a call to a replica."""

from dataclasses import replace

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.callers._authenticate import authenticate_team
from fulmarward.callers._bodies import read_body
from fulmarward.callers._errors import CallerError, make_failure_response
from fulmarward.callers._headers import read_deadline_ms
from fulmarward.callers._keys import claim_call_key, read_call_key
from fulmarward.keys import execute_call, hash_body, make_call_end, make_local_key
from fulmarward.observability import log_event
from fulmarward.peers import CallEnd
from fulmarward.requests import ServiceCall, make_request_id, run_call, track_call
from fulmarward_core.declaration import Service
from fulmarward_core.keys import IssuedKey
from fulmarward_core.results import ResultCode, make_failure


def _find_service(instance: Instance, team: str, name: str) -> Service:
    declaration = instance.snapshot.declaration
    service = declaration.services.get(name)
    if service is None:
        failure = make_failure(ResultCode.SERVICE_UNKNOWN, f"Found {name[:64]!r}.")
        raise CallerError(failure=failure)
    if name not in declaration.teams[team].services:
        raise CallerError(failure=make_failure(ResultCode.NOT_ALLOWED))
    return service


def _is_idempotent(service: Service, method: str, path: str) -> bool:
    """Return the first matching rule's flag, false if no rule matches."""
    for rule in service.calls:
        if rule.method == method and _matches(rule.path, path):
            return rule.idempotent
    return False


def _matches(pattern: str, path: str) -> bool:
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern


def _read_path(request: web.Request) -> str:
    """Return the path below the service; raises `CallerError`.

    Paths with dot segments such as `/free/../moves` are rejected: the rule for `/free`
    would match, and the service could execute the non-idempotent `/moves` twice.
    """
    path = "/" + request.match_info["path"]
    if {".", ".."} & set(path.split("/")):
        raise CallerError(failure=make_failure(ResultCode.PATH_UNKNOWN))
    return path


async def _make_call(
    instance: Instance, request: web.Request, team: str
) -> ServiceCall:
    name = request.match_info["name"]
    service = _find_service(instance, team, name)
    path = _read_path(request)
    deadline_ms = read_deadline_ms(request, default=service.deadline_ms)
    return ServiceCall(
        request=make_request_id(),
        team=team,
        service=name,
        method=request.method,
        path=path,
        query=request.rel_url.raw_query_string,
        body=await read_body(instance, request),
        content_type=request.headers.get("Content-Type", ""),
        idempotent=_is_idempotent(service, request.method, path),
        deadline=instance.read_clock() + deadline_ms / 1000,
    )


async def _execute(
    instance: Instance, request: web.Request, call: ServiceCall
) -> CallEnd:
    """Execute a call; a call with an issued key is treated as not idempotent."""
    key = read_call_key(instance, request, call.team, idempotent=call.idempotent)
    if key is None:
        outcome = await run_call(instance, call)
        return make_call_end(call.request, outcome)
    body_hash = hash_body(
        "call", call.service, call.method, call.path, call.query, call.body
    )
    if isinstance(key, IssuedKey):
        call = replace(call, idempotent=False)
    elif call.idempotent:
        key = make_local_key(instance, call.team, key)
    else:
        key = await claim_call_key(instance, call.team, key, body_hash)
    return await execute_call(instance, call, key, body_hash)


async def _pass_through(instance: Instance, request: web.Request) -> web.Response:
    team = authenticate_team(instance, request)
    call = await _make_call(instance, request, team)
    with track_call(instance, call.request, team):
        end = await _execute(instance, request, call)
    code = end.failure.code if end.failure else ResultCode.OK
    instance.metrics.requests.inc({"kind": "service", "result": str(code.value)})
    log_event("call_ended", request=end.request, team=team, result=code.value)
    headers = {"X-Request-Id": end.request}
    if end.failure is not None:
        response = make_failure_response(end.failure)
        response.headers.update(headers)
        return response
    return web.Response(
        status=end.result.status,
        body=end.result.body,
        content_type=end.result.content_type,
        headers=headers,
    )


def make_service_routes(instance: Instance) -> list[web.RouteDef]:
    """Return the routes of this module."""

    async def pass_through(request: web.Request) -> web.Response:
        return await _pass_through(instance, request)

    return [web.route("*", "/services/{name}/{path:.*}", pass_through)]
