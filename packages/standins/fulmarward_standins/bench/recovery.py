"""Recovery time: from a loss to the next token of each affected caller.

Callers stream; when cut, they resume at another instance after their last event. Each
row covers one kind of loss in several fleets.
"""

import asyncio
import random
import signal
import time
from dataclasses import dataclass, field

import aiohttp

from fulmarward_standins.harness import (
    Fleet,
    FleetPlan,
    InstancePlan,
    TargetPlan,
    find_ledger_faults,
    make_team_key,
    read_stream,
    start_fleet,
    wait_until,
)

DATA_CENTRES = ("lx-alcantara", "lx-oriente", "lx-carnaxide")

#: Callers per fleet, and tokens per answer.
CALLERS, TOKENS = 36, 200

#: Milliseconds between two tokens of a stream at the engine.
TOKEN_MS = 25

#: Seconds without a token after which a stream counts as stalled.
STALL_S = 4 * TOKEN_MS / 1000

#: Fleets per kind of loss.
FLEETS = 3

#: Maximum number of tries of a caller.
MAX_TRIES = 4


@dataclass(kw_only=True)
class _Caller:
    """A caller and the results of its request."""

    prompt: str
    #: Instances to try, in order.
    instances: list[str]
    #: Ids of the request and of the last event.
    request: str = ""
    last_event_id: str = ""
    #: Arrival times of the tokens, in seconds of the monotonic clock.
    times: list[float] = field(default_factory=list)
    #: `whole`, or the `ran` field of the last error: `not_run`, `failed`, ...
    outcome: str = "unknown"


async def _follow(fleet: Fleet, caller: _Caller) -> None:
    """Stream until the answer is complete, resuming at the next instance when cut."""
    for number in range(MAX_TRIES):
        instance = caller.instances[number % len(caller.instances)]
        try:
            await _stream_once(fleet, caller, instance)
        except aiohttp.ClientError:
            continue
        if caller.outcome == "whole":
            return


async def _stream_once(fleet: Fleet, caller: _Caller, instance: str) -> None:
    headers = {"Authorization": f"Bearer {make_team_key('folha')}"}
    if caller.last_event_id:
        headers["Last-Event-ID"] = caller.last_event_id
    body = {"model": "summary", "prompt": caller.prompt, "stream": True}
    url = fleet.get_url(instance, "/v1/completions")
    async with fleet.session.post(url, json=body, headers=headers) as response:
        if response.status != 200:
            caller.outcome = (await response.json())["ran"]
            return
        caller.request = response.headers["X-Request-Id"]
        async for event in read_stream(response):
            caller.last_event_id = event.id or caller.last_event_id
            if event.text:
                caller.times.append(time.monotonic())
            if event.data == "[DONE]":
                caller.outcome = "whole"


def _find_recovery(caller: _Caller, lost_at: float) -> float | None:
    """Return the seconds from the loss to the token that ended the stall it caused.

    Tokens in flight at the time of the loss are no sign of recovery, so the end of the
    first stall counts. Without a stall, the first token after the loss counts.
    """
    pairs = list(zip(caller.times, caller.times[1:], strict=False))
    after = [(start, end) for start, end in pairs if end > lost_at]
    stall_ends = [end for start, end in after if end - start > STALL_S]
    found = stall_ends or [end for _, end in after]
    return found[0] - lost_at if found else None


def _make_plan() -> FleetPlan:
    return FleetPlan(
        instances=[
            InstancePlan(name=f"i{number}", data_centre=data_centre)
            for number, data_centre in enumerate(DATA_CENTRES, 1)
        ],
        targets=[
            TargetPlan(
                name=f"e{number}",
                data_centre=DATA_CENTRES[number % 3],
                slots=64,
                stand_in={"token_ms": TOKEN_MS},
            )
            for number in range(6)
        ],
    )


#: Processes lost in each kind of loss, and the signal sent to them.
_LOSSES: dict[str, tuple[tuple[str, ...], signal.Signals]] = {
    "target killed": (("e0",), signal.SIGKILL),
    "target frozen": (("e0",), signal.SIGSTOP),
    "instance killed": (("i1",), signal.SIGKILL),
    "data centre killed": (("i1", "e0", "e3"), signal.SIGKILL),
}


async def _run_fleet(kind: str, generator: random.Random) -> tuple[list[_Caller], dict]:
    """Return the affected callers, their recovery times and the ledger faults."""
    async with start_fleet(_make_plan()) as fleet:
        callers = [_make_caller(number, generator) for number in range(CALLERS)]
        tasks = [asyncio.create_task(_follow(fleet, caller)) for caller in callers]

        async def all_streaming() -> bool:
            return all(len(caller.times) > 10 for caller in callers)

        await wait_until(all_streaming, "all callers to be served")
        lost, how = _LOSSES[kind]
        ledgers = await fleet.read_ledgers_by_target()
        lost_requests = {
            item["request"] for name in lost for item in ledgers.get(name, ())
        }
        lost_at = time.monotonic()
        for name in lost:
            fleet.processes[name].send(how)
        await asyncio.gather(*tasks)
        hit = [
            caller
            for caller in callers
            if caller.instances[0] in lost or caller.request in lost_requests
        ]
        if how is signal.SIGSTOP:
            for name in lost:
                fleet.processes[name].send(signal.SIGCONT)
        faults = find_ledger_faults(await fleet.read_ledgers_by_target())
        times = [_find_recovery(caller, lost_at) for caller in hit]
        return hit, {"times": times, "faults": len(faults)}


def _make_caller(number: int, generator: random.Random) -> _Caller:
    others = [name for name in ("i1", "i2", "i3") if name != f"i{number % 3 + 1}"]
    generator.shuffle(others)
    return _Caller(
        prompt=f"sheet {number} {generator.random()} [{TOKENS} tokens]",
        instances=[f"i{number % 3 + 1}", *others],
    )


def _find_percentile(times: list[float], share: float) -> float:
    return times[min(int(len(times) * share), len(times) - 1)]


async def _measure_kind(kind: str, generator: random.Random) -> dict:
    hit: list[_Caller] = []
    times: list[float] = []
    faults = 0
    for _ in range(FLEETS):
        callers, found = await _run_fleet(kind, generator)
        hit += callers
        times += [item for item in found["times"] if item is not None]
        faults += found["faults"]
    times.sort()
    count = max(len(hit), 1)
    shares = {
        f"{outcome} %": round(
            100 * sum(caller.outcome == outcome for caller in hit) / count, 1
        )
        for outcome in ("whole", "not_run", "failed", "unknown")
    }
    recovery = {
        f"{name} ms": round(1000 * _find_percentile(times, share)) if times else None
        for name, share in (("p50", 0.5), ("p95", 0.95), ("worst", 1.0))
    }
    return {
        "loss": kind,
        "hit": len(hit),
        **recovery,
        **shares,
        "ledger faults": faults,
    }


def measure(*, seed: int) -> list[dict]:
    """Return a row for each kind of loss."""
    generator = random.Random(seed)
    return [asyncio.run(_measure_kind(kind, generator)) for kind in _LOSSES]
