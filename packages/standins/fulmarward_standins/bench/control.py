"""Control-plane cost of an instance, by number of instances.

Measures real instance processes with one platform stand-in, idle and during
configuration changes, and then simulates the member tables of a fleet of the design
size in this process, without sockets.
"""

import asyncio
import json
import math
import os
import re
import statistics
import time
from collections.abc import Awaitable, Callable
from datetime import datetime

from fulmarward_standins.bench._control_tables import measure_tables
from fulmarward_standins.harness import (
    Fleet,
    FleetPlan,
    InstancePlan,
    call_json,
    start_fleet,
    wait_until,
)

#: Numbers of instances; 60 processes take about 4 GB and start in a few seconds.
SIZES = (3, 9, 27, 60)

#: Data centres of the instances.
DATA_CENTRES = ("lx-alcantara", "lx-oriente", "lx-carnaxide")

#: Seconds measured, and seconds of waiting per instance before that: a new fleet
#: gossips about each of its members many times.
WINDOW_S, SETTLE_PER_INSTANCE_S = 6.0, 0.3

#: Maximum number of starts of a fleet.
MAX_STARTS = 3

#: Configuration changes per fleet size.
CHANGES = 3

#: Bytes per frame besides its payload: IP and TCP with timestamps, the websocket
#: header, and the acknowledgement.
FRAME_OVERHEAD_BYTES = 52 + 6 + 52

#: The number of instances that the design is for.
DESIGN_SIZE = 330

_COUNTER = re.compile(r"^fulmarward_(control_\w+)\{(.*?)\} (\S+)$", re.MULTILINE)


def _make_plan(size: int) -> FleetPlan:
    instances = [
        InstancePlan(name=f"i{number:03}", data_centre=DATA_CENTRES[number % 3])
        for number in range(size)
    ]
    return FleetPlan(instances=instances, targets=[])


async def _read_counters(fleet: Fleet) -> dict[str, float]:
    """Return the sums of frames and bytes over all instances."""
    totals = {"frames": 0.0, "bytes": 0.0}
    for item in fleet.plan.instances:
        url = fleet.get_url(item.name, "/metrics")
        text = (await call_json(fleet.session, url)).body
        for name, labels, value in _COUNTER.findall(text):
            if name == "control_bytes_total":
                totals["bytes"] += float(value)
            elif 'kind="frame"' in labels:
                totals["frames"] += float(value)
    return totals


def _read_processor_s(fleet: Fleet) -> float:
    total = 0
    for item in fleet.plan.instances:
        pid = fleet.processes[item.name].child.pid
        with open(f"/proc/{pid}/stat") as file:
            fields = file.read().rpartition(") ")[2].split()
        total += int(fields[11]) + int(fields[12])
    return total / os.sysconf("SC_CLK_TCK")


def _read_memory_mb(fleet: Fleet) -> float:
    sizes = []
    for item in fleet.plan.instances:
        pid = fleet.processes[item.name].child.pid
        with open(f"/proc/{pid}/statm") as file:
            pages = int(file.read().split()[1])
        sizes.append(pages * os.sysconf("SC_PAGE_SIZE") / 1e6)
    return max(sizes)


async def _read_platform(fleet: Fleet) -> dict[str, int]:
    url = f"http://{fleet.platform_address}/counts"
    return (await call_json(fleet.session, url)).body


async def _observe_idle(fleet: Fleet) -> dict[str, float]:
    """Return the cost per instance in an idle fleet."""
    size = len(fleet.plan.instances)
    await asyncio.sleep(SETTLE_PER_INSTANCE_S * size)
    counters, platform = await _read_counters(fleet), await _read_platform(fleet)
    started, processor_s = time.monotonic(), _read_processor_s(fleet)
    await asyncio.sleep(WINDOW_S)
    processor_s = _read_processor_s(fleet) - processor_s
    seconds = time.monotonic() - started
    after, platform_after = await _read_counters(fleet), await _read_platform(fleet)
    frames = (after["frames"] - counters["frames"]) / seconds / size
    payload = (after["bytes"] - counters["bytes"]) / seconds / size
    reads = platform_after["reads"] - platform["reads"]
    writes = platform_after["writes"] - platform["writes"]
    return {
        "frames_per_s": round(frames, 1),
        "bytes_per_s": round(payload),
        "wire_bytes_per_s": round(payload + frames * FRAME_OVERHEAD_BYTES),
        "core_percent": round(100 * processor_s / seconds / size, 2),
        "memory_mb": round(_read_memory_mb(fleet), 1),
        "platform_reads_per_s": round(reads / seconds, 1),
        "platform_writes_per_s": round(writes / seconds, 1),
    }


def _find_adoption(fleet: Fleet, name: str, epoch: int) -> float | None:
    """Return the wall time at which an instance logged the adoption of `epoch`."""
    text = fleet.processes[name].log.read_text()
    for line in reversed(text.splitlines()):
        if '"configuration_adopted"' in line:
            entry = json.loads(line)
            if entry["epoch"] >= epoch:
                return datetime.fromisoformat(entry["timestamp"]).timestamp()
    return None


async def _measure_change(
    fleet: Fleet, number: int, after_accept: Callable[[], Awaitable[None]]
) -> float:
    """Return the seconds from accepting a change to its adoption by all instances."""
    current = (await fleet.call_operator("i000", "/declaration")).body
    declaration = current["declaration"]
    declaration["data_centres"]["lx-oriente"]["region"] = f"r{number}"
    applied = await fleet.apply(declaration, "i000")
    accepted_at = time.time()
    await after_accept()
    epoch = applied.body["head"]["epoch"]
    names = [item.name for item in fleet.plan.instances]

    async def find_adoptions() -> list[float]:
        times = [_find_adoption(fleet, name, epoch) for name in names]
        return [] if None in times else times

    times = await wait_until(find_adoptions, f"epoch {epoch} on all instances")
    return max(0.0, max(times) - accepted_at)


async def _do_nothing() -> None:
    return


async def _measure_size(size: int) -> dict[str, float]:
    async with start_fleet(_make_plan(size)) as fleet:
        row = {"instances": size, **await _observe_idle(fleet)}
        before = await _read_platform(fleet)
        spread = [
            await _measure_change(fleet, number, _do_nothing)
            for number in range(CHANGES)
        ]
        after = await _read_platform(fleet)
        row["in_force_s"] = round(statistics.median(spread), 2)
        row["in_force_worst_s"] = round(max(spread), 2)
        row["reads_per_change"] = round((after["reads"] - before["reads"]) / CHANGES)

        async def start_outage() -> None:
            await fleet.control_platform(outage=True)

        row["store_out_s"] = round(await _measure_change(fleet, 100, start_outage), 2)
        return row


def _measure_with_restarts(size: int) -> dict[str, float]:
    """Measure a fleet size, restarting the fleet if it does not start.

    If other fleets run on the machine, the port of one of many instances may be taken.
    The row contains the number of starts.
    """
    for start in range(1, MAX_STARTS):
        try:
            return {**asyncio.run(_measure_size(size)), "starts": start}
        except AssertionError:
            continue
    return {**asyncio.run(_measure_size(size)), "starts": MAX_STARTS}


def _fit(rows: list[dict], column: str, scale: Callable[[int], float]) -> dict:
    """Return the least-squares line of a column and its root mean square error."""
    sizes = [scale(row["instances"]) for row in rows]
    values = [row[column] for row in rows]
    line = statistics.linear_regression(sizes, values)
    errors = [
        (value - line.intercept - line.slope * size) ** 2
        for size, value in zip(sizes, values, strict=True)
    ]
    return {
        "measure": column,
        "intercept": round(line.intercept, 3),
        "slope": round(line.slope, 4),
        "fit_error": round(math.sqrt(statistics.fmean(errors)), 3),
        "at_330": round(line.intercept + line.slope * scale(DESIGN_SIZE), 2),
    }


def _fit_all(rows: list[dict]) -> list[dict]:
    by_log = ("frames_per_s", "bytes_per_s", "wire_bytes_per_s", "core_percent")
    by_size = ("memory_mb", "platform_reads_per_s", "reads_per_change")
    fits = [{"against": "log2"} | _fit(rows, column, math.log2) for column in by_log]
    fits += [{"against": "log2"} | _fit(rows, "in_force_s", math.log2)]
    fits += [{"against": "size"} | _fit(rows, column, float) for column in by_size]
    return fits


def measure(*, seed: int) -> list[dict]:
    """Return a row for each size, the fitted lines, and the rows of member tables."""
    rows = [_measure_with_restarts(size) for size in SIZES]
    return [*rows, *_fit_all(rows), *measure_tables(seed=seed)]
