"""Cost of following targets: bytes, processor time and platform calls.

Rows by kind: `read` is the bytes of one read, including all layers above TCP;
`followed` is the cost of a real instance process by number of followed targets, with
its slope; `size` is the number of targets that one instance follows at the design
size; `gossip` is the bytes and the age of summaries among 330 simulated instances that
exchange real encoded messages.
"""

import asyncio
import random
import time

import aiohttp

from fulmarward.peers import SummaryExchange, encode_message
from fulmarward.targets import read_cache_events, read_load
from fulmarward_core.declaration import DataCentre, Target, TargetKind
from fulmarward_core.health import (
    PoolKey,
    SummaryRecord,
    select_followed,
    select_unsent,
)
from fulmarward_core.membership import (
    Member,
    MemberState,
    MemberTable,
    merge_member,
    select_neighbours,
)
from fulmarward_standins.bench._fit import fit_line
from fulmarward_standins.harness import (
    Fleet,
    FleetPlan,
    InstancePlan,
    TargetPlan,
    call_json,
    read_usage,
    start_fleet,
    wait_until,
)

#: Numbers of engines, one `followed` row each.
ENGINES = (1, 8, 24)

#: Seconds measured per `followed` row.
MEASURED_S = 8.0

#: Design size of a fleet.
INSTANCES, TARGETS, DATA_CENTRES, REGIONS, MODELS = 330, 4_100, 19, 7, 4

#: Simulated seconds of gossip, and the intervals of rounds and summaries of a real
#: instance.
GOSSIP_S, ROUND_S, SUMMARY_S = 180, 3, 15

#: Bytes that a link adds to a message: the frame header and the websocket header.
FRAME_BYTES = 5 + 8


class _CountingProxy:
    """Forwards connections to one address and counts the bytes in both directions."""

    def __init__(self, address: str) -> None:
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.bytes = 0

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            self.bytes += len(data)
            writer.write(data)
            await writer.drain()
        writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(
            self.host, self.port
        )
        await asyncio.gather(
            self._pump(reader, upstream_writer), self._pump(upstream_reader, writer)
        )


async def _measure_reads() -> list[dict]:
    plan = FleetPlan(
        instances=[], targets=[TargetPlan(name="e1")], applies_declaration=False
    )
    rows = []
    async with start_fleet(plan) as fleet, aiohttp.ClientSession() as session:
        proxy = _CountingProxy(fleet.find_target("e1").address)
        server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        calls = {
            "load report": lambda: read_load(session, address, now=0.0),
            "cache events": lambda: read_cache_events(session, address, after=0),
        }
        for name, call in calls.items():
            before = proxy.bytes
            for _ in range(20):
                await call()
            size = (proxy.bytes - before) / 20
            rows.append({"kind": "read", "what": name, "bytes": round(size)})
        direct = fleet.find_target("e1").address
        started = time.process_time()
        for _ in range(400):
            await read_load(session, direct, now=0.0)
        cpu_us = (time.process_time() - started) / 400 * 1e6
        report = await read_load(session, direct, now=0.0)
        rows.append({"kind": "read", "what": "its answer", "bytes": report.size})
        rows.append(
            {"kind": "read", "what": "load report, cpu", "cpu_us": round(cpu_us)}
        )
        server.close()
    return rows


async def _read_counts(fleet: Fleet) -> dict:
    url = f"http://{fleet.platform_address}/counts"
    return (await call_json(fleet.session, url)).body


async def _measure_followed(engines: int) -> dict:
    plan = FleetPlan(
        instances=[InstancePlan(name="i1", data_centre="lx-alcantara")],
        targets=[TargetPlan(name=f"e{number}") for number in range(engines)],
    )
    async with start_fleet(plan) as fleet:

        async def is_settled() -> bool:
            pools = (await fleet.call_operator("i1", "/placement")).body.get(
                "pools", []
            )
            return any(pool["as_wanted"] == engines for pool in pools)

        await wait_until(is_settled, "placement to settle")
        pid = fleet.processes["i1"].child.pid
        before, counts, began = read_usage(pid), await _read_counts(fleet), time.time()
        await asyncio.sleep(MEASURED_S)
        after, later = read_usage(pid), await _read_counts(fleet)
        elapsed_s = time.time() - began
        return {
            "kind": "followed",
            "targets": engines,
            "cpu_ms_per_s": round((after.cpu_s - before.cpu_s) * 1000 / elapsed_s, 2),
            "resident_mb": round(after.resident_bytes / 2**20, 1),
            "platform_reads_per_s": round(
                (later["reads"] - counts["reads"]) / elapsed_s, 2
            ),
            "platform_writes_per_s": round(
                (later["writes"] - counts["writes"]) / elapsed_s, 2
            ),
        }


def _describe_slope(rows: list[dict]) -> dict:
    fit = fit_line(
        [row["targets"] for row in rows], [row["cpu_ms_per_s"] for row in rows]
    )
    return {"kind": "followed", "what": "slope", **_round_fit(fit)}


def _round_fit(fit: object) -> dict:
    return {
        name: round(value, 4) for name, value in vars(fit).items() if value is not None
    }


def _make_targets() -> dict[str, Target]:
    return {
        f"e{number}": Target(
            address="127.0.0.1:1",
            data_centre=f"dc{number % DATA_CENTRES}",
            kind=TargetKind.ENGINE,
            serves=f"m{number % MODELS}",
            accelerator="",
            layers=((0, 24), (0, 12), (12, 24))[number % 3],
            slots=16,
            tokens_per_s=1.0,
            checks_fencing=True,
        )
        for number in range(TARGETS)
    }


def _measure_size() -> dict:
    targets = _make_targets()
    instances = {
        f"i{number}": f"dc{number % DATA_CENTRES}" for number in range(INSTANCES)
    }
    data_centres = {
        f"dc{number}": DataCentre(region=f"r{number % REGIONS}")
        for number in range(DATA_CENTRES)
    }
    counts, began = [], time.process_time()
    for name in list(instances)[:DATA_CENTRES]:
        followed = select_followed(
            targets,
            own_name=name,
            own_data_centre=instances[name],
            instances=instances,
            data_centres=data_centres,
        )
        counts.append(len(followed))
    cpu_ms = (time.process_time() - began) / DATA_CENTRES * 1000
    return {
        "kind": "size",
        "targets": TARGETS,
        "followed_least": min(counts),
        "followed_most": max(counts),
        "choice_cpu_ms": round(cpu_ms, 1),
    }


def _list_neighbours() -> dict[str, list[str]]:
    members = [
        Member(
            name=f"i{number}",
            boot=1,
            version=1,
            state=MemberState.ALIVE,
            data_centre="dc",
            peer_address="127.0.0.1:1",
            caller_address="127.0.0.1:1",
        )
        for number in range(INSTANCES)
    ]
    neighbours = {}
    for member in members:
        table = MemberTable(own_name=member.name)
        for other in members:
            merge_member(table, other, now=0.0)
        neighbours[member.name] = select_neighbours(table)
    return neighbours


class _SimulatedInstance:
    """Versions of the summaries known here, and of those sent to each peer."""

    def __init__(self) -> None:
        self.versions: dict[PoolKey, int] = {}
        self.sent: dict[str, dict[PoolKey, int]] = {}
        self.bytes = 0

    def take_unsent(self, peer: str) -> tuple[list[PoolKey], int]:
        sent = self.sent.setdefault(peer, {})
        keys = select_unsent(self.versions, sent)
        sent.update({key: self.versions[key] for key in keys})
        records = tuple(
            SummaryRecord(
                serves=key[0],
                data_centre=key[1],
                slots=900,
                running=700,
                waiting=40,
                open_targets=54,
                version=17_000_000_000 + self.versions[key],
                age=80,
            )
            for key in keys
        )
        message = SummaryExchange(digest=2**63, summaries=records)
        return keys, len(encode_message(message)) + FRAME_BYTES

    def receive(self, peer: str, versions: dict[PoolKey, int]) -> None:
        sent = self.sent.setdefault(peer, {})
        for key, version in versions.items():
            if version > self.versions.get(key, 0):
                self.versions[key] = sent[key] = version


def _exchange(instances: dict[str, _SimulatedInstance], name: str, other: str) -> None:
    for sender, receiver in ((name, other), (other, name)):
        keys, size = instances[sender].take_unsent(receiver)
        versions = {key: instances[sender].versions[key] for key in keys}
        instances[receiver].receive(sender, versions)
        instances[sender].bytes += size
        instances[receiver].bytes += size


def _measure_gossip(seed: int) -> dict:
    generator = random.Random(seed)
    neighbours = _list_neighbours()
    simulated = {name: _SimulatedInstance() for name in neighbours}
    names = list(simulated)
    keys = [
        (f"model-{model}", f"data-centre-{data_centre:02}")
        for model in range(MODELS)
        for data_centre in range(DATA_CENTRES)
    ]
    senders = {key: names[index * 4] for index, key in enumerate(keys)}
    ages = []
    for second in range(0, GOSSIP_S, ROUND_S):
        if second % SUMMARY_S == 0:
            for key, sender in senders.items():
                simulated[sender].versions[key] = second * 10 + 1
        for turn, name in enumerate(generator.sample(names, len(names))):
            others = neighbours[name]
            _exchange(simulated, name, others[(second // ROUND_S + turn) % len(others)])
        if second >= GOSSIP_S // 2:
            ages += [
                second + ROUND_S - instance.versions.get(key, 0) / 10
                for instance in simulated.values()
                for key in keys
            ]
    ages.sort()
    rates = [instance.bytes / GOSSIP_S for instance in simulated.values()]
    return {
        "kind": "gossip",
        "instances": INSTANCES,
        "summaries": len(keys),
        "bytes_per_s_mean": round(sum(rates) / len(rates)),
        "bytes_per_s_most": round(max(rates)),
        "age_s_p50": round(ages[len(ages) // 2], 1),
        "age_s_p95": round(ages[len(ages) * 95 // 100], 1),
    }


async def _measure_processes() -> list[dict]:
    rows = await _measure_reads()
    followed = [await _measure_followed(engines) for engines in ENGINES]
    return [*rows, *followed, _describe_slope(followed)]


def measure(*, seed: int) -> list[dict]:
    """Return the rows described in the module docstring."""
    rows = asyncio.run(_measure_processes())
    return [*rows, _measure_size(), _measure_gossip(seed)]
