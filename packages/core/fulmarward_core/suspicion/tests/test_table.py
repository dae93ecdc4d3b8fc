import unittest

from fulmarward_core.suspicion import (
    SATURATED_DURATION_S,
    SUSPECT_DURATION_S,
    SuspicionTable,
)


class SuspicionTableTest(unittest.TestCase):
    def test_lost_target_is_left_out_for_longer_each_time(self):
        table = SuspicionTable()
        self.assertTrue(table.record_failure("t", now=0.0))
        self.assertFalse(table.record_failure("t", now=0.1), "no news")
        self.assertTrue(table.is_unreachable("t", now=SUSPECT_DURATION_S - 0.01))
        self.assertFalse(table.is_unreachable("t", now=SUSPECT_DURATION_S))
        table.record_failure("t", now=SUSPECT_DURATION_S + 0.1)
        self.assertTrue(table.is_unreachable("t", now=SUSPECT_DURATION_S * 2.9))

    def test_target_that_still_does_not_answer_is_left_out_on(self):
        # Four targets are down for three seconds and are left out for two. Then all
        # instances sent to them again in the same moment, and 160 streams were refused.
        table, told = SuspicionTable(), SuspicionTable()
        table.record_failure("t", now=0.0)
        told.record_indirect_failure("t", duration_s=SUSPECT_DURATION_S, now=0.0)
        self.assertEqual(table.list_ending(now=0.5, ahead_s=0.8), [])
        self.assertEqual(table.list_ending(now=1.3, ahead_s=0.8), ["t"])
        table.extend("t", now=1.3)
        self.assertTrue(table.is_unreachable("t", now=3.2))
        left_s = table.list_direct_failures(now=1.5)[0].until - 1.5
        self.assertFalse(
            told.record_indirect_failure("t", duration_s=left_s, now=1.5), "no news"
        )
        self.assertTrue(told.is_suspect("t", now=3.2))
        self.assertFalse(told.is_suspect("t", now=3.4))

    def test_only_own_losses_are_asked_again(self):
        table = SuspicionTable()
        table.record_indirect_failure("told", duration_s=1.0, now=0.0)
        table.record_saturated("full", now=0.0)
        self.assertEqual(table.list_ending(now=0.3, ahead_s=0.8), [])

    def test_what_a_peer_told_is_lost_only_once_it_is_seen_here(self):
        # A peer whose own link is full told that sound targets are lost, and streams
        # that ran there were ended at every instance.
        table = SuspicionTable()
        self.assertTrue(table.record_indirect_failure("t", duration_s=2.0, now=0.0))
        self.assertTrue(table.is_suspect("t", now=0.1), "no new work")
        self.assertFalse(table.is_unreachable("t", now=0.1))
        self.assertTrue(table.record_failure("t", now=0.2))
        self.assertTrue(table.is_unreachable("t", now=0.3))
        self.assertEqual(table.list_direct_failures(now=0.3), [], "told on")

    def test_answer_heard_here_goes_before_a_word_that_is_repeated(self):
        table = SuspicionTable()
        table.record_indirect_failure("t", duration_s=2.0, now=0.0)
        self.assertTrue(table.record_answer("t", asked_at=0.1))
        self.assertFalse(table.record_indirect_failure("t", duration_s=1.7, now=0.3))
        self.assertFalse(table.is_suspect("t", now=0.3))
        self.assertTrue(
            table.record_indirect_failure(
                "t", duration_s=2.0, now=0.1 + SUSPECT_DURATION_S
            )
        )

    def test_word_that_came_after_the_question_stays(self):
        table = SuspicionTable()
        table.record_indirect_failure("t", duration_s=2.0, now=0.2)
        self.assertFalse(table.record_answer("t", asked_at=0.1))
        self.assertTrue(table.is_indirect("t", now=0.3))

    def test_answer_undoes_no_loss_that_was_seen_here(self):
        table = SuspicionTable()
        table.record_failure("t", now=0.0)
        self.assertFalse(table.record_answer("t", asked_at=0.1))
        self.assertTrue(table.is_unreachable("t", now=0.2))

    def test_loss_is_none_for_a_stream_that_moved_after_it(self):
        # Instances that were slow to hear took sound targets for lost. Streams went on
        # through them, and each that then paused for 60 ms was ended or led around, for
        # as long as the suspicion lasted.
        table = SuspicionTable()
        table.record_failure("t", now=1.0)
        self.assertTrue(table.is_unreachable_since("t", served_at=0.99, now=1.1))
        self.assertFalse(table.is_unreachable_since("t", served_at=1.05, now=1.1))
        self.assertTrue(table.is_unreachable("t", now=1.1), "for all others")
        self.assertFalse(table.record_failure("t", now=1.2), "no news")
        self.assertTrue(table.is_unreachable_since("t", served_at=1.05, now=1.3))
        self.assertTrue(table.is_suspect("t", now=1.0 + SUSPECT_DURATION_S - 0.01))
        self.assertFalse(
            table.is_suspect("t", now=1.0 + SUSPECT_DURATION_S), "as long as told"
        )

    def test_loss_counts_from_when_it_was_last_seen_here(self):
        table = SuspicionTable()
        table.record_failure("asked-again", now=0.0)
        table.extend("asked-again", now=1.5)
        table.record_indirect_failure("told", duration_s=2.0, now=0.0)
        self.assertFalse(table.is_unreachable_since("told", served_at=-1.0, now=0.5))
        table.record_failure("told", now=1.5)
        for name in ("asked-again", "told"):
            with self.subTest(name):
                self.assertTrue(
                    table.is_unreachable_since(name, served_at=1.4, now=1.6)
                )
                self.assertFalse(
                    table.is_unreachable_since(name, served_at=1.55, now=1.6)
                )

    def test_loss_that_a_stream_speaks_against_is_to_be_asked_about_again(self):
        table = SuspicionTable()
        table.record_failure("t", now=1.0)
        self.assertFalse(table.record_progress("t", served_at=0.9, now=1.1))
        self.assertFalse(table.may_probe("t", now=1.1), "known")
        self.assertTrue(table.record_progress("t", served_at=1.05, now=1.2))
        self.assertTrue(table.may_probe("t", now=1.2))
        table.record_failure("t", now=1.3)
        self.assertFalse(table.may_probe("t", now=1.4), "known anew")
        self.assertTrue(table.may_probe("t", now=4.0), "it is over")

    def test_failing_target_is_left_out_and_ends_nothing_that_runs_there(self):
        # A target fails a part of its requests. Streams that it serves well were ended
        # since it counted as lost.
        table = SuspicionTable()
        table.record_error("t", now=0.0)
        table.record_error("t", now=0.1)
        self.assertTrue(table.is_suspect("t", now=0.2))
        self.assertFalse(table.is_unreachable("t", now=0.2))
        self.assertTrue(table.record_failure("t", now=0.3))
        self.assertTrue(table.is_unreachable("t", now=0.4))

    def test_failure_undoes_no_loss_that_was_seen_here(self):
        # A target is killed. One stream's probe finds it lost; the broken answer of the
        # next counted as a failure and took the loss's place. The other streams through
        # it were led around no more, peers heard nothing, and nobody asked it again.
        for reason in ("unreachable", "address"):
            with self.subTest(reason):
                table = SuspicionTable()
                table.record_failure("t", now=0.0, reason=reason)
                for now in (0.1, 0.2):
                    self.assertTrue(table.record_error("t", now=now), "left out")
                self.assertTrue(table.is_unreachable("t", now=0.3))
                self.assertFalse(
                    table.is_unreachable("t", now=SUSPECT_DURATION_S), "no longer"
                )
        table = SuspicionTable()
        table.record_failure("t", now=0.0)
        table.record_error("t", now=0.1)
        self.assertEqual([s.target for s in table.list_direct_failures(now=0.3)], ["t"])
        self.assertEqual(table.list_ending(now=1.3, ahead_s=0.8), ["t"])
        table = SuspicionTable()
        table.record_indirect_failure("t", duration_s=2.0, now=0.0)
        table.record_error("t", now=0.1)
        self.assertTrue(table.is_indirect("t", now=0.2))
        table.record_error("t", now=0.2)
        self.assertTrue(table.is_suspect("t", now=3.1), "it fails again and again")

    def test_full_target_is_not_lost(self):
        table = SuspicionTable()
        table.record_saturated("t", now=0.0)
        self.assertTrue(table.is_suspect("t", now=0.1))
        self.assertFalse(table.is_unreachable("t", now=0.1))

    def test_target_that_refuses_again_and_again_is_tried_ever_more_rarely(self):
        # Three targets are leaving while the store is out, and refuse all that is new.
        # Every request was sent to one after the other and refused, for nine seconds.
        table = SuspicionTable()
        tries, now = 0, 0.0
        while now < 9.0:
            if not table.is_suspect("t", now=now):
                tries += 1
                table.record_saturated("t", now=now)
            now += 0.05
        self.assertLessEqual(tries, 6)

    def test_full_target_that_serves_again_is_trusted_as_before(self):
        table = SuspicionTable()
        for now in (0.0, 0.5, 1.5):
            table.record_saturated("t", now=now)
        table.record_success("t", now=4.0)
        table.record_saturated("t", now=4.1)
        self.assertFalse(table.is_suspect("t", now=4.1 + SATURATED_DURATION_S))

    def test_one_failure_is_chance_two_in_a_row_are_not(self):
        table = SuspicionTable()
        self.assertFalse(table.record_error("t", now=0.0))
        self.assertFalse(table.is_suspect("t", now=0.0))
        self.assertTrue(table.record_error("t", now=0.1))
        self.assertTrue(table.is_suspect("t", now=0.2))

    def test_served_request_between_failures_begins_the_count_anew(self):
        table = SuspicionTable()
        table.record_error("t", now=0.0)
        table.record_success("t", now=0.1)
        self.assertFalse(table.record_error("t", now=0.2))

    def test_restarted_target_is_trusted(self):
        table = SuspicionTable()
        table.record_failure("t", now=0.0)
        table.record_restart("t")
        self.assertFalse(table.is_suspect("t", now=0.1))

    def test_loss_of_most_targets_empties_no_pool(self):
        # An instance that is cut off itself sees every target as lost; refusing
        # everything would make its own fault everybody's.
        table = SuspicionTable()
        for name in "abc":
            table.record_failure(name, now=0.0)
        self.assertEqual(table.list_suspects("abcd", now=0.1), frozenset())
        self.assertEqual(table.list_suspects("abcdef", now=0.1), frozenset("abc"))

    def test_words_of_peers_lift_no_loss_that_was_seen_here(self):
        # A peer whose link is full told that most targets are lost. With these, more
        # than half of the pool would have been left out, so that nobody was: requests
        # went to the one target that this instance itself had found silent.
        table = SuspicionTable()
        table.record_failure("a", now=0.0)
        for name in "bcd":
            table.record_indirect_failure(name, duration_s=2.0, now=0.0)
        self.assertEqual(table.list_suspects("abcde", now=0.1), frozenset("a"))
        self.assertEqual(table.list_suspects("abcdefgh", now=0.1), frozenset("abcd"))
        for name in "bc":
            table.record_failure(name, now=0.1)
        self.assertEqual(table.list_suspects("abcde", now=0.2), frozenset(), "own")

    def test_what_peers_told_is_not_told_on(self):
        table = SuspicionTable()
        table.record_indirect_failure("t", duration_s=1.0, now=0.0)
        self.assertTrue(table.is_indirect("t", now=0.5))
        self.assertTrue(table.is_suspect("t", now=0.5))
        self.assertEqual(table.list_direct_failures(now=0.5), [])
