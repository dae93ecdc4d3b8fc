import unittest

from fulmarward_core.suspicion import RefusalTable


class RefusalTableTest(unittest.TestCase):
    """Guards against engines that leave unnoticed during an outage of the store.

    When four engines left, each of six instances kept sending requests to them, 20
    attempts in two seconds. Their layers were not taken over until eight seconds later,
    when a third data centre lost an engine and requests were rejected.
    """

    def setUp(self):
        self.table = RefusalTable()

    def test_two_refusals_despite_spare_capacity_mark_a_target_as_leaving(self):
        self.assertFalse(self.table.record_refusal("t", now=0.0))
        self.assertFalse(self.table.is_refusing("t", now=0.1))
        self.assertTrue(self.table.record_refusal("t", now=0.5))
        self.assertTrue(self.table.is_refusing("t", now=0.6))
        self.assertFalse(self.table.record_refusal("t", now=0.7), "known already")

    def test_accepted_request_resets_the_refusal_count(self):
        self.table.record_refusal("t", now=0.0)
        self.table.record_accepted(["t"])
        self.table.record_refusal("t", now=0.5)
        self.assertFalse(self.table.is_refusing("t", now=0.6))

    def test_refusals_far_apart_do_not_count_as_consecutive(self):
        self.table.record_refusal("t", now=0.0)
        self.table.record_refusal("t", now=20.0)
        self.assertFalse(self.table.is_refusing("t", now=20.1))

    def test_leaving_state_expires(self):
        for now in (0.0, 0.5):
            self.table.record_refusal("t", now=now)
        self.assertFalse(self.table.is_refusing("t", now=9.0))

    def test_report_of_a_peer_expires_unless_repeated(self):
        other = RefusalTable()
        for now in (0.0, 0.5):
            self.table.record_refusal("t", now=now)
        other.merge_reports(self.table.list_observed(now=1.0), now=1.0)
        self.assertTrue(other.is_refusing("t", now=1.1))
        self.assertEqual(other.list_observed(now=1.1), [], "reports are not relayed")
        self.assertFalse(other.is_refusing("t", now=4.0))
