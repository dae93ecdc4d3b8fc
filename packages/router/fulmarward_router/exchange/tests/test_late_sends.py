"""Orders of events while the bytes of a request wait for a link."""

import asyncio
import socket
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from fulmarward.http import ResponseGuard
from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.isolation import ContactTable
from fulmarward_core.loads import LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.quotas import RetryBudget
from fulmarward_core.results import ResultCode
from fulmarward_core.routes import Route, RouteKind, ServiceShare
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_core.target_limits import LimitTable
from fulmarward_router.exchange import (
    PlainService,
    ServiceContext,
    TargetClient,
    make_target_session,
)
from fulmarward_router.exchange._request_state import (
    RejectedRequest,
    RequestState,
    Shortage,
)
from fulmarward_router.exchange.tests.test_send import (
    _BODY,
    _Dialect,
    _StalledTarget,
)
from fulmarward_router.tests._poison import make_crash_monitor, make_poison_knowledge
from fulmarward_router.tests._target_limits import (
    make_leaving_targets,
    make_target_limits,
)

#: Seconds after an acknowledged leaving in which a target still takes requests.
_DRAIN_S = 3.0

#: Seconds that an attempt has to notice a change.
_NOTICE_S = 0.6


def _make_row(address, version, *, is_leaving, name="t1"):
    record = TargetRecord(
        name=name,
        service="plain",
        address=address,
        data_centre="a",
        is_leaving=is_leaving,
        slots=8,
        remaining_warmup_s=0.0,
        started_ms=1,
        kind="",
        layers=None,
    )
    return KnownRow(
        name=name, version=version, value=b"", record=record, heard_at=time.monotonic()
    )


class LateSendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        #: Seconds by which the instance's clock has been put forward.
        self.skipped_s = 0.0
        session = make_target_session(ResponseGuard())
        self.addAsyncCleanup(session.close)
        self.catalogue = TargetCatalogue()
        budget = RetryBudget(ratio=0.2, slack=0.0, window_s=10.0)
        dialect = _Dialect()
        self.context = ServiceContext(
            poison=make_poison_knowledge(),
            target_limits=make_target_limits(),
            leaving_targets=make_leaving_targets(),
            client=TargetClient(session=session, dialect=dialect),
            dialect=dialect,
            catalogue=self.catalogue,
            suspicions=SuspicionTable(),
            contacts=ContactTable(),
            paces=PaceTable(),
            ledger=LoadLedger(),
            find_budget=lambda service: budget,
            find_share=lambda: 1.0,
            is_large=lambda: False,
            instance="one",
            data_centre="a",
            read_clock=self.read_clock,
        )
        detector = mock.Mock(probe_again=mock.AsyncMock())
        self.plain = PlainService(
            context=self.context,
            failure_detector=detector,
            forwarder=mock.Mock(),
            relay=mock.Mock(is_needed=lambda state: False),
            crash_monitor=make_crash_monitor(self.context, detector),
        )

    def read_clock(self):
        return time.monotonic() + self.skipped_s

    def list_target(self, address, version, *, is_leaving=False):
        row = _make_row(address, version, is_leaving=is_leaving)
        self.catalogue.apply_changes([row], version, now=self.read_clock())

    def serve(self, *, body, deadline_s):
        """Start to serve a request that may not be repeated."""
        route = Route(
            name="r",
            host="",
            prefix="/",
            kind=RouteKind.NON_IDEMPOTENT,
            timeout_s=20.0,
            objective_s=0.5,
            pause_s=0.1,
            priority=0,
            shares=(ServiceShare(service="plain", weight=1.0),),
            most_attempts=1,
            is_public=True,
            is_resumable=False,
        )
        now = self.read_clock()
        state = RequestState(
            request=SimpleNamespace(raw_path="/x", method="POST", get=lambda key: None),
            headers={},
            body=body,
            facts=SimpleNamespace(request_id="a", relayed_by=None, shared_parts=()),
            configuration=None,
            route=route,
            team=None,
            service="plain",
            urgency=0,
            class_urgency=0,
            arrived_at=now,
            deadline=now + deadline_s,
        )
        serving = asyncio.create_task(self.plain.serve(state))
        self.addAsyncCleanup(_cancel, serving)
        return serving

    async def test_request_does_not_wait_for_one_silent_owner_after_another(self):
        """Guards against a request that is answered after its deadline."""
        requested = []

        async def time_out(target, *, request_id):
            await asyncio.sleep(0)
            requested.append(target)
            self.skipped_s += 0.15
            return False

        table = LimitTable()
        for number in range(1, 9):
            name = f"t{number}"
            row = _make_row("127.0.0.1:1", number, is_leaving=False, name=name)
            self.catalogue.apply_changes([row], number, now=self.read_clock())
            table.record(name, per_s=1.0, observed_at=1.0)
        self.plain._limits = SimpleNamespace(
            acquire=time_out,
            list_throttled=frozenset,
            find_wait_s=lambda targets: 0.1,
            table=table,
        )
        serving = self.serve(body=b"", deadline_s=1.0)
        with self.assertRaises(RejectedRequest) as caught:
            await asyncio.wait_for(serving, 2.0)
        self.assertIs(caught.exception.shortage, Shortage.LIMIT)
        self.assertEqual(len(requested), 1)

    async def stall(self, *, deadline_s):
        """Start a request most of whose bytes stay in this instance's send buffer."""
        target = _StalledTarget()
        self.addCleanup(target.close)
        self.list_target(target.address, 1)
        serving = self.serve(body=_BODY, deadline_s=deadline_s)
        connection = await target.accept()
        connection.setblocking(False)
        await asyncio.sleep(0.05)
        return target, serving

    async def read(self, target):
        """Return what reaches the target once the link recovers."""
        loop = asyncio.get_running_loop()
        received = bytearray()
        try:
            async with asyncio.timeout(2.0):
                while len(received) < len(_BODY):
                    data = await loop.sock_recv(target._connection, 1 << 16)
                    if not data:
                        break
                    received += data
        except (ConnectionResetError, TimeoutError):
            pass
        return bytes(received)

    async def test_unsent_request_is_not_delivered_after_its_deadline(self):
        """A connection, a full link, the deadline, the link recovers."""
        target, serving = await self.stall(deadline_s=0.3)
        with self.assertRaises(RejectedRequest) as raised:
            await serving
        self.assertEqual(raised.exception.code, ResultCode.DEADLINE_PASSED)
        self.assertLess(len(await self.read(target)), len(_BODY))

    async def test_unsent_request_is_not_delivered_after_its_target_has_left(self):
        """A connection, a full link, the leaving is known, 3 s, the link recovers."""
        target, _ = await self.stall(deadline_s=20.0)
        self.list_target(target.address, 2, is_leaving=True)
        self.skipped_s += _DRAIN_S
        await asyncio.sleep(_NOTICE_S)
        self.assertLess(len(await self.read(target)), len(_BODY))

    async def accept_all(self, listening, *, seconds):
        """Return what arrives on all connections within that time."""
        received = bytearray()
        ends_at = time.monotonic() + seconds
        connections = []
        while time.monotonic() < ends_at:
            await asyncio.sleep(0.01)
            for source in [listening, *connections]:
                try:
                    if source is listening:
                        connections.append(source.accept()[0])
                        connections[-1].setblocking(False)
                    else:
                        received += source.recv(1 << 16)
                except (BlockingIOError, ConnectionResetError):
                    continue
        for connection in connections:
            connection.close()
        return bytes(received)

    def listen(self, backlog):
        listening = socket.socket()
        self.addCleanup(listening.close)
        listening.bind(("127.0.0.1", 0))
        listening.listen(backlog)
        listening.setblocking(False)
        host, port = listening.getsockname()
        self.list_target(f"{host}:{port}", 1)
        return listening

    async def test_request_is_not_sent_on_a_connection_that_is_made_a_second_late(self):
        """A choice, the connection's first packet is lost, the link recovers."""
        listening = self.listen(0)
        waiting = socket.create_connection(listening.getsockname())
        self.addCleanup(waiting.close)
        serving = self.serve(body=b"small", deadline_s=20.0)
        await asyncio.wait([serving], timeout=0.7)
        self.assertNotIn(b"small", await self.accept_all(listening, seconds=1.2))

    async def test_request_is_not_sent_after_a_blocked_event_loop(self):
        """A choice, the event loop blocked for 1 s, the connection is made."""
        listening = self.listen(8)
        serving = self.serve(body=b"small", deadline_s=20.0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        time.sleep(1.0)
        await asyncio.wait([serving], timeout=0.2)
        self.assertNotIn(b"small", await self.accept_all(listening, seconds=0.3))


async def _cancel(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
