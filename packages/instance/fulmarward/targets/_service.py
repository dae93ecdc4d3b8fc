"""Client for plain services."""

from dataclasses import dataclass

import aiohttp

from fulmarward.http import send_once
from fulmarward.observability import log_event

#: Characters that are logged of an error, as it may quote the service.
MAX_CAUSE_LENGTH = 512


@dataclass(frozen=True, kw_only=True)
class ServiceRequest:
    """A call to send to a plain service."""

    #: HTTP method, path from `/` and query string.
    method: str
    path: str
    query: str
    body: bytes
    content_type: str
    #: Id of the request, number of the attempt, name of the team.
    request: str
    attempt: int
    team: str


@dataclass(frozen=True, kw_only=True)
class ServiceAnswer:
    """The complete response of the service."""

    #: HTTP status.
    status: int
    body: bytes
    content_type: str


@dataclass(frozen=True, kw_only=True)
class ServiceRefused:
    """The service did not run the call."""

    detail: str


@dataclass(frozen=True, kw_only=True)
class ServiceUncertain:
    """The call was sent and its response was lost, so it may have run."""

    detail: str


async def call_service(
    session: aiohttp.ClientSession,
    address: str,
    service_request: ServiceRequest,
    *,
    connect_s: float,
    timeout_s: float,
) -> ServiceAnswer | ServiceRefused | ServiceUncertain:
    """Send a call to the service at `address`, exactly once.

    A service sets the header `X-Not-Run: 1` on its response if it refused the call
    without starting it.
    """
    query = f"?{service_request.query}" if service_request.query else ""
    headers = {
        "X-Request-Id": service_request.request,
        "X-Attempt": str(service_request.attempt),
        "X-Team": service_request.team,
        "Content-Type": service_request.content_type or "application/octet-stream",
        # Use a new connection: the service may close a kept-alive one during the
        # call, which leaves open whether the call ran.
        "Connection": "close",
    }
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=connect_s)
    try:
        async with session.request(
            service_request.method,
            f"http://{address}{service_request.path}{query}",
            data=service_request.body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
            middlewares=[send_once],
        ) as response:
            body = await response.read()
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return ServiceRefused(detail=type(error).__name__)
    except (aiohttp.ClientError, TimeoutError) as error:
        log_event(
            "service_reply_lost",
            request=service_request.request,
            attempt=service_request.attempt,
            address=address,
            cause=f"{type(error).__name__}: {error}"[:MAX_CAUSE_LENGTH],
        )
        return ServiceUncertain(detail="The reply of the service was lost.")
    if response.headers.get("X-Not-Run") == "1":
        return ServiceRefused(detail="the service refused the call")
    return ServiceAnswer(
        status=response.status,
        body=body,
        content_type=response.content_type or "application/octet-stream",
    )
