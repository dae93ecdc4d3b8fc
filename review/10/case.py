"""A worker leaves without notice and serves on, and two workers fall silent for a second.

Exit status: 1 if BUDGET was broken, 0 if it held, 2 if the case could not run.
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

INSTANCES, STREAMS_EACH, POOL, PIECES = 3, 24, 21, 90
#: "A sound worker may fall silent for a second or so and go on."
SILENCE_S = 1.3
ROUTE_ATTEMPTS, MOST_REQUESTS = 2, 3


async def read_stream(instance, record, results):
    """Send one stream and read it to its end."""
    attempt = stand2.make_attempt()
    record.note(f"client sends {attempt} to {instance.name}")
    connection = await stand2.Connection.open(instance.front)
    pieces = 0
    try:
        status, headers = await connection.send(
            "POST", "/lohu930/2f", attempt, deadline_ms=20000,
            headers=["X-Model: daka510000", "X-Token-Usage: 400,60"], body=b"p" * 400,
        )
        async for part in connection.read_parts(headers):
            pieces += part.count(b"id: ")
        result = f"{status}, {pieces} pieces"
    except stand2.Cut:
        result = f"cut after {pieces} pieces"
    connection.close()
    results[attempt] = result
    record.note(f"client has {attempt}: {result}")


async def play(record):
    """Play the case; return the lines of the verdict and the exit status."""
    fleet = stand2.Fleet(record)
    results = {}
    try:
        route = stand2.make_route(
            "r-first", "/lohu930/", "streaming", stand2.POOL, maxAttempts=ROUTE_ATTEMPTS,
            sessionAffinity=True, resumable=True, gapAimMs=200,
        )
        await fleet.start(
            instances=INSTANCES, configuration=stand2.make_configuration(1, [route]),
            pool=POOL, app=1, streams=lambda path: True,
        )
        for worker in fleet.workers:
            worker.events = PIECES
        await asyncio.sleep(stand2.BOUNDS["stableMs"] / 1000 + 3)
        tasks = [
            asyncio.create_task(read_stream(instance, record, results))
            for instance in fleet.instances
            for _ in range(STREAMS_EACH)
        ]
        await asyncio.sleep(0.7)
        first = max(fleet.workers, key=lambda worker: worker.running)
        if stand2.has_trouble():
            record.note(f"{first.id}, with {first.running} streams, is silent for a second")
            first.silent_until = time.monotonic() + SILENCE_S
            await asyncio.sleep(0.35)
            fleet.unlist(first)
            await asyncio.sleep(0.5)
            moved = {run["attempt"] for run in first.runs}
            others = [worker for worker in fleet.workers if worker is not first]
            second = max(
                others, key=lambda w: sum(r["attempt"] in moved for r in w.runs)
            )
            record.note(f"{second.id}, to which they moved, is silent for a second")
            second.silent_until = time.monotonic() + SILENCE_S
        await asyncio.gather(*tasks)
        # The worker that leaves has served on until now: it has not ended meanwhile.
        runs = {}
        for worker in fleet.workers:
            for run in worker.runs:
                runs.setdefault(run["attempt"], set()).add(worker.id)
    finally:
        await fleet.stop()
    counts = Counter(len(workers) for workers in runs.values())
    above = sum(count for number, count in counts.items() if number > ROUTE_ATTEMPTS)
    verdict = [
        f"streams by how they ended: {dict(Counter(results.values()))}",
        f"streams by the number of workers that ran them: {dict(sorted(counts.items()))}",
        f"streams that ran on more than {ROUTE_ATTEMPTS} workers, none of which ended or"
        f" was cut off: {above}",
    ]
    is_broken = above > MOST_REQUESTS
    verdict.append("BUDGET is broken" if is_broken else "BUDGET holds")
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
