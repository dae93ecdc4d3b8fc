import itertools
import unittest
from dataclasses import replace

from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.layers.tests.fleets import make_target
from fulmarward_core.store_versions import make_store_version


def _make_row(name, version, *, address="10.0.0.1:1", started_ms=0, is_there=True):
    record = replace(
        make_target(name, "a", "large"), address=address, started_ms=started_ms
    )
    return KnownRow(
        name=name,
        version=version,
        value=b"x" if is_there else None,
        record=record if is_there else None,
        heard_at=0.0,
    )


class TakenAddressTest(unittest.TestCase):
    """The row of a target that ended stays until it expires."""

    def setUp(self):
        self.catalogue = TargetCatalogue()

    def list_names(self):
        return sorted(record.name for record in self.catalogue.list_targets(now=0.0))

    def apply(self, *rows):
        version = max(row.version for row in rows)
        return self.catalogue.apply_changes(rows, version, now=0.0)

    def test_target_is_not_used_once_another_has_taken_its_address(self):
        """Guards against paths through a target that ended, which the next rejects."""
        self.apply(_make_row("ended", 1))
        self.apply(_make_row("ended", 2))
        changed = self.apply(_make_row("next", 3))
        self.assertEqual(self.list_names(), ["next"])
        self.assertIsNone(self.catalogue.find_target("ended"))
        self.assertEqual(
            [(row.name, row.superseded_by) for row in changed],
            [("ended", "next"), ("next", None)],
        )
        self.assertEqual(self.catalogue.find_leaving_s("ended", now=1.0), 1.0)

    def test_order_of_rows_does_not_matter(self):
        """Guards against some instances that go on to list a target that ended."""
        rows = [_make_row("ended", 1), _make_row("ended", 2), _make_row("next", 3)]
        for order in itertools.permutations(rows):
            self.setUp()
            for row in order:
                self.catalogue.apply_changes([row], 0, now=0.0)
            self.assertEqual(self.list_names(), ["next"], order)
        self.setUp()
        self.catalogue.apply_full_read(rows[1:], 3, now=0.0)
        self.assertEqual(self.list_names(), ["next"])

    def test_target_that_writes_its_row_again_is_used_again(self):
        """Guards against a foreign row that hides a live target for ever."""
        self.apply(_make_row("live", 1))
        self.apply(_make_row("foreign", 2))
        self.apply(_make_row("live", 3))
        self.assertIn("live", self.list_names())

    def test_target_stays_unused_when_the_next_one_has_gone(self):
        """Guards against a return of a target that ended before the one that did."""
        self.apply(_make_row("ended", 1))
        self.apply(_make_row("next", 2))
        self.apply(_make_row("next", 3, is_there=False))
        self.assertEqual(self.list_names(), [])

    def test_target_that_moved_is_not_held_for_ended(self):
        self.apply(_make_row("moved", 1, started_ms=1))
        self.apply(_make_row("moved", 2, address="10.0.0.2:1", started_ms=2))
        self.apply(_make_row("next", 3))
        self.assertEqual(self.list_names(), ["moved", "next"])

    def test_live_target_is_listed_where_only_peers_send_rows(self):
        """Guards against a foreign row that hides a live target from one instance."""
        self.apply(_make_row("live", 1))
        self.apply(_make_row("foreign", 2))
        fed = TargetCatalogue()
        known = self.catalogue.version
        fed.apply_changes(self.catalogue.list_rows(after=0), known, now=0.0)
        self.apply(_make_row("live", 3))
        rows = self.catalogue.list_rows(after=known)
        fed.apply_changes(rows, self.catalogue.version, now=0.0)
        listed = sorted(record.name for record in fed.list_targets(now=0.0))
        self.assertEqual(listed, self.list_names())

    def test_target_that_ended_stays_unused_when_the_store_is_restored(self):
        """Guards against a copy that lists both targets of an address."""
        rows = [_make_row("ended", 1), _make_row("next", 2)]
        self.catalogue.apply_full_read(rows, 9, now=0.0)
        copy = [_make_row(row.name, make_store_version(1, row.version)) for row in rows]
        self.catalogue.apply_full_read(copy, make_store_version(1, 8), now=1.0)
        self.assertEqual(self.list_names(), ["next"])
