import unittest

from fulmarward_core.evidence import EvidenceTable, Reading
from fulmarward_core.evidence._table import MIN_PRUNED_SIZE


class EvidenceTableTest(unittest.TestCase):
    def setUp(self):
        self.known = {"a", "b"}
        self.table = EvidenceTable(is_known=self.known.__contains__)

    def test_answer_counts_from_when_it_was_requested(self):
        """Guards against an answer that was requested before a failure."""
        self.assertFalse(self.table.answered_since("a", 0.0))
        self.table.record("a", asked_at=2.0, pace=1.5)
        self.table.record("a", asked_at=1.0, pace=9.0)
        self.table.record("a", asked_at=3.0, pace=None)
        self.assertTrue(self.table.answered_since("a", 3.0))
        self.assertFalse(self.table.answered_since("a", 3.1))
        self.assertEqual(self.table.find_reading("a"), Reading(pace=1.5, asked_at=2.0))

    def test_size_is_bounded_by_the_catalogue(self):
        """Guards against a table that grows with each target that was ever probed."""
        for name in ("a", "b", "left"):
            self.table.record(name, asked_at=1.0, pace=1.0)
        self.assertEqual(len(self.table), 2)
        self.known.remove("a")
        self.table.forget("a")
        self.table.record("a", asked_at=2.0, pace=1.0)
        self.assertEqual(len(self.table), 1)
        for number in range(10 * MIN_PRUNED_SIZE):
            # Each target is replaced by the next one, without a report of that.
            self.known.clear()
            self.known.add(f"t{number}")
            self.table.record(f"t{number}", asked_at=1.0, pace=1.0)
        self.assertLessEqual(len(self.table), MIN_PRUNED_SIZE)
        self.assertIsNone(self.table.find_reading("a"))
        self.assertFalse(self.table.answered_since("a", 0.0))
