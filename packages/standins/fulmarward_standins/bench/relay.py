"""Cost of relaying tokens through one instance, relative to a direct connection."""

import asyncio
import time
from dataclasses import dataclass

import aiohttp

from fulmarward_standins.harness import (
    Fleet,
    FleetPlan,
    InstancePlan,
    TargetPlan,
    make_team_key,
    read_usage,
    start_fleet,
)

#: Concurrent streams, one row each.
STREAMS = (1, 100, 500)

#: Tokens per stream.
TOKENS = 100

#: Milliseconds between two tokens of a stream at the engine.
TOKEN_MS = 20

#: Engines that share the load, so that no engine is the bottleneck.
ENGINES = 4


@dataclass(frozen=True, kw_only=True)
class _StreamTimes:
    """Seconds from a request to its first token and to its end."""

    first_s: float
    whole_s: float


def _make_plan() -> FleetPlan:
    switches = {"token_ms": TOKEN_MS, "slots": 1000, "waiting": 1000}
    return FleetPlan(
        instances=[InstancePlan(name="i1", data_centre="lx-alcantara")],
        targets=[
            TargetPlan(name=f"e{number}", slots=1000, stand_in=switches)
            for number in range(ENGINES)
        ],
    )


async def _read_all(response: aiohttp.ClientResponse, started: float) -> _StreamTimes:
    first_s = 0.0
    async for chunk in response.content.iter_any():
        is_token = b'"content":"' in chunk.replace(b'"content":""', b"")
        if not first_s and (is_token or b'"n": 1' in chunk):
            first_s = time.perf_counter() - started
    return _StreamTimes(first_s=first_s, whole_s=time.perf_counter() - started)


async def _stream_relayed(fleet: Fleet, number: int) -> _StreamTimes:
    body = {
        "model": "summary",
        "messages": [{"role": "user", "content": f"{number} [{TOKENS} tokens]"}],
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {make_team_key('folha')}"}
    url = fleet.get_url("i1", "/v1/chat/completions")
    started = time.perf_counter()
    async with fleet.session.post(url, json=body, headers=headers) as response:
        response.raise_for_status()
        return await _read_all(response, started)


async def _stream_direct(fleet: Fleet, number: int) -> _StreamTimes:
    target = fleet.plan.targets[number % ENGINES]
    order = {
        "request": f"direct-{number}-{time.monotonic_ns()}",
        "attempt": 1,
        "team": "folha",
        "model": "sardine",
        "prompt": f"{number} [{TOKENS} tokens]",
        "max_tokens": TOKENS,
    }
    started = time.perf_counter()
    url = f"http://{target.address}/v1/streams"
    async with fleet.session.post(url, json=order) as response:
        response.raise_for_status()
        return await _read_all(response, started)


def _find_percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


async def _run_streams(open_stream, fleet: Fleet, count: int) -> tuple[list, float]:  # noqa: ANN001
    started = time.perf_counter()
    streams = [open_stream(fleet, number) for number in range(count)]
    measured = await asyncio.gather(*streams)
    return measured, time.perf_counter() - started


async def _measure_row(fleet: Fleet, count: int) -> dict:
    direct, direct_s = await _run_streams(_stream_direct, fleet, count)
    pid = fleet.processes["i1"].child.pid
    before = read_usage(pid)
    running = asyncio.create_task(_run_streams(_stream_relayed, fleet, count))
    await asyncio.sleep(TOKENS * TOKEN_MS / 2000)
    halfway = read_usage(pid)
    relayed, relayed_s = await running
    after = read_usage(pid)
    tokens = count * TOKENS
    cpu_us = (after.cpu_s - before.cpu_s) / tokens * 1e6
    firsts = [item.first_s for item in relayed]
    direct_firsts = [item.first_s for item in direct]
    return {
        "streams": count,
        "tokens/s": round(tokens / relayed_s),
        "tokens/s ratio": round(direct_s / relayed_s, 3),
        "first p50 ms": round(_find_percentile(firsts, 0.5) * 1000, 1),
        "first p50 ratio": round(
            _find_percentile(firsts, 0.5) / _find_percentile(direct_firsts, 0.5), 2
        ),
        "first p99 ratio": round(
            _find_percentile(firsts, 0.99) / _find_percentile(direct_firsts, 0.99), 2
        ),
        "cpu us/token": round(cpu_us, 1),
        "tokens/s a core": round(1e6 / cpu_us) if cpu_us else 0,
        "KB/open stream": round(
            (halfway.resident_bytes - before.resident_bytes) / count / 1024, 1
        ),
    }


async def _measure() -> list[dict]:
    async with start_fleet(_make_plan()) as fleet:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            fleet.session = session
            await _run_streams(_stream_relayed, fleet, 20)
            return [await _measure_row(fleet, count) for count in STREAMS]


def measure(*, seed: int) -> list[dict]:
    """Return a row for each number of streams; the load is deterministic."""
    return asyncio.run(_measure())
