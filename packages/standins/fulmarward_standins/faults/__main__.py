"""Command line: `scripts/faults SEED`."""

import asyncio
import itertools
import json
import random
import sys

import aiohttp
import fire

from fulmarward_standins.faults._callers import Caller, run_caller
from fulmarward_standins.faults._check import Verdict, check_records
from fulmarward_standins.faults._schedule import draw_faults, run_schedule
from fulmarward_standins.harness import (
    Fleet,
    FleetPlan,
    InstancePlan,
    TargetPlan,
    start_fleet,
)

#: Concurrent callers.
CALLERS = 24

#: Seconds that callers get after the last fault to finish their current work.
DRAIN_TIMEOUT_S = 60.0

_DATA_CENTRES = ("lx-alcantara", "lx-oriente", "lx-carnaxide")

#: Layer ranges of the three stages of a chain.
_STAGES = ((0, 8), (8, 16), (16, 24))


def _make_plan() -> FleetPlan:
    instances = [
        InstancePlan(name=f"i{number}", data_centre=_DATA_CENTRES[number % 3])
        for number in range(4)
    ]
    engines = [
        TargetPlan(name=f"e{number}", data_centre=_DATA_CENTRES[number % 3])
        for number in range(3)
    ]
    stages = [
        TargetPlan(
            name=f"c{number}-{copy}",
            serves="anchovy",
            layers=layers,
            data_centre=_DATA_CENTRES[number],
        )
        for number, layers in enumerate(_STAGES)
        for copy in range(2)
    ]
    services = [
        TargetPlan(
            name=f"s{number}",
            kind="service",
            serves="callsheet",
            data_centre=_DATA_CENTRES[number],
        )
        for number in range(2)
    ]
    return FleetPlan(instances=instances, targets=engines + stages + services)


def _read_ledger_lines(fleet: Fleet) -> list[dict]:
    """Return the lines of all ledger files.

    The last line of a killed writer may be cut and is skipped.
    """
    lines = []
    for path in sorted(fleet.folder.glob("*.ledger")):
        for text in path.read_text().splitlines():
            try:
                lines.append(json.loads(text))
            except ValueError:
                continue
    return lines


async def _run(seed: int, faults: int) -> Verdict:
    plan = _make_plan()
    work_numbers = itertools.count(1)
    # The fleet's folder is known only once it starts, so the file name is relative
    # to it and each target writes its ledger next to its log.
    for target in plan.targets:
        target.stand_in["ledger_file"] = f"{target.name}.ledger"
    async with start_fleet(plan) as fleet:
        fleet.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        callers = [
            Caller(
                fleet=fleet,
                generator=random.Random(seed * 1000 + index),
                next_number=lambda: next(work_numbers),
            )
            for index in range(CALLERS)
        ]
        stop = asyncio.Event()
        tasks = [asyncio.create_task(run_caller(item, stop)) for item in callers]
        await run_schedule(fleet, draw_faults(fleet, seed=seed, count=faults))
        stop.set()
        await asyncio.wait(tasks, timeout=DRAIN_TIMEOUT_S)
        for task in tasks:
            task.cancel()
        await fleet.session.close()
        records = [item for caller in callers for item in caller.records]
        return check_records(records, _read_ledger_lines(fleet))


def run(seed: int = 1, faults: int = 20) -> None:
    """Inject FAULTS faults drawn from SEED under mixed load and check every ledger."""
    verdict = asyncio.run(_run(seed, faults))
    print(f"seed {seed}, {faults} faults")
    print(f"requests: {verdict.requests}")
    for outcome, count in sorted(verdict.outcomes.items()):
        print(f"  {outcome}: {count}")
    print(f"run twice (must be 0): {verdict.run_twice}")
    print(f"wrongly reported as not run (must be 0): {verdict.wrongly_not_run}")
    print(
        f"wrong or cut responses reported complete (must be 0): {verdict.wrong_answers}"
    )
    print(f"layers run twice or out of order (must be 0): {verdict.wrong_layers}")
    for detail in verdict.details:
        print(detail)
    sys.exit(0 if verdict.is_right else 1)


if __name__ == "__main__":
    fire.Fire(run)
