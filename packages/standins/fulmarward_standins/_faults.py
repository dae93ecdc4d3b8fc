"""Faults that a stand-in can be told to show, and the middleware that shows them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

#: Where an app keeps its switches, a plain dictionary set by `POST /control`.
SWITCHES: web.AppKey[dict[str, Any]] = web.AppKey("switches", dict)

#: Paths that no switch touches.
_UNTOUCHED = ("/control", "/ledger")


@web.middleware
async def show_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Delay, refuse or lose the reply of a call, as the switches say.

    `outage`: every call is answered 503. `delay_ms`: every call waits first.
    `lose_replies`: that many calls take effect and then lose their connection.
    `lose_matching`: only calls whose path contains this text lose their reply.
    """
    switches = request.app[SWITCHES]
    if request.path in _UNTOUCHED:
        return await handler(request)
    if switches.get("delay_ms"):
        await asyncio.sleep(switches["delay_ms"] / 1000)
    if switches.get("outage"):
        return web.json_response({"error": "outage"}, status=503)
    response = await handler(request)
    wanted = switches.get("lose_matching", "")
    if switches.get("lose_replies", 0) > 0 and wanted in request.path:
        switches["lose_replies"] -= 1
        if request.transport is not None:
            request.transport.abort()
    return response


async def change_switches(request: web.Request) -> web.Response:
    """Answer `POST /control`: set the switches named in the body."""
    request.app[SWITCHES].update(await request.json())
    return web.json_response(request.app[SWITCHES])
