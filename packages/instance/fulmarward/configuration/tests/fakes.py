"""In-memory platform and peer links with injected faults."""

import asyncio
import json

import aiohttp

from fulmarward._daemon import make_instance
from fulmarward.configuration import answer_body, answer_head
from fulmarward.observability import TraceHandler
from fulmarward.peers import BodyRequest, HeadRequest, PeerLost
from fulmarward.settings import InstanceSettings, Limits, Secrets
from fulmarward_core.membership import Member, MemberState, merge_member


class _Response:
    content_type = "application/json"

    def __init__(self, status, value):
        self.status = status
        self.body = value if isinstance(value, bytes) else json.dumps(value).encode()
        if isinstance(value, bytes):
            self.content_type = "application/octet-stream"

    async def read(self):
        return self.body

    async def json(self):
        return json.loads(self.body)


class FakeStore:
    """Replaces the HTTP client of the real adapter by tables and objects in memory.

    `faults` determines the next writes: `ok`; `lost`, the write takes effect but its
    reply is lost; `late`, as `lost`, but it takes effect in `apply_late_writes`;
    `out`, the platform is unavailable.
    """

    def __init__(self):
        self.rows, self.objects, self.late, self.faults = {}, {}, [], []
        self.is_out = False
        self.yields = iter(())

    def request(self, method, url, *, headers, timeout, **options):
        return _Call(self, method, url.split("/", 3)[3].split("/"), options)

    def transact(self, body):
        for item in body["conditions"]:
            version, value = self.rows.get((item["table"], item["key"]), (0, None))
            if version != item["version"]:
                found = {"key": item["key"], "version": version, "value": value}
                return _Response(409, {"conflict": found})
        versions = []
        for item in body["writes"]:
            row = (item["table"], item["key"])
            versions.append(self.rows.get(row, (0, None))[0] + 1)
            self.rows[row] = (versions[-1], item["value"])
        return _Response(200, {"versions": versions})

    def apply_late_writes(self):
        for body in self.late:
            self.transact(body)
        self.late = []

    def read_history(self):
        """Return all committed heads by epoch."""
        heads = [
            value for (table, _), (_, value) in self.rows.items() if "history" in table
        ]
        return {head["epoch"]: head for head in heads}


class _Call:
    def __init__(self, store, method, path, options):
        self.store, self.method, self.path, self.options = store, method, path, options

    async def __aenter__(self):
        for _ in range(next(self.store.yields, 0)):
            await asyncio.sleep(0)
        if self.store.is_out:
            return _Response(503, {})
        return getattr(self, f"_{self.method.lower()}")()

    async def __aexit__(self, *error):
        return False

    def _get(self):
        kind, *rest = self.path
        if kind == "objects":
            body = self.store.objects.get(rest[0])
            return _Response(404, {}) if body is None else _Response(200, body)
        version, value = self.store.rows.get((rest[0], rest[1]), (0, None))
        return _Response(200, {"version": version, "value": value})

    def _put(self):
        self.store.objects[self.path[1]] = self.options["data"]
        return _Response(200, {})

    def _post(self):
        fault = self.store.faults.pop(0) if self.store.faults else "ok"
        body = self.options["json"]
        if fault == "out":
            return _Response(503, {})
        if fault == "late":
            self.store.late.append(body)
            raise TimeoutError
        response = self.store.transact(body)
        if fault == "lost":
            raise aiohttp.ServerDisconnectedError
        return response


class FakeLinks:
    """Links from one instance to the others, by peer address."""

    def __init__(self, fleet, own):
        self.fleet, self.own = fleet, own
        self.yields = iter(())

    async def call(self, address, message, timeout_s):
        for _ in range(next(self.yields, 0)):
            await asyncio.sleep(0)
        if address in self.fleet.partitioned or self.own in self.fleet.partitioned:
            raise PeerLost("partitioned", is_sent=True)
        peer = self.fleet.instances[address]
        answer = {HeadRequest: answer_head, BodyRequest: answer_body}[type(message)]
        reply = await answer(peer, None, message)
        if isinstance(message, BodyRequest) and address in self.fleet.damaged:
            return type(reply)(text=reply.text.replace(b':"r', b':"s'))
        return reply


class FakeFleet:
    """Instances that share a fake platform; a name is also the peer address."""

    def __init__(self, names):
        self.store = FakeStore()
        self.instances, self.links = {}, {}
        self.partitioned, self.damaged = set(), set()
        self.now = 0.0
        for name in names:
            self.start(name)
        for name in names:
            self._introduce(name)

    def start(self, name):
        settings = InstanceSettings(
            name=name,
            data_centre="lx",
            caller_address=name,
            operator_address=name,
            peer_address=name,
            platform_address="p",
            platform_token_file="",
            operator_tokens_file="",
            peer_secrets_file="",
            seed_peers=(),
            tls=None,
            log_level="error",
            limits=Limits(),
        )
        secrets = Secrets(platform_token="", operator_tokens=(), peer_secrets=(b"s",))
        instance = make_instance(settings, secrets, self.store, TraceHandler())
        instance.read_pause_clock = lambda: self.now
        instance.peers_contacted.set()
        instance.targets_known.set()
        self.instances[name] = instance
        self.links[name] = FakeLinks(self, name)
        self._introduce(name)

    def _introduce(self, name):
        for other in self.instances:
            member = Member(
                name=other,
                boot=1,
                version=1,
                state=MemberState.ALIVE,
                data_centre="lx",
                peer_address=other,
                caller_address=other,
            )
            merge_member(self.instances[name].members, member, now=0.0)
