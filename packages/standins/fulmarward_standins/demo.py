"""The demo: each main feature across separate processes, one checked row each."""

import asyncio
import json
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import fire

from fulmarward_standins.harness import (
    OPERATOR_TOKEN,
    Fleet,
    FleetPlan,
    TargetPlan,
    find_ledger_faults,
    make_declaration,
    make_team_key,
    read_stream,
    start_fleet,
    start_process,
)

#: Where `--keep` describes the running processes.
STATE_PATH = Path(".demo/state.json")


@dataclass(frozen=True, kw_only=True)
class Row:
    """One row of the demo's table."""

    #: The step.
    what: str
    #: The observed result.
    found: str
    #: Whether the result is as expected.
    is_right: bool


def _make_plan() -> FleetPlan:
    return FleetPlan(
        targets=[
            TargetPlan(name="e1", stand_in={"token_ms": 15}),
            TargetPlan(name="e2", data_centre="lx-oriente", stand_in={"token_ms": 15}),
            TargetPlan(name="s1", kind="service", serves="callsheet"),
            TargetPlan(name="c1", serves="anchovy", layers=(0, 8)),
            TargetPlan(name="c2", serves="anchovy", layers=(8, 16)),
            TargetPlan(name="c3", serves="anchovy", layers=(16, 24)),
        ],
        applies_declaration=False,
    )


async def _apply_example(fleet: Fleet) -> Row:
    path = fleet.folder / "declaration.json"
    path.write_text(json.dumps(make_declaration(fleet.plan.targets), indent=2))
    settings = fleet.folder / "fulmarctl.json"
    addresses = [item.operator_address for item in fleet.plan.instances]
    settings.write_text(
        json.dumps(
            {
                "addresses": addresses,
                "token_file": str(fleet.folder / "operator-tokens"),
            }
        )
    )
    command = [sys.executable, "-m", "fulmarctl", "apply", str(path)]
    command += ["--settings", str(settings), "--json"]
    process = await start_process("fulmarctl", command, fleet.folder)
    status = await process.child.wait()
    for instance in fleet.plan.instances:
        await fleet.wait_ready(instance.name)
    return Row(
        what="fulmarctl apply, in force on 3 instances",
        found=process.log.read_text().strip()[-60:],
        is_right=status == 0,
    )


async def _stream(
    fleet: Fleet, instance: str, tokens: int, pipeline: str = "summary"
) -> tuple[int, bool]:
    """Return the number of tokens received and whether the end marker arrived."""
    body = {
        "model": pipeline,
        "messages": [{"role": "user", "content": f"sheet [{tokens} tokens]"}],
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {make_team_key('folha')}"}
    url = fleet.get_url(instance, "/v1/chat/completions")
    async with fleet.session.post(url, json=body, headers=headers) as response:
        events = [event async for event in read_stream(response)]
    arrived = sum(bool(event.text) for event in events)
    return arrived, bool(events) and events[-1].data == "[DONE]"


async def _show_discovery(fleet: Fleet) -> Row:
    result = await fleet.call("i1", "/discovery")
    addresses = result.body["addresses"]
    return Row(
        what="discovery of instance addresses",
        found=f"{len(addresses)} addresses",
        is_right=len(addresses) == 3,
    )


async def _show_stream(fleet: Fleet) -> Row:
    arrived, is_complete = await _stream(fleet, "i1", 20)
    return Row(
        what="streamed completion of 20 tokens",
        found=f"{arrived} tokens, {'whole' if is_complete else 'cut'}",
        is_right=arrived == 20 and is_complete,
    )


async def _show_chain(fleet: Fleet) -> Row:
    arrived, is_complete = await _stream(fleet, "i2", 20, pipeline="chain")
    ledgers = {name: await fleet.read_ledger(name) for name in ("c1", "c2", "c3")}
    faults = find_ledger_faults(ledgers, layers=24)
    ran = [len(ledger) for ledger in ledgers.values()]
    return Row(
        what="layer pipeline over three targets",
        found=f"{arrived} tokens, {ran} steps, {len(faults)} faults in ledgers",
        is_right=arrived == 20 and is_complete and ran == [20] * 3 and not faults,
    )


async def _show_service_call(fleet: Fleet) -> Row:
    result = await fleet.call("i2", "/services/callsheet/moves", {"unit": 2})
    ledger = await fleet.read_ledger("s1")
    began = sum(entry["event"] == "began" for entry in ledger)
    return Row(
        what="service call that may not be repeated",
        found=f"status {result.status}, run {began} time(s)",
        is_right=result.status == 200 and began == 1,
    )


async def _show_graceful_stop(fleet: Fleet) -> Row:
    streaming = asyncio.create_task(_stream(fleet, "i3", 200))
    await asyncio.sleep(0.5)
    fleet.processes["i3"].send(signal.SIGTERM)
    arrived, is_complete = await streaming
    status = await fleet.processes["i3"].child.wait()
    return Row(
        what="instance stopped in the middle of a stream",
        found=f"{arrived} tokens, {'whole' if is_complete else 'cut'}, exit {status}",
        is_right=arrived == 200 and is_complete and status == 0,
    )


async def _check_ledgers(fleet: Fleet) -> Row:
    ran = [
        (entry["request"], entry["attempt"], entry["position"], layer)
        for entry in await fleet.read_ledgers()
        if entry["event"] == "ran"
        for layer in range(entry["first_layer"], entry["last_layer"] + 1)
    ]
    twice = len(ran) - len(set(ran))
    return Row(
        what="ledgers: each layer of each token once",
        found=f"{len(ran)} layer runs, {twice} twice",
        is_right=bool(ran) and twice == 0,
    )


_STEPS: tuple[Callable[[Fleet], Awaitable[Row]], ...] = (
    _apply_example,
    _show_discovery,
    _show_stream,
    _show_chain,
    _show_service_call,
    _show_graceful_stop,
    _check_ledgers,
)


def _print_row(row: Row) -> None:
    mark = "ok   " if row.is_right else "WRONG"
    print(f"{mark}  {row.what:<45}  {row.found}", flush=True)


def _write_state(fleet: Fleet) -> None:
    plan = fleet.plan
    state = {
        "discovery": [
            fleet.get_url(item.name, "/discovery") for item in plan.instances
        ],
        "instances": [
            {
                "name": item.name,
                "pid": fleet.processes[item.name].child.pid,
                "address": item.caller_address,
                "operator_address": item.operator_address,
                "data_centre": item.data_centre,
            }
            for item in plan.instances
        ],
        "targets": [
            {
                "name": item.name,
                "pid": fleet.processes[item.name].child.pid,
                "address": item.address,
                "data_centre": item.data_centre,
                "layers": list(item.layers) if item.kind == "engine" else [],
                "ledger": f"http://{item.address}/ledger",
            }
            for item in plan.targets
        ],
        "platform": fleet.platform_address,
        "team_keys": {team: make_team_key(team) for team in ("folha", "osservatorio")},
        "operator_token": OPERATOR_TOKEN,
        "pipelines": ["lookup", "summary", "rewrite", "chain"],
        "services": ["callsheet"],
    }
    STATE_PATH.parent.mkdir(exist_ok=True)
    STATE_PATH.write_text(json.dumps(state, indent=2))


async def _run_steps(fleet: Fleet) -> bool:
    rows = []
    for step in _STEPS:
        row = await step(fleet)
        _print_row(row)
        rows.append(row)
    return all(row.is_right for row in rows)


async def _keep_running(fleet: Fleet) -> bool:
    row = await _apply_example(fleet)
    _print_row(row)
    _write_state(fleet)
    print(f"running; {STATE_PATH} lists the processes; interrupt to stop", flush=True)
    await asyncio.Event().wait()
    return row.is_right


async def _run(keep: bool) -> bool:
    async with start_fleet(_make_plan()) as fleet:
        return await (_keep_running(fleet) if keep else _run_steps(fleet))


async def _run_until_signalled(keep: bool) -> bool:
    """Run to the end or until a signal, which is how `--keep` normally ends."""
    running = asyncio.ensure_future(_run(keep))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, running.cancel)
    try:
        return await running
    except asyncio.CancelledError:
        print("interrupted", flush=True)
        return keep


def run(keep: bool = False) -> None:
    """Run the demo; KEEP leaves all processes running until interrupted."""
    sys.exit(0 if asyncio.run(_run_until_signalled(keep)) else 1)


if __name__ == "__main__":
    fire.Fire(run)
