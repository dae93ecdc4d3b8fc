"""Client for the reports of engines: load, what they hold, prefix-cache events."""

from dataclasses import dataclass

import aiohttp
import msgspec

from fulmarward.targets._engine import CALL_ERRORS, SHORT_CALL_S, StreamBroken
from fulmarward_core.placement import DesiredState, ReportedState
from fulmarward_core.routing import LoadReport

#: Default headers that are left out, which saves a fifth of the bytes of a read.
_OMITTED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


@dataclass(frozen=True, kw_only=True)
class EngineReport:
    """An engine's report of its own state."""

    #: Its load, delayed by an unknown lag.
    load: LoadReport
    #: Whether it reports that it is leaving.
    is_leaving: bool
    #: What it reports to hold.
    held: ReportedState
    #: Bytes of the response, including headers.
    size: int


class _HeldDocument(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine reports to hold."""

    model: str
    version: str
    layers: tuple[int, int]
    adapters: tuple[str, ...]
    role: str
    fencing: int
    loading: bool


class _LoadDocument(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's load report."""

    running: int
    waiting: int
    leaving: bool
    held: _HeldDocument


class _EventDocument(msgspec.Struct, frozen=True, kw_only=True):
    """An event of an engine's prefix cache."""

    sequence: int
    event: str
    prefix: str


class _EventsDocument(msgspec.Struct, frozen=True, kw_only=True):
    events: tuple[_EventDocument, ...]


def parse_held(body: object) -> ReportedState:
    """Parse what an engine holds; raises `msgspec.ValidationError`."""
    return _make_state(msgspec.convert(body, _HeldDocument))


def _make_state(held: _HeldDocument) -> ReportedState:
    state = DesiredState(
        model=held.model,
        version=held.version,
        layers=held.layers,
        adapters=tuple(sorted(held.adapters)),
        role=held.role,
    )
    return ReportedState(state=state, fencing=held.fencing, is_loading=held.loading)


def measure_answer(answer: aiohttp.ClientResponse, body: bytes) -> int:
    """Return the bytes of a response, including its headers."""
    headers = sum(len(name) + len(value) + 4 for name, value in answer.raw_headers)
    return len(body) + headers


async def read_load(
    session: aiohttp.ClientSession, address: str, *, now: float
) -> EngineReport | StreamBroken:
    """Read the engine's load report, which includes what it holds."""
    timeout = aiohttp.ClientTimeout(total=SHORT_CALL_S)
    try:
        async with session.get(
            f"http://{address}/v1/load",
            timeout=timeout,
            skip_auto_headers=_OMITTED_HEADERS,
        ) as answer:
            text = await answer.read()
        report = msgspec.json.decode(text, type=_LoadDocument)
        return EngineReport(
            load=LoadReport(
                running=report.running, waiting=report.waiting, received_at=now
            ),
            is_leaving=report.leaving,
            held=_make_state(report.held),
            size=measure_answer(answer, text),
        )
    except CALL_ERRORS as error:
        return StreamBroken(detail=type(error).__name__)


@dataclass(frozen=True, kw_only=True)
class CacheEvents:
    """Events of an engine's prefix cache, which arrive late and with gaps."""

    #: Events as (sequence, whether stored, prefix), ordered by sequence.
    events: tuple[tuple[int, bool, str], ...]
    #: Bytes of the response, including headers.
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
            skip_auto_headers=_OMITTED_HEADERS,
        ) as answer:
            text = await answer.read()
        events = tuple(
            (item.sequence, item.event == "stored", item.prefix)
            for item in msgspec.json.decode(text, type=_EventsDocument).events
        )
        return CacheEvents(events=events, size=measure_answer(answer, text))
    except CALL_ERRORS as error:
        return StreamBroken(detail=type(error).__name__)
