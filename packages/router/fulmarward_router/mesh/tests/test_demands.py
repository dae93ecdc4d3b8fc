import asyncio
import time
import unittest

from msgspec.structs import replace

from fulmarward_core.codec import MessageCodec
from fulmarward_core.overlay import FULL_MESH
from fulmarward_core.transit import TransitClock
from fulmarward_router.mesh import DemandReport, DemandScope, MemberTable, Mesh
from fulmarward_router.mesh._codec import encode_message
from fulmarward_router.mesh._demands import DEMANDS_INTERVAL_S
from fulmarward_router.mesh._heartbeats import HeartbeatSender, PeerLink
from fulmarward_router.mesh._messages import (
    MESSAGES,
    ClassDemandReport,
    SendTime,
    SupportsSendTimes,
    TeamReport,
    TeamUseReport,
)
from fulmarward_router.mesh._state import Revisions
from fulmarward_router.mesh.tests.test_heartbeats import _Connection, _State
from fulmarward_router.mesh.tests.test_links import _Link, _State as _LinkState
from fulmarward_router.mesh.tests.test_members import make_heartbeat
from fulmarward_router.tests._poison import make_poison_knowledge
from fulmarward_router.tests._target_limits import (
    make_leaving_targets,
    make_target_limits,
)


def make_demand_report(source="peer", *, has_demand=True, **changes):
    amounts = dict.fromkeys(ClassDemandReport.__struct_fields__, 0)
    item = ClassDemandReport(**{**amounts, "service": "s", "on_time_kv": 5})
    values = {"is_data_centre": False, "boot": 1, "age_ms": 0, **changes}
    demands = (item,) if has_demand else ()
    return DemandReport(source=source, **{"demands": demands, **values})


def make_team_report(source="peer", *, has_uses=True, **changes):
    item = TeamUseReport(service="s", urgency=0, team="a", used_kv=4, waiting_kv=0)
    values = {"is_data_centre": False, "boot": 1, "age_ms": 0, **changes}
    uses = (item,) if has_uses else ()
    return TeamReport(source=source, **{"uses": uses, **values})


_REPORTS = {
    DemandScope.INSTANCE: (make_demand_report("own"),),
    DemandScope.OWN_DATA_CENTRE: (make_demand_report("a", is_data_centre=True),),
    DemandScope.OTHER_DATA_CENTRES: (make_demand_report("b", is_data_centre=True),),
}


class SentDemandsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.own = make_heartbeat("own").sender
        self.members = MemberTable(own=self.own)
        self.state = _State()
        self.state.demand_reports = dict(_REPORTS)
        self.sender = HeartbeatSender(
            data_centre="a",
            members=self.members,
            state=self.state,
            encode=encode_message,
            read_clock=lambda: self.now,
            count_bytes=lambda direction, size: None,
        )

    def _open(self, **values):
        link = PeerLink(connection=_Connection(), **{"address": "", **values})
        self.sender.add(link)
        return link.connection

    def _run_round(self, after_s):
        self.now += after_s
        self.sender._begin_round(self.now)
        for link in self.sender.list_links():
            self.sender._send(link, self.now)

    def _list_sent(self, connection):
        return [m for m in connection.sent if isinstance(m, DemandReport)]

    def test_each_link_gets_the_demand_that_it_needs(self):
        """Guards against demand that is counted twice, or misses a data centre."""
        near = [
            replace(self.own, name=f"n{number}", peer_address=f"near:{number}")
            for number in range(FULL_MESH)
        ]
        far = replace(self.own, name="f", data_centre="b", peer_address="far:1")
        self.members.merge_members([*near, far], now=0.0)
        subscriber = {"is_dialled": False, "subscriber_revisions": Revisions()}
        cases = [
            ("near", False, {"address": "near:0"}, ["own"]),
            ("far", False, {"address": "far:1"}, []),
            ("second hub's link", False, {"is_dialled": False}, []),
            ("near, of a hub", True, {"address": "near:0"}, ["own", "b"]),
            ("far, of a hub", True, {"address": "far:1"}, ["a"]),
            ("subscriber", True, subscriber, ["a", "b"]),
        ]
        for name, is_hub, values, expected in cases:
            with self.subTest(name):
                self.sender.is_hub = is_hub
                sent = self._list_sent(self._open(**values))
                self.assertEqual([item.source for item in sent], expected)

    def test_teams_are_sent_like_the_demand(self):
        """Guards against uses that never end, or are late where others wait."""
        self.state.demand_reports = {}
        self.state.team_reports = {
            DemandScope.INSTANCE: (make_team_report("own"),),
            DemandScope.OTHER_DATA_CENTRES: (make_team_report("b"),),
        }
        connection = self._open()
        self._run_round(DEMANDS_INTERVAL_S / 2)
        self._run_round(DEMANDS_INTERVAL_S / 2)
        none = make_team_report("own", has_uses=False)
        self.state.team_reports = {DemandScope.INSTANCE: (none,)}
        for _ in range(3):
            self._run_round(DEMANDS_INTERVAL_S)
        sent = [m for m in connection.sent if isinstance(m, TeamReport)]
        found = [(item.source, len(item.uses)) for item in sent]
        self.assertEqual(found, [("own", 1), ("own", 1), ("own", 0)])

    def test_peers_of_a_full_mesh_get_the_own_demand_only(self):
        sent = self._list_sent(self._open(address="10.0.0.1:1"))
        self.assertEqual([item.source for item in sent], ["own"])

    def test_demand_is_sent_while_there_is_any_and_once_when_there_is_none(self):
        connection = self._open()
        self._run_round(DEMANDS_INTERVAL_S)
        none = make_demand_report("own", has_demand=False)
        self.state.demand_reports = {DemandScope.INSTANCE: (none,)}
        for _ in range(3):
            self._run_round(DEMANDS_INTERVAL_S)
        sent = self._list_sent(connection)
        self.assertEqual([len(item.demands) for item in sent], [1, 1, 0])

    def test_urgent_rounds_do_not_send_demand_more_often(self):
        """Guards against reports that take more bytes while much changes."""
        connection = self._open()
        for _ in range(20):
            self._run_round(0.05)
        self.assertLessEqual(len(self._list_sent(connection)), 5)

    def test_demand_is_sent_less_often_while_no_request_waits(self):
        """Guards against the cost of reports in a fleet without contention.

        A request that begins to wait is reported in the next round.
        """
        waiting = make_demand_report("own")
        demand = replace(waiting.demands[0], on_time_kv=0, arriving_kv_per_s=5)
        calm = replace(waiting, demands=(demand,))
        self.state.demand_reports = {DemandScope.INSTANCE: (calm,)}
        connection = self._open()
        for _ in range(10):
            self._run_round(DEMANDS_INTERVAL_S)
        self.assertLessEqual(len(self._list_sent(connection)), 4)
        connection.sent.clear()
        self.state.demand_reports = {DemandScope.INSTANCE: (waiting,)}
        self._run_round(DEMANDS_INTERVAL_S)
        self.assertEqual(len(self._list_sent(connection)), 1)

    async def test_report_between_the_rounds_has_a_send_time_of_its_own(self):
        """Guards against a report that seems as old as the last round."""
        transit = TransitClock()
        connection = self._open(expects_load_updates=True, transit=transit)
        connection.sent.clear()
        self.now += DEMANDS_INTERVAL_S
        running = asyncio.create_task(self.sender.run_loads())
        self.addCleanup(running.cancel)
        self.sender.notify_loads()
        async with asyncio.timeout(10.0):
            while not self._list_sent(connection):
                await asyncio.sleep(0.005)
        sent = [m for m in connection.sent if isinstance(m, SendTime | DemandReport)]
        self.assertEqual([type(m) for m in sent], [SendTime, DemandReport])
        self.assertEqual(sent[0].sent_ms, int(self.now * 1000))


class ReceivedDemandsTest(unittest.IsolatedAsyncioTestCase):
    async def _accept(self, *messages, **changes):
        own = make_heartbeat("own").sender
        state = _LinkState([])
        state.merge_demands = lambda report, *, delay_s: self.merged.append(
            (report, delay_s)
        )
        state.merge_teams = state.merge_demands
        self.merged = []
        mesh = Mesh(
            own=own,
            members=MemberTable(own=own),
            state=state,
            poison=make_poison_knowledge(),
            limits=make_target_limits(),
            leaving=make_leaving_targets(),
            count_bytes=lambda direction, size: None,
            **{"read_clock": time.monotonic, **changes},
        )
        await mesh.accept(_Link(messages, [], is_broken=False, send_error=None))
        return state

    async def test_report_is_merged_with_its_delay(self):
        reports = [make_demand_report(), make_team_report()]
        supports = SupportsSendTimes(sender="peer", boot=1)
        sent = SendTime(sent_ms=95_000, offset_ms=-2_000)
        await self._accept(supports, sent, *reports, read_clock=lambda: 100.0)
        self.assertEqual(self.merged, [(report, 3.0) for report in reports])

    async def test_older_release_goes_on_after_a_report(self):
        """Guards against a link that a message unknown to the peer's release ends."""
        for report in (make_demand_report(), make_team_report()):
            with self.subTest(type(report)):
                older = MessageCodec(messages=MESSAGES[: MESSAGES.index(type(report))])
                state = await self._accept(
                    report, make_heartbeat("peer"), decode=older.decode
                )
                self.assertEqual((self.merged, state.delays), ([], [0.0]))
