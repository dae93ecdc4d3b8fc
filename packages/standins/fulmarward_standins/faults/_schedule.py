"""Which fault comes when: drawn from a seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from fulmarward_standins.harness import Fleet

#: Bounds of the pause between two faults, in seconds.
PAUSE_S = (0.3, 1.2)

#: Bounds of how long a fault lasts, in seconds.
LAST_S = (0.5, 5.0)


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault: what is done, to whom, for how long."""

    #: Name of the kind, a key of `KINDS`.
    kind: str
    #: Name of the instance or target; `platform` for the platform.
    whom: str
    #: Seconds to wait before it.
    pause_s: float
    #: Seconds until it is mended.
    last_s: float


async def _kill(fleet: Fleet, fault: Fault) -> None:
    await fleet.processes[fault.whom].kill()
    await asyncio.sleep(fault.last_s)
    is_instance = any(item.name == fault.whom for item in fleet.plan.instances)
    start = fleet.start_instance if is_instance else fleet.start_target
    await start(fault.whom)


async def _freeze(fleet: Fleet, fault: Fault) -> None:
    process = fleet.processes[fault.whom]
    process.send(signal.SIGSTOP)
    await asyncio.sleep(fault.last_s)
    process.send(signal.SIGCONT)


async def _stop_platform(fleet: Fleet, fault: Fault) -> None:
    await fleet.control_platform(outage=True)
    await asyncio.sleep(fault.last_s)
    await fleet.control_platform(outage=False)


async def _slow_platform(fleet: Fleet, fault: Fault) -> None:
    await fleet.control_platform(delay_ms=700)
    await asyncio.sleep(fault.last_s)
    await fleet.control_platform(delay_ms=0)


async def _lose_replies(fleet: Fleet, fault: Fault) -> None:
    await fleet.control_target(fault.whom, lose_replies=3)


async def _slow_target(fleet: Fleet, fault: Fault) -> None:
    await fleet.control_target(fault.whom, delay_ms=400)
    await asyncio.sleep(fault.last_s)
    await fleet.control_target(fault.whom, delay_ms=0)


#: Every kind: what does it, and whom it can hit.
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
    """Return `count` faults; the same seed gives the same ones."""
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
                whom=generator.choice(names[KINDS[kind][1]]),
                pause_s=generator.uniform(*PAUSE_S),
                last_s=generator.uniform(*LAST_S),
            )
        )
    return faults


async def run_faults(fleet: Fleet, faults: list[Fault]) -> None:
    """Let the faults happen; two never hit the same process at the same time."""
    running: dict[str, asyncio.Task] = {}
    for fault in faults:
        await asyncio.sleep(fault.pause_s)
        if fault.whom in running:
            await running[fault.whom]
        act = KINDS[fault.kind][0]
        print(f"{fault.kind}: {fault.whom}, {fault.last_s:.1f} s", flush=True)
        running[fault.whom] = asyncio.create_task(act(fleet, fault))
    await asyncio.gather(*running.values())
