"""Client for the streams of engines.

Only the modules of this package know the engines' protocol. A function returns a
"refused" result only if no part of the request can have run: no connection was made,
or the engine replied that it did not start. Every other error is "broken" and leaves
the outcome open.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
import orjson

from fulmarward_core.requests import StreamEvent, parse_events

#: Seconds without any byte after which a stream is reconnected, so that a frozen engine
#: does not hold its callers. Far above any token interval; a stream that is only queued
#: answers the new connection at once.
READ_TIMEOUT_S = 2.0

#: Seconds for an engine to answer a request to attach to a stream again.
ATTACH_S = 1.0

#: Timeout of short calls to an engine, in seconds.
SHORT_CALL_S = 2.0

#: Raised by a call whose response is missing, incomplete or malformed.
CALL_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    ValueError,
    KeyError,
    TypeError,
    msgspec.MsgspecError,
)


@dataclass(frozen=True, kw_only=True)
class StreamRequest:
    """A request to an engine to generate an answer."""

    #: Id of the request and number of the attempt, which together name the stream.
    request: str
    attempt: int
    #: Name of the team, for the engine's logs.
    team: str
    #: Name of the model and of the adapter, if any.
    model: str
    adapter: str | None
    prompt: str
    #: Maximum number of tokens in the answer.
    max_tokens: int
    #: Priority; 0 is the most urgent.
    urgency: int
    #: Reader name of the instance that reads the stream.
    reader: str


@dataclass(frozen=True, kw_only=True)
class StreamRefused:
    """No part of the request was run."""

    #: The engine's error, or the connection error.
    detail: str
    #: Whether no connection could be made.
    is_unreachable: bool


@dataclass(frozen=True, kw_only=True)
class StreamBroken:
    """The call failed after it may have reached the engine."""

    detail: str
    #: Whether the connection was refused: nothing listens at the address.
    is_refused: bool = False


@dataclass(frozen=True, kw_only=True)
class StreamUnknown:
    """The engine has no stream of this name."""


@dataclass(kw_only=True)
class EngineStream:
    """An open connection that carries a stream's events."""

    #: Id of the request and number of the attempt, which together name the stream.
    request: str
    attempt: int
    #: The HTTP response whose body carries the events.
    response: aiohttp.ClientResponse
    #: Number of the next expected event; events are numbered from 1.
    next_number: int
    #: Bytes received of a line that is not complete yet.
    unfinished_line: bytearray = field(default_factory=bytearray)
    #: Number of events dropped so far.
    dropped: int = 0


def _make_timeout(connect_s: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=None, sock_connect=connect_s, sock_read=READ_TIMEOUT_S
    )


async def open_stream(
    session: aiohttp.ClientSession,
    address: str,
    stream_request: StreamRequest,
    connect_s: float,
) -> EngineStream | StreamRefused | StreamBroken:
    """Start a stream on the engine at `address`."""
    url = f"http://{address}/v1/streams"
    try:
        response = await session.post(
            url, json=vars(stream_request), timeout=_make_timeout(connect_s)
        )
        if response.status == 200:
            return EngineStream(
                request=stream_request.request,
                attempt=stream_request.attempt,
                response=response,
                next_number=1,
            )
        detail = (await response.json())["error"]
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return StreamRefused(detail=type(error).__name__, is_unreachable=True)
    except CALL_ERRORS as error:
        return StreamBroken(detail=type(error).__name__)
    if detail == "exists":
        return StreamBroken(detail="the stream exists already")
    return StreamRefused(detail=detail, is_unreachable=False)


async def resume_stream(
    session: aiohttp.ClientSession,
    address: str,
    *,
    request: str,
    attempt: int,
    after: int,
    reader: str,
    connect_s: float,
) -> EngineStream | StreamUnknown | StreamBroken:
    """Attach to a stream again, starting with the event after number `after`."""
    url = f"http://{address}/v1/streams/{request}/{attempt}"
    params = {"after": str(after), "reader": reader}
    try:
        async with asyncio.timeout(ATTACH_S):
            response = await session.get(
                url, params=params, timeout=_make_timeout(connect_s)
            )
        if response.status == 404:
            response.release()
            return StreamUnknown()
    except (aiohttp.ClientError, TimeoutError) as error:
        is_refused = isinstance(error, aiohttp.ClientConnectorError)
        return StreamBroken(detail=type(error).__name__, is_refused=is_refused)
    if response.status != 200:
        response.release()
        return StreamBroken(detail=f"status {response.status}")
    return EngineStream(
        request=request, attempt=attempt, response=response, next_number=after + 1
    )


def _take_lines(stream: EngineStream, data: bytes) -> list[bytes]:
    """Append bytes to a stream and return the lines that they complete."""
    stream.unfinished_line += data
    if b"\n" not in data:
        return []
    *lines, unfinished = bytes(stream.unfinished_line).split(b"\n")
    stream.unfinished_line = bytearray(unfinished)
    return lines


def _parse_line(line: bytes) -> dict[str, Any]:
    """Return the event in a line; raises `ValueError`."""
    event = orjson.loads(line)
    if not isinstance(event, dict):
        raise ValueError(f"expected an object, found {type(event).__name__}")
    for name in ("text", "end"):
        if not isinstance(event.get(name, ""), str):
            raise ValueError(f"{name}: expected a string")
    return event


async def read_events(stream: EngineStream) -> AsyncIterator[list[StreamEvent]]:
    """Yield the stream's events in batches of what has arrived.

    Returns after the end event, or earlier when the connection is lost. The caller
    distinguishes the two by the last event.
    """
    try:
        while True:
            data = await stream.response.content.readany()
            if not data:
                return
            lines = _take_lines(stream, data)
            guard = stream.response.guard
            if len(stream.unfinished_line) > guard.limits.event_bytes:
                raise guard.reject(stream.response, "event_bytes")
            batch = parse_events(
                [_parse_line(line) for line in lines],
                request=stream.request,
                attempt=stream.attempt,
                next_number=stream.next_number,
            )
            stream.dropped += batch.dropped
            stream.next_number += len(batch.events)
            if batch.events:
                yield batch.events
                if batch.events[-1].end:
                    return
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return
    finally:
        stream.response.close()


async def cancel_stream(
    session: aiohttp.ClientSession,
    address: str,
    *,
    request: str,
    attempt: int,
    only_reader: str = "",
    age_s: float = 0.0,
) -> str | StreamBroken:
    """Cancel a stream, or close its name permanently if it never started.

    Returns `cancelled`, `ended` or `closed_before_start`; the last is the only proof
    that the stream did not run and never will.

    With `only_reader` the engine cancels the stream only if no other instance reads
    it, and otherwise returns `read`. This protects an answer whose caller moved to
    another instance: the first instance sees its caller gone and would cancel what
    the second one reads. Only the engine knows both readers.

    `age_s` is the longest time for which the stream can have existed. An engine
    that was restarted since then does not know what it ran before, so its
    `closed_before_start` proves nothing and is returned as `StreamBroken`.
    """
    url = f"http://{address}/v1/streams/{request}/{attempt}"
    params = {"only_reader": only_reader} if only_reader else {}
    timeout = aiohttp.ClientTimeout(total=SHORT_CALL_S)
    try:
        async with session.delete(url, params=params, timeout=timeout) as response:
            body = await response.json()
            if body["state"] == "closed_before_start" and body["up_s"] <= age_s:
                return StreamBroken(detail="the engine was restarted")
            return body["state"]
    except CALL_ERRORS as error:
        return StreamBroken(detail=type(error).__name__)
