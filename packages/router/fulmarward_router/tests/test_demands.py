import dataclasses
import unittest
from types import SimpleNamespace

from msgspec.structs import replace

from fulmarward_core.demand import REPORT_DURATION_S
from fulmarward_core.routes import CallerLimits, RoutingConfiguration
from fulmarward_core.routes.tests.test_decisions import make_route
from fulmarward_router.mesh import DemandScope, decode_message, encode_message
from fulmarward_router.mesh.tests.test_demands import make_demand_report
from fulmarward_router.mesh.tests.test_members import make_heartbeat
from fulmarward_router.tests.test_instance_state import Peer

_SERVICE = "one"


def make_configuration(*priorities):
    routes = tuple(make_route(f"/{p}/", priority=p) for p in priorities)
    return RoutingConfiguration(
        version=1,
        routes={"h.example": routes},
        services={},
        limits=CallerLimits(header_bytes=1, body_bytes=1, header_s=1, idle_s=1),
    )


class DemandReportsTest(unittest.TestCase):
    def setUp(self):
        self.one, self.two = self.peers = [Peer("one"), Peer("two")]
        for peer in self.peers:
            peer.configuration.current = make_configuration(0, 1, 2)
        self._wait(self.one, 10.2)

    def _wait(self, peer, kv):
        peer.demands.set_waiting(_SERVICE, 0, on_time_kv=kv, late_kv=0, now=peer.now)

    def _send(self, sender, receiver, scope=DemandScope.INSTANCE, **changes):
        for report in sender.instance_state.make_demand_reports(scope):
            message = decode_message(encode_message(replace(report, **changes)))
            receiver.instance_state.merge_demands(message)

    def _sum(self, peer):
        found = peer.demands.sum(_SERVICE, now=peer.now)
        return sum(item.on_time_kv for item in found)

    def test_demand_of_a_peer_is_added_rounded_up_until_it_expires(self):
        """Guards against reserving capacity for an instance that is gone."""
        self._wait(self.two, 1.0)
        self._send(self.one, self.two)
        self.assertEqual(self._sum(self.two), 12.0)
        self.two.now += REPORT_DURATION_S + 0.01
        self.assertEqual(self._sum(self.two), 1.0)

    def test_nothing_is_sent_unless_a_service_has_classes(self):
        """Guards against new behaviour where all requests are equally urgent."""
        for current in (None, make_configuration(3)):
            self.one.configuration.current = current
            for scope in DemandScope:
                with self.subTest(scope):
                    reports = self.one.instance_state.make_demand_reports(scope)
                    self.assertEqual(reports, ())

    def test_services_without_classes_are_left_out(self):
        self.one.demands.set_waiting(
            "other", 0, on_time_kv=5.0, late_kv=0.0, now=self.one.now
        )
        (report,) = self.one.instance_state.make_demand_reports(DemandScope.INSTANCE)
        self.assertEqual([item.service for item in report.demands], [_SERVICE])

    def test_services_without_classes_are_reported_where_they_are_balanced(self):
        """Guards against overflow that does not know the demand elsewhere."""
        services = {
            _SERVICE: SimpleNamespace(engine=object()),
            "plain": SimpleNamespace(engine=None),
        }
        self.one.configuration.current = dataclasses.replace(
            make_configuration(3), services=services
        )
        self.one.balances_data_centres = True
        self.one.demands.set_waiting(
            "plain", 0, on_time_kv=5.0, late_kv=0.0, now=self.one.now
        )
        (report,) = self.one.instance_state.make_demand_reports(DemandScope.INSTANCE)
        self.assertEqual([item.service for item in report.demands], [_SERVICE])

    def test_peer_that_leaves_counts_no_more_at_once(self):
        self._send(self.one, self.two)
        self.one.is_leaving = True
        (report,) = self.one.instance_state.make_demand_reports(DemandScope.INSTANCE)
        self.assertEqual(report.demands, ())
        self.two.receive_heartbeat(self.one)
        self.assertEqual(self._sum(self.two), 0.0)

    def test_report_of_an_earlier_start_is_ignored(self):
        self.two.members.merge_members([make_heartbeat("one", boot=2).sender], now=1.0)
        self._send(self.one, self.two)
        self.assertEqual(self._sum(self.two), 0.0)
        self._send(self.one, self.two, boot=2)
        self.assertEqual(self._sum(self.two), 11.0)

    def test_delay_and_age_of_a_report_count(self):
        for age_ms, delay_s in ((1000, 0.6), (0, float("inf"))):
            with self.subTest(age_ms):
                self.two.instance_state.merge_demands(
                    make_demand_report("p", age_ms=age_ms), delay_s=delay_s
                )
                self.assertIsNone(
                    self.two.demands.find_oldest_report_age_s(now=self.two.now)
                )

    def test_invalid_reports_are_refused(self):
        (item,) = make_demand_report().demands
        for changes in (
            {"demands": (replace(item, on_time_kv=-1),)},
            {"demands": (replace(item, urgency=-1),)},
            {"demands": (replace(item, late_kv=10**400),)},
            {"demands": (item,) * 17},
            {"age_ms": -1},
        ):
            with self.subTest(str(changes)[:60]):
                report = decode_message(
                    encode_message(make_demand_report("p", **changes))
                )
                self.two.instance_state.merge_demands(report)
                self.assertEqual(self.two.demands.sum("s", now=self.two.now), ())

    def test_demand_reaches_subscribers_of_other_data_centres(self):
        """Guards against demand that a hub counts twice, or that seems new there."""
        hub, member = Peer("hub"), Peer("member")
        for peer in (hub, member):
            peer.configuration.current = make_configuration(0, 1)
        self._wait(member, 3.0)
        # `one` and `two` are an instance and its hub in a data centre, `hub` and
        # `member` in another one, which all tables here call "a".
        self._send(self.one, self.two)
        for report in self.two.instance_state.make_demand_reports(
            DemandScope.OWN_DATA_CENTRE
        ):
            hub.instance_state.merge_demands(replace(report, source="b"))
        self._send(member, hub)
        hub.now += 0.4
        for scope in (DemandScope.OWN_DATA_CENTRE, DemandScope.OTHER_DATA_CENTRES):
            self._send(hub, member, scope)
        self.assertEqual((self._sum(hub), self._sum(member)), (14.0, 14.0))
        (report,) = hub.instance_state.make_demand_reports(
            DemandScope.OTHER_DATA_CENTRES
        )
        self.assertEqual(report.source, "b")
        self.assertIn(report.age_ms, (400, 401))
