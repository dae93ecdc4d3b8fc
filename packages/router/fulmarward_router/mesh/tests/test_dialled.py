import asyncio
import contextlib
import time
import unittest
from unittest import mock

from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosedError

from fulmarward_router.mesh import (
    Heartbeat,
    MemberTable,
    Mesh,
    Subscription,
    SupportsCompression,
    decode_message,
)
from fulmarward_router.mesh._messages import (
    FetchInstances,
    FetchLimits,
    FetchPoison,
    Introduction,
    SupportsSendTimes,
    SupportsStoreEras,
)
from fulmarward_router.mesh.tests.test_members import make_heartbeat
from fulmarward_router.tests._poison import make_poison_knowledge
from fulmarward_router.tests._target_limits import (
    make_leaving_targets,
    make_target_limits,
)


class DialledLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.received = []
        self.has_heartbeat = asyncio.Event()
        server = await serve(self._receive, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _receive(self, link):
        with contextlib.suppress(ConnectionClosedError):
            async for data in link:
                self.received.append(decode_message(data))
                if isinstance(self.received[-1], Heartbeat):
                    self.has_heartbeat.set()

    async def test_compression_support_is_announced_before_the_first_heartbeat(self):
        # A peer would otherwise answer the first heartbeat of each new link with a
        # fetch of the uncompressed row.
        own = make_heartbeat("own").sender
        state = mock.Mock()
        state.make_kept_changes.return_value = None
        state.make_demand_reports.return_value = ()
        state.make_team_reports.return_value = ()
        state.make_heartbeat.return_value = make_heartbeat("own")
        mesh = Mesh(
            poison=make_poison_knowledge(),
            limits=make_target_limits(),
            leaving=make_leaving_targets(),
            own=own,
            members=MemberTable(own=own),
            state=state,
            read_clock=time.monotonic,
            count_bytes=mock.Mock(),
        )
        running = asyncio.create_task(mesh.run((self.address,)))
        self.addCleanup(running.cancel)
        async with asyncio.timeout(10.0):
            await self.has_heartbeat.wait()
        await mesh.close()
        kinds = [type(message) for message in self.received[:9]]
        self.assertEqual(
            kinds,
            [
                Introduction,
                SupportsCompression,
                SupportsSendTimes,
                SupportsStoreEras,
                FetchInstances,
                FetchPoison,
                FetchLimits,
                Subscription,
                Heartbeat,
            ],
        )
        self.assertEqual(
            self.received[1], SupportsCompression(sender=own.name, boot=own.boot)
        )


class OddAddressTest(unittest.IsolatedAsyncioTestCase):
    async def test_address_that_cannot_be_dialled_is_lost_like_any_other(self):
        """Guards against an error that no dialling is known to raise."""
        own = make_heartbeat("own").sender
        mesh = Mesh(
            poison=make_poison_knowledge(),
            limits=make_target_limits(),
            leaving=make_leaving_targets(),
            own=own,
            members=MemberTable(own=own),
            state=mock.Mock(),
            read_clock=time.monotonic,
            count_bytes=mock.Mock(),
        )
        with mock.patch("fulmarward_router.mesh._links.RETRY_S", 0.0):
            for address in ("batch..0.localhost:9", "10.0.0.1:70000", "a\nb:1", ":"):
                with self.subTest(address=address):
                    await mesh._maintain_link(address, is_seed=True)


class SendTimesTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, name, ahead_s):
        """Start an instance whose clock is ahead; return its address."""
        own = make_heartbeat(name).sender
        state = mock.Mock()
        state.make_kept_changes.return_value = None
        state.make_demand_reports.return_value = ()
        state.make_team_reports.return_value = ()
        state.make_heartbeat.return_value = make_heartbeat(name)
        state.merge_heartbeat.side_effect = lambda heartbeat, *, delay_s: (
            self.delays[name].append(delay_s) or []
        )
        mesh = Mesh(
            poison=make_poison_knowledge(),
            limits=make_target_limits(),
            leaving=make_leaving_targets(),
            own=own,
            members=MemberTable(own=own),
            state=state,
            read_clock=lambda: time.monotonic() + ahead_s,
            count_bytes=mock.Mock(),
        )
        server = await serve(mesh.accept, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        return mesh, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def test_time_in_transit_is_known_though_the_clocks_differ(self):
        """Guards against links whose heartbeats never confirm anything."""
        self.delays = {"one": [], "two": []}
        one, first = await self.start("one", 0.0)
        two, second = await self.start("two", 5000.0)
        for mesh, seed in ((one, second), (two, first)):
            running = asyncio.create_task(mesh.run((seed,)))
            self.addCleanup(running.cancel)
        async with asyncio.timeout(10.0):
            while not all(d and d[-1] < 5.0 for d in self.delays.values()):
                await asyncio.sleep(0.02)
        await one.close()
        await two.close()
