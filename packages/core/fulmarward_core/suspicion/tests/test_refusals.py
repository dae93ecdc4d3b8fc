import unittest

from fulmarward_core.suspicion import RefusalTable


class RefusalTableTest(unittest.TestCase):
    """Four engines leave while the store is silent, so that nobody hears of it.

    Each of six instances sent to each of them again and again, 20 attempts in two
    seconds, and nobody took over what they held until eight seconds later, when a
    third data centre lost an engine and callers were refused.
    """

    def setUp(self):
        self.table = RefusalTable()

    def test_two_refusals_with_room_show_that_a_target_leaves(self):
        self.assertFalse(self.table.record_refusal("t", now=0.0))
        self.assertFalse(self.table.is_refusing("t", now=0.1))
        self.assertTrue(self.table.record_refusal("t", now=0.5))
        self.assertTrue(self.table.is_refusing("t", now=0.6))
        self.assertFalse(self.table.record_refusal("t", now=0.7), "no news")

    def test_target_that_takes_work_on_in_between_stays(self):
        self.table.record_refusal("t", now=0.0)
        self.table.record_accepted(["t"])
        self.table.record_refusal("t", now=0.5)
        self.assertFalse(self.table.is_refusing("t", now=0.6))

    def test_refusals_that_lie_far_apart_are_no_row(self):
        self.table.record_refusal("t", now=0.0)
        self.table.record_refusal("t", now=20.0)
        self.assertFalse(self.table.is_refusing("t", now=20.1))

    def test_belief_ends_so_that_the_target_is_tried_again(self):
        for now in (0.0, 0.5):
            self.table.record_refusal("t", now=now)
        self.assertFalse(self.table.is_refusing("t", now=9.0))

    def test_word_of_a_peer_counts_while_it_is_repeated(self):
        other = RefusalTable()
        for now in (0.0, 0.5):
            self.table.record_refusal("t", now=now)
        other.merge_reports(self.table.list_own(now=1.0), now=1.0)
        self.assertTrue(other.is_refusing("t", now=1.1))
        self.assertEqual(other.list_own(now=1.1), [], "only own tries are told on")
        self.assertFalse(other.is_refusing("t", now=4.0))
