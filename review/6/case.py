"""A version of the configuration moves a route to the service of the model workers.

Exit status: 1 if LOST was broken, 0 if it held, 2 if the case could not run.
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

INSTANCES, CLIENTS_EACH = 3, 4
CALM_S, AFTER_S, PAUSE_S = 6.0, 5.0, 0.4
#: LOST: "closes that connection without an answer, more than three times".
MOST_LOST = 3


def make_routes(service):
    """Return the routes; `service` is that of the application's route."""
    stream = {"sessionAffinity": True, "resumable": True, "gapAimMs": 200}
    return [
        stand2.make_route("r-stream", "/lohu930/", "streaming", stand2.POOL, **stream),
        stand2.make_route(
            "r-receipt", "/puxa403/", "non_idempotent", service, timeoutMs=1000, sloMs=100
        ),
    ]


class Client:
    """Sends receipt checks on one kept connection, and opens another if it ends."""

    def __init__(self, instance, record):
        self.instance, self.record = instance, record
        self.statuses = Counter()
        #: Attempts whose kept connection ended without a complete answer.
        self.cut = []

    async def run(self, until):
        connection = None
        while time.monotonic() < until:
            connection = connection or await stand2.Connection.open(self.instance.front)
            attempt, was_kept = stand2.make_attempt(), connection.answered > 0
            self.record.note(f"client sends {attempt} to {self.instance.name}")
            try:
                status, headers = await connection.send(
                    "POST", "/puxa403/2f", attempt, deadline_ms=1000, body=b"r" * 600
                )
                size = sum([len(part) async for part in connection.read_parts(headers)])
                result = f"{status}, {size} bytes"
                self.statuses[status] += 1
                is_over = headers.get("connection", "").lower() == "close"
            except stand2.Cut as error:
                result, is_over = f"cut {error}", True
                self.statuses["cut"] += 1
                self.cut.append((attempt, was_kept))
            self.record.note(f"client of {self.instance.name} has {attempt}: {result}")
            if is_over:
                connection.close()
                connection = None
            await asyncio.sleep(PAUSE_S)
        if connection is not None:
            connection.close()


async def stream_on(instance, record, until, results):
    """Send streams to the pool, one after another; note how each ended and when."""
    while time.monotonic() < until:
        attempt, sent_at = stand2.make_attempt(), time.monotonic()
        connection = await stand2.Connection.open(instance.front)
        try:
            status, headers = await connection.send(
                "POST", "/lohu930/2f", attempt, deadline_ms=20000,
                headers=["X-Model: daka510000", "X-Token-Usage: 800,60"], body=b"p" * 800,
            )
            async for _ in connection.read_parts(headers):
                pass
            result = str(status)
        except stand2.Cut:
            result = "cut"
        connection.close()
        results.append((sent_at, result))
        record.note(f"stream {attempt} at {instance.name} ends: {result}")
        await asyncio.sleep(PAUSE_S)


async def play(record):
    """Play the case; return the lines of the verdict and the exit status."""
    fleet = stand2.Fleet(record)
    try:
        before = stand2.make_configuration(1, make_routes(stand2.APP))
        await fleet.start(
            instances=INSTANCES, configuration=before, pool=10, app=3,
            streams=lambda path: path.startswith("/lohu930/"),
        )
        # All machines are in touch: `stableMs` after their start.
        await asyncio.sleep(stand2.BOUNDS["stableMs"] / 1000 + 0.5)
        clients = [
            Client(instance, record)
            for instance in fleet.instances
            for _ in range(CLIENTS_EACH)
        ]
        until = time.monotonic() + CALM_S + AFTER_S
        tasks = [asyncio.create_task(client.run(until)) for client in clients]
        streams = []
        for instance in fleet.instances:
            going = stream_on(instance, record, until, streams)
            tasks.append(asyncio.create_task(going))
        await asyncio.sleep(CALM_S)
        changed_at = time.monotonic()
        if stand2.has_trouble():
            after = stand2.make_configuration(7, make_routes(stand2.POOL))
            fleet.store.put("op", "config", after)
            record.note("operator: version 7 is acknowledged; r-receipt is moved")
        await asyncio.gather(*tasks)
    finally:
        await fleet.stop()
    answered = {
        run["attempt"] for w in fleet.workers for run in w.runs if run["is_answered"]
    }
    lost = Counter()
    for client in clients:
        lost[client.instance.name] += sum(
            was_kept and attempt in answered for attempt, was_kept in client.cut
        )
    statuses = sum((client.statuses for client in clients), Counter())
    early = Counter(result for at, result in streams if at < changed_at)
    late = Counter(result for at, result in streams if at >= changed_at)
    verdict = [
        f"streams of the pool (not judged): before {dict(early)}, after {dict(late)}",
        f"answers by status: {dict(statuses)}",
        "requests of kept connections that a sound worker ran and answered as a whole,"
        f" and whose connection was closed without an answer: {dict(lost)}",
    ]
    is_broken = any(count > MOST_LOST for count in lost.values())
    verdict.append("LOST is broken" if is_broken else "LOST holds")
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
