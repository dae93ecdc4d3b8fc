"""Calls to the operators' side of the instances."""

import asyncio
import ssl
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from fulmarward_core.results import Failure, ResultCode, make_failure

#: Seconds for one call.
CALL_S = 15.0


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """Where instances are and how to be let in."""

    #: Operator addresses `IP:PORT`, tried in order.
    addresses: tuple[str, ...]
    #: The operator's token.
    token: str
    #: How to check the instances' certificates; `None` for plain HTTP.
    tls: ssl.SSLContext | None = None


@dataclass(frozen=True, kw_only=True)
class Reply:
    """What an instance answered."""

    #: HTTP status.
    status: int
    #: The JSON body.
    body: Any


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
            return Reply(status=response.status, body=await response.json())
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        detail = f"{address}: {type(error).__name__}."
        return make_failure(ResultCode.INSTANCE_UNREACHABLE, detail)


async def _call_first(fleet: Fleet, path: str, body: object) -> Reply | Failure:
    timeout = aiohttp.ClientTimeout(total=CALL_S)
    outcome: Reply | Failure = make_failure(ResultCode.INSTANCE_UNREACHABLE)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for address in fleet.addresses:
            outcome = await _call_one(session, fleet, address, path, body)
            if isinstance(outcome, Reply):
                return outcome
    return outcome


async def _call_all(fleet: Fleet, path: str) -> list[Reply | Failure]:
    timeout = aiohttp.ClientTimeout(total=CALL_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        calls = [
            _call_one(session, fleet, address, path, None)
            for address in fleet.addresses
        ]
        return await asyncio.gather(*calls)


def _read_failure(reply: Reply | Failure) -> Reply | Failure:
    """Return the failure that an instance told, else the reply itself."""
    if isinstance(reply, Failure) or reply.status == 200:
        return reply
    code = ResultCode(reply.body["result"])
    return Failure(
        code=code,
        message=reply.body["error"]["message"],
        retry_after_ms=reply.body["retry_after_ms"],
    )


def call_instance(fleet: Fleet, path: str, body: object = None) -> Reply | Failure:
    """Call the first instance that answers.

    An apply may be sent to a second instance after a lost reply: it carries its
    apply id, so the second finds out what became of the first.
    """
    return _read_failure(asyncio.run(_call_first(fleet, path, body)))


def call_every_instance(fleet: Fleet, path: str) -> Sequence[Reply | Failure]:
    """Call every instance; the answers come in the order of the addresses."""
    return [_read_failure(reply) for reply in asyncio.run(_call_all(fleet, path))]
