"""The web application for callers."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from aioprometheus import render

from fulmarward._instance import Instance
from fulmarward.callers._completions import make_completion_routes, make_request_id
from fulmarward.callers._discovery import make_discovery_routes
from fulmarward.callers._errors import CallerError, make_failure_response
from fulmarward.callers._headers import KEY_HEADER
from fulmarward.callers._keys import add_key_headers
from fulmarward.callers._resume import EVENT_ID_HEADER
from fulmarward.callers._services import make_service_routes
from fulmarward_core.results import Failure, ResultCode, make_failure

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

#: Paths that are served in every state of the instance.
_ALWAYS_SERVED_PATHS = ("/health", "/ready", "/metrics")

#: Milliseconds after which a caller may retry while the instance is not serving.
RETRY_AFTER_MS = 1_000

_STATE_CODES = {
    "starting": ResultCode.NOT_READY,
    "checking": ResultCode.NOT_READY,
    "stopping": ResultCode.STOPPING,
    "stopped": ResultCode.STOPPING,
}


def _find_refusal(instance: Instance, request: web.Request) -> Failure | None:
    if request.path in _ALWAYS_SERVED_PATHS:
        return None
    # A stopping instance still tells callers the addresses of others.
    if request.path == "/discovery" and instance.lifecycle.state == "stopping":
        return None
    is_full = len(instance.answers) >= instance.settings.limits.open_requests
    is_serving = instance.lifecycle.state == "serving"
    if EVENT_ID_HEADER in request.headers and (is_full or not is_serving):
        # The stream exists, so "not run" would be false for its request.
        return make_failure(ResultCode.STILL_RUNNING, retry_after_ms=RETRY_AFTER_MS)
    code = _STATE_CODES.get(instance.lifecycle.state)
    if code is None and instance.has_paused():
        code = ResultCode.NOT_READY
    if code is not None:
        return make_failure(code, retry_after_ms=RETRY_AFTER_MS)
    if is_full:
        return make_failure(ResultCode.QUEUE_FULL, retry_after_ms=RETRY_AFTER_MS)
    return None


def _adapt_refusal(request: web.Request, refusal: Failure) -> Failure:
    """Return the failure that a refused call gets.

    A refused call with a key must not get "not run", since its request may be running
    at the home of the key: the caller would resend it under a new key, and it would
    run twice.
    """
    if KEY_HEADER not in request.headers:
        return refusal
    return make_failure(
        ResultCode.KEY_NOT_ASKED,
        refusal.message,
        retry_after_ms=refusal.retry_after_ms,
    )


def make_caller_app(instance: Instance) -> web.Application:
    """Return the web application for callers."""

    @web.middleware
    async def answer_failures(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            refusal = _find_refusal(instance, request)
            if refusal is not None:
                raise CallerError(failure=_adapt_refusal(request, refusal))
            response = await handler(request)
        except CallerError as error:
            result = str(error.failure.code.value)
            instance.metrics.requests.inc({"kind": "refused", "result": result})
            response = make_failure_response(error.failure)
        except asyncio.CancelledError:
            if instance.lifecycle.state != "stopped" or request.content.is_eof():
                raise
            # Its body was still being read, so that nothing has run.
            response = make_failure_response(make_failure(ResultCode.STOPPING))
        except (web.HTTPNotFound, web.HTTPMethodNotAllowed):
            response = make_failure_response(make_failure(ResultCode.PATH_UNKNOWN))
        if not response.prepared:
            response.headers.setdefault("X-Request-Id", make_request_id())
        return response

    async def show_health(request: web.Request) -> web.Response:
        return web.json_response({"state": instance.lifecycle.state})

    async def show_readiness(request: web.Request) -> web.Response:
        is_ready = instance.lifecycle.state == "serving" and not instance.has_paused()
        body = {"ready": is_ready, "epoch": instance.snapshot.head.epoch}
        return web.json_response(body, status=200 if is_ready else 503)

    async def show_metrics(request: web.Request) -> web.Response:
        instance.metrics.open_requests.set({}, len(instance.answers))
        content, headers = render(
            instance.metrics.registry, request.headers.getall("Accept", [])
        )
        return web.Response(body=content, headers=headers)

    async def add_headers(request: web.Request, response: web.StreamResponse) -> None:
        add_key_headers(instance, request, response)

    app = web.Application(
        middlewares=[answer_failures],
        client_max_size=instance.settings.limits.body_bytes,
    )
    app.on_response_prepare.append(add_headers)
    app.add_routes(
        [
            web.get("/health", show_health),
            web.get("/ready", show_readiness),
            web.get("/metrics", show_metrics),
            *make_discovery_routes(instance),
            *make_completion_routes(instance),
            *make_service_routes(instance),
        ]
    )
    return app
