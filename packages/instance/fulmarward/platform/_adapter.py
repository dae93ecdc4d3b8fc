"""The only module that implements the platform's protocol.

Every function returns a tagged outcome and never raises for the platform's faults.
`Uncertain` differs from `PlatformUnavailable`: the write may have taken effect, and the
caller has to read the row again before it reports a result.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from fulmarward_core.platform import (
    CallKind,
    CallLimiter,
    Rejected,
    admit_call,
    record_failure,
    record_success,
)

#: Maximum concurrent calls of one instance: its share of calls a second at half a
#: second each. If the platform stays slow, calls would pile up on both sides.
MAX_CONCURRENT_CALLS = 16

_BYPASSES_CIRCUIT: ContextVar[bool] = ContextVar("bypasses_circuit", default=False)


@contextmanager
def bypass_circuit() -> Iterator[None]:
    """Let calls in the context pass an open circuit."""
    token = _BYPASSES_CIRCUIT.set(True)
    try:
        yield
    finally:
        _BYPASSES_CIRCUIT.reset(token)


@dataclass(frozen=True, kw_only=True)
class Platform:
    """Connection parameters and call limits of the platform."""

    #: The HTTP client.
    session: aiohttp.ClientSession
    #: The platform's address, `IP:PORT`.
    address: str
    #: This instance's token for the platform.
    token: str
    #: Timeout of one call in seconds.
    timeout_s: float
    #: Rate limit and circuit breaker for calls.
    limiter: CallLimiter = field(default_factory=CallLimiter)
    #: Returns the number of instances that share the platform.
    count_instances: Callable[[], int] = lambda: 1
    #: The monotonic clock, and the random generator for delays.
    read_clock: Callable[[], float] = time.monotonic
    generator: random.Random = field(default_factory=random.Random)
    #: Limits concurrent calls.
    call_slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    )


@dataclass(frozen=True, kw_only=True)
class Row:
    """One row of a table."""

    #: Key of the row.
    key: str
    #: Version, which rises with each write; 0 when the row is absent.
    version: int
    #: JSON value; `None` when the row is absent.
    value: Any


@dataclass(frozen=True, kw_only=True)
class Condition:
    """The version that a row must have for a transaction to commit."""

    #: Table and key of the row.
    table: str
    key: str
    #: The required version; 0 requires that the row is absent.
    version: int


@dataclass(frozen=True, kw_only=True)
class Write:
    """A row's new value in a transaction."""

    #: Table and key of the row.
    table: str
    key: str
    #: The new value; `None` deletes the row.
    value: Any


@dataclass(frozen=True, kw_only=True)
class Committed:
    """The write was committed."""

    #: The new versions in the order of a transaction's writes; empty for an object.
    versions: tuple[int, ...]


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """A condition did not hold; nothing took effect."""

    #: The current state of the row whose condition failed.
    row: Row


@dataclass(frozen=True, kw_only=True)
class PlatformUnavailable:
    """The platform is unavailable or refused the call; nothing took effect."""

    #: The error that was seen.
    detail: str
    #: Whether the platform was called. Otherwise, the rate limit or the circuit breaker
    #: of this instance rejected the call, which says nothing about the platform.
    is_called: bool = True


@dataclass(frozen=True, kw_only=True)
class Uncertain:
    """The call was sent and its reply was lost; it may have taken effect."""

    #: The error that was seen.
    detail: str


@dataclass(frozen=True, kw_only=True)
class Absent:
    """There is no such object."""


@dataclass(frozen=True, kw_only=True)
class PlatformMember:
    """One entry of the platform's list, which lags behind reality."""

    #: Name of the instance or target.
    name: str
    #: `instance` or `target`.
    kind: str
    #: Whether the platform is removing it.
    is_leaving: bool
    #: Its data centre.
    data_centre: str
    #: Addresses of an instance for peers and for callers; empty for a target.
    peer_address: str
    caller_address: str


@dataclass(frozen=True, kw_only=True)
class _Reply:
    status: int
    body: bytes
    json: Any


async def _call(
    platform: Platform, method: str, path: str, **options: object
) -> _Reply | PlatformUnavailable | Uncertain:
    """Call the platform within this instance's rate limit and the circuit breaker."""
    kind = CallKind.READ if method == "GET" else CallKind.WRITE
    verdict = admit_call(
        platform.limiter,
        kind,
        instances=platform.count_instances(),
        bypasses_circuit=_BYPASSES_CIRCUIT.get(),
        now=platform.read_clock(),
    )
    if isinstance(verdict, Rejected):
        return PlatformUnavailable(detail=verdict.reason, is_called=False)
    await asyncio.sleep(verdict.seconds)
    async with platform.call_slots:
        outcome = await _send(platform, method, path, **options)
    if isinstance(outcome, _Reply):
        record_success(platform.limiter)
    else:
        now = platform.read_clock()
        record_failure(platform.limiter, now=now, generator=platform.generator)
    return outcome


async def _send(
    platform: Platform,
    method: str,
    path: str,
    *,
    expected: tuple[int, ...] = (200,),
    **options: object,
) -> _Reply | PlatformUnavailable | Uncertain:
    """Send one HTTP request to the platform.

    An unexpected status is treated like an outage: a token that was changed on one side
    only gives 401, and the caller continues without the platform.
    """
    headers = {"Authorization": f"Bearer {platform.token}"}
    timeout = aiohttp.ClientTimeout(total=platform.timeout_s)
    url = f"http://{platform.address}{path}"
    try:
        async with platform.session.request(
            method, url, headers=headers, timeout=timeout, **options
        ) as response:
            body = await response.read()
            is_json = response.content_type == "application/json"
            value = await response.json() if is_json else None
    except aiohttp.ClientConnectorError as error:
        return PlatformUnavailable(detail=f"no connection: {error.strerror}")
    except (aiohttp.ClientError, TimeoutError, ValueError) as e:
        return Uncertain(detail=f"reply lost: {type(e).__name__}")
    if response.status == 503:
        return PlatformUnavailable(detail="status 503")
    if response.status >= 500:
        return Uncertain(detail=f"status {response.status}")
    if response.status not in expected:
        return PlatformUnavailable(detail=f"status {response.status}")
    return _Reply(status=response.status, body=body, json=value)


def _to_unavailable(outcome: PlatformUnavailable | Uncertain) -> PlatformUnavailable:
    if isinstance(outcome, PlatformUnavailable):
        return outcome
    return PlatformUnavailable(detail=outcome.detail)


async def read_row(
    platform: Platform, table: str, key: str
) -> Row | PlatformUnavailable:
    """Return a row, with version 0 if it is absent."""
    reply = await _call(platform, "GET", f"/tables/{table}/{key}")
    if not isinstance(reply, _Reply):
        return _to_unavailable(reply)
    return Row(key=key, version=reply.json["version"], value=reply.json["value"])


async def list_rows(
    platform: Platform, table: str, prefix: str = ""
) -> tuple[Row, ...] | PlatformUnavailable:
    """Return the rows of a table whose keys begin with `prefix`, sorted by key."""
    reply = await _call(platform, "GET", f"/tables/{table}", params={"prefix": prefix})
    if not isinstance(reply, _Reply):
        return _to_unavailable(reply)
    return tuple(Row(**row) for row in reply.json["rows"])


async def transact(
    platform: Platform, *, conditions: Sequence[Condition], writes: Sequence[Write]
) -> Committed | Conflict | PlatformUnavailable | Uncertain:
    """Run a transaction: all writes take effect if all conditions hold, else none."""
    body = {
        "conditions": [vars(condition) for condition in conditions],
        "writes": [vars(write) for write in writes],
    }
    reply = await _call(platform, "POST", "/tables", expected=(200, 409), json=body)
    if not isinstance(reply, _Reply):
        return reply
    if reply.status == 409:
        found = reply.json["conflict"]
        row = Row(key=found["key"], version=found["version"], value=found["value"])
        return Conflict(row=row)
    return Committed(versions=tuple(reply.json["versions"]))


async def store_object(
    platform: Platform, key: str, body: bytes
) -> Committed | PlatformUnavailable | Uncertain:
    """Store bytes under `key`; idempotent for equal bytes."""
    reply = await _call(platform, "PUT", f"/objects/{key}", data=body)
    return Committed(versions=()) if isinstance(reply, _Reply) else reply


async def fetch_object(
    platform: Platform, key: str
) -> bytes | Absent | PlatformUnavailable:
    """Return the bytes under `key`."""
    reply = await _call(platform, "GET", f"/objects/{key}", expected=(200, 404))
    if not isinstance(reply, _Reply):
        return _to_unavailable(reply)
    return Absent() if reply.status == 404 else reply.body


async def list_members(
    platform: Platform,
) -> tuple[PlatformMember, ...] | PlatformUnavailable:
    """Return the platform's list of live and leaving instances and targets."""
    reply = await _call(platform, "GET", "/instances")
    if not isinstance(reply, _Reply):
        return _to_unavailable(reply)
    return tuple(
        PlatformMember(
            name=entry["name"],
            kind=entry["kind"],
            is_leaving=entry["state"] == "leaving",
            data_centre=entry.get("data_centre", ""),
            peer_address=entry.get("peer_address", ""),
            caller_address=entry.get("caller_address", ""),
        )
        for entry in reply.json["instances"]
    )
