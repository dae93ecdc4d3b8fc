import unittest
from itertools import pairwise

from fulmarward_core.suspicion import (
    MAX_SUSPECT_DURATION_S,
    SATURATED_DURATION_S,
    SUSPECT_DURATION_S,
    FailureKind,
    SuspicionTable,
)


class SuspicionTableTest(unittest.TestCase):
    def test_exclusion_of_an_unreachable_target_grows_with_each_failure(self):
        table = SuspicionTable()
        self.assertTrue(table.record_failure("t", now=0.0))
        self.assertFalse(table.record_failure("t", now=0.1), "known already")
        self.assertTrue(table.is_unreachable("t", now=SUSPECT_DURATION_S - 0.01))
        self.assertFalse(table.is_unreachable("t", now=SUSPECT_DURATION_S))
        table.record_failure("t", now=SUSPECT_DURATION_S + 0.1)
        self.assertTrue(table.is_unreachable("t", now=SUSPECT_DURATION_S * 2.9))

    def test_exclusion_is_extended_while_a_target_does_not_answer(self):
        # Guards against an exclusion that ends before the outage. Four targets were
        # down for three seconds but excluded for two; then all instances sent to them
        # at the same time, and 160 streams were rejected.
        table, peer_table = SuspicionTable(), SuspicionTable()
        table.record_failure("t", now=0.0)
        peer_table.record_indirect_failure("t", duration_s=SUSPECT_DURATION_S, now=0.0)
        self.assertEqual(table.list_expiring(now=0.5, ahead_s=0.8), [])
        self.assertEqual(table.list_expiring(now=1.3, ahead_s=0.8), ["t"])
        table.extend("t", now=1.3)
        self.assertTrue(table.is_unreachable("t", now=3.2))
        remaining_s = table.list_direct_failures(now=1.5)[0].until - 1.5
        self.assertFalse(
            peer_table.record_indirect_failure("t", duration_s=remaining_s, now=1.5),
            "known already",
        )
        self.assertTrue(peer_table.is_suspect("t", now=3.2))
        self.assertFalse(peer_table.is_suspect("t", now=3.4))

    def test_only_failures_observed_here_are_probed_again(self):
        table = SuspicionTable()
        table.record_indirect_failure("reported", duration_s=1.0, now=0.0)
        table.record_saturated("full", now=0.0)
        self.assertEqual(table.list_expiring(now=0.3, ahead_s=0.8), [])

    def test_reported_target_is_unreachable_only_once_confirmed_here(self):
        # Guards against a peer with a saturated link that reports healthy targets as
        # unreachable: every instance aborted its streams through them.
        table = SuspicionTable()
        self.assertTrue(table.record_indirect_failure("t", duration_s=2.0, now=0.0))
        self.assertTrue(table.is_suspect("t", now=0.1), "no new work")
        self.assertFalse(table.is_unreachable("t", now=0.1))
        self.assertTrue(table.record_failure("t", now=0.2))
        self.assertTrue(table.is_unreachable("t", now=0.3))
        self.assertEqual(table.list_direct_failures(now=0.3), [], "not relayed")

    def test_own_probe_answer_overrides_repeated_reports(self):
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

    def test_report_that_arrived_after_the_probe_was_sent_is_kept(self):
        table = SuspicionTable()
        table.record_indirect_failure("t", duration_s=2.0, now=0.2)
        self.assertFalse(table.record_answer("t", asked_at=0.1))
        self.assertTrue(table.is_indirect("t", now=0.3))

    def test_probe_answer_does_not_clear_a_failure_observed_here(self):
        table = SuspicionTable()
        table.record_failure("t", now=0.0)
        self.assertFalse(table.record_answer("t", asked_at=0.1))
        self.assertTrue(table.is_unreachable("t", now=0.2))

    def test_answer_ends_the_exclusion_of_a_silent_target_only(self):
        """Guards against requests to a target that crashed or that others miss."""
        for kind, excluded_s in [
            (FailureKind.SILENT, 1.0),
            (FailureKind.STALLED, None),
            (FailureKind.CLOSED, None),
        ]:
            table = SuspicionTable()
            table.record_failure("t", now=1.0, kind=kind)
            self.assertIsNone(table.record_regained("t", asked_at=0.9, now=1.1))
            self.assertTrue(table.is_unreachable("t", now=1.1), "asked before")
            found = table.record_regained("t", asked_at=1.9, now=2.0)
            with self.subTest(kind):
                self.assertEqual(found, excluded_s)
                self.assertEqual(table.is_unreachable("t", now=2.0), excluded_s is None)

    def test_report_excludes_for_no_longer_than_a_failure_found_here(self):
        """Guards against a peer's wrong number that excludes a target for hours."""
        table = SuspicionTable()
        for _ in range(2):
            table.record_indirect_failure("t", duration_s=9e9, now=0.0)
            until = MAX_SUSPECT_DURATION_S
            self.assertTrue(table.is_indirect("t", now=until - 0.1))
            self.assertFalse(table.is_indirect("t", now=until + 0.1))

    def test_report_that_is_taken_over_is_a_failure_found_here(self):
        """Guards against a silence that nobody watches, and a shorter exclusion."""
        table = SuspicionTable()
        table.record_indirect_failure("t", duration_s=4.0, now=0.0)
        failure = {"kind": FailureKind.SILENT, "takes_over": True}
        self.assertTrue(table.record_failure("t", now=0.1, **failure))
        self.assertFalse(table.record_failure("t", now=0.2, **failure), "known")
        [found] = table.list_direct_failures(now=3.9)
        self.assertAlmostEqual(found.until, 4.0)
        self.assertEqual(table.list_due_probes(now=0.5), ["t"])

    def test_silent_target_that_closes_connections_later_has_crashed(self):
        """Guards against requests to a target whose host ended it after a silence."""
        table = SuspicionTable()
        table.record_failure("t", now=0.0, kind=FailureKind.SILENT)
        table.extend("t", now=0.5, kind=FailureKind.CLOSED)
        self.assertEqual(table.list_due_probes(now=2.4), [])
        self.assertIsNone(table.record_regained("t", asked_at=0.6, now=0.7))
        self.assertTrue(table.is_unreachable("t", now=2.4))

    def test_stalled_target_that_is_silent_here_too_gets_requests_after_it(self):
        table = SuspicionTable()
        table.record_failure("t", now=0.0, kind=FailureKind.STALLED)
        self.assertEqual(table.list_due_probes(now=0.4), ["t"])
        table.extend("t", now=0.6, kind=FailureKind.SILENT)
        self.assertIsNotNone(table.record_regained("t", asked_at=1.1, now=1.2))

    def test_answer_to_a_peer_ends_its_report(self):
        """Guards against peers that exclude a target after it answers again."""
        for is_confirmed in (False, True):
            table = SuspicionTable()
            table.record_indirect_failure("t", duration_s=2.0, now=1.0)
            if is_confirmed:
                table.record_failure("t", now=1.1, kind=FailureKind.SILENT)
            self.assertIsNone(table.merge_regained("t", answered_at=0.9, now=1.2))
            self.assertTrue(table.is_suspect("t", now=1.2), "answered before")
            with self.subTest(is_confirmed=is_confirmed):
                found = table.merge_regained("t", answered_at=1.5, now=1.6)
                self.assertIsNotNone(found)
                self.assertFalse(table.is_suspect("t", now=1.6))

    def test_answer_to_a_peer_beside_an_own_observation_is_verified_here(self):
        """Guards against a silence that ends just as this instance observes it."""
        table = SuspicionTable()
        table.record_indirect_failure("t", duration_s=2.0, now=1.0)
        table.record_failure("t", now=1.2, kind=FailureKind.SILENT)
        self.assertEqual(table.list_due_probes(now=1.3), [])
        self.assertIsNone(table.merge_regained("t", answered_at=1.1, now=1.3))
        self.assertTrue(table.is_unreachable("t", now=1.3))
        self.assertEqual(table.list_due_probes(now=1.3), ["t"])
        table.extend("t", now=1.4, kind=FailureKind.SILENT)
        self.assertEqual(table.list_due_probes(now=1.9), [], "probed once")
        table.merge_regained("t", answered_at=1.35, now=1.5)
        self.assertIsNotNone(table.record_regained("t", asked_at=1.6, now=1.7))
        self.assertFalse(table.is_suspect("t", now=1.7))

    def test_late_report_does_not_exclude_a_target_that_answers_again(self):
        """Guards against a report that a hub relays after the answer."""
        table = SuspicionTable()
        table.merge_regained("t", answered_at=1.0, now=1.1)
        table.record_indirect_failure("t", duration_s=1.5, now=1.2)
        self.assertFalse(table.is_suspect("t", now=1.2))
        table.record_indirect_failure("t", duration_s=2.0, now=2.0)
        self.assertTrue(table.is_suspect("t", now=2.0), "silent again")

    def test_answer_to_a_peer_does_not_end_what_was_observed_here(self):
        """Guards against requests over a link that is down, or to a crashed target."""
        for kind, due in [(FailureKind.SILENT, ["t"]), (FailureKind.CLOSED, [])]:
            table = SuspicionTable()
            table.record_failure("t", now=1.0, kind=kind)
            with self.subTest(kind):
                self.assertIsNone(table.merge_regained("t", answered_at=1.1, now=1.2))
                self.assertTrue(table.is_unreachable("t", now=1.2))
                self.assertEqual(table.list_due_probes(now=1.2), due)

    def test_silent_target_is_probed_with_growing_pauses(self):
        """Guards against probes, which are priced, of a target that is dead."""
        table, now, times = SuspicionTable(), 0.0, []
        table.record_failure("t", now=now, kind=FailureKind.SILENT)
        while now < 10.0:
            now += 1 / 16
            if table.list_due_probes(now=now):
                times.append(now)
                table.extend("t", now=now, kind=FailureKind.SILENT)
        pauses = [after - before for before, after in pairwise(times)]
        self.assertLess(times[0], 0.4)
        self.assertEqual(pauses, sorted(pauses))
        self.assertGreater(pauses[-1], 1.1)
        self.assertLess(pauses[-1], SUSPECT_DURATION_S)

    def test_failure_is_ignored_for_a_stream_that_progressed_after_it(self):
        # Guards against slow instances that take healthy targets for unreachable.
        # Streams went on through these targets, but each that paused for 60 ms was
        # aborted or rerouted while the suspicion lasted.
        table = SuspicionTable()
        table.record_failure("t", now=1.0)
        self.assertTrue(table.is_unreachable_since("t", served_at=0.99, now=1.1))
        self.assertFalse(table.is_unreachable_since("t", served_at=1.05, now=1.1))
        self.assertTrue(table.is_unreachable("t", now=1.1), "for other streams")
        self.assertFalse(table.record_failure("t", now=1.2), "known already")
        self.assertTrue(table.is_unreachable_since("t", served_at=1.05, now=1.3))
        self.assertTrue(table.is_suspect("t", now=1.0 + SUSPECT_DURATION_S - 0.01))
        self.assertFalse(
            table.is_suspect("t", now=1.0 + SUSPECT_DURATION_S), "not extended"
        )

    def test_failure_counts_from_its_latest_observation_here(self):
        table = SuspicionTable()
        table.record_failure("extended", now=0.0)
        table.extend("extended", now=1.5)
        table.record_indirect_failure("reported", duration_s=2.0, now=0.0)
        self.assertFalse(
            table.is_unreachable_since("reported", served_at=-1.0, now=0.5)
        )
        table.record_failure("reported", now=1.5)
        for name in ("extended", "reported"):
            with self.subTest(name):
                self.assertTrue(
                    table.is_unreachable_since(name, served_at=1.4, now=1.6)
                )
                self.assertFalse(
                    table.is_unreachable_since(name, served_at=1.55, now=1.6)
                )

    def test_failure_contradicted_by_a_stream_is_probed_again(self):
        table = SuspicionTable()
        table.record_failure("t", now=1.0)
        self.assertFalse(table.record_progress("t", served_at=0.9, now=1.1))
        self.assertFalse(table.may_probe("t", now=1.1), "not contradicted")
        self.assertTrue(table.record_progress("t", served_at=1.05, now=1.2))
        self.assertTrue(table.may_probe("t", now=1.2))
        table.record_failure("t", now=1.3)
        self.assertFalse(table.may_probe("t", now=1.4), "observed again")
        self.assertTrue(table.may_probe("t", now=4.0), "suspicion ended")

    def test_failing_target_is_excluded_without_aborting_running_streams(self):
        # Guards against a target that fails some of its requests and counts as
        # unreachable: streams that it served without errors were aborted.
        table = SuspicionTable()
        table.record_error("t", now=0.0)
        table.record_error("t", now=0.1)
        self.assertTrue(table.is_suspect("t", now=0.2))
        self.assertFalse(table.is_unreachable("t", now=0.2))
        self.assertTrue(table.record_failure("t", now=0.3))
        self.assertTrue(table.is_unreachable("t", now=0.4))

    def test_error_does_not_replace_a_failure_observed_here(self):
        # Guards against an error that hides a known failure. A target was killed and
        # found unreachable; the truncated response of the next stream replaced that
        # suspicion. Other streams through the target were no longer rerouted, peers
        # were not notified, and it was not probed again.
        for reason in ("unreachable", "address"):
            with self.subTest(reason):
                table = SuspicionTable()
                table.record_failure("t", now=0.0, reason=reason)
                for now in (0.1, 0.2):
                    self.assertTrue(table.record_error("t", now=now), "excluded")
                self.assertTrue(table.is_unreachable("t", now=0.3))
                self.assertFalse(
                    table.is_unreachable("t", now=SUSPECT_DURATION_S), "not extended"
                )
        table = SuspicionTable()
        table.record_failure("t", now=0.0)
        table.record_error("t", now=0.1)
        self.assertEqual([s.target for s in table.list_direct_failures(now=0.3)], ["t"])
        self.assertEqual(table.list_expiring(now=1.3, ahead_s=0.8), ["t"])
        table = SuspicionTable()
        table.record_indirect_failure("t", duration_s=2.0, now=0.0)
        table.record_error("t", now=0.1)
        self.assertTrue(table.is_indirect("t", now=0.2))
        table.record_error("t", now=0.2)
        self.assertTrue(table.is_suspect("t", now=3.1), "excluded for its errors")

    def test_saturated_target_is_not_unreachable(self):
        table = SuspicionTable()
        table.record_saturated("t", now=0.0)
        self.assertTrue(table.is_suspect("t", now=0.1))
        self.assertFalse(table.is_unreachable("t", now=0.1))

    def test_target_that_keeps_rejecting_is_tried_with_backoff(self):
        # Guards against targets that leave during an outage of the store and reject all
        # new work: for nine seconds, every request tried three such targets in turn.
        table = SuspicionTable()
        attempts, now = 0, 0.0
        while now < 9.0:
            if not table.is_suspect("t", now=now):
                attempts += 1
                table.record_saturated("t", now=now)
            now += 1 / 16
        self.assertLessEqual(attempts, 6)

    def test_success_resets_the_backoff_of_a_saturated_target(self):
        table = SuspicionTable()
        for now in (0.0, 0.5, 1.5):
            table.record_saturated("t", now=now)
        table.record_success("t", now=4.0)
        table.record_saturated("t", now=4.1)
        self.assertFalse(table.is_suspect("t", now=4.1 + SATURATED_DURATION_S))

    def test_target_is_excluded_after_two_consecutive_errors(self):
        table = SuspicionTable()
        self.assertFalse(table.record_error("t", now=0.0))
        self.assertFalse(table.is_suspect("t", now=0.0))
        self.assertTrue(table.record_error("t", now=0.1))
        self.assertTrue(table.is_suspect("t", now=0.2))

    def test_success_resets_the_error_count(self):
        table = SuspicionTable()
        table.record_error("t", now=0.0)
        table.record_success("t", now=0.1)
        self.assertFalse(table.record_error("t", now=0.2))

    def test_restart_clears_the_suspicion(self):
        table = SuspicionTable()
        table.record_failure("t", now=0.0)
        table.record_restart("t")
        self.assertFalse(table.is_suspect("t", now=0.1))

    def test_no_target_is_excluded_if_most_seem_unreachable(self):
        # Guards against an isolated instance, which finds every target unreachable and
        # would reject all requests because of its own fault.
        table = SuspicionTable()
        for name in "abc":
            table.record_failure(name, now=0.0)
        self.assertEqual(table.list_suspects("abcd", now=0.1), frozenset())
        self.assertEqual(table.list_suspects("abcdef", now=0.1), frozenset("abc"))

    def test_reports_of_peers_do_not_lift_a_failure_observed_here(self):
        # Guards against a peer with a saturated link that reports most targets as
        # unreachable. Together with these, more than half of the pool was suspected, so
        # that no target was excluded: requests went to the one target that this
        # instance itself had found unreachable.
        table = SuspicionTable()
        table.record_failure("a", now=0.0)
        for name in "bcd":
            table.record_indirect_failure(name, duration_s=2.0, now=0.0)
        self.assertEqual(table.list_suspects("abcde", now=0.1), frozenset("a"))
        self.assertEqual(table.list_suspects("abcdefgh", now=0.1), frozenset("abcd"))
        for name in "bc":
            table.record_failure(name, now=0.1)
        self.assertEqual(
            table.list_suspects("abcde", now=0.2), frozenset(), "observed here"
        )

    def test_reports_of_peers_are_not_relayed_as_own_observations(self):
        table = SuspicionTable()
        table.record_indirect_failure("t", duration_s=1.0, now=0.0)
        self.assertTrue(table.is_indirect("t", now=0.5))
        self.assertTrue(table.is_suspect("t", now=0.5))
        self.assertEqual(table.list_direct_failures(now=0.5), [])
