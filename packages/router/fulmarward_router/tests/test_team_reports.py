import unittest

from msgspec.structs import replace

from fulmarward_core.team_shares import TeamHold, TeamSettings
from fulmarward_router.mesh import DemandScope, decode_message, encode_message
from fulmarward_router.mesh.tests.test_demands import make_team_report
from fulmarward_router.tests.test_instance_state import Peer


class TeamReportsTest(unittest.TestCase):
    def setUp(self):
        self.one, self.two = self._make_peer("one"), self._make_peer("two")
        self._hold(self.one.teams.record_waiting, "a", 2.5)
        self._hold(self.one.teams.record_running, "a", 10.2)

    def _make_peer(self, name):
        peer = Peer(name)
        peer.team_settings = TeamSettings(is_enabled=True)
        return peer

    def _hold(self, record, team, kv):
        record(team, TeamHold(service="s", urgency=0, team=team, kv=kv))

    def _send(self, sender, receiver, scope=DemandScope.INSTANCE, **changes):
        for report in sender.instance_state.make_team_reports(scope):
            message = decode_message(encode_message(replace(report, **changes)))
            receiver.instance_state.merge_teams(message)

    def _list(self, peer):
        uses = peer.teams.find_uses("s", 0, now=peer.now).values()
        return {use.team: (use.used_kv, use.waiting_kv) for use in uses}

    def test_nothing_is_sent_or_read_without_the_setting(self):
        """Guards against new behaviour where shares of teams are not set."""
        self.two.team_settings = TeamSettings()
        self._send(self.one, self.two)
        self.assertEqual(self._list(self.two), {})
        for scope in DemandScope:
            with self.subTest(scope):
                reports = self.two.instance_state.make_team_reports(scope)
                self.assertEqual(reports, ())

    def test_peer_that_leaves_counts_no_more_at_once(self):
        """Guards against a share that is left free for nobody."""
        self._send(self.one, self.two)
        self.one.is_leaving = True
        (report,) = self.one.instance_state.make_team_reports(DemandScope.INSTANCE)
        self.assertEqual(report.uses, ())
        self.two.receive_heartbeat(self.one)
        self.assertEqual(self._list(self.two), {})

    def test_invalid_reports_are_refused(self):
        """Guards against a report that ends a link, or enters a sum."""
        (item,) = make_team_report().uses
        for changes in (
            {"uses": (replace(item, used_kv=-1),)},
            {"uses": (replace(item, urgency=-1),)},
            {"uses": (replace(item, waiting_kv=10**400),)},
            {"age_ms": -1},
        ):
            with self.subTest(str(changes)[:60]):
                report = encode_message(make_team_report("p", **changes))
                self.two.instance_state.merge_teams(decode_message(report))
                self.assertEqual(self._list(self.two), {})

    def test_uses_reach_subscribers_of_other_data_centres(self):
        """Guards against uses that a hub counts twice, or that seem new there."""
        hub, member = self._make_peer("hub"), self._make_peer("member")
        self._hold(member.teams.record_running, "b", 3.0)
        # `one` and `two` are an instance and its hub in a data centre, `hub` and
        # `member` in another one, which all tables here call "a".
        self._send(self.one, self.two)
        self._send(self.two, hub, DemandScope.OWN_DATA_CENTRE, source="b")
        hub.now += 0.4
        for _ in range(2):
            self._send(member, hub)
            for scope in (DemandScope.OWN_DATA_CENTRE, DemandScope.OTHER_DATA_CENTRES):
                self._send(hub, member, scope)
        for peer in (hub, member):
            self.assertEqual(self._list(peer), {"a": (11.0, 3.0), "b": (3.0, 0.0)})
        (report,) = hub.instance_state.make_team_reports(DemandScope.OTHER_DATA_CENTRES)
        self.assertIn(report.age_ms, (400, 401))
