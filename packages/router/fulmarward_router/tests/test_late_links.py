"""Orders of events around a link between instances that holds back its bytes."""

import asyncio
import socket
import time
import unittest

from websockets.asyncio.client import connect
from websockets.asyncio.connection import broadcast
from websockets.asyncio.server import serve

from fulmarward_router.mesh import (
    CompressedConfiguration,
    Heartbeat,
    MemberTable,
    decode_message,
    encode_message,
)
from fulmarward_router.mesh._heartbeats import HeartbeatSender, PeerLink
from fulmarward_router.mesh.tests.test_members import make_heartbeat
from fulmarward_router.tests._routing_peer import (
    CONFIGURATION_S,
    RoutingPeer,
    make_configuration_row,
    make_target_row,
)

#: Seconds for which the bytes stay on their way after their link was ended.
_HELD_S = 1.2

#: A copy of a configuration that fills the link: more than the receive buffer of its
#: far end, in bytes.
_COPY = bytes(200_000)
_RECEIVE_BUFFER = 4096

#: Seconds between two polls for bytes on a link.
_POLL_S = 0.002


class _Peer(RoutingPeer):
    """A `RoutingPeer` whose clock runs; `skipped_s` puts it forward."""

    skipped_s = 0.0

    @property
    def now(self):
        return time.monotonic() + self.skipped_s

    @now.setter
    def now(self, value):
        pass


class _Link:
    """Carries bytes to a server; while it is held, none are taken from the sender."""

    def __init__(self, port):
        self._port = port
        self._flows = asyncio.Event()
        self._flows.set()
        self._tasks = []
        self._listening = socket.socket()
        self._listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
        self._listening.bind(("127.0.0.1", 0))
        self._listening.listen()
        self._listening.setblocking(False)
        self.port = self._listening.getsockname()[1]

    async def carry(self):
        loop = asyncio.get_running_loop()
        near, _ = await loop.sock_accept(self._listening)
        far = socket.create_connection(("127.0.0.1", self._port))
        for end in (near, far):
            end.setblocking(False)
        back = asyncio.create_task(self._copy(far, near))
        try:
            await self._copy(near, far, waits=True)
        finally:
            back.cancel()
            near.close()
            far.close()

    async def _copy(self, one, other, *, waits=False):
        loop = asyncio.get_running_loop()
        while True:
            if waits:
                await self._flows.wait()
            try:
                data = one.recv(1 << 16)
            except BlockingIOError:
                await asyncio.sleep(_POLL_S)
                continue
            if not data:
                return
            await loop.sock_sendall(other, data)

    def hold(self):
        self._flows.clear()

    def release(self):
        self._flows.set()

    def close(self):
        self._listening.close()


class EndedLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.reader, self.peer = _Peer("reader"), _Peer("peer")
        for one in (self.reader, self.peer):
            one.read_configuration(make_configuration_row(1))
            one.read_targets([make_target_row("t1", 2)], 2)
        self.heard = 0
        server = await serve(self._receive, "127.0.0.1", 0)
        self.addAsyncCleanup(_close, server)
        self.link = _Link(server.sockets[0].getsockname()[1])
        self.addCleanup(self.link.close)
        self.start(self.link.carry())

    def start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.addAsyncCleanup(_cancel, task)

    async def _receive(self, connection):
        async for data in connection:
            message = decode_message(data)
            if isinstance(message, Heartbeat):
                self.peer.instance_state.merge_heartbeat(message)
                self.heard += 1

    async def _confirm(self):
        while True:
            self.reader.configuration.record_confirmation(at=self.reader.now)
            await asyncio.sleep(0.02)

    async def test_heartbeat_of_an_ended_link_denies_no_route_that_is_in_force(self):
        """A full link, its late end, a new route, the late bytes, a request."""
        connection = await connect(
            f"ws://127.0.0.1:{self.link.port}", ping_interval=None, compression=None
        )
        sender = HeartbeatSender(
            data_centre="a",
            members=MemberTable(own=make_heartbeat("reader").sender),
            state=self.reader.instance_state,
            encode=encode_message,
            read_clock=lambda: self.reader.now,
            count_bytes=lambda direction, size: None,
        )
        self.start(self._confirm())
        self.start(sender.run())
        sender.add(PeerLink(connection=connection, address="peer"))
        async with asyncio.timeout(4.0):
            while not self.heard:
                await asyncio.sleep(0.01)
            self.link.hold()
            copy = CompressedConfiguration(key="config", version=1, packed=_COPY)
            broadcast([connection], encode_message(copy))
            await connection.wait_closed()
        self.reader.read_configuration(make_configuration_row(2))
        changed_at = self.reader.now
        self.peer.skipped_s = _HELD_S
        self.link.release()
        await asyncio.sleep(0.3)
        self.peer.skipped_s += changed_at + CONFIGURATION_S + 0.05 - self.peer.now
        request = asyncio.to_thread(self.peer.request, "/v2/x")
        self.assertEqual((await request)[0], 503)


async def _close(server):
    server.close()
    await server.wait_closed()


async def _cancel(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
