"""Cost of at-most-once execution: latency, bytes between instances, writes, memory."""

import asyncio
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from statistics import median, quantiles

from fulmarward.peers import (
    Ack,
    RecordAttempt,
    RecordAttemptReply,
    UpdateKeyRecord,
    encode_message,
)
from fulmarward_core.keys import (
    AttemptPlace,
    KeyTable,
    RecordStep,
    RecordVerdict,
    WitnessTable,
    claim_key,
    record_attempt,
)
from fulmarward_standins.harness import Fleet, FleetPlan, TargetPlan, start_fleet

#: Calls per variant, interleaved so that all variants see the same machine load.
CALLS = 150

#: Number of keys for the memory measurement.
ENTRIES = 10_000

#: Bytes of a frame header on a link.
FRAME_BYTES = 5

_KEY = "k" * 190
_HASH = "0" * 32
_PLACE = AttemptPlace(
    attempt=1, target="engine-1234", address="10.20.30.40:8000", has_stream=True
)

#: Makes the call with a number and returns whether it succeeded.
NumberedCall = Callable[[int], Awaitable[bool]]


def _make_plan() -> FleetPlan:
    return FleetPlan(targets=[TargetPlan(name="e1", stand_in={"token_ms": 1})])


async def _make_calls(fleet: Fleet, seed: int) -> dict[str, NumberedCall]:
    prefix = (await fleet.call("i1", "/discovery")).body["idempotency_key_prefix"]

    def make_call(instance: str, pipeline: str, key_prefix: str) -> NumberedCall:
        async def call(number: int) -> bool:
            body = {"model": pipeline, "prompt": f"bench {seed} [1 tokens]"}
            headers = {"Idempotency-Key": f"{key_prefix}{number}"} if key_prefix else {}
            result = await fleet.call(
                instance, "/v1/completions", body, headers=headers
            )
            return result.status == 200

        return call

    return {
        "no key, may repeat": make_call("i1", "lookup", ""),
        "key at its home": make_call("i1", "rewrite", prefix + "home"),
        "key relayed": make_call("i3", "rewrite", prefix + "relayed"),
        "invented key": make_call("i1", "rewrite", "invented"),
    }


async def _read_writes(fleet: Fleet) -> int:
    url = f"http://{fleet.platform_address}/counts"
    async with fleet.session.get(url) as response:
        return (await response.json())["writes"]


async def _measure_calls(seed: int) -> list[dict]:
    async with start_fleet(_make_plan()) as fleet:
        calls = await _make_calls(fleet, seed)
        times: dict[str, list[float]] = {name: [] for name in calls}
        failed = dict.fromkeys(calls, 0)
        writes = dict.fromkeys(calls, 0)
        for number in range(CALLS):
            for name, call in calls.items():
                before = await _read_writes(fleet)
                started = time.perf_counter()
                failed[name] += not await call(number)
                times[name].append((time.perf_counter() - started) * 1000)
                writes[name] += await _read_writes(fleet) - before
    base = median(times["no key, may repeat"])
    return [
        {
            "way": name,
            "calls": CALLS,
            "failed": failed[name],
            "median_ms": round(median(taken), 2),
            "p95_ms": round(quantiles(taken, n=20)[-1], 2),
            "ratio": round(median(taken) / base, 2),
            "writes_a_call": round(writes[name] / CALLS, 2),
        }
        for name, taken in times.items()
    ]


def _measure_bytes() -> dict:
    record = RecordAttempt(
        boot=2**41,
        key=_HASH,
        body_hash=_HASH,
        expires_at=1.5e9,
        request="0" * 20,
        place=_PLACE,
    )
    updates = [
        UpdateKeyRecord(boot=2**41, key=_HASH, step=step, failure=None, answer=None)
        for step in (RecordStep.BEGIN, RecordStep.END)
    ]
    answers = [RecordAttemptReply(verdict=RecordVerdict.ACCEPTED), Ack(), Ack()]
    messages = [record, *updates, *answers]
    size = sum(len(encode_message(message)) + FRAME_BYTES for message in messages)
    return {"way": "bytes between home and witness", "bytes_a_call": size}


def _fill_tables() -> tuple[KeyTable, WitnessTable]:
    home, witness = KeyTable(), WitnessTable()
    for number in range(ENTRIES):
        key, body_hash = f"{_KEY}{number}", f"{number:032x}"
        claim_key(home, key, body_hash=body_hash, expires_at=600.0, now=0.0)
        record_attempt(
            witness,
            body_hash,
            body_hash=body_hash,
            request=f"{number:020x}",
            place=_PLACE,
            expires_at=600.0,
            now=0.0,
            steady_now=0.0,
        )
    return home, witness


def _measure_memory() -> dict:
    tracemalloc.start()
    started = time.perf_counter()
    tables = _fill_tables()
    taken_us = (time.perf_counter() - started) / ENTRIES * 1e6
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    entries = len(tables[0].entries)
    return {
        "way": "memory of a key at home and witness",
        "bytes_a_key": round(size / entries),
        "traced_us_a_key": round(taken_us, 1),
    }


async def _measure(seed: int) -> list[dict]:
    return [*await _measure_calls(seed), _measure_bytes(), _measure_memory()]


def measure(*, seed: int) -> list[dict]:
    """Return a row for each variant of calls, and the rows of bytes and memory."""
    return asyncio.run(_measure(seed))
