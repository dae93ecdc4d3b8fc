"""Stand-ins of the platform, its workers and clients, for the cases of the review.

They speak what PROTOCOL.md says and use Python's standard library only. Instances are
started as processes with the `run` command of the deploy file. Each case is one script
that describes a `Case` and returns whether the rule was broken.
"""

import asyncio
import base64
import contextlib
import json
import os
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "calls.example"
KEY = "n2ctnfzs989anu6wsjnb"
POOL, PLAIN = "fulmar-pool", "callsheet-app"
ZONES = ("lx-alcantara", "lx-oriente", "lx-carnaxide")

#: Bounds of the sheet in SYSTEM.md.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableMs": 3000,
    "ackMs": 4000,
    "syncS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 198,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 2500,
    "enforceFencing": True,
    "ttl_max_s": 5,
}

#: A small model: 8 layers of 1,000 MB.
ENGINE = {
    "slots": 96,
    "kvCacheTokens": 50000,
    "tokenKvBytes": 1000,
    "linkMbps": 1e5,
    "stride": 2,
    "models": [{"name": "daka510000", "pace": 1.0, "loadS": 1.0}],
    "step_ms": 0.85,
    "per_seq_ms": 0.01,
    "context_per_k": 0.01,
    "pairs_per_m": 0.0,
    "chunk": 2048,
    "read_per_s": 252000.0,
    "loads_at_once": 4,
    "report_lag_ms": 200,
    "delays": [
        {"from": a, "to": b, "delay_ms": 0.25} for a in ZONES for b in ZONES if a < b
    ],
    "usual": {"prompt": 800, "answer": 150},
    "layers": 8,
    "layerMb": 1000.0,
    "actBytes": 1000,
    "pipeMbps": 7900.0,
    "kinds": [
        {"name": "a100s", "mb": 9000.0, "pace": 1.0, "readX": 1.0},
        {"name": "l4", "mb": 6000.0, "pace": 2.0, "readX": 2.0},
    ],
}


def make_route(name, prefix, kind, service, **changes):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "routeType": kind,
        "timeoutMs": 4000,
        "sloMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        **changes,
    }


def make_configuration(version=1, **changes):
    """Return a configuration with a stream route and two plain ones."""
    stream = {
        "resumable": True,
        "gapAimMs": 200,
        "sessionAffinity": True,
        "timeoutMs": 20000,
    }
    return {
        "version": version,
        "routes": [
            make_route("schedule", "/schedule/", "streaming", POOL, **stream),
            make_route("pickup", "/pickup/", "non_idempotent", PLAIN),
            make_route("call", "/call/", "idempotent", PLAIN),
        ],
        "services": [
            {"name": POOL, "healthPath": "/healthz", "engine": ENGINE},
            {"name": PLAIN, "healthPath": "/healthz", "maxConnections": 100},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1000000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
        **changes,
    }


# --- HTTP ---------------------------------------------------------------------------


class Request:
    """A request as a server of this file has read it."""

    def __init__(self, method, target, headers, body, reader, writer):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        self.reader, self.writer = reader, writer

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def path(self):
        return self.target.partition("?")[0]

    @property
    def query(self):
        from urllib.parse import parse_qsl

        return dict(parse_qsl(self.target.partition("?")[2]))


async def read_head(reader):
    """Return the first line and the headers, `None` at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip(), value.strip()))
    return first, headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    found = {name.lower(): value for name, value in headers}
    if "chunked" in found.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(found.get("content-length", 0)))


def make_head(first, headers):
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


_REASONS = {200: "OK", 202: "Accepted"}


def make_answer(status, body=b"", headers=()):
    first = f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"
    return make_head(first, [*headers, ("Content-Length", str(len(body)))]) + body


class HttpServer:
    """Serves one address; `handle(request)` returns the bytes to send, or `None`."""

    def __init__(self, handle):
        self._handle = handle
        self.address = ""
        self._server = None
        self._writers = set()

    async def start(self, address=None):
        if address is None:
            host, port = "127.0.0.1", 0
        else:
            host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20
        )
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        return self.address

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body, reader, writer)
                answer = await self._handle(request)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def stop(self, *, resets=False):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            if resets:
                reset(writer)
            writer.close()


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def find_ports(count):
    """Return free ports; they are freed again before they are used."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


# --- The store ----------------------------------------------------------------------


class Store:
    """The platform's metadata store: rows, a feed and transactions."""

    def __init__(self):
        self.version = 0
        #: Version and value of each row, `None` once it was removed.
        self.rows = {}
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def put(self, table, key, value, part=""):
        """Write or remove a row, as the operator, a worker or another writer does."""
        raw = (
            json.dumps(value).encode() if not isinstance(value, bytes | None) else value
        )
        self.version += 1
        self.rows[table, part, key] = (self.version, raw)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, item):
        (table, part, key), (version, raw) = item
        row = {"table": table, "part": part, "key": key, "ver": version}
        if raw is None:
            return {**row, "removed": True}
        return {**row, "value": base64.b64encode(raw).decode()}

    def _answer(self, status=200, **body):
        body = {"ver": self.version, "nowMs": int(time.monotonic() * 1000), **body}
        kind = [("Content-Type", "application/json")]
        return make_answer(status, json.dumps(body).encode(), kind)

    async def _handle(self, request):
        if request.path == "/rows-get":
            return self._get(request.query)
        if request.path == "/rows-feed":
            return await self._feed(request.query)
        if request.path == "/rows-tx":
            return self._transact(json.loads(request.body))
        return make_answer(404)

    def _get(self, query):
        start, end = query.get("from", ""), query.get("to")
        found = sorted(
            (
                item
                for item in self.rows.items()
                if self._is_in(item, query, start, end)
            ),
            key=lambda item: item[0][2].encode(),
        )
        limit = min(500, int(query.get("limit", 500)))
        rows = [self._encode(item) for item in found[:limit]]
        return self._answer(rows=rows, hasMore=len(found) > limit)

    @staticmethod
    def _is_in(item, query, start, end):
        (table, part, key), (_, raw) = item
        is_there = table == query["table"] and part == query.get("part", "")
        is_after = key.encode() >= start.encode()
        is_before = end is None or key.encode() < end.encode()
        return is_there and raw is not None and is_after and is_before

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(30000, int(query.get("waitMs", 0))) / 1000
        while True:
            changed = sorted(
                (
                    item
                    for item in self.rows.items()
                    if item[0][0] == table and item[1][0] > after
                ),
                key=lambda item: item[1][0],
            )
            left = until - time.monotonic()
            if changed or left <= 0:
                return self._answer(rows=[self._encode(item) for item in changed])
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, body):
        entries = [*body.get("upserts", ()), *body.get("remove", ())]
        if any(item["table"] in ("op", "servers") for item in entries):
            return self._answer(403)
        wanted = body.get("precondition", ())
        for item in wanted:
            version, raw = self.rows.get(_row_key(item), (0, None))
            if item["ver"] != (0 if raw is None else version):
                keys = [_row_key(each) for each in wanted]
                rows = [
                    self._encode((key, self.rows[key]))
                    for key in keys
                    if self.rows.get(key, (0, None))[1] is not None
                ]
                return self._answer(412, rows=rows)
        self.version += 1
        for item in body.get("upserts", ()):
            raw = base64.b64decode(item["value"])
            self.rows[_row_key(item)] = (self.version, raw)
        for item in body.get("remove", ()):
            self.rows[_row_key(item)] = (self.version, None)
        self._notify()
        return self._answer()


def _row_key(item):
    return item["table"], item.get("part", ""), item["key"]


# --- Workers ------------------------------------------------------------------------


class Worker:
    """A worker of the plain service, or of the pool if it has a `kind`."""

    def __init__(self, case, name, *, zone, kind=""):
        self.case, self.name, self.zone, self.kind = case, name, zone, kind
        self.service = POOL if kind else PLAIN
        self.slots = 96 if kind else 6
        self.work_s = 0.02
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.layers = None
        self.sequence = 0
        self.fence = 0
        self.beats = 0
        self.events = 40
        self.event_s = 0.03
        self.running = 0
        self.is_silent = False
        self.server = HttpServer(self._handle)

    async def start(self):
        await self.server.start()
        self.write_row()

    def write_row(self):
        self.beats += 1
        self.case.store.put("servers", self.name, self.make_row())

    def make_row(self):
        row = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.beats,
            "born": self.born,
        }
        if self.kind:
            row |= {
                "stage": "colocated",
                "models": self._list_models(),
                "routeType": self.kind,
                "layers": self.layers,
            }
        return row

    def _list_models(self):
        return [{"name": "daka510000", "version": 1, "adapters": []}]

    async def _handle(self, request):
        while self.is_silent:
            await asyncio.sleep(0.05)
        target = request.get("X-Target-Instance")
        if target is not None and target != self.name:
            head = [("X-Not-Executed", "1")]
            return make_answer(421, headers=head)
        if request.path == "/healthz":
            return make_answer(200, headers=[("X-Instance-Id", self.name)])
        if request.path == "/report":
            return self._report() if self.kind else make_answer(404)
        if request.path == "/order":
            return self._order(json.loads(request.body))
        return await self.serve(request)

    def _report(self):
        body = {
            "stage": "colocated",
            "models": self._list_models(),
            "busy": False,
            "sequence": self.sequence,
            "queued": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 50000 * 8,
            "handles": 0,
            "pace": 1.0,
            "layers": self.layers,
            "routeType": self.kind,
            "stalled": [],
            "born": self.born,
        }
        return make_answer(200, json.dumps(body).encode())

    def _order(self, body):
        if body.get("fence", self.fence) < self.fence:
            return make_answer(412)
        if body["op"] != "place":
            return make_answer(404)
        if body.get("precondition", self.sequence) != self.sequence:
            return make_answer(409)
        self.fence = max(self.fence, body.get("fence", 0))
        self.sequence += 1
        self.layers = {"from": body["from"], "to": body["to"], "version": 1}
        self.write_row()
        self.case.note(f"order {self.name} {body['from']}-{body['to']}")
        return make_answer(202)

    def sign(self, request):
        """Return the headers of an answer."""
        return [
            ("X-Attempt-Id", request.get("X-Attempt-Id", "")),
            ("X-Server-Stamp", f"stamp.{self.name}"),
        ]

    async def serve(self, request):
        """Run a client's request; return its answer."""
        self.case.note_run(request, self)
        if self.kind:
            return await self._stream(request)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = f"{request.get('X-Attempt-Id')} {self.name} ".encode()
        return make_answer(200, body.ljust(800, b"."), self.sign(request))

    async def _stream(self, request):
        head = [*self.sign(request), ("Content-Type", "text/event-stream")]
        head += [("Transfer-Encoding", "chunked"), ("X-Weight-Versions", "1")]
        request.writer.write(make_head("HTTP/1.1 200 OK", head))
        first = int(request.get("Last-Event-Id", 0)) + 1
        self.running += 1
        try:
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                data = f"id: {number}\ndata: {number}\n\n".encode()
                request.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await request.writer.drain()
        finally:
            self.running -= 1
        return b"0\r\n\r\n"


# --- Instances ----------------------------------------------------------------------


class Instance:
    """One machine of the system, on which the platform keeps a process running."""

    def __init__(self, case, number, ports, seeds):
        self.case, self.number = case, number
        self.name = f"edge-{ZONES[number % 3]}-{number // 3 + 1}"
        self.zone = ZONES[number % 3]
        front, ready, control, directory, metrics = ports
        self.front, self.ready = f"127.0.0.1:{front}", f"127.0.0.1:{ready}"
        self.control, self.directory = seeds[number], f"127.0.0.1:{directory}"
        self.metrics = metrics
        self.settings = case.folder / f"{self.name}.toml"
        self.log = case.folder / f"{self.name}.log"
        self.process = None
        #: Ends of the process by itself: seconds and exit code.
        self.own_ends = []
        self.is_kept = True
        self._is_first = True
        self._task = None
        self._seeds = seeds

    def write_settings(self):
        """Write the settings file as DEPLOY.md shows it."""
        tree = {
            "nodeName": self.name,
            "role": "router",
            "machineClass": "edge",
            "serves": ["edge", "registry", "control_plane"],
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "lisboa",
            "portRange": [7340, 7355],
            "seeds": self._seeds[:3],
            "bootstrap": self._is_first,
            "lossCounts": False,
            "discovery": "platform",
            "entryMode": "registry",
            "heartbeatMs": 1200,
        }
        tables = {
            "zones": dict.fromkeys(ZONES, "lisboa"),
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
                "directory": self.directory,
            },
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {**BOUNDS, **self.case.bounds},
            "provider": {
                "address": self.case.store.server.address,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "txMs": 5.0,
                "partWritesS": 200,
                "rowBytes": 65536,
                "across": False,
                "historyS": 20,
                "blobBytes": 8388608,
                "blobMs": 25.0,
                "blobMbS": 80.0,
            },
        }
        lines = [f"{name} = {json.dumps(value)}" for name, value in tree.items()]
        for table, fields in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{name} = {json.dumps(value)}" for name, value in fields.items()]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        """Start the process and keep it running, as the platform does."""
        self._task = asyncio.create_task(self._keep())

    async def _keep(self):
        while self.is_kept:
            await self._spawn()
            code = await self.process.wait()
            if not self.is_kept:
                return
            self.own_ends.append((time.monotonic(), code))
            self.case.note(f"{self.name}: its process ended by itself, exit {code}")
            await asyncio.sleep(0.5)

    async def _spawn(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        run = shlex.split(deploy["roles"]["router"]["run"])
        if run[0] == "python3":
            run[0] = sys.executable
        self.write_settings()
        self._is_first = False
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FULMARWARD_NODE_FILE": str(self.settings),
            "FULMARWARD_METRICS_PORT": str(self.metrics),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *run, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.case.note(f"{self.name}: process {self.process.pid} started")

    def send(self, number):
        """Send a signal to the process."""
        self.case.note(f"{self.name}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        """End the process, also one that is just being started."""
        self.is_kept = False
        while self._task is not None and not self._task.done():
            if self.process is not None and self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self.process.kill()
            await asyncio.sleep(0.02)

    async def is_ready(self):
        answer = await ask(self.ready, "GET", "/ready", timeout_s=1.0)
        return answer.status == 200

    def read_events(self, name):
        """Return the lines of the log with an event."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if line.startswith("{"):
                with contextlib.suppress(ValueError):
                    item = json.loads(line)
                    if item.get("event") == name:
                        found.append(item)
        return found


# --- Clients ------------------------------------------------------------------------


class Answer:
    """What a client saw: `status` is 0 without an answer; `end` says how it ended."""

    def __init__(self, status=0, headers=(), body=b"", end="complete"):
        self.status, self.headers = status, list(headers)
        self.body, self.end = body, end

    def get(self, name):
        found = [v for k, v in self.headers if k.lower() == name.lower()]
        return found[0] if found else None


async def ask(address, method, target, headers=(), body=b"", timeout_s=5.0):
    """Send one request on a new connection, and return its answer."""
    try:
        return await asyncio.wait_for(
            _ask(address, method, target, headers, body), timeout_s
        )
    except TimeoutError:
        return Answer(end="timeout")
    except OSError as error:
        return Answer(end=f"no connection: {type(error).__name__}")


async def _ask(address, method, target, headers, body):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
    try:
        head = [("Host", HOST), *headers]
        if body or method == "POST":
            head.append(("Content-Length", str(len(body))))
        writer.write(make_head(f"{method} {target} HTTP/1.1", head) + body)
        await writer.drain()
        found = await read_head(reader)
        if found is None:
            return Answer(end="closed without an answer")
        first, answered = found
        status = int(first.split(" ")[1])
        try:
            whole = await read_body(reader, answered)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return Answer(status, answered, end="cut")
        return Answer(status, answered, whole)
    finally:
        writer.close()


# --- A case -------------------------------------------------------------------------


class Case:
    """The platform, the workers and the instances of one case, and its record."""

    def __init__(self, folder, *, bounds=None):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Path(folder) / "record.txt"
        self.bounds = bounds or {}
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self._began = time.monotonic()
        self._lines = []
        self.store = Store()
        self.workers = []
        self.instances = []
        #: Runs of each request at workers, by id: seconds and worker.
        self.runs = {}
        self._beats = None

    def note(self, text):
        """Write a line into the record."""
        self._lines.append(f"{time.monotonic() - self._began:8.3f} {text}")

    def note_run(self, request, worker):
        """Record that a worker runs a request."""
        name = request.get("X-Attempt-Id", "")
        self.runs.setdefault(name, []).append((time.monotonic(), worker.name))
        resumed = request.get("Last-Event-Id")
        after = "" if resumed is None else f" after event {resumed}"
        self.note(
            f"run {name} {request.method} {request.target} at {worker.name}{after}"
        )

    async def start(
        self,
        *,
        instances=6,
        plain=3,
        pool=("a100s",) * 3,
        is_ready=True,
        make_worker=None,
        **changes,
    ):
        """Start the platform, the workers and the instances.

        Waits until all instances serve and the model is placed, if `is_ready`.
        """
        await self.store.server.start()
        self.store.put("op", "config", make_configuration(**changes))
        make_worker = make_worker or Worker
        for number in range(plain):
            self.workers.append(
                make_worker(self, f"i-app{number}", zone=ZONES[number % 3])
            )
        for number, kind in enumerate(pool):
            self.workers.append(
                make_worker(self, f"i-gpu{number}", zone=ZONES[number % 3], kind=kind)
            )
        for worker in self.workers:
            await worker.start()
        self._beats = asyncio.create_task(self._beat())
        ports = find_ports(5 * instances)
        groups = [ports[5 * n : 5 * n + 5] for n in range(instances)]
        seeds = [f"127.0.0.1:{group[2]}" for group in groups]
        self.instances = [
            Instance(self, number, group, seeds) for number, group in enumerate(groups)
        ]
        for instance in self.instances:
            instance.start()
        if not is_ready:
            await asyncio.sleep(1.5)
            return
        await self.await_ready()
        if pool:
            await self._await_layers()

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            for worker in self.workers:
                if not worker.is_silent:
                    worker.write_row()

    async def await_ready(self, timeout_s=30.0):
        until = time.monotonic() + timeout_s
        for instance in self.instances:
            while not await instance.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f"{instance.name} is not ready")
                await asyncio.sleep(0.1)

    async def _await_layers(self, timeout_s=30.0):
        until = time.monotonic() + timeout_s
        while any(w.kind and w.layers is None for w in self.workers):
            if time.monotonic() > until:
                raise CannotRun("the model is not placed")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)

    async def send(self, instance, name, method="GET", path="/call/1", **options):
        """Send a client's request to an instance; record it and its answer."""
        body = options.get("body", b"")
        deadline_ms = options.get("deadline_ms", 3000)
        head = [
            ("X-Attempt-Id", name),
            ("X-Deadline-Ms", str(deadline_ms)),
            ("X-Credential", options.get("key", KEY)),
            *options.get("headers", ()),
        ]
        if path.startswith("/schedule/"):
            head += [("X-Model", "daka510000"), ("X-Token-Usage", "800,80")]
            head += [("X-Prompt-Prefix", f"5c1e07a2:40,{abs(hash(name)):x}:760")]
        self.note(f"sent {name} {method} {path} to {instance.name}")
        answer = await ask(
            instance.front,
            method,
            path,
            head,
            body,
            timeout_s=deadline_ms / 1000 + 1.0,
        )
        self.note(
            f"answered {name} {answer.status} ({answer.end}), "
            f"{len(answer.body)} bytes, stamp {answer.get('X-Server-Stamp')}"
            + ("" if answer.status == 200 else f", {answer.body[:160]!r}")
        )
        return answer

    async def stop(self):
        for instance in self.instances:
            instance.is_kept = False
        for instance in self.instances:
            await instance.stop()
        if self._beats is not None:
            self._beats.cancel()
        for worker in self.workers:
            worker.is_silent = False
            await worker.server.stop()
        await self.store.server.stop()
        self.record.write_text("\n".join(self._lines) + "\n")
        if os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self._temporary.cleanup()


class CannotRun(Exception):
    """The case couldn't run."""


def main(run, folder, *, limit_s=115.0, **options):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it can't run.

    `run(case)` returns what broke the rule, empty if nothing did.
    """

    async def play():
        case = Case(folder, **options)
        case.note(f"trouble: {case.trouble}")
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                broken = await run(case)
        except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
            case.note(f"the case couldn't run: {error!r}")
            print(f"couldn't run: {error!r}")
            return 2
        else:
            for line in broken:
                case.note(f"BROKEN {line}")
                print(f"broken: {line}")
            case.note("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        finally:
            await case.stop()

    sys.exit(asyncio.run(play()))
