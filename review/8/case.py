"""A version adds a second service of model workers with a route, and its workers start.

Exit status: 1 if CONFIG was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import sys
import time
import traceback
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand2"))

import stand2  # noqa: E402

INSTANCES = 3
CALM_S, SETTLE_S, COUNTED_S, PAUSE_S = 2.0, 30.0, 15.0, 0.4
#: CONFIG: "get 20 or more requests on routes that were added later, and serve them less
#: than a quarter as often as those on the first routes".
LEAST_REQUESTS, LEAST_SHARE = 20, 0.25

STREAM = {"sessionAffinity": True, "resumable": True, "gapAimMs": 200}
FIRST, LATER = "/lohu930/", "/novo118/"


async def send_streams(instance, prefix, record, until, results):
    """Send streams on a route, one after another; note when and how each ended."""
    while time.monotonic() < until:
        attempt, sent_at = stand2.make_attempt(), time.monotonic()
        record.note(f"client sends {attempt} to {instance.name}, {prefix}")
        connection = await stand2.Connection.open(instance.front)
        try:
            status, headers = await connection.send(
                "POST", prefix + "2f", attempt, deadline_ms=20000,
                headers=["X-Token-Usage: 800,60"], body=b"p" * 800,
            )
            body = b"".join([part async for part in connection.read_parts(headers)])
            result = str(status)
            if status != 200:
                result += f" {body.decode()}"
        except stand2.Cut:
            result = "cut"
        connection.close()
        results.append((sent_at, prefix, result))
        record.note(f"client has {attempt}: {result}")
        await asyncio.sleep(PAUSE_S)


async def play(record):
    """Play the case; return the lines of the verdict and the exit status."""
    fleet = stand2.Fleet(record)
    try:
        first = stand2.make_route("r-first", FIRST, "streaming", stand2.POOL, **STREAM)
        later = stand2.make_route("r-later", LATER, "streaming", stand2.SECOND, **STREAM)
        await fleet.start(
            instances=INSTANCES, configuration=stand2.make_configuration(1, [first]),
            pool=10, app=1, streams=lambda path: True,
        )
        await asyncio.sleep(stand2.BOUNDS["stableMs"] / 1000 + CALM_S)
        prefixes = [FIRST]
        if stand2.has_trouble():
            await fleet.add_workers(stand2.SECOND, "a100s", 10, lambda path: True)
            version = stand2.make_configuration(7, [first, later], has_second=True)
            fleet.store.put("op", "config", version)
            record.note("operator: version 7 is acknowledged; 10 workers have started")
            prefixes.append(LATER)
        await asyncio.sleep(SETTLE_S)
        results, until = [], time.monotonic() + COUNTED_S
        await asyncio.gather(
            *(
                send_streams(instance, prefix, record, until, results)
                for instance in fleet.instances
                for prefix in prefixes
            )
        )
        held = sum(
            worker.service == stand2.SECOND and worker.layers is not None
            for worker in fleet.workers
        )
    finally:
        await fleet.stop()
    counts = {
        prefix: Counter(result for _, of, result in results if of == prefix)
        for prefix in prefixes
    }
    shares = {p: c["200"] / max(1, c.total()) for p, c in counts.items()}
    verdict = [f"{prefix}: {dict(counts[prefix])}" for prefix in prefixes]
    verdict.append(f"workers of the second service that hold layers: {held} of 10")
    asked = counts[LATER].total() if LATER in counts else 0
    is_broken = (
        asked >= LEAST_REQUESTS and shares[LATER] < LEAST_SHARE * shares[FIRST]
    )
    verdict.append("CONFIG is broken" if is_broken else "CONFIG holds")
    return verdict, int(is_broken)


def main():
    """Run the case and write its record."""
    record = stand2.Record(FOLDER)
    try:
        verdict, status = asyncio.run(play(record))
    except Exception:
        verdict, status = ["the case could not run", traceback.format_exc()], 2
    record.write(verdict)
    print("\n".join(verdict))
    return status


if __name__ == "__main__":
    sys.exit(main())
