import random
import unittest

from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.loads import LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.spread import pack_value
from fulmarward_core.spread._fetch import FETCH_TIMEOUT_S
from fulmarward_core.suspicion import SuspicionTable
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
from fulmarward_router.state import ConfigurationHolder, Knowledge


class _Configuration:
    def __init__(self, version):
        self.version = version
        self.routes = {}


def _decode(row):
    return _Configuration(int(row.value))


class Peer:
    """An instance's knowledge without links; `now` is its clock."""

    def __init__(self, name, decode=_decode, link_bytes_per_s=None):
        self.now = 100.0
        self.is_store_reachable = True
        self.is_leaving = False
        self.members = MemberTable(own=make_heartbeat(name).sender)
        self.configuration = ConfigurationHolder(decode=decode)
        self.catalogue = TargetCatalogue()
        self.suspicions = SuspicionTable()
        self.paces = PaceTable()
        self.ledger = LoadLedger()
        self.knowledge = Knowledge(
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
            sees_slow_streams=lambda: False,
            decode_row=self._decode_row,
            read_clock=lambda: self.now,
            is_ready=lambda: True,
            is_leaving=lambda: self.is_leaving,
            is_store_reachable=lambda: self.is_store_reachable,
            note_change=lambda: None,
            note_targets=lambda rows: None,
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

    def meet(self, other):
        """Hear what another says of itself when it dials a link."""
        sender = other.knowledge.make_heartbeat().sender
        told = SupportsCompression(sender=sender.name, boot=sender.boot)
        self.knowledge.note_supports_compression(told)

    def hear(self, other):
        """Take a heartbeat of another and ask what it makes this one ask."""
        self.meet(other)
        heartbeat = other.knowledge.make_heartbeat()
        self.members.merge_heartbeat(heartbeat, now=self.now)
        questions = self.knowledge.merge_heartbeat(heartbeat)
        for question in questions:
            answer = other.knowledge.answer(question)
            if isinstance(answer, ConfigurationDeferred):
                self.knowledge.note_deferred(answer)
            elif answer is not None:
                self.knowledge.merge_snapshot(answer)
        return questions


def _make_row(version, value):
    return Row(key="config", value=value, version=version)


class KnowledgeTest(unittest.TestCase):
    def setUp(self):
        self.one, self.two = Peer("one"), Peer("two")

    def test_instance_that_the_store_turns_away_gets_news_by_a_peer(self):
        # The store serves one instance and refuses the other. A key taken away, or a
        # target that leaves, must be known at both within the bound.
        self.one.configuration.take_row(_make_row(4, b"7"), source="store", now=100.0)
        row = KnownRow(name="t", version=5, value=b"x", record=None, heard_at=100.0)
        self.one.catalogue.take_all([row], 5, now=100.0)
        self.two.hear(self.one)
        self.assertEqual(self.two.configuration.version, 7)
        self.assertEqual(self.two.catalogue.version, 5)

    def test_peer_that_knows_nothing_newer_does_not_keep_others_from_being_asked(self):
        """Guards against hubs in step of which the one that knows is never asked."""
        behind, ahead = Peer("behind"), Peer("ahead")
        rows = [
            KnownRow(name="t", version=at, value=b"x%d" % at, record=None, heard_at=1.0)
            for at in (5, 7, 9)
        ]
        for peer in (self.one, behind, ahead):
            peer.catalogue.take_all(rows[:1], 5, now=100.0)
        ahead.catalogue.take_changes(rows[1:2], 7, now=100.0)
        self.one.hear(ahead)
        # More news comes at once, too soon to ask again.
        ahead.catalogue.take_changes(rows[2:], 9, now=100.0)
        self.one.now += 0.05
        self.one.hear(ahead)
        for _ in range(4):
            self.one.now += 0.39
            self.one.hear(behind)
            self.one.now += 0.01
            self.one.hear(ahead)
        self.assertEqual(self.one.catalogue.version, 9)

    def test_any_peer_is_asked_once_the_newest_could_not_tell(self):
        """Guards against a restarted hub that states a version and knows no changes."""
        restarted, behind = Peer("restarted"), Peer("behind")
        rows = [
            KnownRow(name="t", version=at, value=b"x", record=None, heard_at=100.0)
            for at in (5, 7, 9)
        ]
        self.one.catalogue.take_all(rows[:1], 5, now=100.0)
        behind.catalogue.take_all(rows[:1], 5, now=100.0)
        behind.catalogue.take_changes(rows[1:2], 7, now=100.0)
        restarted.catalogue.take_all(rows[2:], 9, now=100.0)
        for _ in range(3):
            self.one.hear(restarted)
            self.one.now += 0.3
            self.one.hear(behind)
            self.one.now += 0.3
        self.assertEqual(self.one.catalogue.version, 7)

    def test_new_configuration_is_asked_for_once_though_all_peers_tell_of_it(self):
        # The operator changes the configuration and 76 peers tell of it in the same
        # moment. Each was asked for the whole row; the answers filled the link for two
        # seconds, targets did not answer probes in time and were taken for lost.
        peers = [Peer(f"peer{number}") for number in range(76)]
        for peer in peers:
            peer.configuration.take_row(_make_row(4, b"7"), source="x", now=100.0)
            self.one.meet(peer)
        heartbeats = [peer.knowledge.make_heartbeat() for peer in peers]
        questions = [
            q
            for heartbeat in heartbeats
            for q in self.one.knowledge.merge_heartbeat(heartbeat)
        ]
        asked = [FetchCompressedConfiguration(sender="one", version=0)]
        self.assertEqual(questions, asked)
        self.one.now += 0.25
        again = [
            q
            for heartbeat in heartbeats
            for q in self.one.knowledge.merge_heartbeat(heartbeat)
        ]
        self.assertEqual(again, [])
        self.one.now += FETCH_TIMEOUT_S
        again = [
            q
            for heartbeat in heartbeats
            for q in self.one.knowledge.merge_heartbeat(heartbeat)
        ]
        self.assertEqual(again, asked)

    def test_peer_that_tells_others_is_passed_over_and_the_next_one_asked(self):
        # A row takes all of the teller's link for a while. Whoever asks meanwhile is
        # told so and has it from one that has just got it.
        blanks = bytes(random.Random(1).choices(b" \t\n\r", k=400_000))
        two, three = Peer("two"), Peer("three")
        for peer in (two, three):
            row = _make_row(4, b"7" + blanks)
            peer.configuration.take_row(row, source="x", now=100.0)
        two.knowledge.answer(FetchCompressedConfiguration(sender="four", version=0))
        self.assertEqual(len(self.one.hear(two)), 1)
        self.assertEqual(self.one.configuration.version, 0)
        self.assertEqual(self.one.hear(two), [])
        self.assertEqual(len(self.one.hear(three)), 1)
        self.assertEqual(self.one.configuration.version, 7)

    def test_question_ends_with_its_link_and_the_next_peer_is_asked(self):
        # The one that was asked is killed while its answer is on the way.
        heartbeats = []
        for name in ("two", "three"):
            peer = Peer(name)
            peer.configuration.take_row(_make_row(4, b"7"), source="x", now=100.0)
            heartbeats.append(peer.knowledge.make_heartbeat())
        merge_heartbeat = self.one.knowledge.merge_heartbeat
        self.assertEqual(
            [len(merge_heartbeat(heartbeat)) for heartbeat in heartbeats], [1, 0]
        )
        self.one.knowledge.note_link_lost("three")
        self.assertEqual(merge_heartbeat(heartbeats[1]), [])
        self.one.knowledge.note_link_lost("two")
        self.assertEqual(len(merge_heartbeat(heartbeats[1])), 1)

    def test_damaged_configuration_changes_nothing(self):
        self.one.configuration.take_row(_make_row(4, b"7"), source="store", now=100.0)
        for packed in (b"", b"8", pack_value(b"8")[:-1], pack_value(b"no version")):
            with self.subTest(packed):
                news = CompressedConfiguration(key="config", version=9, packed=packed)
                self.one.knowledge.merge_snapshot(news)
                self.assertEqual(self.one.configuration.version, 7)
                self.assertEqual(self.one.configuration.row.value, b"7")

    def test_older_news_change_nothing(self):
        self.one.configuration.take_row(_make_row(4, b"7"), source="store", now=100.0)
        self.two.configuration.take_row(_make_row(9, b"8"), source="store", now=100.0)
        self.assertEqual(self.two.hear(self.one), [])
        self.two.knowledge.merge_snapshot(
            self.one.knowledge.answer(
                FetchCompressedConfiguration(sender="two", version=0)
            )
        )
        self.assertEqual(self.two.configuration.version, 8)

    def test_rows_since_a_version_not_known_here_do_not_pass_for_the_whole(self):
        # An answer to an older question comes late: what lies between is missing, and
        # the instance must not believe that it knows everything up to that version.
        news = TargetChanges(after=50, version=60, age_ms=0, rows=())
        self.two.knowledge.merge_snapshot(news)
        self.assertEqual(self.two.catalogue.version, 0)

    def test_confirmation_is_passed_on_with_its_age(self):
        for peer in (self.one, self.two):
            peer.configuration.take_row(_make_row(4, b"7"), source="x", now=100.0)
        self.one.configuration.confirmed_at = 99.0
        self.two.hear(self.one)
        self.assertAlmostEqual(self.two.configuration.confirmed_at, 99.0, places=2)

    def test_loss_of_a_target_is_told_once_and_not_told_on(self):
        self.one.suspicions.record_failure("t", now=100.0)
        self.two.hear(self.one)
        self.assertTrue(self.two.suspicions.is_indirect("t", now=100.1))
        self.assertTrue(self.two.suspicions.is_suspect("t", now=100.1))
        self.assertEqual(self.two.knowledge.make_heartbeat().losses, ())

    def test_slow_target_is_known_everywhere_with_the_age_of_its_report(self):
        self.one.paces.note("t", 12.0, at=99.0)
        self.two.hear(self.one)
        self.assertEqual(self.two.paces.find("t", now=100.0), 12.0)
        self.assertAlmostEqual(self.two.paces.list_slow(now=100.0)["t"].at, 99.0)

    def test_duty_for_all_goes_to_one_that_reaches_the_store(self):
        # The store turns away just the instance that orders layers. With the duty
        # bound to the first by name, no gap was closed until the store took it back.
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
                one.hear(two)
                two.hear(one)
                found = tuple(peer.knowledge.is_among_first(1) for peer in (one, two))
                self.assertEqual(found, expected)

    def test_store_is_out_when_nobody_heard_reaches_it_and_most_are_heard(self):
        # One that is turned away by the store, or cut off from all, would order layers
        # under a lapsed lease beside the new holder.
        cases = [
            ("all reach it", True, True, True, False),
            ("only the other reaches it", False, True, True, False),
            ("nobody reaches it", False, False, True, True),
            ("nobody reaches it and nobody is heard", False, False, False, False),
        ]
        for name, own, other, is_heard, expected in cases:
            with self.subTest(name):
                one, two, three = Peer("one"), Peer("two"), Peer("three")
                one.is_store_reachable = own
                two.is_store_reachable = three.is_store_reachable = other
                one.hear(two)
                one.hear(three)
                if not is_heard:
                    one.now += 10.0
                self.assertEqual(one.knowledge.is_store_out(), expected)

    def test_targets_that_show_that_they_live_are_no_reason_to_fetch(self):
        """Guards against a fetch for each heartbeat that targets write at the store."""
        self._share_target()
        for step in range(1, 40):
            now = self.one.now = self.two.now = 100.0 + step * 0.1
            row = self._make_row(5 + step)
            self.one.catalogue.take_changes([row], 5 + step, now=now)
            self.assertEqual(self.two.hear(self.one), [])
            self.assertAlmostEqual(self.two.catalogue.confirmed_at, now, places=2)

    def test_target_that_leaves_is_fetched_at_once(self):
        """Guards against work for a target that a peer knows to be leaving."""
        self._share_target()
        self.one.now = self.two.now = 101.0
        leaving = self._make_row(9, b"leaving")
        self.one.catalogue.take_changes([leaving], 12, now=101.0)
        self.assertEqual(self.two.hear(self.one), [FetchTargets(after=5)])
        self.assertEqual(self.two.catalogue.version, 12)
        known = {row.name: row.value for row in self.two.catalogue.list_rows(after=0)}
        self.assertEqual(known, {"t": b"leaving"})

    def test_restarted_peer_makes_others_fetch_until_they_know_its_version(self):
        """Guards against fetches without end that a restarted peer cannot answer."""
        self._share_target()
        three, row = Peer("three"), self._make_row(8)
        self.two.now = 100.3
        three.catalogue.take_all([row], 9, now=100.0)
        self.assertEqual(self.two.hear(three), [FetchTargets(after=5)])
        self.assertEqual(self.two.catalogue.version, 5)
        self.one.catalogue.take_changes([row], 9, now=100.0)
        self.one.now = self.two.now = 100.5
        self.assertEqual(self.two.hear(self.one), [FetchTargets(after=5)])
        for peer in (three, self.one):
            self.two.now += 0.5
            self.assertEqual(self.two.hear(peer), [])

    def _make_row(self, version, value=b"x"):
        return KnownRow(
            name="t", version=version, value=value, record=None, heard_at=100.0
        )

    def _share_target(self):
        """Let both instances know a target, the second one by the first."""
        self.one.catalogue.take_all([self._make_row(5)], 5, now=100.0)
        self.two.hear(self.one)
        self.assertEqual(self.two.catalogue.version, 5)

    def test_restarted_instance_vouches_for_nothing_before_its_first_reading(self):
        # A plain target leaves for good; a moment later an instance starts, reads the
        # list, which the target is no longer on, and is ahead of all. An instance that
        # knew the target asked it for what changed since, heard of no removal, took
        # the newer version for its own and sent work to the target for two seconds
        # more.
        target = KnownRow(name="t", version=5, value=b"x", record=None, heard_at=90.0)
        other = KnownRow(name="u", version=6, value=b"x", record=None, heard_at=90.0)
        self.one.catalogue.take_all([target, other], 6, now=99.0)
        self.two.catalogue.take_all([other], 9, now=100.0)
        self.one.hear(self.two)
        self.assertEqual(self.one.catalogue.version, 6)
        three = Peer("three")
        three.catalogue.take_all([target, other], 6, now=99.0)
        gone = KnownRow(name="t", version=8, value=None, record=None, heard_at=100.0)
        three.catalogue.take_changes([gone], 9, now=100.0)
        self.one.now = 100.5
        self.one.hear(three)
        self.assertEqual(self.one.catalogue.version, 9)
        known = {row.name: row.value for row in self.one.catalogue.list_rows(after=0)}
        self.assertEqual(known, {"t": None, "u": b"x"})

    def test_instance_that_knows_nothing_is_told_all_by_a_restarted_one(self):
        row = KnownRow(name="u", version=6, value=b"x", record=None, heard_at=90.0)
        self.two.catalogue.take_all([row], 9, now=100.0)
        self.one.hear(self.two)
        self.assertEqual(self.one.catalogue.version, 9)

    def test_question_about_nothing_new_has_no_answer(self):
        question = FetchCompressedConfiguration(sender="two", version=3)
        self.assertIsNone(self.one.knowledge.answer(question))
        answer = self.one.knowledge.answer(FetchTargets(after=0))
        self.assertEqual(answer.rows, ())
        self.assertEqual(make_heartbeat().is_store_reachable, True)
