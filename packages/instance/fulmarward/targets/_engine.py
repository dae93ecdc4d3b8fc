"""Streams of engines; with its neighbours here the only code that knows their protocol.

A function here says "refused" only when nothing of the request can have been run:
no connection was made, or the engine itself answered that it did not begin.
Everything else that goes wrong is "broken" and leaves the outcome open.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import orjson

from fulmarward_core.requests import StreamEvent, parse_events

#: Seconds without any byte after which a stream's connection is made anew. Harm: a
#: frozen engine holds its callers; reason: far above any token interval, and a stream
#: that only waits for its turn answers the new connection at once.
SILENCE_S = 2.0

#: Seconds for an engine to answer that a stream can be attached to again.
ATTACH_S = 1.0

#: Seconds for a short call to an engine.
SHORT_CALL_S = 2.0

#: What a call raises when no whole and well-formed answer came.
BAD_ANSWERS = (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError)


@dataclass(frozen=True, kw_only=True)
class StreamOrder:
    """What an engine is asked to generate."""

    #: Id of the request and number of the attempt: the stream's name.
    request: str
    attempt: int
    #: Name of the team, for the engine's records.
    team: str
    #: Name of the model and of the adapter, if any.
    model: str
    adapter: str | None
    #: The prompt's text.
    prompt: str
    #: Most tokens of the answer.
    max_tokens: int
    #: 0 is the most urgent.
    urgency: int
    #: Name of the instance that reads the stream.
    reader: str


@dataclass(frozen=True, kw_only=True)
class StreamRefused:
    """Nothing of the request was run."""

    #: What the engine said, or why there was no connection.
    detail: str
    #: Whether no connection could be made.
    is_unreachable: bool


@dataclass(frozen=True, kw_only=True)
class StreamBroken:
    """The connection was lost after the order may have arrived."""

    #: What was seen.
    detail: str
    #: Whether nothing listens at the address now.
    is_refused: bool = False


@dataclass(frozen=True, kw_only=True)
class StreamUnknown:
    """The engine knows no stream of this name."""


@dataclass(kw_only=True)
class EngineStream:
    """An open connection that carries a stream's events."""

    #: The stream's name.
    request: str
    attempt: int
    #: The HTTP answer whose body holds the events.
    response: aiohttp.ClientResponse
    #: Number of the event that has to come next; events count from 1.
    next_number: int
    #: Bytes of an unfinished line.
    rest: bytes = b""
    #: Events dropped so far, by reason.
    dropped: int = 0


def _make_timeout(connect_s: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=None, sock_connect=connect_s, sock_read=SILENCE_S
    )


async def open_stream(
    session: aiohttp.ClientSession, address: str, order: StreamOrder, connect_s: float
) -> EngineStream | StreamRefused | StreamBroken:
    """Start a stream on the engine at `address`."""
    url = f"http://{address}/v1/streams"
    try:
        response = await session.post(
            url, json=vars(order), timeout=_make_timeout(connect_s)
        )
        if response.status == 200:
            return EngineStream(
                request=order.request,
                attempt=order.attempt,
                response=response,
                next_number=1,
            )
        detail = (await response.json())["error"]
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return StreamRefused(detail=type(error).__name__, is_unreachable=True)
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError) as error:
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
    """Attach to a stream again, from the event after number `after`."""
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


async def read_events(stream: EngineStream) -> AsyncIterator[list[StreamEvent]]:
    """Yield the stream's events in batches, each as large as what has arrived.

    Returns after the end event, or early when the connection is lost; the caller
    tells the two apart by the last event it got.
    """
    try:
        while True:
            data = await stream.response.content.readany()
            if not data:
                return
            lines = (stream.rest + data).split(b"\n")
            stream.rest = lines.pop()
            batch = parse_events(
                [orjson.loads(line) for line in lines],
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
    """End a stream, or close its name for ever if it never began.

    Returns `cancelled`, `ended` or `closed_before_start`; the last is the only proof
    that a stream was not and never will be run.

    With `only_reader` the engine ends it only if nobody but that instance reads it,
    and else returns `read`. Guards against the end of an answer whose caller went to
    another instance: the first one sees a caller gone and would cancel what the
    second one reads. The engine alone sees both.

    `age_s` is how long ago the stream may first have been ordered. Guards against an
    engine that was restarted since: it knows nothing of what its predecessor ran, so
    its "closed before start" proves nothing and comes back as `StreamBroken`.
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
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError) as error:
        return StreamBroken(detail=type(error).__name__)
