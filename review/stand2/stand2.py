"""Small stand-ins of the platform for the scripts of this review.

The store, the workers and the operator run in the process of a script, on loopback
addresses; the instances are the project's own program, each in its own process. They do
what PROTOCOL.md says and nothing else; only `target/deps` is needed.
"""

import asyncio
import base64
import contextlib
import fcntl
import json
import os
import random
import shlex
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
POOL, APP = "huvo11a", "wuno96b"
#: A second service of model workers, which a later version may add.
SECOND = "wiso27c"
ZONE = "palermo-a"

#: The bounds of the sheet of `sites/orus-fulmarward.toml`.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000, "syncS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": False,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "budgetSlack": 202, "recoveryS": 12, "passMs": 120, "retryAfterS": 0,
    "stall_ms": 2500, "enforceFencing": True, "ttl_max_s": 5,
}

#: The engine of the users' example of a configuration (`fleetbench wire SITE`).
ENGINE = {
    "slots": 96, "kvCacheTokens": 50000, "tokenKvBytes": 918000,
    "linkMbps": 480000.0, "stride": 2,
    "models": [{"name": "daka510000", "pace": 1.0, "loadS": 14.0, "warmS": 1.0}],
    "step_ms": 0.85, "per_seq_ms": 0.00594, "context_per_k": 0.00796,
    "read_per_s": 252000.0, "pairs_per_m": 0.129, "chunk": 512,
    "report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 6,
    "delays": [], "usual": {"prompt": 772, "answer": 154}, "layers": 80,
    "layerMb": 1750.0, "actBytes": 45800, "pipeMbps": 7900.0,
    "kinds": [
        {"name": "a100s", "mb": 36000.0, "pace": 3.1, "readX": 3.2},
        {"name": "l4", "mb": 21600.0, "pace": 16.0, "readX": 8.2},
    ],
}


def make_route(name, prefix, kind, service, **changes):
    """Return a route of a configuration; `service` may be a list of shares."""
    where = {"trafficSplit": service} if isinstance(service, list) else {"service": service}
    return {
        "name": name, "host": HOST, "prefix": prefix, "routeType": kind,
        "timeoutMs": 20000, "sloMs": 500, "priority": 1, **where, "maxAttempts": 2,
        "public": False, **changes,
    }


def make_configuration(version, routes, *, has_second=False):
    """Return a configuration, as the users' example has it, also of two models."""
    model = {"name": "mivu420000", "pace": 1.0, "loadS": 14.0, "warmS": 1.0}
    second = {
        "name": SECOND, "healthPath": "/healthz", "maxConnections": 1078,
        "protocol": "h1", "tls": False, "engine": ENGINE | {"models": [model]},
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            *([second] if has_second else []),
            {"name": POOL, "healthPath": "/healthz", "maxConnections": 1078,
             "protocol": "h1", "tls": False, "engine": ENGINE},
            {"name": APP, "healthPath": "/healthz", "maxConnections": 110,
             "protocol": "h1", "tls": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


#: Ports below the system's ephemeral ones, in blocks of which a process locks one, so
#: that scripts that run side by side never choose the same port.
FIRST_PORT, END_PORT, BLOCK_PORTS = 12_000, 32_000, 500
_locks, _free_ports = [], []


def _lock_block():
    """Lock a block of ports until this process ends; note its ports as free."""
    folder = Path(tempfile.gettempdir()) / f"fulmarward-ports-{os.getuid()}"
    folder.mkdir(exist_ok=True)
    blocks = list(range(FIRST_PORT, END_PORT, BLOCK_PORTS))
    random.shuffle(blocks)
    for first in blocks:
        lock = (folder / str(first)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        _free_ports.extend(range(first, first + BLOCK_PORTS))
        return
    raise RuntimeError("expected a free block of ports")


def find_port():
    """Return a free port that was not returned before."""
    while True:
        if not _free_ports:
            _lock_block()
        port = _free_ports.pop(0)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class Record:
    """What was sent, answered and run; written to `record.txt`."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.lines = []
        self._began = time.monotonic()

    def note(self, text):
        """Note one line with the seconds since the start."""
        self.lines.append(f"{time.monotonic() - self._began:8.3f} {text}")

    def write(self, verdict):
        """Write the record, the verdict first."""
        self.path.write_text("\n".join([*verdict, "", *self.lines]) + "\n")


class Store:
    """The platform's store: rows with versions from one counter."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row, or remove it (`None`); the return is the acknowledgement."""
        raw = None if value is None else json.dumps(value).encode()
        self._set(table, "", key, raw)

    def _set(self, table, part, key, raw):
        self.version += 1
        self.rows[table, part, key] = self.version, raw
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def make_app(self):
        """Return the store as a web application."""
        app = web.Application(client_max_size=1 << 24)
        app.router.add_get("/rows-get", self._get)
        app.router.add_get("/rows-feed", self._feed)
        app.router.add_post("/rows-tx", self._transact)
        return app

    def _answer(self, status=200, **body):
        body |= {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}
        return web.json_response(body, status=status)

    def _encode(self, place):
        version, raw = self.rows[place]
        table, part, key = place
        row = {"table": table, "part": part, "key": key, "ver": version}
        if raw is None:
            return row | {"removed": True}
        return row | {"value": base64.b64encode(raw).decode()}

    async def _get(self, request):
        await asyncio.sleep(0.004)
        query = request.query
        start, end = query.get("from", ""), query.get("to")
        limit = min(500, int(query.get("limit", 500)))
        found = sorted(
            place
            for place, (_, raw) in self.rows.items()
            if place[:2] == (query["table"], query.get("part", ""))
            and raw is not None
            and place[2] >= start
            and (end is None or place[2] < end)
        )
        rows = [self._encode(place) for place in found[:limit]]
        return self._answer(rows=rows, hasMore=len(found) > limit)

    async def _feed(self, request):
        table, after = request.query["table"], int(request.query["after"])
        until = time.monotonic() + int(request.query.get("waitMs", 0)) / 1000
        while True:
            changed = self._changed
            found = sorted(
                (version, place)
                for place, (version, _) in self.rows.items()
                if place[0] == table and version > after
            )
            left = until - time.monotonic()
            if found or left <= 0:
                return self._answer(rows=[self._encode(p) for _, p in found])
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    async def _transact(self, request):
        await asyncio.sleep(0.005)
        body = await request.json()
        conditions = body.get("precondition", [])
        places = [(c["table"], c.get("part", ""), c["key"]) for c in conditions]
        now = [self._find_version(place) for place in places]
        if any(c["ver"] != version for c, version in zip(conditions, now)):
            rows = [self._encode(p) for p, v in zip(places, now) if v]
            return self._answer(412, rows=rows)
        for item in body.get("upserts", []):
            raw = base64.b64decode(item["value"])
            self._set(item["table"], item.get("part", ""), item["key"], raw)
        for item in body.get("remove", []):
            self._set(item["table"], item.get("part", ""), item["key"], None)
        return self._answer()

    def _find_version(self, place):
        version, raw = self.rows.get(place, (0, None))
        return 0 if raw is None else version


class Worker:
    """A sound worker; those of the pool hold layers (`kind` is not empty).

    `streams` tells by its path whether a request is on a streaming route.
    """

    def __init__(self, *, service, record, streams, kind=""):
        self.id = f"i-{random.getrandbits(40):010x}"
        self.service, self.kind = service, kind
        self.address = ""
        self.layers = None
        #: Its state in the store, and the version of its software.
        self.state, self.version = "ready", "v1"
        #: What its streams end their lines with, as `text/event-stream` allows.
        self.line_end = "\n"
        self.sequence = self.beats = self.running = 0
        self.events, self.pause_s, self.work_s = 30, 0.05, 0.0225
        #: Until when it is silent, in seconds on the monotonic clock, and whether its
        #: entry is gone although it serves on.
        self.silent_until = 0.0
        self.is_unlisted = False
        #: What ran here: the attempt, and whether its whole answer was written.
        self.runs = []
        self._record = record
        self.streams = streams

    def make_row(self):
        """Return the worker's entry in the store."""
        self.beats += 1
        row = {
            "service": self.service, "address": self.address, "zone": ZONE,
            "version": self.version, "slots": 96 if self.kind else 6,
            "state": self.state,
            "coldRemainingMs": 0, "sequence": self.beats,
        }
        if self.kind:
            row |= {"stage": "colocated", "models": [], "routeType": self.kind}
        if self.layers is not None:
            row["layers"] = self.layers
        return row

    def make_app(self):
        """Return the worker as a web application."""
        app = web.Application(client_max_size=1 << 24)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _keep_silence(self):
        while (left := self.silent_until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    async def _serve(self, request):
        await self._keep_silence()
        if request.headers.get("X-Target-Instance", self.id) != self.id:
            return web.Response(status=421, headers={"X-Instance-Id": self.id})
        if self.kind and request.path == "/report":
            return web.json_response(self._make_report())
        if self.kind and request.path == "/order":
            return await self._take_order(request)
        if request.path == "/healthz":
            return web.Response(headers={"X-Instance-Id": self.id})
        attempt = request.headers.get("X-Attempt-Id")
        if attempt is None:
            return web.Response(status=400, headers={"X-Not-Executed": "1"})
        if self.kind and not self._holds_own_part(request):
            return web.Response(status=421, headers={"At-Server": self.address})
        await request.read()
        run = {"attempt": attempt, "is_answered": False}
        self.runs.append(run)
        after = request.headers.get("Last-Event-Id")
        self._record.note(
            f"worker {self.id} of {self.service} runs {attempt} {request.method} "
            f"{request.path}, Last-Event-Id {after}"
        )
        head = {"X-Attempt-Id": attempt, "X-Server-Stamp": f"{self.id}.{attempt}"}
        self.running += 1
        try:
            if self.streams(request.path):
                answer = await self._stream(request, head, int(after or 0))
            else:
                await asyncio.sleep(self.work_s)
                answer = web.Response(body=b"b" * 800, headers=head)
                await answer.prepare(request)
                await answer.write_eof()
        finally:
            self.running -= 1
        run["is_answered"] = True
        self._record.note(f"worker {self.id} has answered {attempt}, 200, whole")
        return answer

    async def _stream(self, request, head, after):
        answer = web.StreamResponse(headers=head | {"Content-Type": "text/event-stream"})
        await answer.prepare(request)
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            await self._keep_silence()
            lines = [f"id: {number}", f"data: piece {number}", "", ""]
            await answer.write(self.line_end.join(lines).encode())
        await answer.write_eof()
        return answer

    def _make_report(self):
        report = {
            "stage": "colocated", "models": [], "busy": False, "queued": 0,
            "sequence": self.sequence, "running": self.running, "kvUsed": 0,
            "kvTotal": 400_000, "handles": 0, "pace": 1.0, "stalled": [],
        }
        return report if self.layers is None else report | {"layers": self.layers}

    async def _take_order(self, request):
        order = await request.json()
        if order["op"] != "place":
            return web.Response(status=404)
        if order.get("precondition", self.sequence) != self.sequence:
            return web.Response(status=409)
        self.sequence += 1
        self.layers = {"from": order["from"], "to": order["to"], "version": 1}
        return web.Response(status=202)

    def _holds_own_part(self, request):
        path = request.headers.get("X-Hop-Count", f"{self.address}=0-80")
        parts = dict(part.split("=") for part in path.split(","))
        start, end = map(int, parts.get(self.address, "0-0").split("-"))
        held = self.layers or {"from": 0, "to": 0}
        return start < end and held["from"] <= start and end <= held["to"]


class Instance:
    """A process of the project's own program."""

    def __init__(self, name, settings):
        self.name, self.settings = name, settings
        self.front = self.ready = ""
        self.metrics = find_port()
        self.process = None

    async def start(self, folder):
        """Start it with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["router"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        } | {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FULMARWARD_NODE_FILE": str(self.settings),
            "FULMARWARD_METRICS_PORT": str(self.metrics),
        }
        with (Path(folder) / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL, process_group=0,
            )

    def send(self, number):
        """Send a signal."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self):
        """Kill it and wait."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        """Return whether `GET /ready` is answered with 200."""
        host, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line


class Fleet:
    """The platform, and instances on it."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.workers, self.instances = [], []
        self._runners, self._tasks = [], []
        self._folder = tempfile.TemporaryDirectory()

    @property
    def folder(self):
        """The folder of the settings and the logs."""
        return Path(self._folder.name)

    async def listen(self, app):
        """Serve an application on a free port; return its address."""
        runner = web.AppRunner(app, shutdown_timeout=0.1, handler_cancellation=True)
        await runner.setup()
        port = find_port()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        self._runners.append(runner)
        return f"127.0.0.1:{port}"

    async def start(self, *, instances, configuration, pool, app, streams):
        """Start the store, the workers and the instances; return once all serve."""
        self._store_address = await self.listen(self.store.make_app())
        self.store.put("op", "config", configuration)
        for service, kind, count in ((POOL, "a100s", pool), (APP, "", app)):
            await self.add_workers(service, kind, count, streams)
        self._tasks.append(asyncio.create_task(self._beat()))
        controls = [f"127.0.0.1:{find_port()}" for _ in range(instances)]
        for number, control in enumerate(controls):
            await self._start_instance(f"edge-{ZONE}-{number + 1}", control, controls[:3])
        await self.await_ready()

    async def add_workers(self, service, kind, count, streams):
        """Start empty workers, which write their entries from now on."""
        added = []
        for _ in range(count):
            worker = Worker(
                service=service, kind=kind, record=self.record, streams=streams
            )
            worker.address = await self.listen(worker.make_app())
            self.workers.append(worker)
            added.append(worker)
        return added

    def unlist(self, worker):
        """Have a worker leave that never reports `draining`: its entry is removed."""
        worker.is_unlisted = True
        self.store.put("servers", worker.id, None)
        self.record.note(f"the entry of {worker.id} is removed; it serves on")

    async def replace(self, old, *, version, line_end):
        """Replace a worker as planned: the new one starts first, the old one drains."""
        [new] = await self.add_workers(old.service, old.kind, 1, old.streams)
        new.version, new.line_end = version, line_end
        self.record.note(f"release: {new.id} {version} starts in place of {old.id}")
        await asyncio.sleep(0.5)
        old.state = "draining"
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + 1.5)
        while old.running:
            await asyncio.sleep(0.05)
        self.workers.remove(old)
        self.store.put("servers", old.id, None)
        self.record.note(f"release: {old.id} has left")

    async def _beat(self):
        """Have each worker write its entry each `heartbeatMs`, and on a change."""
        written = {}
        while True:
            for worker in self.workers:
                if worker.is_unlisted or worker.silent_until > time.monotonic():
                    continue
                said = worker.layers, worker.state
                before, at = written.get(worker.id, (None, 0.0))
                if said != before or time.monotonic() - at >= 1.2:
                    written[worker.id] = said, time.monotonic()
                    self.store.put("servers", worker.id, worker.make_row())
            await asyncio.sleep(0.05)

    async def _start_instance(self, name, control, seeds):
        path = self.folder / f"{name}.toml"
        instance = Instance(name, path)
        front, ready, directory = (f"127.0.0.1:{find_port()}" for _ in range(3))
        bounds = "\n".join(f"{k} = {json.dumps(v)}" for k, v in BOUNDS.items())
        path.write_text(
            f"""nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge","control_plane","registry"]
ip = "127.0.0.1"
zone = "{ZONE}"
region = "sicilia"
portRange = [7340,7355]
seeds = {json.dumps(seeds)}
bootstrap = true
lossCounts = false
discovery = "platform"
entryMode = "registry"
heartbeatMs = 1200
[zones]
{ZONE} = "sicilia"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
directory = "{directory}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
{bounds}
[provider]
address = "{self._store_address}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
"""
        )
        instance.front, instance.ready = front, ready
        await instance.start(self.folder)
        self.instances.append(instance)

    async def await_ready(self):
        """Wait until all instances are ready and all layers are held."""
        until = time.monotonic() + 45
        while time.monotonic() < until:
            held = [w.layers for w in self.workers if w.layers]
            covered = {n for part in held for n in range(part["from"], part["to"])}
            is_whole = len(covered) == 80 or not any(w.kind for w in self.workers)
            if is_whole and all([await i.is_ready() for i in self.instances]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("expected ready instances and all layers held")

    async def stop(self):
        """End all processes and servers."""
        for instance in self.instances:
            await instance.kill()
        for task in self._tasks:
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()
        self._folder.cleanup()


class Cut(Exception):
    """The connection ended before the answer was complete."""


class Connection:
    """A client's connection, which may be kept for several requests."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.answered = 0

    @classmethod
    async def open(cls, front):
        """Connect to the `front` address of an instance."""
        host, port = front.split(":")
        async with asyncio.timeout(1.0):
            return cls(*await asyncio.open_connection(host, int(port)))

    def close(self):
        """Close the connection."""
        self.writer.close()

    async def send(self, method, path, attempt, *, deadline_ms, headers=(), body=b""):
        """Send a request; return the status and the headers of its answer."""
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {deadline_ms}", f"X-Credential: {KEY}", *headers,
            f"Content-Length: {len(body)}",
        ]
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except (asyncio.IncompleteReadError, OSError) as error:
            raise Cut("no answer") from error
        status, *fields = head.split("\r\n")[:-2]
        pairs = (field.partition(":") for field in fields)
        return int(status.split()[1]), {k.lower(): v.strip() for k, _, v in pairs}

    async def read_parts(self, headers):
        """Yield the parts of a body; raises `Cut` if it ends before its end."""
        try:
            if "content-length" in headers:
                left = int(headers["content-length"])
                while left:
                    part = await self.reader.read(min(left, 1 << 16))
                    if not part:
                        raise Cut("inside a body")
                    left -= len(part)
                    yield part
            else:
                while size := int((await self.reader.readuntil(b"\r\n")), 16):
                    yield (await self.reader.readexactly(size + 2))[:-2]
                await self.reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, OSError) as error:
            raise Cut("inside a body") from error
        self.answered += 1


def make_attempt():
    """Return the id of a new client attempt."""
    return f"{random.getrandbits(64):016x}"


def has_trouble():
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"
