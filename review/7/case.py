"""An instance is killed while streams of a split route are open, and clients resume them.

Exit status: 1 if ORDER was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import random
import signal
import sys
import time
import traceback
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand2"))

import stand2  # noqa: E402

INSTANCES, STREAMS = 3, 90
#: Seconds over which the streams are sent, and after which the instance is killed.
SEND_S, KILL_AFTER_S = 0.4, 0.9
DEADLINE_S = 20.0
#: Clients leave a stream after such a gap (the longest of 2 s, 4 objectives, 8 pauses).
GAP_S = 2.0

#: The streaming route of the users' example of a configuration, with its split.
SPLIT = [
    {"service": stand2.POOL, "weight": 90},
    {"service": stand2.APP, "weight": 10},
]


class Stream:
    """One client's stream, over all of its attempts."""

    def __init__(self, number, record):
        self.number, self.record = number, record
        #: The ids of the pieces that arrived, in order, and what is wrong with them.
        self.pieces, self.faults = [], []
        self.is_complete = False

    async def run(self, fronts):
        """Send the request, and resume it once after a broken connection."""
        deadline = time.monotonic() + DEADLINE_S
        for front in fronts:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._attempt(front)
                self.is_complete = True
                return
            except (stand2.Cut, OSError, TimeoutError) as error:
                self.record.note(
                    f"stream {self.number} breaks after piece "
                    f"{self.pieces[-1] if self.pieces else 0}: {error or 'gap'}"
                )

    async def _attempt(self, front):
        after = self.pieces[-1] if self.pieces else 0
        attempt = stand2.make_attempt()
        self.record.note(f"stream {self.number}: {attempt} to {front}, after {after}")
        headers = ["X-Model: daka510000", "X-Token-Usage: 800,60"]
        if after:
            headers.append(f"Last-Event-Id: {after}")
        connection = await stand2.Connection.open(front)
        try:
            async with asyncio.timeout(GAP_S):
                status, fields = await connection.send(
                    "POST", "/lohu930/2f", attempt,
                    deadline_ms=int(DEADLINE_S * 1000), headers=headers, body=b"p" * 800,
                )
            if status != 200:
                raise stand2.Cut(f"status {status}")
            parts = connection.read_parts(fields)
            rest, expected = b"", after + 1
            while True:
                try:
                    async with asyncio.timeout(GAP_S):
                        rest += await anext(parts)
                except StopAsyncIteration:
                    break
                *events, rest = rest.split(b"\n\n")
                for event in events:
                    piece = int(event.partition(b"id: ")[2].split()[0])
                    if piece != expected:
                        fault = f"piece {piece} in place of {expected}, attempt {attempt}"
                        self.faults.append(fault)
                        self.record.note(f"stream {self.number} gets {fault}")
                    self.pieces.append(piece)
                    expected = piece + 1
        finally:
            connection.close()


async def play(record):
    """Play the case; return the lines of the verdict and the exit status."""
    fleet = stand2.Fleet(record)
    try:
        route = stand2.make_route(
            "r-2yhvz3p", "/lohu930/", "streaming", SPLIT,
            sessionAffinity=True, resumable=True, gapAimMs=200,
        )
        await fleet.start(
            instances=INSTANCES, configuration=stand2.make_configuration(7, [route]),
            pool=10, app=3, streams=lambda path: True,
        )
        await asyncio.sleep(stand2.BOUNDS["stableMs"] / 1000 + 0.5)
        killed, *others = fleet.instances
        streams, tasks = [], []
        for number in range(STREAMS):
            stream = Stream(number, record)
            streams.append(stream)
            fronts = [killed.front, random.choice(others).front]
            tasks.append(asyncio.create_task(stream.run(fronts)))
            await asyncio.sleep(SEND_S / STREAMS)
        await asyncio.sleep(KILL_AFTER_S - SEND_S)
        if stand2.has_trouble():
            record.note(f"{killed.name} is killed (SIGKILL)")
            killed.send(signal.SIGKILL)
        await asyncio.gather(*tasks)
    finally:
        await fleet.stop()
    again = [
        stream
        for stream in streams
        if any(count > 1 for count in Counter(stream.pieces).values())
    ]
    verdict = [
        f"streams: {STREAMS}, complete: {sum(s.is_complete for s in streams)}",
        f"streams with a piece that comes twice: {len(again)}",
        f"streams with another piece than the next one: {sum(bool(s.faults) for s in streams)}",
    ]
    is_broken = any(stream.faults for stream in streams)
    verdict.append("ORDER is broken" if is_broken else "ORDER holds")
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
