import asyncio
import unittest
from unittest import mock

from msgspec.structs import replace
from websockets.protocol import State

from fulmarward_router.mesh import Heartbeat, MemberTable, Revisions, decode_message
from fulmarward_router.mesh._codec import encode_message
from fulmarward_router.mesh._heartbeats import (
    MAX_UNSENT_BYTES,
    HeartbeatSender,
    PeerLink,
)
from fulmarward_router.mesh._messages import (
    DataCentreReport,
    FleetLoads,
    FleetReport,
    LoadReport,
    LoadUpdate,
)
from fulmarward_router.mesh.tests.test_members import make_heartbeat


class _Connection:
    """A connection that records what is written to it."""

    def __init__(self):
        self.protocol = mock.Mock(state=State.OPEN)
        self.protocol.send_binary = lambda data: self.sent.append(decode_message(data))
        self.transport = mock.Mock()
        self.transport.get_write_buffer_size.return_value = 0
        self.send_in_progress = None
        self.sent = []
        #: The future of each ping's pong.
        self.pings = []
        self.answers_pings = True

    def send_data(self):
        pass

    async def ping(self):
        pong = asyncio.get_running_loop().create_future()
        if self.answers_pings:
            pong.set_result(0.001)
        self.pings.append(pong)
        return pong

    def count(self, kind):
        return sum(isinstance(message, kind) for message in self.sent)


class _State:
    """Makes heartbeats and reports, and counts the heartbeats."""

    def __init__(self):
        self.heartbeats = 0
        self.reports = 0
        self.loads = ()
        self.loads_revision = 0
        self.demand_reports = {}
        self.team_reports = {}

    def make_heartbeat(self, *, has_loads=True):
        self.heartbeats += 1
        return make_heartbeat("own")

    def has_loads(self):
        return bool(self.loads)

    def get_loads_revision(self):
        return self.loads_revision

    def make_fleet_loads(self, after):
        report = FleetLoads(sender="own", loads=self.loads, included=())
        return (report if self.loads_revision > after else None), self.loads_revision

    def make_load_update(self):
        return LoadUpdate(sender="own", sequence=1, loads=self.loads)

    def make_demand_reports(self, scope):
        return self.demand_reports.get(scope, ())

    def make_team_reports(self, scope):
        return self.team_reports.get(scope, ())

    def make_target_changes(self, after):
        return None

    def make_fleet_report(self, known):
        self.reports += 1
        report = FleetReport(
            heartbeat=make_heartbeat("own"),
            is_full=known == Revisions(),
            members=(),
            ages=(),
            loads=(),
            included=(),
            losses=(),
            refusing=(),
        )
        return report, Revisions(members=1, loads=self.reports)

    def make_data_centre_report(self, data_centre):
        return DataCentreReport(
            data_centre=data_centre, instances=(), loads=(), paces=()
        )


class HeartbeatSenderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.own = make_heartbeat("own").sender
        self.members = MemberTable(own=self.own)
        self.state = _State()
        self.sender = HeartbeatSender(
            data_centre=self.own.data_centre,
            members=self.members,
            state=self.state,
            encode=encode_message,
            read_clock=lambda: asyncio.get_running_loop().time(),
            count_bytes=lambda direction, size: None,
        )

    def _open(self, count):
        connections = [_Connection() for _ in range(count)]
        for index, connection in enumerate(connections):
            self.sender.add(
                PeerLink(connection=connection, address=f"10.0.0.{index}:1")
            )
        return connections

    def _start(self):
        running = asyncio.create_task(self.sender.run())
        self.addCleanup(running.cancel)
        return running

    async def _await_heartbeats(self, connections, count):
        async with asyncio.timeout(10.0):
            while any(item.count(Heartbeat) < count for item in connections):
                await asyncio.sleep(0.005)

    async def test_error_on_one_link_delays_no_other(self):
        """Guards against an instance that all peers take for dead by one odd link."""
        odd, *others = self._open(3)
        odd.transport.get_write_buffer_size = mock.Mock(side_effect=ValueError)
        self._start()
        await self._await_heartbeats(others, 3)

    async def test_round_takes_one_task_and_one_encoding_for_all_links(self):
        """Guards against a task and a timer for each link of a large fleet."""
        connections = self._open(30)
        self.assertEqual(self.state.heartbeats, 1)
        running = self._start()
        await self._await_heartbeats(connections, 2)
        self.assertEqual(self.state.heartbeats, 2)
        self.assertEqual(asyncio.all_tasks(), {asyncio.current_task(), running})

    async def test_round_starts_after_a_change_or_an_interval(self):
        with mock.patch.object(
            MemberTable, "heartbeat_interval_s", new_callable=mock.PropertyMock
        ) as interval:
            for name, seconds, act in (
                ("change", 60.0, self.sender.notify),
                ("time", 0.02, lambda: None),
            ):
                with self.subTest(name):
                    interval.return_value = seconds
                    connections = self._open(3)
                    running = self._start()
                    await self._await_heartbeats(connections, 2)
                    act()
                    await self._await_heartbeats(connections, 3)
                    running.cancel()

    async def test_change_starts_a_single_round(self):
        connections = self._open(1)
        with mock.patch.object(
            MemberTable, "heartbeat_interval_s", new_callable=mock.PropertyMock
        ) as interval:
            interval.return_value = 60.0
            self.sender.notify()
            self._start()
            await self._await_heartbeats(connections, 2)
            await asyncio.sleep(0.2)
            self.assertEqual(connections[0].count(Heartbeat), 2)

    async def test_change_during_a_round_is_sent_with_the_next(self):
        """Guards against a change that waits for a whole interval."""
        connections = self._open(1)
        with mock.patch.object(
            MemberTable, "heartbeat_interval_s", new_callable=mock.PropertyMock
        ) as interval:
            interval.return_value = 60.0
            self._start()
            await self._await_heartbeats(connections, 2)
            self.sender.notify()
            await asyncio.sleep(0)
            self.sender.notify()
            await self._await_heartbeats(connections, 3)

    async def test_saturated_link_gets_a_heartbeat_after_it_has_drained(self):
        """Guards against heartbeats that accumulate on a saturated link."""
        saturated, other = self._open(2)
        saturated.transport.get_write_buffer_size.return_value = MAX_UNSENT_BYTES + 1
        self._start()
        await self._await_heartbeats([other], 4)
        self.assertEqual(saturated.count(Heartbeat), 1)
        saturated.transport.get_write_buffer_size.return_value = 0
        await self._await_heartbeats([saturated], 2)

    async def test_closed_link_gets_nothing_and_does_not_stop_a_round(self):
        closed, other = self._open(2)
        closed.protocol.state = State.CLOSED
        self._start()
        await self._await_heartbeats([other], 3)
        self.assertEqual(closed.count(Heartbeat), 1)

    async def test_link_without_a_pong_is_aborted(self):
        """Guards against a connection that becomes silent without a reset."""
        silent, healthy = self._open(2)
        silent.answers_pings = False
        self._start()
        async with asyncio.timeout(10.0):
            while not silent.transport.abort.called:
                await asyncio.sleep(0.01)
        self.assertEqual(len(silent.pings), 1)
        self.assertGreater(len(healthy.pings), 1)
        self.assertFalse(healthy.transport.abort.called)

    async def test_link_that_stays_saturated_is_aborted(self):
        """Guards against a silent link that gets no ping as it is saturated."""
        (saturated,) = self._open(1)
        saturated.transport.get_write_buffer_size.return_value = MAX_UNSENT_BYTES + 1
        self._start()
        async with asyncio.timeout(10.0):
            while not saturated.transport.abort.called:
                await asyncio.sleep(0.01)
        self.assertEqual(saturated.pings, [])

    async def test_hub_reports_its_data_centre_to_others_and_others_to_its_own(self):
        nearby = replace(self.own, name="near", peer_address="10.0.0.0:1")
        remote = replace(
            nearby, name="far", data_centre="far", peer_address="10.0.0.1:1"
        )
        self.members.merge_members([nearby, remote], now=0.0)
        self.sender.is_hub = True
        to_nearby, to_remote = self._open(2)
        reported = [
            [m.data_centre for m in item.sent if isinstance(m, DataCentreReport)]
            for item in (to_nearby, to_remote)
        ]
        self.assertEqual(reported, [["far"], [self.own.data_centre]])

    async def test_subscriber_gets_a_full_report_first_and_then_changes(self):
        """Guards against reports that grow with the fleet instead of its changes."""
        connections = [_Connection() for _ in range(20)]
        for connection in connections:
            link = PeerLink(
                connection=connection,
                address="",
                is_dialled=False,
                subscriber_revisions=Revisions(),
            )
            self.sender.add(link)
        self._start()
        async with asyncio.timeout(10.0):
            while any(item.count(FleetReport) < 3 for item in connections):
                await asyncio.sleep(0.005)
        for connection in connections:
            full = [message.is_full for message in connection.sent]
            self.assertEqual(full[:3], [True, False, False])
            self.assertEqual(connection.pings, [])
        self.assertLess(self.state.reports, 8)

    async def test_hub_gets_loads_while_there_are_any_and_once_when_none(self):
        """Guards against stale loads at a hub, and against updates while idle."""
        (connection,) = self._open(1)
        self.sender.list_links()[0].expects_load_updates = True
        self.state.loads = (LoadReport(target="t", kv=1, running=1, first_running=1),)
        self._start()
        await self._await_heartbeats([connection], 3)
        self.state.loads = ()
        await self._await_heartbeats([connection], 7)
        sent = [m.loads for m in connection.sent if isinstance(m, LoadUpdate)]
        self.assertGreater(len(sent), 1)
        self.assertEqual([bool(loads) for loads in sent].count(False), 1)
        self.assertEqual(sent[-1], ())

    async def test_changed_loads_are_sent_between_the_rounds(self):
        """Guards against routing decisions on loads as old as a heartbeat."""
        hub, busy, idle = (_Connection() for _ in range(3))
        links = [
            PeerLink(connection=hub, address="", expects_load_updates=True),
            PeerLink(
                connection=busy,
                address="",
                is_dialled=False,
                subscriber_revisions=Revisions(loads=0),
                is_busy=True,
            ),
            PeerLink(
                connection=idle,
                address="",
                is_dialled=False,
                subscriber_revisions=Revisions(loads=0),
            ),
        ]
        self.sender._links = links
        running = asyncio.create_task(self.sender.run_loads())
        self.addCleanup(running.cancel)
        for number in (1, 2):
            self.state.loads = (
                LoadReport(target="t", kv=number, running=1, first_running=1),
            )
            self.state.loads_revision = number
            self.sender.notify_loads()
            async with asyncio.timeout(10.0):
                while busy.count(FleetLoads) < number:
                    await asyncio.sleep(0.005)
        self.assertEqual(hub.count(LoadUpdate), 2)
        self.assertEqual([m.loads[0].kv for m in busy.sent], [1, 2])
        self.assertEqual(idle.sent, [])
