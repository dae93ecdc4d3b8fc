import random
import unittest
from dataclasses import replace

from hypothesis import given, settings, strategies as st

from fulmarward_core.catalogue import RECOVERY_DURATION_S, KnownRow, TargetCatalogue
from fulmarward_core.layers.tests.fleets import make_target
from fulmarward_core.store_versions import make_store_version


def _make_row(name, version, *, value=b"x", record=True, at=0.0):
    target = make_target(name, "a", "large") if record and value is not None else None
    return KnownRow(name=name, version=version, value=value, record=target, heard_at=at)


def _list_names(catalogue, now=0.0):
    return sorted(target.name for target in catalogue.list_targets(now=now))


class TargetCatalogueTest(unittest.TestCase):
    @settings(max_examples=100)
    @given(
        st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), max_size=12),
        st.integers(0, 1000),
    )
    def test_changes_converge_in_any_order_and_with_repetitions(self, changes, seed):
        rows = [
            _make_row(name, version + 1, value=b"x" if is_there else None)
            for version, (name, is_there) in enumerate(changes)
        ]
        in_order, out_of_order = TargetCatalogue(), TargetCatalogue()
        for row in rows:
            in_order.apply_changes([row], row.version, now=0.0)
        shuffled = rows * 2
        random.Random(seed).shuffle(shuffled)
        for row in shuffled:
            out_of_order.apply_changes([row], 0, now=0.0)
        self.assertEqual(_list_names(in_order), _list_names(out_of_order))

    def test_row_without_a_usable_target_hides_only_itself(self):
        catalogue = TargetCatalogue()
        rows = [_make_row("a", 1), _make_row("b", 2, record=False)]
        catalogue.apply_full_read(rows, 2, now=0.0)
        self.assertEqual(_list_names(catalogue), ["a"])

    def test_target_missing_from_a_full_read_is_removed(self):
        catalogue = TargetCatalogue()
        catalogue.apply_full_read([_make_row("a", 1), _make_row("b", 2)], 2, now=0.0)
        catalogue.apply_full_read([_make_row("a", 1)], 5, now=1.0)
        self.assertEqual(_list_names(catalogue, 1.0), ["a"])

    def test_removed_target_is_not_listed_again_by_a_peer_that_is_behind(self):
        """Guards against a target that is used for ever after it was removed."""
        catalogue = TargetCatalogue()
        catalogue.apply_full_read([_make_row("a", 300)], 327, now=10.0)
        behind = [_make_row("a", 300), _make_row("removed", 306)]
        catalogue.apply_changes(behind, 313, now=10.1)
        self.assertEqual(_list_names(catalogue, 10.2), ["a"])
        catalogue.apply_changes([_make_row("new", 328)], 328, now=10.3)
        self.assertEqual(_list_names(catalogue, 10.4), ["a", "new"])

    def test_older_full_read_is_ignored(self):
        catalogue = TargetCatalogue()
        catalogue.apply_full_read([_make_row("a", 9)], 9, now=0.0)
        catalogue.apply_full_read([], 5, now=1.0)
        self.assertEqual(_list_names(catalogue, 1.0), ["a"])

    def test_rows_that_expired_during_an_outage_of_the_store_stay_listed(self):
        # Guards against rejecting every request after an outage of the store that was
        # longer than the rows' time to live. All rows are gone then, though the targets
        # are alive and write them again within two seconds.
        catalogue = TargetCatalogue()
        catalogue.apply_full_read([_make_row("a", 1), _make_row("b", 2)], 2, now=10.0)
        self.assertTrue(catalogue.may_be_incomplete(now=13.0))
        catalogue.record_store_out(at=13.0)
        removed = [_make_row("a", 3, value=None), _make_row("b", 4, value=None)]
        catalogue.apply_changes(removed, 4, now=15.1)
        self.assertEqual(_list_names(catalogue, 15.2), ["a", "b"])
        self.assertTrue(catalogue.may_be_incomplete(now=15.2))
        catalogue.apply_changes([_make_row("a", 5)], 5, now=16.0)
        self.assertEqual(
            _list_names(catalogue, 15.1 + RECOVERY_DURATION_S + 0.1), ["a"]
        )

    def test_removal_reported_by_a_peer_with_a_store_applies_at_once(self):
        # The store rejects one instance's reads for a while, and a peer whose reads
        # succeed reports a removed target. The instance must not send more work there,
        # since the target serves for two more seconds only.
        catalogue = TargetCatalogue()
        catalogue.apply_full_read([_make_row("a", 1), _make_row("b", 2)], 2, now=10.0)
        catalogue.confirm(2, at=11.5)
        catalogue.apply_changes([_make_row("a", 3, value=None)], 3, now=13.0)
        self.assertEqual(_list_names(catalogue, 13.0), ["b"])

    def test_removal_while_the_store_answers_applies_at_once(self):
        catalogue = TargetCatalogue()
        catalogue.apply_full_read([_make_row("a", 1)], 1, now=59.0)
        catalogue.apply_changes([_make_row("a", 2, value=None)], 2, now=60.0)
        self.assertEqual(_list_names(catalogue, 60.0), [])

    def test_rewrite_with_equal_content_is_not_a_change(self):
        catalogue = TargetCatalogue()
        catalogue.apply_full_read([_make_row("a", 1)], 1, now=0.0)
        rewritten = [_make_row("a", 2)]
        self.assertEqual(catalogue.apply_changes(rewritten, 2, now=1.0), [])
        self.assertEqual(catalogue.list_rows(after=1), [])
        removed = [_make_row("a", 3, value=None)]
        self.assertEqual(catalogue.apply_changes(removed, 3, now=2.0), removed)
        self.assertEqual(catalogue.list_rows(after=2), removed)

    def test_rows_for_a_peer_include_removals(self):
        catalogue = TargetCatalogue()
        catalogue.apply_full_read([_make_row("a", 1), _make_row("b", 2)], 2, now=0.0)
        catalogue.apply_changes([_make_row("a", 3, value=None)], 3, now=1.0)
        rows = catalogue.list_rows(after=2)
        self.assertEqual([(row.name, row.value) for row in rows], [("a", None)])


class AnnouncementTest(unittest.TestCase):
    """A target may say in an answer that it leaves, while its row says nothing."""

    def make_row(self, version, *, started_ms=1, **changes):
        row = _make_row("t", version, value=b"%d" % version)
        record = replace(row.record, started_ms=started_ms, **changes)
        return replace(row, record=record)

    def test_target_that_announced_it_leaves_whatever_its_row_says(self):
        """Guards against a row that is older than the answer."""
        catalogue = TargetCatalogue()
        catalogue.apply_full_read([self.make_row(1)], 1, now=0.0)
        process = catalogue.find_target("t").process_name
        self.assertTrue(catalogue.announce_leaving("t", process=process, at=1.0))
        self.assertFalse(catalogue.announce_leaving("t", process=process, at=2.0))
        self.assertEqual(catalogue.find_leaving_s("t", now=3.0), 2.0)
        for version in (2, 3):
            catalogue.apply_changes(
                [self.make_row(version, slots=version)], version, now=2.0
            )
            [record] = catalogue.list_targets(now=2.0)
            self.assertTrue(record.is_leaving)
        catalogue.apply_changes([self.make_row(4, started_ms=2)], 4, now=3.0)
        self.assertFalse(catalogue.find_target("t").is_leaving)
        self.assertEqual(catalogue.list_announced(), {})

    def test_announcement_of_a_target_that_is_not_known_yet_is_kept(self):
        """Guards against a peer's report that arrives before the target's row."""
        catalogue = TargetCatalogue()
        process = self.make_row(1).record.process_name
        self.assertTrue(catalogue.announce_leaving("t", process=process, at=1.0))
        catalogue.apply_full_read([self.make_row(1)], 1, now=2.0)
        self.assertTrue(catalogue.find_target("t").is_leaving)

    def test_announcement_of_an_earlier_process_is_ignored(self):
        """Guards against an answer that arrives after the target has started again."""
        catalogue = TargetCatalogue()
        catalogue.apply_full_read([self.make_row(1, started_ms=2)], 1, now=0.0)
        earlier = self.make_row(1).record.process_name
        self.assertFalse(catalogue.announce_leaving("t", process=earlier, at=1.0))
        self.assertFalse(catalogue.find_target("t").is_leaving)


def _in_era(era, number):
    return make_store_version(era, number)


class RestoredStoreTest(unittest.TestCase):
    """The store comes back from an older copy of its rows."""

    def setUp(self):
        self.catalogue = TargetCatalogue()

    def make_row(self, era, number, *, name="t", started_ms=1, slots=8, **changes):
        row = _make_row(name, _in_era(era, number))
        record = replace(row.record, started_ms=started_ms, slots=slots, **changes)
        return replace(row, value=repr(record).encode(), record=record)

    def make_removed(self, era, number):
        return _make_row("t", _in_era(era, number), value=None, at=101.0)

    def read_all(self, era, version, *rows, now):
        self.catalogue.apply_full_read(rows, _in_era(era, version), now=now)

    def apply(self, row, now):
        self.catalogue.apply_changes([row], row.version, now=now)

    def describe(self, now):
        """Return the slots and the leaving of the target, `False` if it is gone."""
        targets = {t.name: t for t in self.catalogue.list_targets(now=now)}
        return ("t" in targets) and (targets["t"].slots, targets["t"].is_leaving)

    def test_what_is_newer_than_the_copy_stays_until_it_is_written_again(self):
        """Guards against targets that leave or are gone, but ready in the copy."""
        make = self.make_row
        cases = [
            # known last, in the copy, expected then
            ("leaving", make(1, 20, is_leaving=True), make(2, 10), (8, True)),
            ("gone", self.make_removed(1, 20), make(2, 10), False),
            (
                "gone, leaving",
                self.make_removed(1, 20),
                make(2, 10, is_leaving=True),
                False,
            ),
            ("changed", make(1, 20, slots=9), make(2, 10), (9, False)),
            ("restarted", make(1, 20, started_ms=2, slots=9), make(2, 10), (9, False)),
            ("missed", make(1, 20), make(2, 21, slots=9), (9, False)),
            ("given twice", make(1, 20), make(2, 20, slots=9), (9, False)),
            ("leaves now", make(1, 20), make(2, 12, is_leaving=True), (8, True)),
            ("starts now", make(1, 20), make(2, 12, started_ms=2, slots=9), (9, False)),
        ]
        for name, known, copied, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.read_all(1, 10, make(1, 10, slots=8), now=100.0)
                self.apply(known, 101.0)
                self.read_all(2, 25, copied, now=102.0)
                self.assertEqual(self.describe(102.0), expected)
                self.assertEqual(self.catalogue.version, _in_era(2, 25))
                self.apply(make(2, 26, started_ms=3, slots=7), 103.0)
                self.assertEqual(self.describe(103.0), (7, False))

    def test_target_that_is_gone_is_known_again_once_its_row_is_written(self):
        """Guards against a target that expired wrongly and is not used again."""
        self.read_all(1, 10, self.make_row(1, 10), now=100.0)
        self.apply(self.make_removed(1, 20), 101.0)
        self.read_all(2, 12, self.make_row(2, 10), now=102.0)
        self.assertEqual([row.name for row in self.catalogue.list_kept_rows()], ["t"])
        self.apply(self.make_row(2, 13), 102.5)
        self.assertEqual(self.describe(102.5), (8, False))
        self.assertEqual(self.catalogue.list_kept_rows(), [])

    def test_target_that_the_copy_lacks_stays_until_it_has_had_time_to_write(self):
        """Guards against a live target that counts as gone for a lost row."""
        self.read_all(1, 10, now=100.0)
        self.apply(self.make_row(1, 20), 101.0)
        self.read_all(2, 10, now=102.0)
        self.assertEqual(self.describe(102.0), (8, False))
        self.assertFalse(self.describe(102.0 + RECOVERY_DURATION_S + 0.1))

    def test_leaving_process_leaves_also_if_its_row_is_written_as_ready(self):
        """Guards against a heartbeat that is carried out late, after the restore."""
        self.read_all(1, 10, self.make_row(1, 10), now=100.0)
        self.apply(self.make_row(1, 20, is_leaving=True), 101.0)
        self.read_all(2, 12, self.make_row(2, 10), now=102.0)
        self.apply(self.make_row(2, 14, slots=9), 102.5)
        self.assertEqual(self.describe(102.5), (9, True))

    def test_peer_of_an_earlier_era_confirms_nothing(self):
        """Guards against an instance that does not know of the restore."""
        self.read_all(2, 10, now=100.0)
        for version, confirmed_at in ((_in_era(1, 8), 100.0), (_in_era(2, 8), 101.0)):
            self.catalogue.confirm(version, at=101.0)
            self.assertEqual(self.catalogue.confirmed_at, confirmed_at)

    def test_peer_that_knows_the_lost_history_gets_all_that_is_newer(self):
        """Guards against a peer that never learns what the copy says otherwise."""
        self.read_all(1, 10, self.make_row(1, 10), now=100.0)
        self.apply(self.make_row(1, 20, slots=9), 101.0)
        self.read_all(2, 12, self.make_row(2, 10), now=102.0)
        self.assertEqual(self.catalogue.content_version, _in_era(2, 12))
        self.apply(self.make_row(2, 13, is_leaving=True), 103.0)
        self.assertTrue(self.catalogue.knows_changes(after=_in_era(1, 20)))
        rows = self.catalogue.list_rows(after=_in_era(1, 20))
        self.assertEqual([row.version for row in rows], [_in_era(2, 13)])

    def test_versions_are_compared_over_two_restores(self):
        """Guards against a second copy that is older than the first restore."""
        self.read_all(1, 10, self.make_row(1, 10), now=100.0)
        self.apply(self.make_row(1, 20, is_leaving=True), 101.0)
        self.read_all(2, 12, self.make_row(2, 10), now=102.0)
        self.read_all(3, 11, self.make_row(3, 10), now=103.0)
        self.assertEqual(self.describe(103.0), (8, True))

    def test_process_is_not_replaced_by_its_predecessor_after_two_restores(self):
        """Guards against a kept row that has the number of the copy's own row."""
        self.read_all(1, 10, self.make_row(1, 10), now=100.0)
        self.apply(self.make_row(1, 20, started_ms=2, slots=9), 101.0)
        self.read_all(2, 10, self.make_row(2, 10), now=102.0)
        self.assertEqual(self.describe(102.0), (9, False))
        self.read_all(3, 10, self.make_row(3, 10), now=103.0)
        self.assertEqual(self.describe(103.0), (9, False))

    def test_target_that_is_gone_stays_so_after_two_restores(self):
        """Guards against a kept removal that has the number of the copy's row."""
        self.read_all(1, 10, self.make_row(1, 10), now=100.0)
        self.apply(self.make_removed(1, 20), 101.0)
        self.read_all(2, 10, self.make_row(2, 10), now=102.0)
        self.assertFalse(self.describe(102.0))
        self.read_all(3, 10, self.make_row(3, 10), now=103.0)
        self.assertFalse(self.describe(103.0))

    def test_target_that_expired_while_it_left_leaves_after_a_restore(self):
        """Guards against a leaving that is forgotten with an expired row."""
        self.read_all(1, 10, self.make_row(1, 10), now=100.0)
        self.apply(self.make_row(1, 11, is_leaving=True), 100.1)
        self.catalogue.record_store_out(at=103.0)
        self.apply(self.make_removed(1, 14), 103.1)
        self.assertEqual(self.describe(103.1), (8, True))
        self.read_all(2, 12, self.make_row(2, 10), now=103.5)
        self.assertIn(self.describe(103.5), (False, (8, True)))

    def test_live_target_stays_although_the_copy_lists_its_predecessor(self):
        """Guards against a live target that is out for an ended one at its address."""
        old = self.make_row(1, 10, name="old", address="10.0.0.1:1")
        new = self.make_row(1, 20, started_ms=2, address="10.0.0.1:1")
        self.read_all(1, 10, old, now=100.0)
        self.apply(new, 101.0)
        self.assertEqual(_list_names(self.catalogue, 101.0), ["t"])
        copied = self.make_row(2, 10, name="old", address="10.0.0.1:1")
        self.read_all(2, 10, copied, now=102.0)
        self.assertEqual(_list_names(self.catalogue, 102.0), ["t"])


class RestoredStoreByPeerTest(unittest.TestCase):
    """An instance learns of a restored store by the changes of a peer."""

    make_row = RestoredStoreTest.make_row

    def setUp(self):
        self.reader, self.follower = TargetCatalogue(), TargetCatalogue()

    def send_changes(self, *, now):
        """Have the follower merge what the reader sends of its changes."""
        after = self.follower.version
        self.assertTrue(self.reader.knows_changes(after=after))
        rows = self.reader.list_rows(after=after)
        self.follower.apply_changes(rows, self.reader.version, now=now)

    def test_target_that_only_the_follower_knew_does_not_stay_for_ever(self):
        """Guards against an ended target whose row the restored store never had."""
        for catalogue in (self.reader, self.follower):
            catalogue.apply_full_read([], _in_era(1, 10), now=100.0)
        self.follower.apply_changes([self.make_row(1, 14)], _in_era(1, 14), now=101.0)
        self.reader.apply_full_read([], _in_era(2, 10), now=103.0)
        self.send_changes(now=103.0)
        self.assertEqual(_list_names(self.follower, 103.0), ["t"])
        self.reader.apply_changes([], _in_era(2, 30), now=120.0)
        self.send_changes(now=120.0)
        self.assertEqual(_list_names(self.follower, 120.0), [])

    def test_target_that_is_gone_is_not_listed_by_a_reader_that_was_behind(self):
        """Guards against a copy that is new to the reader, but not to the follower."""
        row = self.make_row(1, 9)
        self.reader.apply_full_read([], _in_era(1, 8), now=100.0)
        self.follower.apply_full_read([row], _in_era(1, 9), now=100.0)
        removed = _make_row("t", _in_era(1, 20), value=None, at=101.0)
        self.follower.apply_changes([removed], _in_era(1, 20), now=101.0)
        self.assertEqual(_list_names(self.follower, 101.0), [])
        self.reader.apply_full_read([self.make_row(2, 9)], _in_era(2, 10), now=103.0)
        self.send_changes(now=103.0)
        self.assertEqual(_list_names(self.follower, 103.0), [])

    def test_live_target_that_only_the_follower_lost_is_listed_again(self):
        """Guards against a live target that is out for ever at one instance."""
        row = self.make_row(1, 9)
        for catalogue in (self.reader, self.follower):
            catalogue.apply_full_read([row], _in_era(1, 10), now=100.0)
        removed = _make_row("t", _in_era(1, 14), value=None, at=101.0)
        self.follower.apply_changes([removed], _in_era(1, 14), now=101.0)
        self.reader.apply_full_read([self.make_row(2, 9)], _in_era(2, 10), now=103.0)
        self.send_changes(now=103.0)
        for number in range(11, 20):
            written, now = self.make_row(2, number), 93.0 + number
            self.reader.apply_changes([written], _in_era(2, number), now=now)
            self.send_changes(now=now)
        self.assertEqual(_list_names(self.reader, 112.0), ["t"])
        self.assertEqual(_list_names(self.follower, 112.0), ["t"])

    def test_own_read_after_the_changes_of_a_peer_brings_no_older_process(self):
        """Guards against a copy whose first read here is not the first of its era."""
        old = self.make_row(1, 9)
        for catalogue in (self.reader, self.follower):
            catalogue.apply_full_read([old], _in_era(1, 10), now=100.0)
        new = self.make_row(1, 20, started_ms=2, slots=9)
        self.follower.apply_changes([new], _in_era(1, 20), now=101.0)
        copied = self.make_row(2, 9)
        self.reader.apply_full_read([copied], _in_era(2, 10), now=103.0)
        self.send_changes(now=103.0)
        self.assertEqual(self.follower.find_target("t").started_ms, 2)
        self.follower.apply_full_read([copied], _in_era(2, 10), now=103.2)
        self.assertEqual(self.follower.find_target("t").started_ms, 2)

    def test_kept_row_that_arrives_late_is_passed_on(self):
        """Guards against instances behind a hub that never learn what was kept."""
        copied = self.make_row(2, 9)
        for catalogue in (self.reader, self.follower):
            catalogue.apply_full_read([copied], _in_era(2, 12), now=103.0)
        kept = _make_row("t", _in_era(2, 10), value=None, at=103.1)
        self.reader.apply_kept_rows([kept], now=103.1)
        self.assertEqual(_list_names(self.reader, 103.1), [])
        self.send_changes(now=103.2)
        self.assertEqual(_list_names(self.follower, 103.2), [])
