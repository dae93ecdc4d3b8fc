"""Client for the placement of engines: sets and reads what an engine holds."""

from dataclasses import dataclass

import aiohttp

from fulmarward.targets._engine import CALL_ERRORS, SHORT_CALL_S, StreamBroken
from fulmarward.targets._reports import parse_held
from fulmarward_core.placement import DesiredState, ReportedState


@dataclass(frozen=True, kw_only=True)
class OrderAccepted:
    """The engine holds what was ordered."""

    #: What it reports to hold now.
    held: ReportedState


@dataclass(frozen=True, kw_only=True)
class OrderRefused:
    """The engine rejected the order."""

    #: Its error; `old_fencing` if it has accepted an order with a newer fencing number.
    detail: str


async def send_order(
    session: aiohttp.ClientSession,
    address: str,
    wanted: DesiredState,
    *,
    fencing: int,
    timeout_s: float,
) -> OrderAccepted | OrderRefused | StreamBroken:
    """Order an engine to hold `wanted`; the engine replies once it does."""
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
            return OrderAccepted(held=parse_held(found["held"]))
        return OrderRefused(detail=str(found["error"]))
    except CALL_ERRORS as error:
        return StreamBroken(detail=type(error).__name__)


async def read_held(
    session: aiohttp.ClientSession, address: str
) -> ReportedState | StreamBroken:
    """Return what an engine reports to hold."""
    timeout = aiohttp.ClientTimeout(total=SHORT_CALL_S)
    try:
        async with session.get(f"http://{address}/v1/held", timeout=timeout) as answer:
            return parse_held((await answer.json())["held"])
    except CALL_ERRORS as error:
        return StreamBroken(detail=type(error).__name__)
