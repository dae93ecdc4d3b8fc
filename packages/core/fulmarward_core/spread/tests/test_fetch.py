import unittest

from fulmarward_core.spread import FetchTimeout, PendingFetch
from fulmarward_core.spread._fetch import DEFER_DURATION_S, FETCH_TIMEOUT_S


class PendingFetchTest(unittest.TestCase):
    def setUp(self):
        self.question = PendingFetch()
        self.assertTrue(self.question.ask("a", known=1, now=0.0))

    def _ask(self, peer, now, known=1):
        return self.question.ask(peer, known=known, now=now)

    def test_nobody_else_is_asked_while_the_answer_is_on_its_way(self):
        # A row of half a megabyte takes longer than the pause between two heartbeats.
        # Each peer that told of it was asked for it, and the copies filled the link.
        asked = [self._ask(peer, now) for peer in "abc" for now in (0.1, 0.3, 0.9)]
        self.assertFalse(any(asked))

    def test_newer_version_is_asked_for_once_the_answer_is_in_force(self):
        self.assertTrue(self._ask("b", 0.05, known=2))
        self.assertFalse(self._ask("c", 0.06, known=2))

    def test_silent_peer_is_given_up_and_another_one_asked(self):
        self.assertIsNone(self.question.give_up(known=1, now=FETCH_TIMEOUT_S - 0.01))
        given_up = self.question.give_up(known=1, now=FETCH_TIMEOUT_S)
        self.assertEqual(given_up, FetchTimeout(peer="a", after_s=FETCH_TIMEOUT_S))
        self.assertTrue(self._ask("b", FETCH_TIMEOUT_S))

    def test_answered_question_is_not_told_as_given_up(self):
        self.assertIsNone(self.question.give_up(known=2, now=FETCH_TIMEOUT_S))

    def test_row_that_cannot_be_read_is_not_asked_for_again_at_once(self):
        # It comes from each peer alike, and the version known here stays what it was.
        self.assertFalse(self._ask("b", 0.1, known=1))

    def test_peer_that_tells_others_is_left_alone_and_the_next_asked(self):
        self.question.note_deferred("a", now=0.01)
        self.assertFalse(self._ask("a", 0.02))
        self.assertTrue(self._ask("b", 0.02))
        self.question.note_deferred("b", now=0.03)
        self.assertTrue(self._ask("a", 0.02 + DEFER_DURATION_S))

    def test_late_word_of_another_peer_closes_nothing(self):
        self.question.note_deferred("b", now=0.1)
        self.assertIsNone(self.question.note_lost("b", known=1, now=0.1))
        self.assertFalse(self._ask("c", 0.2))

    def test_answered_question_has_no_link_to_lose(self):
        # The peer stops six seconds after its row came; no question is left open there.
        self.assertIsNone(self.question.note_lost("a", known=2, now=6.0))

    def test_question_ends_with_its_link(self):
        given_up = self.question.note_lost("a", known=1, now=0.25)
        self.assertEqual(given_up, FetchTimeout(peer="a", after_s=0.25))
        self.assertTrue(self._ask("b", 0.25))
