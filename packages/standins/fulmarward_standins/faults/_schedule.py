"""A schedule of faults, drawn from a seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from fulmarward_standins.harness import Fleet

#: Bounds of the pause between two faults, in seconds.
PAUSE_S = (0.3, 1.2)

#: Bounds of the duration of a fault, in seconds.
DURATION_S = (0.5, 5.0)


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault: its kind, the process that it hits and its duration."""

    #: A key of `KINDS`.
    kind: str
    #: The instance or target, or `platform`.
    process_name: str
    #: Seconds to wait before the fault.
    pause_s: float
    #: Seconds until the fault is undone.
    duration_s: float


async def _kill(fleet: Fleet, fault: Fault) -> None:
    await fleet.processes[fault.process_name].kill()
    await asyncio.sleep(fault.duration_s)
    is_instance = any(item.name == fault.process_name for item in fleet.plan.instances)
    start = fleet.start_instance if is_instance else fleet.start_target
    await start(fault.process_name)


async def _freeze(fleet: Fleet, fault: Fault) -> None:
    process = fleet.processes[fault.process_name]
    process.send(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_s)
    process.send(signal.SIGCONT)


async def _stop_platform(fleet: Fleet, fault: Fault) -> None:
    await fleet.control_platform(outage=True)
    await asyncio.sleep(fault.duration_s)
    await fleet.control_platform(outage=False)


async def _slow_platform(fleet: Fleet, fault: Fault) -> None:
    await fleet.control_platform(delay_ms=700)
    await asyncio.sleep(fault.duration_s)
    await fleet.control_platform(delay_ms=0)


async def _lose_replies(fleet: Fleet, fault: Fault) -> None:
    await fleet.control_target(fault.process_name, lose_replies=3)


async def _slow_target(fleet: Fleet, fault: Fault) -> None:
    await fleet.control_target(fault.process_name, delay_ms=400)
    await asyncio.sleep(fault.duration_s)
    await fleet.control_target(fault.process_name, delay_ms=0)


#: Each kind of fault: the function that injects it and the processes it can hit.
KINDS: dict[str, tuple[Callable[[Fleet, Fault], Awaitable[None]], str]] = {
    "kill instance": (_kill, "instances"),
    "freeze instance": (_freeze, "instances"),
    "kill target": (_kill, "targets"),
    "freeze target": (_freeze, "targets"),
    "lose target replies": (_lose_replies, "targets"),
    "slow target": (_slow_target, "targets"),
    "platform outage": (_stop_platform, "platform"),
    "slow platform": (_slow_platform, "platform"),
}


def draw_faults(fleet: Fleet, *, seed: int, count: int) -> list[Fault]:
    """Return `count` random faults, the same ones for the same seed."""
    generator = random.Random(seed)
    names = {
        "instances": [item.name for item in fleet.plan.instances],
        "targets": [item.name for item in fleet.plan.targets],
        "platform": ["platform"],
    }
    faults = []
    for _ in range(count):
        kind = generator.choice(list(KINDS))
        faults.append(
            Fault(
                kind=kind,
                process_name=generator.choice(names[KINDS[kind][1]]),
                pause_s=generator.uniform(*PAUSE_S),
                duration_s=generator.uniform(*DURATION_S),
            )
        )
    return faults


async def run_schedule(fleet: Fleet, faults: list[Fault]) -> None:
    """Inject the faults; two never hit the same process at the same time."""
    running: dict[str, asyncio.Task] = {}
    for fault in faults:
        await asyncio.sleep(fault.pause_s)
        if fault.process_name in running:
            await running[fault.process_name]
        inject = KINDS[fault.kind][0]
        print(
            f"{fault.kind}: {fault.process_name}, {fault.duration_s:.1f} s", flush=True
        )
        running[fault.process_name] = asyncio.create_task(inject(fleet, fault))
    await asyncio.gather(*running.values())
