"""Keeps aiohttp from sending a request twice."""

import aiohttp


class ConnectionLost(aiohttp.ClientError):
    """The connection was lost after the request may have been sent."""


async def send_once(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Middleware by which a lost connection ends the request.

    aiohttp repeats a GET, HEAD, PUT, DELETE, OPTIONS or TRACE whose connection is lost
    before the response: one attempt runs twice, and the error of the second sending
    hides that the first arrived. It repeats only after its own exceptions, so this
    raises a different one, `ConnectionLost`.
    """
    try:
        return await send(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLost(repr(error)) from error
