"""The one module that knows the engines' protocol.

A function here says "refused" only when nothing of the request can have been run:
no connection was made, or the engine itself answered that it did not begin.
Everything else that goes wrong is "broken" and leaves the outcome open.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import orjson
import xxhash

from fulmarward_core.placement import Held, Wanted
from fulmarward_core.requests import StreamEvent, parse_events
from fulmarward_core.routing import LoadReport

#: Seconds without any byte after which a stream's connection is made anew. Harm: a
#: frozen engine holds its callers; reason: far above any token interval, and a stream
#: that only waits for its turn answers the new connection at once.
SILENCE_S = 2.0

#: Seconds for an engine to answer that a stream can be attached to again.
ATTACH_S = 1.0

#: Headers that a read does without: a fifth of its bytes.
_NEEDLESS_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")

#: Seconds for a short call to an engine.
SHORT_CALL_S = 2.0


#: Words of one block; engines cache prefixes that end on a block.
PREFIX_TOKENS = 16

#: Blocks hashed of one prompt. Load: prompts of 100,000 words; harm: the loop stands
#: still while they are hashed; reason: shared prefixes are shorter than 4,096 words.
MOST_PREFIXES = 256


def hash_prefixes(prompt: str) -> tuple[str, ...]:
    """Return the hashes that engines give a prompt's prefixes, the shortest first."""
    words = prompt.split(None, MOST_PREFIXES * PREFIX_TOKENS)
    hashing = xxhash.xxh64()
    found = []
    whole = min(len(words) // PREFIX_TOKENS, MOST_PREFIXES)
    for block in range(whole):
        start = block * PREFIX_TOKENS
        text = " ".join(words[start : start + PREFIX_TOKENS])
        hashing.update((" " + text if block else text).encode())
        found.append(hashing.hexdigest())
    return tuple(found)


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


@dataclass(frozen=True, kw_only=True)
class EngineReport:
    """An engine's own word about itself."""

    #: Its load, late by an unknown lag.
    load: LoadReport
    #: Whether it says that it is leaving.
    is_leaving: bool
    #: What it says that it holds.
    held: Held
    #: Bytes of the answer, headers included.
    size: int


def parse_held(body: dict) -> Held:
    """Return what an engine holds; raises `KeyError` or `ValueError`."""
    first, end = body["layers"]
    state = Wanted(
        model=body["model"],
        version=body["version"],
        layers=(first, end),
        adapters=tuple(sorted(body["adapters"])),
        role=body["role"],
    )
    return Held(state=state, fencing=body["fencing"], is_loading=bool(body["loading"]))


def measure_answer(answer: aiohttp.ClientResponse, body: bytes) -> int:
    """Return the bytes of an answer, its headers included."""
    headers = sum(len(name) + len(value) + 4 for name, value in answer.raw_headers)
    return len(body) + headers


async def read_load(
    session: aiohttp.ClientSession, address: str, *, now: float
) -> EngineReport | StreamBroken:
    """Return the engine's load report and what else it says of itself."""
    timeout = aiohttp.ClientTimeout(total=SHORT_CALL_S)
    try:
        async with session.get(
            f"http://{address}/v1/load",
            timeout=timeout,
            skip_auto_headers=_NEEDLESS_HEADERS,
        ) as answer:
            text = await answer.read()
        body = orjson.loads(text)
        load = LoadReport(
            running=body["running"], waiting=body["waiting"], received_at=now
        )
        return EngineReport(
            load=load,
            is_leaving=bool(body["leaving"]),
            held=parse_held(body["held"]),
            size=measure_answer(answer, text),
        )
    except (
        aiohttp.ClientError,
        TimeoutError,
        ValueError,
        KeyError,
        TypeError,
    ) as error:
        return StreamBroken(detail=type(error).__name__)


@dataclass(frozen=True, kw_only=True)
class CacheEvents:
    """What an engine published about its prefix cache, late and with gaps."""

    #: Events as (sequence, whether stored, prefix), in the order of their sequence.
    events: tuple[tuple[int, bool, str], ...]
    #: Bytes of the answer, headers included.
    size: int


async def read_cache_events(
    session: aiohttp.ClientSession, address: str, *, after: int
) -> CacheEvents | StreamBroken:
    """Return the cache events after a sequence number."""
    timeout = aiohttp.ClientTimeout(total=SHORT_CALL_S)
    url = f"http://{address}/v1/cache-events"
    try:
        async with session.get(
            url,
            params={"after": str(after)},
            timeout=timeout,
            skip_auto_headers=_NEEDLESS_HEADERS,
        ) as answer:
            text = await answer.read()
        events = tuple(
            (int(item["sequence"]), item["event"] == "stored", str(item["prefix"]))
            for item in orjson.loads(text)["events"]
        )
        return CacheEvents(events=events, size=measure_answer(answer, text))
    except (
        aiohttp.ClientError,
        TimeoutError,
        ValueError,
        KeyError,
        TypeError,
    ) as error:
        return StreamBroken(detail=type(error).__name__)


@dataclass(frozen=True, kw_only=True)
class OrderTaken:
    """The engine holds what was ordered."""

    #: What it says that it holds now.
    held: Held


@dataclass(frozen=True, kw_only=True)
class OrderRefused:
    """The engine did not take the order."""

    #: What it said; `old_fencing` when it has obeyed a later holder.
    detail: str


async def send_order(
    session: aiohttp.ClientSession,
    address: str,
    wanted: Wanted,
    *,
    fencing: int,
    timeout_s: float,
) -> OrderTaken | OrderRefused | StreamBroken:
    """Order an engine to hold `wanted`; it answers when it does."""
    body = {
        "fencing": fencing,
        "wanted": {
            "model": wanted.model,
            "version": wanted.version,
            "layers": list(wanted.layers),
            "adapters": list(wanted.adapters),
            "role": wanted.role,
        },
    }
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.put(
            f"http://{address}/v1/held", json=body, timeout=timeout
        ) as answer:
            found = await answer.json()
        if answer.status == 200:
            return OrderTaken(held=parse_held(found["held"]))
        return OrderRefused(detail=str(found["error"]))
    except (
        aiohttp.ClientError,
        TimeoutError,
        ValueError,
        KeyError,
        TypeError,
    ) as error:
        return StreamBroken(detail=type(error).__name__)


async def read_held(
    session: aiohttp.ClientSession, address: str
) -> Held | StreamBroken:
    """Return what an engine says that it holds."""
    timeout = aiohttp.ClientTimeout(total=SHORT_CALL_S)
    try:
        async with session.get(f"http://{address}/v1/held", timeout=timeout) as answer:
            return parse_held((await answer.json())["held"])
    except (
        aiohttp.ClientError,
        TimeoutError,
        ValueError,
        KeyError,
        TypeError,
    ) as error:
        return StreamBroken(detail=type(error).__name__)
