"""Handlers of the lookup, the readiness check, the metrics and the status."""

from collections.abc import Callable, Sequence

import orjson
from aiohttp import web
from aioprometheus.renderer import render

from fulmarward.observability import log_event
from fulmarward_core.results import ResultCode
from fulmarward_router._metrics import RouterMetrics
from fulmarward_router.state import MAX_REQUEST_ID_BYTES, find_request_id_fault

#: Seconds for which callers cache a lookup, equal to the time for which a failed
#: instance stays listed.
LOOKUP_DURATION_S = 1.0

#: Upper bound on the bytes of an operator's request, and on an id in a log line.
MAX_OPERATOR_BYTES = 4096
MAX_LOGGED_ID = 64

_READY_PATH = "/ready"
_LOOKUP_PATH = "/lookup"


def make_lookup_handler(
    *,
    list_instances: Callable[[str], list[str]],
    max_duration_s: float,
) -> Callable[[web.BaseRequest], web.Response]:
    """Return the handler that answers callers' lookups of instance addresses."""

    async def answer(request: web.BaseRequest) -> web.Response:
        if request.path != _LOOKUP_PATH:
            return web.Response(status=404)
        addresses = list_instances(request.query.get("zone", ""))
        if not addresses:
            return web.Response(status=503)
        body = {"addresses": addresses, "ttlS": min(max_duration_s, LOOKUP_DURATION_S)}
        return web.Response(body=orjson.dumps(body), content_type="application/json")

    return answer


def make_ready_handler(
    *, is_ready: Callable[[], bool]
) -> Callable[[web.BaseRequest], web.Response]:
    """Return the handler of the platform's readiness check."""

    async def answer(request: web.BaseRequest) -> web.Response:
        if request.path != _READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if is_ready() else 503)

    return answer


def make_operator_handler(
    *,
    metrics: RouterMetrics,
    refresh: Callable[[], None],
    describe: Callable[[], object],
    describe_denials: Callable[[str], object],
    lift_crash_pattern: Callable[[str], bool],
) -> Callable[[web.BaseRequest], web.Response]:
    """Return the handler of the paths that operators call."""

    async def answer(request: web.BaseRequest) -> web.Response:
        if request.path == "/metrics":
            refresh()
            content, headers = render(
                metrics.registry, request.headers.getall("Accept", [])
            )
            return web.Response(body=content, headers=headers)
        if request.path == "/status":
            body = orjson.dumps(describe(), option=orjson.OPT_INDENT_2)
            return web.Response(body=body, content_type="application/json")
        if request.path == "/denials" and request.method == "GET":
            return _answer_denials(
                request.query.getall("request", []), describe_denials
            )
        if request.path == "/lift-crash-pattern" and request.method == "POST":
            body = await request.content.read(MAX_OPERATOR_BYTES)
            return _lift(body, lift_crash_pattern)
        log_event("operator_request_refused", path=request.path)
        return web.Response(status=404)

    return answer


def _lift(body: bytes, lift_crash_pattern: Callable[[str], bool]) -> web.Response:
    """Accept requests that match a pattern again, and answer whether it was known."""
    try:
        pattern = orjson.loads(body)["pattern"]
    except (ValueError, KeyError, TypeError):
        pattern = None
    if not isinstance(pattern, str):
        return _refuse('expected {"pattern": ID}')
    is_lifted = lift_crash_pattern(pattern)
    log_event(
        "crash_pattern_lifted", pattern=pattern[:MAX_LOGGED_ID], is_known=is_lifted
    )
    return _respond_with_json({"pattern": pattern, "is_lifted": is_lifted}, status=200)


def _answer_denials(
    request_ids: Sequence[str], describe_denials: Callable[[str], object]
) -> web.Response:
    """Return the recorded rejections of the only id of a query."""
    found = f"{len(request_ids)} parameters"
    if len(request_ids) == 1:
        found = find_request_id_fault(request_ids[0])
    if found is not None:
        expected = f"expected request=ID of 1 to {MAX_REQUEST_ID_BYTES} bytes"
        return _refuse(f"{expected}, found {found}")
    return _respond_with_json(describe_denials(request_ids[0]), status=200)


def _refuse(message: str) -> web.Response:
    """Return the response to an invalid request of an operator."""
    body = {
        "result": int(ResultCode.USAGE),
        "error": {"message": message},
        "retry_after_ms": None,
    }
    return _respond_with_json(body, status=400)


def _respond_with_json(tree: object, *, status: int) -> web.Response:
    body = orjson.dumps(tree)
    return web.Response(body=body, status=status, content_type="application/json")
