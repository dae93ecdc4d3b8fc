"""A plain service that executes every call and records it in its ledger.

The headers `X-Request-Id`, `X-Attempt` and `X-Team` identify the execution.
"""

import asyncio
from dataclasses import dataclass

from aiohttp import web

from fulmarward_standins._faults import SWITCHES, change_switches, inject_faults
from fulmarward_standins._ledger import LEDGER, Ledger, LedgerEntry, show_ledger


@dataclass(kw_only=True)
class ServiceSpec:
    """Settings of a service stand-in."""

    #: Display name.
    name: str
    #: Duration of a call, in milliseconds.
    call_ms: float = 5.0
    #: File to which the ledger is also written, or empty.
    ledger_file: str = ""


_SPEC: web.AppKey[ServiceSpec] = web.AppKey("spec", ServiceSpec)


def _record(request: web.Request, event: str) -> None:
    request.app[LEDGER].append(
        LedgerEntry(
            request=request.headers.get("X-Request-Id", ""),
            attempt=int(request.headers.get("X-Attempt", "0")),
            team=request.headers.get("X-Team", ""),
            position=-1,
            first_layer=-1,
            last_layer=-1,
            event=event,
        )
    )


async def _execute(request: web.Request) -> web.Response:
    """Execute a call; the switch `call_ms` overrides its duration."""
    switches = request.app[SWITCHES]
    body = await request.text()
    if switches.get("refuse"):
        return web.json_response(
            {"error": "refused"}, status=503, headers={"X-Not-Run": "1"}
        )
    request_id = request.headers.get("X-Request-Id", "")
    attempt = int(request.headers.get("X-Attempt", "0"))
    request.app[LEDGER].record_work(request_id, attempt, body)
    _record(request, "began")
    call_ms = switches.get("call_ms", request.app[_SPEC].call_ms)
    # A service completes a call even after its caller has disconnected.
    await asyncio.shield(asyncio.sleep(call_ms / 1000))
    _record(request, "ended")
    if switches.get("fail"):
        return web.json_response({"error": "failed"}, status=500)
    answer = {
        "service": request.app[_SPEC].name,
        "method": request.method,
        "path": request.path,
        "body": body,
        "request": request.headers.get("X-Request-Id", ""),
    }
    return web.json_response(answer)


def make_service_app(spec: ServiceSpec) -> web.Application:
    """Return the service's web application."""
    app = web.Application(middlewares=[inject_faults], client_max_size=8 * 1024 * 1024)
    app[_SPEC] = spec
    app[SWITCHES] = {}
    app[LEDGER] = Ledger(spec.ledger_file)
    app.add_routes(
        [
            web.get("/ledger", show_ledger),
            web.post("/control", change_switches),
            web.route("*", "/{path:.*}", _execute),
        ]
    )
    return app
