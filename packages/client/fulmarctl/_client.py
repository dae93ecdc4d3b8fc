"""HTTP calls to the operator addresses of instances."""

import asyncio
import json
import ssl
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from fulmarward.http import ResponseGuard
from fulmarward_core.results import Failure, ResultCode, make_failure

#: Timeout of one call, in seconds.
CALL_TIMEOUT_S = 15.0

#: Maximum size of a reply in bytes, unpacked.
MAX_REPLY_BYTES = 32 << 20


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """Addresses and credentials of the instances."""

    #: Operator addresses `IP:PORT`, tried in order.
    addresses: tuple[str, ...]
    #: Operator token.
    token: str
    #: TLS context that verifies the instances; `None` for plain HTTP.
    tls: ssl.SSLContext | None = None


@dataclass(frozen=True, kw_only=True)
class Reply:
    """Response of an instance."""

    #: HTTP status.
    status: int
    #: The JSON body.
    body: Any


def _make_session() -> aiohttp.ClientSession:
    """Return a client that rejects malformed replies; needs a running loop."""
    return ResponseGuard().make_session(
        connector_options={}, timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    )


async def _read_reply(response: aiohttp.ClientResponse) -> Reply:
    """Return a reply; raises `ValueError` if it is too large or no JSON.

    Another program may listen at the address, and send anything.
    """
    if response.content_type != "application/json":
        raise ValueError(f"expected JSON, found {response.content_type}")
    body = bytearray()
    while data := await response.content.readany():
        body += data
        if len(body) > MAX_REPLY_BYTES:
            raise ValueError(f"expected at most {MAX_REPLY_BYTES} bytes")
    try:
        return Reply(status=response.status, body=json.loads(body))
    except RecursionError as error:
        raise ValueError("expected JSON that is not nested as deeply") from error


async def _call_one(
    session: aiohttp.ClientSession, fleet: Fleet, address: str, path: str, body: object
) -> Reply | Failure:
    method = "GET" if body is None else "POST"
    scheme = "https" if fleet.tls else "http"
    headers = {"Authorization": f"Bearer {fleet.token}"}
    try:
        async with session.request(
            method,
            f"{scheme}://{address}{path}",
            json=body,
            headers=headers,
            ssl=fleet.tls or True,
        ) as response:
            return await _read_reply(response)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        detail = f"{address}: {type(error).__name__}."
        return make_failure(ResultCode.INSTANCE_UNREACHABLE, detail)


async def _call_first(fleet: Fleet, path: str, body: object) -> Reply | Failure:
    outcome: Reply | Failure = make_failure(ResultCode.INSTANCE_UNREACHABLE)
    async with _make_session() as session:
        for address in fleet.addresses:
            outcome = await _call_one(session, fleet, address, path, body)
            if isinstance(outcome, Reply):
                return outcome
    return outcome


async def _call_all(fleet: Fleet, path: str) -> list[Reply | Failure]:
    async with _make_session() as session:
        calls = [
            _call_one(session, fleet, address, path, None)
            for address in fleet.addresses
        ]
        return await asyncio.gather(*calls)


def _convert_failure(reply: Reply | Failure) -> Reply | Failure:
    """Return the failure that an error response describes, else the reply itself."""
    if isinstance(reply, Failure) or reply.status == 200:
        return reply
    try:
        return Failure(
            code=ResultCode(reply.body["result"]),
            message=reply.body["error"]["message"],
            retry_after_ms=reply.body["retry_after_ms"],
        )
    except (KeyError, TypeError, ValueError):
        # Another program may listen at the address.
        detail = f"HTTP status {reply.status} without a result code."
        return make_failure(ResultCode.INSTANCE_UNREACHABLE, detail)


def call_instance(fleet: Fleet, path: str, body: object = None) -> Reply | Failure:
    """Call the first instance that answers.

    After a lost reply an apply may be sent to a second instance. It carries its
    apply id, by which the second instance finds the outcome of the first call.
    """
    return _convert_failure(asyncio.run(_call_first(fleet, path, body)))


def call_every_instance(fleet: Fleet, path: str) -> Sequence[Reply | Failure]:
    """Call every instance; the replies are in the order of the addresses."""
    return [_convert_failure(reply) for reply in asyncio.run(_call_all(fleet, path))]
