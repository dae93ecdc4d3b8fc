import unittest

from fulmarward_core.spread import FetchTimeout, PendingFetch
from fulmarward_core.spread._fetch import DEFER_DURATION_S, FETCH_TIMEOUT_S


class PendingFetchTest(unittest.TestCase):
    def setUp(self):
        self.fetch = PendingFetch()
        self.assertTrue(self.fetch.try_start("a", known=1, now=0.0))

    def _ask(self, peer, now, known=1):
        return self.fetch.try_start(peer, known=known, now=now)

    def test_no_other_peer_is_asked_while_a_fetch_is_pending(self):
        # Guards against saturated links: a row of half a megabyte takes longer to
        # transfer than a heartbeat interval, and it was fetched from every peer that
        # reported the new version.
        asked = [self._ask(peer, now) for peer in "abc" for now in (0.1, 0.3, 0.9)]
        self.assertFalse(any(asked))

    def test_next_version_may_be_fetched_once_the_answer_is_applied(self):
        self.assertTrue(self._ask("b", 0.05, known=2))
        self.assertFalse(self._ask("c", 0.06, known=2))

    def test_fetch_times_out_and_another_peer_is_asked(self):
        self.assertIsNone(self.fetch.check_timeout(known=1, now=FETCH_TIMEOUT_S - 0.01))
        timeout = self.fetch.check_timeout(known=1, now=FETCH_TIMEOUT_S)
        self.assertEqual(timeout, FetchTimeout(peer="a", after_s=FETCH_TIMEOUT_S))
        self.assertTrue(self._ask("b", FETCH_TIMEOUT_S))

    def test_answered_fetch_is_not_reported_as_timed_out(self):
        self.assertIsNone(self.fetch.check_timeout(known=2, now=FETCH_TIMEOUT_S))

    def test_row_that_cannot_be_decoded_is_not_fetched_again_at_once(self):
        # Every peer sends the same row, and the version known here does not change.
        self.assertFalse(self._ask("b", 0.1, known=1))

    def test_peer_that_defers_is_not_asked_again_and_the_next_one_is(self):
        self.fetch.note_deferred("a", now=0.01)
        self.assertFalse(self._ask("a", 0.02))
        self.assertTrue(self._ask("b", 0.02))
        self.fetch.note_deferred("b", now=0.03)
        self.assertTrue(self._ask("a", 0.02 + DEFER_DURATION_S))

    def test_late_message_of_another_peer_does_not_end_the_fetch(self):
        self.fetch.note_deferred("b", now=0.1)
        self.assertIsNone(self.fetch.note_lost("b", known=1, now=0.1))
        self.assertFalse(self._ask("c", 0.2))

    def test_lost_link_after_the_answer_is_not_a_timeout(self):
        # The peer stops six seconds after it sent its row; no fetch is pending there.
        self.assertIsNone(self.fetch.note_lost("a", known=2, now=6.0))

    def test_fetch_ends_with_its_link(self):
        timeout = self.fetch.note_lost("a", known=1, now=0.25)
        self.assertEqual(timeout, FetchTimeout(peer="a", after_s=0.25))
        self.assertTrue(self._ask("b", 0.25))
