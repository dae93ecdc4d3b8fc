"""What engines say of themselves: load, what they hold, their prefix caches."""

from dataclasses import dataclass

import aiohttp
import orjson

from fulmarward.targets._engine import BAD_ANSWERS, SHORT_CALL_S, StreamBroken
from fulmarward_core.placement import Held, Wanted
from fulmarward_core.routing import LoadReport

#: Headers that a read does without: a fifth of its bytes.
_NEEDLESS_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


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
    except BAD_ANSWERS as error:
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
    except BAD_ANSWERS as error:
        return StreamBroken(detail=type(error).__name__)
