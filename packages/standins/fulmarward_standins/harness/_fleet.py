"""A platform, targets and instances, each in a separate process."""

import asyncio
import json
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path

import aiohttp

from fulmarward_standins.harness._callers import CallResult, call_json
from fulmarward_standins.harness._plans import (
    DATA_CENTRES,
    MODEL_LAYERS,
    OPERATOR_TOKEN,
    PEER_SECRET,
    InstancePlan,
    TargetPlan,
    make_declaration,
    make_team_key,
)
from fulmarward_standins.harness._ports import find_ports
from fulmarward_standins.harness._processes import Process, start_process, wait_until

PLATFORM_TOKEN = "platform-token"

#: Last lines of each log that are printed when a test fails.
LOG_LINES = 15


@dataclass(kw_only=True)
class FleetPlan:
    """The processes of a fleet and their settings."""

    #: By default three, each in its own data centre.
    instances: list[InstancePlan] = field(
        default_factory=lambda: [
            InstancePlan(name=f"i{number}", data_centre=data_centre)
            for number, data_centre in enumerate(DATA_CENTRES, 1)
        ]
    )
    #: By default two engines.
    targets: list[TargetPlan] = field(
        default_factory=lambda: [
            TargetPlan(name="e1"),
            TargetPlan(name="e2", data_centre=DATA_CENTRES[1]),
        ]
    )
    #: Delay of the platform's instance list, in seconds.
    list_lag_s: float = 0.0
    #: Whether the example declaration is applied and awaited at the start.
    applies_declaration: bool = True


@dataclass(kw_only=True)
class Fleet:
    """A running fleet."""

    plan: FleetPlan
    folder: Path
    session: aiohttp.ClientSession
    platform_address: str
    #: Processes by name; the platform's name is `platform`.
    processes: dict[str, Process] = field(default_factory=dict)

    def find_instance(self, name: str) -> InstancePlan:
        """Return the plan of the instance `name`."""
        return next(item for item in self.plan.instances if item.name == name)

    def find_target(self, name: str) -> TargetPlan:
        """Return the plan of the target `name`."""
        return next(item for item in self.plan.targets if item.name == name)

    def get_url(self, instance: str, path: str) -> str:
        """Return a URL at the caller address of an instance."""
        return f"http://{self.find_instance(instance).caller_address}{path}"

    async def call(
        self,
        instance: str,
        path: str,
        body: object = None,
        *,
        team: str = "folha",
        method: str = "",
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Call an instance as a team; a body makes it a POST."""
        return await call_json(
            self.session,
            self.get_url(instance, path),
            body,
            key=make_team_key(team),
            method=method,
            headers=headers,
        )

    async def call_operator(
        self, instance: str, path: str, body: object = None
    ) -> CallResult:
        """Call an instance as an operator."""
        address = self.find_instance(instance).operator_address
        return await call_json(
            self.session, f"http://{address}{path}", body, key=OPERATOR_TOKEN
        )

    async def control_target(self, target: str, **switches: object) -> None:
        """Set fault switches of a target stand-in."""
        address = self.find_target(target).address
        await call_json(self.session, f"http://{address}/control", switches)

    async def control_platform(self, **switches: object) -> None:
        """Set fault switches of the platform stand-in."""
        await call_json(
            self.session, f"http://{self.platform_address}/control", switches
        )

    async def publish_members(self, entries: list[dict]) -> None:
        """Update the members that the platform stand-in lists."""
        await call_json(
            self.session,
            f"http://{self.platform_address}/control/members",
            {"instances": entries},
        )

    async def read_ledger(self, target: str) -> list[dict]:
        """Return the ledger of a target."""
        address = self.find_target(target).address
        return (await call_json(self.session, f"http://{address}/ledger")).body

    async def read_ledgers_by_target(self) -> dict[str, list[dict]]:
        """Return the ledgers of all running targets by name."""
        return {
            target.name: await self.read_ledger(target.name)
            for target in self.plan.targets
            if self.processes[target.name].child.returncode is None
        }

    async def read_ledgers(self) -> list[dict]:
        """Return the entries of all reachable targets' ledgers."""
        entries = []
        for target in self.plan.targets:
            if self.processes[target.name].child.returncode is None:
                entries += await self.read_ledger(target.name)
        return entries

    async def start_instance(self, name: str, settings: dict | None = None) -> Process:
        """Start or restart the process of an instance."""
        path = self.folder / f"{name}.json"
        settings = settings or self.make_settings(self.find_instance(name))
        path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "fulmarward", "start", str(path)]
        self.processes[name] = await start_process(name, command, self.folder)
        return self.processes[name]

    def make_settings(self, plan: InstancePlan) -> dict:
        """Return the settings of an instance."""
        seeds = [item.peer_address for item in self.plan.instances]
        return {
            "name": plan.name,
            "data_centre": plan.data_centre,
            "caller_address": plan.caller_address,
            "operator_address": plan.operator_address,
            "peer_address": plan.peer_address,
            "platform_address": self.platform_address,
            "platform_token_file": str(self.folder / "platform-token"),
            "operator_tokens_file": str(self.folder / "operator-tokens"),
            "peer_secrets_file": str(self.folder / "peer-secrets"),
            "seed_peers": [seed for seed in seeds if seed != plan.peer_address][:5],
            "limits": plan.limits,
        }

    async def start_target(self, name: str) -> Process:
        """Start or restart the process of a target."""
        spec = make_spec(self.find_target(name))
        if spec.get("ledger_file"):
            spec["ledger_file"] = str(self.folder / spec["ledger_file"])
        return await self.start_stand_in(name, [spec])

    async def start_stand_in(self, name: str, specs: list[dict]) -> Process:
        """Start a process that runs the stand-ins in `specs`."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(specs))
        command = [sys.executable, "-m", "fulmarward_standins", str(path)]
        self.processes[name] = await start_process(name, command, self.folder)
        return self.processes[name]

    async def is_ready(self, instance: str) -> bool:
        """Return whether an instance is ready."""
        result = await call_json(self.session, self.get_url(instance, "/ready"))
        return result.status == 200

    async def wait_ready(self, instance: str) -> None:
        """Wait until an instance is ready."""
        await wait_until(lambda: self.is_ready(instance), f"{instance} to be ready")

    async def wait_listening(self, address: str) -> None:
        """Wait until an address responds to HTTP."""

        async def is_listening() -> bool:
            result = await call_json(self.session, f"http://{address}/ledger")
            return result.status > 0

        await wait_until(is_listening, f"{address} to listen")

    async def considers_all_alive(self, instance: str) -> bool:
        """Return whether an instance considers all others alive."""
        status = await self.call_operator(instance, "/status")
        if status.status != 200:
            return False
        alive = [item for item in status.body["members"] if item["state"] == "alive"]
        return len(alive) == len(self.plan.instances)

    async def apply(self, declaration: dict, instance: str = "") -> CallResult:
        """Apply a declaration through an instance."""
        instance = instance or self.plan.instances[0].name
        body = {
            "declaration": declaration,
            "apply_id": f"apply-{id(declaration)}-{len(json.dumps(declaration))}",
            "applied_by": "test",
        }
        return await self.call_operator(instance, "/apply", body)

    async def stop(self) -> None:
        """Stop every process; instances are killed."""
        names = {item.name for item in self.plan.instances}
        stops = [
            process.kill() if process.name in names else process.stop()
            for process in self.processes.values()
        ]
        await asyncio.gather(*stops)


def make_spec(target: TargetPlan) -> dict:
    """Return the settings of a target's stand-in."""
    spec = {"kind": target.kind, "name": target.name, "address": target.address}
    if target.kind == "engine":
        spec |= {
            "model": target.serves,
            "layers": list(target.layers),
            "model_layers": MODEL_LAYERS,
            "slots": target.slots,
            "checks_fencing": target.checks_fencing,
        }
    return spec | target.stand_in


def _assign_addresses(plan: FleetPlan) -> str:
    ports = iter(find_ports(1 + len(plan.targets) + 3 * len(plan.instances)))
    for target in plan.targets:
        target.address = f"127.0.0.1:{next(ports)}"
    for instance in plan.instances:
        instance.caller_address = f"127.0.0.1:{next(ports)}"
        instance.operator_address = f"127.0.0.1:{next(ports)}"
        instance.peer_address = f"127.0.0.1:{next(ports)}"
    return f"127.0.0.1:{next(ports)}"


def _make_member_entries(plan: FleetPlan) -> list[dict]:
    instances = [
        {
            "name": item.name,
            "kind": "instance",
            "state": "live",
            "data_centre": item.data_centre,
            "peer_address": item.peer_address,
            "caller_address": item.caller_address,
        }
        for item in plan.instances
    ]
    targets = [
        {
            "name": item.name,
            "kind": "target",
            "state": "live",
            "data_centre": item.data_centre,
        }
        for item in plan.targets
    ]
    return instances + targets


def _write_secrets(folder: Path) -> None:
    (folder / "platform-token").write_text(PLATFORM_TOKEN)
    (folder / "operator-tokens").write_text(OPERATOR_TOKEN)
    (folder / "peer-secrets").write_text(PEER_SECRET)


async def _start_all(fleet: Fleet) -> None:
    plan = fleet.plan
    spec = {
        "kind": "platform",
        "address": fleet.platform_address,
        "list_lag_s": plan.list_lag_s,
        "token": PLATFORM_TOKEN,
    }
    await fleet.start_stand_in("platform", [spec])
    for target in plan.targets:
        await fleet.start_target(target.name)
    await fleet.wait_listening(fleet.platform_address)
    await fleet.publish_members(_make_member_entries(plan))
    for instance in plan.instances:
        await fleet.start_instance(instance.name)
    for target in plan.targets:
        await fleet.wait_listening(target.address)
    for instance in plan.instances:
        await fleet.wait_listening(instance.caller_address)
    if not plan.applies_declaration:
        return
    applied = await fleet.apply(make_declaration(plan.targets))
    if applied.status != 200:
        raise AssertionError(f"expected to apply, found {applied}")
    for instance in plan.instances:
        await fleet.wait_ready(instance.name)
        await wait_until(
            lambda name=instance.name: fleet.considers_all_alive(name),
            f"{instance.name} to consider all instances alive",
        )


@asynccontextmanager
async def start_fleet(plan: FleetPlan | None = None) -> AsyncIterator[Fleet]:
    """Run a fleet within an `async with` block and stop every process at its end."""
    plan = plan or FleetPlan()
    with tempfile.TemporaryDirectory(prefix="fulmarward-") as folder:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            fleet = Fleet(
                plan=plan,
                folder=Path(folder),
                session=session,
                platform_address=_assign_addresses(plan),
            )
            _write_secrets(fleet.folder)
            try:
                await _start_all(fleet)
                yield fleet
            except BaseException:
                _print_logs(fleet)
                raise
            finally:
                await fleet.stop()


def _print_logs(fleet: Fleet) -> None:
    """Print the end of every process's log next to the test's failure."""
    for process in fleet.processes.values():
        lines = process.log.read_text().splitlines()[-LOG_LINES:]
        text = "\n".join(lines)
        print(f"--- log of {process.name}\n{text}", file=sys.stderr)


def describe_instance(plan: InstancePlan) -> dict:
    """Return an instance's plan as a JSON object."""
    return asdict(plan)
