"""The one module that knows how plain services are called."""

from dataclasses import dataclass

import aiohttp


@dataclass(frozen=True, kw_only=True)
class ServiceOrder:
    """A call that is passed through."""

    #: HTTP method, path from `/` and query string.
    method: str
    path: str
    query: str
    #: The body and its type.
    body: bytes
    content_type: str
    #: Id of the request, number of the attempt, name of the team.
    request: str
    attempt: int
    team: str


@dataclass(frozen=True, kw_only=True)
class ServiceAnswer:
    """The service's whole answer."""

    #: HTTP status.
    status: int
    #: The body and its type.
    body: bytes
    content_type: str


@dataclass(frozen=True, kw_only=True)
class ServiceRefused:
    """Nothing of the call was run."""

    #: What was seen.
    detail: str


@dataclass(frozen=True, kw_only=True)
class ServiceUncertain:
    """The call was sent and its answer was lost."""

    #: What was seen.
    detail: str


class _ConnectionLost(Exception):
    """The connection was lost after the call may have been sent."""


async def _send_once(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Have a lost connection end the call.

    Guards against the library itself, which sends a GET, PUT or DELETE again when the
    connection is lost, as if any of them could run twice. It shows as two runs of one
    attempt. The library repeats for errors of its own only, and this is none.
    """
    try:
        return await send(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _ConnectionLost(type(error).__name__) from error


async def call_service(
    session: aiohttp.ClientSession,
    address: str,
    order: ServiceOrder,
    *,
    connect_s: float,
    timeout_s: float,
) -> ServiceAnswer | ServiceRefused | ServiceUncertain:
    """Pass a call to the service at `address`, once.

    A service says with the header `X-Not-Run: 1` that it refused before it began.
    """
    query = f"?{order.query}" if order.query else ""
    headers = {
        "X-Request-Id": order.request,
        "X-Attempt": str(order.attempt),
        "X-Team": order.team,
        "Content-Type": order.content_type or "application/octet-stream",
        # A connection of its own: a kept one may be closed under the call, and
        # then nobody could tell whether the call was run.
        "Connection": "close",
    }
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=connect_s)
    try:
        async with session.request(
            order.method,
            f"http://{address}{order.path}{query}",
            data=order.body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
            middlewares=[_send_once],
        ) as response:
            body = await response.read()
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return ServiceRefused(detail=type(error).__name__)
    except (_ConnectionLost, aiohttp.ClientError, TimeoutError) as error:
        return ServiceUncertain(detail=str(error) or type(error).__name__)
    if response.headers.get("X-Not-Run") == "1":
        return ServiceRefused(detail="the service refused the call")
    return ServiceAnswer(
        status=response.status,
        body=body,
        content_type=response.content_type or "application/octet-stream",
    )
