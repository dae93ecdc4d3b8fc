import unittest
from unittest.mock import patch

from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.fleet import RowFault
from fulmarward_core.layers.tests.fleets import make_target
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.state import TargetChangeHandler


def _make_row(version, *, fault=None, value=b"x"):
    record = None if fault else make_target("t", "a", "large")
    return KnownRow(
        name="t",
        version=version,
        value=value,
        record=record,
        heard_at=0.0,
        fault=fault,
    )


class RefusedRowTest(unittest.TestCase):
    def setUp(self):
        self.catalogue = TargetCatalogue()
        self.refused, self.notified = [], []
        self.handler = self.make_handler()

    def make_handler(self, **options):
        return TargetChangeHandler(
            suspicions=SuspicionTable(),
            notify_peers=lambda: self.notified.append(True),
            record_process=lambda record: None,
            count_refused=self.refused.append,
            **options,
        )

    def apply(self, row):
        """Apply a row; return the names of the events that are logged."""
        with patch("fulmarward_router.state._target_changes.log_event") as log:
            changed = self.catalogue.apply_changes([row], row.version, now=0.0)
            self.handler.handle_changes(changed)
        return [call.args[0] for call in log.call_args_list]

    def test_refused_row_is_visible(self):
        """Guards against a row that is ignored without a trace."""
        row = _make_row(1, fault=RowFault.ADDRESS)
        self.assertEqual(self.apply(row), ["target_row_refused"])
        self.assertEqual(self.apply(row), [])
        self.assertEqual(self.refused, [RowFault.ADDRESS])
        self.assertEqual(self.catalogue.list_refused(), [row])

    def test_peers_are_notified_of_a_target_that_was_used_only(self):
        """Guards against a writer of odd rows that keeps all instances busy."""
        self.apply(_make_row(1, fault=RowFault.ADDRESS))
        self.assertEqual(self.notified, [])
        self.apply(_make_row(2))
        self.apply(_make_row(3, fault=RowFault.SLOTS))
        self.assertEqual(self.notified, [True])

    def test_row_that_becomes_proper_is_used(self):
        """Guards against a target that stays ignored once its row is whole."""
        self.apply(_make_row(1, fault=RowFault.ADDRESS))
        self.assertEqual(self.apply(_make_row(2)), ["target_started"])
        self.assertEqual(self.catalogue.list_refused(), [])
        self.assertIsNotNone(self.catalogue.find_target("t"))

    def test_target_that_no_service_uses_is_visible(self):
        """Guards against a target that gets nothing and no line says why."""
        misfits = {}
        self.handler = self.make_handler(list_misfits=lambda: dict(misfits))
        self.assertEqual(self.apply(_make_row(1)), ["target_started"])
        for fault in (RowFault.UNNAMED_SERVICE, RowFault.UNNAMED_KIND):
            misfits["t"] = fault
            self.assertEqual(self.apply(_make_row(2)), ["target_misfit"])
            self.assertEqual(self.apply(_make_row(3)), [])
        self.assertEqual(
            self.refused, [RowFault.UNNAMED_SERVICE, RowFault.UNNAMED_KIND]
        )

    def test_target_of_a_refused_row_has_not_ended(self):
        """Guards against runs that count as ended, and crashes that were none."""
        record = _make_row(1).record
        self.apply(_make_row(1))
        self.apply(_make_row(2, fault=RowFault.SLOTS))
        self.assertFalse(self.catalogue.has_ended(record))
        self.assertEqual(self.catalogue.list_targets(now=0.0), [])
