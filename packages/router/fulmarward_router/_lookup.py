"""Handlers of the lookup, the readiness check, the metrics and the status."""

from collections.abc import Callable

import orjson
from aiohttp import web
from aioprometheus.renderer import render

from fulmarward.observability import log_event
from fulmarward_router._metrics import RouterMetrics

#: Seconds for which callers cache a lookup, equal to the time for which a failed
#: instance stays listed.
LOOKUP_DURATION_S = 1.0

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
) -> Callable[[web.BaseRequest], web.Response]:
    """Return the handler of `/metrics` and `/status`."""

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
        log_event("operator_request_refused", path=request.path)
        return web.Response(status=404)

    return answer
