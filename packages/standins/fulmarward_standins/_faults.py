"""Fault switches of a stand-in and the middleware that applies them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

#: The app's fault switches, a dictionary updated by `POST /control`.
SWITCHES: web.AppKey[dict[str, Any]] = web.AppKey("switches", dict)

#: Paths without fault injection.
_EXEMPT_PATHS = ("/control", "/ledger")


@web.middleware
async def inject_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Delay or refuse a call or drop its response, as the switches say.

    `outage`: every call gets status 503. `delay_ms`: every call is delayed.
    `lose_replies`: the connections of that many calls are aborted after execution.
    `lose_matching`: limits `lose_replies` to paths that contain this text.
    """
    switches = request.app[SWITCHES]
    if request.path in _EXEMPT_PATHS:
        return await handler(request)
    if switches.get("delay_ms"):
        await asyncio.sleep(switches["delay_ms"] / 1000)
    if switches.get("outage"):
        return web.json_response({"error": "outage"}, status=503)
    response = await handler(request)
    path_part = switches.get("lose_matching", "")
    if switches.get("lose_replies", 0) > 0 and path_part in request.path:
        switches["lose_replies"] -= 1
        if request.transport is not None:
            request.transport.abort()
    return response


async def change_switches(request: web.Request) -> web.Response:
    """Handle `POST /control`: set the switches named in the body."""
    request.app[SWITCHES].update(await request.json())
    return web.json_response(request.app[SWITCHES])
