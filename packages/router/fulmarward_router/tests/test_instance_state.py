import random
import unittest
from unittest import mock

from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.demand import DemandTable
from fulmarward_core.loads import LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.spread import pack_value
from fulmarward_core.spread._fetch import FETCH_TIMEOUT_S
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_core.team_shares import TeamSettings, TeamTable
from fulmarward_router.mesh import (
    CompressedConfiguration,
    ConfigurationDeferred,
    FetchCompressedConfiguration,
    FetchTargets,
    InstanceIdentity,
    MemberTable,
    SupportsCompression,
    TargetChanges,
)
from fulmarward_router.mesh.tests.test_members import make_heartbeat
from fulmarward_router.ports import Row
from fulmarward_router.state import (
    ConfigurationHolder,
    InstanceState,
    _instance_state,
)
from fulmarward_router.tests._coroutines import run_at_once


class _Configuration:
    def __init__(self, version):
        self.version = version
        self.routes = self.services = self.teams_by_key = {}
        self.requires_team_key = False


def _decode(row):
    yield
    return _Configuration(int(row.value))


class Peer:
    """An `InstanceState` and its tables, without links; `now` is its clock."""

    def __init__(self, name, decode=_decode, link_bytes_per_s=None):
        self.now = 100.0
        self.is_store_reachable = True
        self.is_leaving = False
        #: Names of the targets that were to be probed.
        self.probed = []
        self.observed = None
        self.unreached = set()
        self.members = MemberTable(own=make_heartbeat(name).sender)
        self.configuration = ConfigurationHolder(decode=decode)
        self.catalogue = TargetCatalogue()
        self.suspicions = SuspicionTable()
        self.paces = PaceTable()
        self.ledger = LoadLedger()
        self.demands = DemandTable(own=name, data_centre="a")
        self.teams = TeamTable(own=name, data_centre="a")
        self.team_settings = TeamSettings()
        self.balances_data_centres = False
        self.instance_state = InstanceState(
            own=InstanceIdentity(
                name=name,
                boot=1,
                data_centre="a",
                peer_address="10.0.0.1:1",
                caller_address="10.0.0.1:2",
            ),
            members=self.members,
            configuration=self.configuration,
            catalogue=self.catalogue,
            suspicions=self.suspicions,
            paces=self.paces,
            ledger=self.ledger,
            demands=self.demands,
            teams=self.teams,
            read_team_settings=lambda: self.team_settings,
            balances_data_centres=lambda: self.balances_data_centres,
            sees_slow_streams=lambda: False,
            decode_row=self._decode_row,
            read_clock=lambda: self.now,
            is_ready=lambda: True,
            is_leaving=lambda: self.is_leaving,
            reaches_service=lambda service: service not in self.unreached,
            is_store_reachable=lambda: self.is_store_reachable,
            notify_peers=lambda: None,
            probe_targets=self.probed.extend,
            handle_target_changes=lambda rows: None,
            start_task=run_at_once,
            is_observer=lambda name: self.observed is None or name in self.observed,
            link_bytes_per_s=link_bytes_per_s,
        )

    @staticmethod
    def _decode_row(row, *, now):
        return KnownRow(
            name=row.key,
            version=row.version,
            value=row.value,
            record=None,
            heard_at=now,
        )

    def record_compression_support(self, other):
        """Receive the `SupportsCompression` that another sends when it dials a link."""
        sender = other.instance_state.make_heartbeat().sender
        message = SupportsCompression(sender=sender.name, boot=sender.boot)
        self.instance_state.record_supports_compression(message)

    def receive_heartbeat(self, other):
        """Merge a heartbeat of another and its answers to the fetches; return these."""
        self.record_compression_support(other)
        heartbeat = other.instance_state.make_heartbeat()
        self.members.merge_heartbeat(heartbeat, now=self.now)
        fetches = self.instance_state.merge_heartbeat(heartbeat)
        for fetch in fetches:
            answer = other.instance_state.answer(fetch)
            if isinstance(answer, ConfigurationDeferred):
                self.instance_state.record_deferred(answer)
            elif answer is not None:
                self.instance_state.merge_snapshot(answer)
        return fetches


def _make_row(version, value):
    return Row(key="config", value=value, version=version)


class IsolatedReporterTest(unittest.TestCase):
    def test_failures_of_an_unreached_service_are_not_reported(self):
        """Guards against failures seen behind a cut that begins during a probe."""
        peer = Peer("one")
        services = {"t1": "pool", "t2": "plain"}
        peer.catalogue.find_target = lambda name: mock.Mock(service=services[name])
        for target in services:
            peer.suspicions.record_failure(target, now=peer.now)
        for unreached, expected in (({}, ["t1", "t2"]), ({"pool"}, ["t2"])):
            peer.unreached = unreached
            losses = peer.instance_state.make_heartbeat().losses
            self.assertEqual([loss.target for loss in losses], expected)
            losses = peer.instance_state.make_loss_reports(services)
            self.assertEqual([loss.target for loss in losses], expected)

    def test_isolated_peer_is_no_candidate_for_duties_that_need_targets(self):
        """Guards against a duty that stays vacant behind an isolated instance."""
        peer = Peer("two")
        peer.now += _instance_state.START_DURATION_S
        peer.members.merge_heartbeat(
            make_heartbeat("one", is_ready=False), now=peer.now
        )
        state = peer.instance_state
        self.assertFalse(state.is_among_first(1))
        self.assertTrue(state.is_among_first(1, needs_targets=True))
        self.assertTrue(peer.members.is_first_ready_in_data_centre(now=peer.now))


class InstanceStateTest(unittest.TestCase):
    def setUp(self):
        self.one, self.two = Peer("one"), Peer("two")

    def test_instance_refused_by_the_store_gets_changes_from_a_peer(self):
        # The store serves one instance and refuses the other. Both must learn of a
        # revoked key, or of a leaving target, within the time limit.
        run_at_once(
            self.one.configuration.apply_row(_make_row(4, b"7"), source="store")
        )
        row = KnownRow(name="t", version=5, value=b"x", record=None, heard_at=100.0)
        self.one.catalogue.apply_full_read([row], 5, now=100.0)
        self.two.receive_heartbeat(self.one)
        self.assertEqual(self.two.configuration.version, 7)
        self.assertEqual(self.two.catalogue.version, 5)

    def test_whole_table_of_a_peer_also_removes_targets(self):
        """Guards against a removal between an own read and a peer's first one."""
        rows = {
            name: KnownRow(
                name=name, version=at, value=b"x", record=None, heard_at=100.0
            )
            for name, at in (("kept", 5), ("removed", 6))
        }
        self.one.catalogue.apply_full_read([rows["kept"]], 9, now=100.0)
        whole_table = self.one.instance_state.answer(FetchTargets(after=0))
        self.two.catalogue.apply_full_read(rows.values(), 7, now=100.0)
        self.two.instance_state.merge_snapshot(whole_table)
        known = [
            row.name
            for row in self.two.catalogue.list_rows(after=0)
            if row.value is not None
        ]
        self.assertEqual((known, self.two.catalogue.version), (["kept"], 9))

    def test_peer_without_news_does_not_prevent_fetches_from_others(self):
        """Guards against hubs whose heartbeats alternate so that only one is asked."""
        behind, ahead = Peer("behind"), Peer("ahead")
        rows = [
            KnownRow(name="t", version=at, value=b"x%d" % at, record=None, heard_at=1.0)
            for at in (5, 7, 9)
        ]
        for peer in (self.one, behind, ahead):
            peer.catalogue.apply_full_read(rows[:1], 5, now=100.0)
        ahead.catalogue.apply_changes(rows[1:2], 7, now=100.0)
        self.one.receive_heartbeat(ahead)
        # The next change follows too soon for another fetch.
        ahead.catalogue.apply_changes(rows[2:], 9, now=100.0)
        self.one.now += 0.05
        self.one.receive_heartbeat(ahead)
        for _ in range(4):
            self.one.now += 0.39
            self.one.receive_heartbeat(behind)
            self.one.now += 0.01
            self.one.receive_heartbeat(ahead)
        self.assertEqual(self.one.catalogue.version, 9)

    def test_any_peer_is_asked_if_the_newest_does_not_answer(self):
        """Guards against a restarted hub that reports a version without its changes."""
        restarted, behind = Peer("restarted"), Peer("behind")
        rows = [
            KnownRow(name="t", version=at, value=b"x", record=None, heard_at=100.0)
            for at in (5, 7, 9)
        ]
        self.one.catalogue.apply_full_read(rows[:1], 5, now=100.0)
        behind.catalogue.apply_full_read(rows[:1], 5, now=100.0)
        behind.catalogue.apply_changes(rows[1:2], 7, now=100.0)
        restarted.catalogue.apply_full_read(rows[2:], 9, now=100.0)
        for _ in range(3):
            self.one.receive_heartbeat(restarted)
            self.one.now += 0.3
            self.one.receive_heartbeat(behind)
            self.one.now += 0.3
        self.assertEqual(self.one.catalogue.version, 7)

    def test_report_that_cannot_confirm_the_targets_is_logged(self):
        """A restarted hub reports a version whose changes it does not know."""
        restarted = Peer("restarted")
        row = KnownRow(name="t", version=5, value=b"x", record=None, heard_at=100.0)
        self.one.catalogue.apply_full_read([row], 5, now=100.0)
        cases = [
            # seconds, the version of the restarted peer's first read, lines
            (0.5, 9, 0),
            (1.5, 9, 1),
            (1.9, 9, 0),
            (2.6, 9, 1),
        ]
        for after_s, version, lines in cases:
            with self.subTest(after_s=after_s):
                now = self.one.now = restarted.now = 100.0 + after_s
                restarted.catalogue.apply_full_read([row], version, now=now)
                with mock.patch.object(_instance_state, "log_event") as log_event:
                    self.one.receive_heartbeat(restarted)
                self.assertEqual(len(log_event.call_args_list), lines)
        line = log_event.call_args.kwargs
        self.assertEqual(line["peer"], "restarted")
        self.assertEqual((line["peer_version"], line["version"]), (9, 5))
        self.assertEqual((line["peer_age_s"], line["age_s"]), (0.0, 2.6))
        with mock.patch.object(_instance_state, "log_event") as log_event:
            self.two.receive_heartbeat(restarted)
        self.assertIsNone(log_event.call_args.kwargs["age_s"])

    def test_new_configuration_is_fetched_once_though_all_peers_report_it(self):
        # The operator changes the configuration, and 76 peers report it at the same
        # moment. Each was asked for the whole row. The answers saturated the link for
        # two seconds; probes timed out, and their targets counted as unreachable.
        peers = [Peer(f"peer{number}") for number in range(76)]
        for peer in peers:
            run_at_once(peer.configuration.apply_row(_make_row(4, b"7"), source="x"))
            self.one.record_compression_support(peer)
        heartbeats = [peer.instance_state.make_heartbeat() for peer in peers]
        fetches = [
            fetch
            for heartbeat in heartbeats
            for fetch in self.one.instance_state.merge_heartbeat(heartbeat)
        ]
        expected = [FetchCompressedConfiguration(sender="one", version=0)]
        self.assertEqual(fetches, expected)
        self.one.now += 0.25
        again = [
            fetch
            for heartbeat in heartbeats
            for fetch in self.one.instance_state.merge_heartbeat(heartbeat)
        ]
        self.assertEqual(again, [])
        self.one.now += FETCH_TIMEOUT_S
        again = [
            fetch
            for heartbeat in heartbeats
            for fetch in self.one.instance_state.merge_heartbeat(heartbeat)
        ]
        self.assertEqual(again, expected)

    def test_fetch_deferred_by_one_peer_is_sent_to_the_next_one(self):
        # A row takes the full bandwidth of its sender's link for a while. A peer that
        # asks meanwhile is deferred, and gets it from one that has just received it.
        blanks = bytes(random.Random(1).choices(b" \t\n\r", k=400_000))
        two, three = Peer("two"), Peer("three")
        for peer in (two, three):
            row = _make_row(4, b"7" + blanks)
            run_at_once(peer.configuration.apply_row(row, source="x"))
        two.instance_state.answer(
            FetchCompressedConfiguration(sender="four", version=0)
        )
        self.assertEqual(len(self.one.receive_heartbeat(two)), 1)
        self.assertEqual(self.one.configuration.version, 0)
        self.assertEqual(self.one.receive_heartbeat(two), [])
        self.assertEqual(len(self.one.receive_heartbeat(three)), 1)
        self.assertEqual(self.one.configuration.version, 7)

    def test_fetch_ends_with_its_link_and_the_next_peer_is_asked(self):
        # The peer that was asked is killed while its answer is in transit.
        heartbeats = []
        for name in ("two", "three"):
            peer = Peer(name)
            run_at_once(peer.configuration.apply_row(_make_row(4, b"7"), source="x"))
            heartbeats.append(peer.instance_state.make_heartbeat())
        merge_heartbeat = self.one.instance_state.merge_heartbeat
        self.assertEqual(
            [len(merge_heartbeat(heartbeat)) for heartbeat in heartbeats], [1, 0]
        )
        self.one.instance_state.handle_link_closed("three")
        self.assertEqual(merge_heartbeat(heartbeats[1]), [])
        self.one.instance_state.handle_link_closed("two")
        self.assertEqual(len(merge_heartbeat(heartbeats[1])), 1)

    def test_damaged_configuration_changes_nothing(self):
        run_at_once(
            self.one.configuration.apply_row(_make_row(4, b"7"), source="store")
        )
        for packed in (b"", b"8", pack_value(b"8")[:-1], pack_value(b"no version")):
            with self.subTest(packed):
                snapshot = CompressedConfiguration(
                    key="config", version=9, packed=packed
                )
                self.one.instance_state.merge_snapshot(snapshot)
                self.assertEqual(self.one.configuration.version, 7)
                self.assertEqual(self.one.configuration.row.value, b"7")

    def test_older_configuration_changes_nothing(self):
        run_at_once(
            self.one.configuration.apply_row(_make_row(4, b"7"), source="store")
        )
        run_at_once(
            self.two.configuration.apply_row(_make_row(9, b"8"), source="store")
        )
        self.assertEqual(self.two.receive_heartbeat(self.one), [])
        self.two.instance_state.merge_snapshot(
            self.one.instance_state.answer(
                FetchCompressedConfiguration(sender="two", version=0)
            )
        )
        self.assertEqual(self.two.configuration.version, 8)

    def test_changes_after_a_newer_version_do_not_advance_the_own_version(self):
        # The answer to an older fetch is late. The changes before it are missing, so
        # the instance must not assume that it has everything up to its version.
        changes = TargetChanges(after=50, version=60, age_ms=0, rows=())
        self.two.instance_state.merge_snapshot(changes)
        self.assertEqual(self.two.catalogue.version, 0)

    def test_confirmation_is_passed_on_with_its_age(self):
        for peer in (self.one, self.two):
            run_at_once(peer.configuration.apply_row(_make_row(4, b"7"), source="x"))
        self.one.configuration.confirmed_at = 99.0
        self.two.receive_heartbeat(self.one)
        self.assertAlmostEqual(self.two.configuration.confirmed_at, 99.0, places=2)

    def test_reported_failure_of_a_target_is_not_passed_on(self):
        self.one.suspicions.record_failure("t", now=100.0)
        self.two.receive_heartbeat(self.one)
        self.assertTrue(self.two.suspicions.is_indirect("t", now=100.1))
        self.assertTrue(self.two.suspicions.is_suspect("t", now=100.1))
        self.assertEqual(self.two.instance_state.make_heartbeat().losses, ())

    def test_reported_failure_is_verified_by_the_observers_of_the_target(self):
        """Guards against probes of one target by each instance that hears of it."""
        self.two.observed = {"u"}
        for name in "tu":
            self.one.suspicions.record_failure(name, now=100.0)
        self.two.receive_heartbeat(self.one)
        self.assertEqual(self.two.probed, ["u"])
        self.assertTrue(self.two.suspicions.is_suspect("t", now=100.1))

    def test_loss_that_is_sent_at_once_is_a_report_from_its_observation_on(self):
        """Guards against a wrong report that answers after the loss don't refute."""
        for name in "tu":
            self.one.suspicions.record_failure(name, now=100.0)
        losses = self.one.instance_state.make_loss_reports(["t", "reachable"])
        self.assertEqual([loss.target for loss in losses], ["t"])
        self.two.now = 100.1
        self.two.instance_state.merge_losses(losses, source="one", delay_s=0.1)
        self.assertTrue(self.two.suspicions.is_indirect("t", now=101.9))
        self.assertFalse(self.two.suspicions.is_suspect("t", now=102.1))
        self.assertEqual(self.two.probed, ["t"], "by its observer")
        self.assertFalse(self.two.suspicions.record_answer("t", asked_at=99.9))
        self.assertTrue(self.two.suspicions.record_answer("t", asked_at=100.05))

    def test_loss_that_a_peer_reported_is_not_sent_again(self):
        """Guards against a message from each instance that confirms a loss."""
        self.one.suspicions.record_indirect_failure("t", duration_s=2.0, now=100.0)
        self.assertTrue(self.one.suspicions.record_failure("t", now=100.0))
        self.assertEqual(self.one.instance_state.make_loss_reports(["t"]), [])

    def test_slow_target_is_reported_with_the_age_of_its_pace(self):
        self.one.paces.note("t", 12.0, at=99.0)
        self.two.receive_heartbeat(self.one)
        self.assertEqual(self.two.paces.find("t", now=100.0), 12.0)
        self.assertAlmostEqual(self.two.paces.list_slow(now=100.0)["t"].at, 99.0)

    def test_duty_for_the_fleet_goes_to_an_instance_that_reaches_the_store(self):
        # The store refuses only the instance that orders layers. While the duty stayed
        # with the first by name, no gap was closed until the store accepted it again.
        cases = [
            ({}, (True, False)),
            ({"is_store_reachable": False}, (False, True)),
            ({"is_leaving": True}, (False, True)),
        ]
        for changes, expected in cases:
            with self.subTest(changes):
                one, two = Peer("one"), Peer("two")
                for name, value in changes.items():
                    setattr(one, name, value)
                one.receive_heartbeat(two)
                two.receive_heartbeat(one)
                found = tuple(
                    peer.instance_state.is_among_first(1) for peer in (one, two)
                )
                self.assertEqual(found, expected)

    def test_store_is_out_if_no_fresh_instance_reaches_it_and_most_are_fresh(self):
        # An instance that is refused by the store, or partitioned from the others,
        # would order layers under an expired lease beside the new holder.
        cases = [
            ("all reach it", True, True, True, False),
            ("only the others reach it", False, True, True, False),
            ("none reaches it", False, False, True, True),
            ("none reaches it and none is heard", False, False, False, False),
        ]
        for name, own, other, is_heard, expected in cases:
            with self.subTest(name):
                one, two, three = Peer("one"), Peer("two"), Peer("three")
                one.is_store_reachable = own
                two.is_store_reachable = three.is_store_reachable = other
                one.receive_heartbeat(two)
                one.receive_heartbeat(three)
                if not is_heard:
                    one.now += 10.0
                self.assertEqual(one.instance_state.is_store_out(), expected)

    def test_rewritten_rows_of_targets_cause_no_fetch(self):
        """Guards against a fetch for each heartbeat that targets write to the store."""
        self._add_shared_target()
        for step in range(1, 40):
            now = self.one.now = self.two.now = 100.0 + step * 0.1
            row = self._make_row(5 + step)
            self.one.catalogue.apply_changes([row], 5 + step, now=now)
            self.assertEqual(self.two.receive_heartbeat(self.one), [])
            self.assertAlmostEqual(self.two.catalogue.confirmed_at, now, places=2)

    def test_change_of_a_leaving_target_is_fetched_at_once(self):
        """Guards against requests to a target that a peer knows to be leaving."""
        self._add_shared_target()
        self.one.now = self.two.now = 101.0
        leaving = self._make_row(9, b"leaving")
        self.one.catalogue.apply_changes([leaving], 12, now=101.0)
        self.assertEqual(self.two.receive_heartbeat(self.one), [FetchTargets(after=5)])
        self.assertEqual(self.two.catalogue.version, 12)
        known = {row.name: row.value for row in self.two.catalogue.list_rows(after=0)}
        self.assertEqual(known, {"t": b"leaving"})

    def test_restarted_peer_makes_others_fetch_until_they_know_its_version(self):
        """Guards against endless fetches that a restarted peer cannot answer."""
        self._add_shared_target()
        three, row = Peer("three"), self._make_row(8)
        self.two.now = 100.3
        three.catalogue.apply_full_read([row], 9, now=100.0)
        self.assertEqual(self.two.receive_heartbeat(three), [FetchTargets(after=5)])
        self.assertEqual(self.two.catalogue.version, 5)
        self.one.catalogue.apply_changes([row], 9, now=100.0)
        self.one.now = self.two.now = 100.5
        self.assertEqual(self.two.receive_heartbeat(self.one), [FetchTargets(after=5)])
        for peer in (three, self.one):
            self.two.now += 0.5
            self.assertEqual(self.two.receive_heartbeat(peer), [])

    def _make_row(self, version, value=b"x"):
        return KnownRow(
            name="t", version=version, value=value, record=None, heard_at=100.0
        )

    def _add_shared_target(self):
        """Add a target at the first instance and let the second one fetch it."""
        self.one.catalogue.apply_full_read([self._make_row(5)], 5, now=100.0)
        self.two.receive_heartbeat(self.one)
        self.assertEqual(self.two.catalogue.version, 5)

    def test_restarted_instance_reports_no_changes_before_its_first_read(self):
        # A plain target leaves for good. An instance that starts shortly afterwards
        # reads the list without it and has the newest version. Another instance, which
        # knew the target, fetched the changes from it, got no removal, adopted the
        # newer version and sent requests to the target for two more seconds.
        target = KnownRow(name="t", version=5, value=b"x", record=None, heard_at=90.0)
        other = KnownRow(name="u", version=6, value=b"x", record=None, heard_at=90.0)
        self.one.catalogue.apply_full_read([target, other], 6, now=99.0)
        self.two.catalogue.apply_full_read([other], 9, now=100.0)
        self.one.receive_heartbeat(self.two)
        self.assertEqual(self.one.catalogue.version, 6)
        three = Peer("three")
        three.catalogue.apply_full_read([target, other], 6, now=99.0)
        gone = KnownRow(name="t", version=8, value=None, record=None, heard_at=100.0)
        three.catalogue.apply_changes([gone], 9, now=100.0)
        self.one.now = 100.5
        self.one.receive_heartbeat(three)
        self.assertEqual(self.one.catalogue.version, 9)
        known = {row.name: row.value for row in self.one.catalogue.list_rows(after=0)}
        self.assertEqual(known, {"t": None, "u": b"x"})

    def test_instance_without_targets_gets_all_from_a_restarted_one(self):
        row = KnownRow(name="u", version=6, value=b"x", record=None, heard_at=90.0)
        self.two.catalogue.apply_full_read([row], 9, now=100.0)
        self.one.receive_heartbeat(self.two)
        self.assertEqual(self.one.catalogue.version, 9)

    def test_fetch_without_a_newer_version_has_no_answer(self):
        fetch = FetchCompressedConfiguration(sender="two", version=3)
        self.assertIsNone(self.one.instance_state.answer(fetch))
        answer = self.one.instance_state.answer(FetchTargets(after=0))
        self.assertEqual(answer.rows, ())
        self.assertEqual(make_heartbeat().is_store_reachable, True)
