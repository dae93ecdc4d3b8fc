import unittest

from hypothesis import given, strategies as st

from fulmarward_core.quotas import UNSTARTED_SHARE, RetryBudget


class RetryBudgetTest(unittest.TestCase):
    @given(
        st.integers(1, 9),
        st.lists(st.tuples(st.booleans(), st.floats(0, 0.5)), max_size=300),
    )
    def test_all_instances_together_stay_within_the_budget(self, instances, steps):
        ratio, slack, window_s = 0.2, 30.0, 10.0
        budgets = [
            RetryBudget(ratio=ratio, slack=slack, window_s=window_s)
            for _ in range(instances)
        ]
        now, requests, retries = 0.0, [], []
        for place, (is_request, passed) in enumerate(steps):
            now += passed
            budget = budgets[place % instances]
            if is_request:
                budget.note_request(now=now)
                requests.append(now)
            elif budget.take_retry(share=1 / instances, now=now):
                retries.append(now)
        for end in retries:
            within_retries = [at for at in retries if end - window_s < at <= end]
            within_requests = [at for at in requests if end - window_s < at <= end]
            self.assertLessEqual(
                len(within_retries), ratio * len(within_requests) + slack
            )

    @given(
        st.integers(1, 9),
        st.lists(
            st.tuples(
                st.sampled_from(["request", "unstarted", "started"]),
                st.floats(0, 0.5),
                st.floats(0, 2.0),
            ),
            max_size=300,
        ),
    )
    def test_budget_holds_for_started_and_unstarted_requests(self, instances, steps):
        ratio, slack, window_s = 0.2, 30.0, 10.0
        budgets = [
            RetryBudget(ratio=ratio, slack=slack, window_s=window_s)
            for _ in range(instances)
        ]
        now, requests, retries = 0.0, [], []
        #: Next poll, latest poll, and index of the budget of each waiting answer.
        waiting = []

        def poll_waiting():
            for entry in sorted(entry for entry in waiting if entry[0] <= now):
                waiting.remove(entry)
                _, until, place = entry
                budget = budgets[place]
                decision = budget.poll_retry(until=until, share=1 / instances, now=now)
                if decision.is_taken:
                    retries.append(now)
                if decision.poll_at is None:
                    budget.end_wait(until=until)
                else:
                    self.assertGreater(decision.poll_at, now)
                    self.assertLessEqual(decision.poll_at, until)
                    waiting.append((decision.poll_at, until, place))

        for number, (kind, passed, patience_s) in enumerate(steps):
            now += passed
            place = number % instances
            budget = budgets[place]
            if kind == "request":
                budget.note_request(now=now)
                requests.append(now)
            elif kind == "started":
                budget.begin_wait(until=now + patience_s)
                waiting.append((now, now + patience_s, place))
            elif budget.take_retry(share=1 / instances, now=now, part=UNSTARTED_SHARE):
                retries.append(now)
            poll_waiting()
        for end in retries:
            within_retries = [at for at in retries if end - window_s < at <= end]
            within_requests = [at for at in requests if end - window_s < at <= end]
            self.assertLessEqual(
                len(within_retries), ratio * len(within_requests) + slack
            )


class PollRetryTest(unittest.TestCase):
    def setUp(self):
        #: A single instance: 0.7 x 10 retries in ten seconds.
        self.budget = RetryBudget(ratio=0.2, slack=10.0, window_s=10.0)

    def take_all(self, *, now, part=1.0):
        taken = 0
        while self.budget.take_retry(share=1.0, now=now, part=part):
            taken += 1
        return taken

    def poll_retry(self, until, now):
        return self.budget.poll_retry(until=until, share=1.0, now=now)

    def test_unstarted_requests_leave_a_part_to_started_ones(self):
        # Unstarted requests used up the share, and a started answer was truncated
        # in the same second.
        self.assertEqual(self.take_all(now=0.0, part=UNSTARTED_SHARE), 3)
        self.assertEqual(self.take_all(now=0.1), 4)
        self.assertEqual(self.take_all(now=0.2, part=UNSTARTED_SHARE), 0)

    def test_answers_ended_early_leave_a_part_to_those_that_lost_their_target(self):
        """Guards against a silence that uses up the retries of real losses."""
        taken = 0
        while self.budget.take_retry(share=1.0, now=0.0, yields=True):
            taken += 1
        self.assertGreaterEqual(taken, 3, "a silence may last")
        self.assertGreaterEqual(self.take_all(now=0.1), 2)
        self.assertFalse(self.budget.take_retry(share=1.0, now=0.2, yields=True))

    def test_small_share_still_allows_an_unstarted_request_one_retry(self):
        # In a large fleet a share is one or two retries, and half of one rounds down to
        # none: a request that its first target refused was rejected although other
        # targets had room.
        self.budget = RetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
        self.assertEqual(self.take_all(now=0.0, part=UNSTARTED_SHARE), 1)
        self.budget = RetryBudget(ratio=0.2, slack=1.0, window_s=10.0)
        self.assertEqual(self.take_all(now=0.0, part=UNSTARTED_SHARE), 0)

    def test_answer_waits_until_a_retry_leaves_the_window(self):
        # An answer was aborted although a retry became available half a second later.
        self.take_all(now=0.0)
        self.budget.begin_wait(until=11.0)
        now, polls = 9.47, 0
        while True:
            decision = self.poll_retry(11.0, now)
            if decision.is_taken:
                break
            now, polls = decision.poll_at, polls + 1
        self.assertAlmostEqual(now, 10.0)
        self.assertLessEqual(polls, 7)

    def test_answer_stops_polling_at_its_time_limit(self):
        self.take_all(now=9.0)
        self.budget.begin_wait(until=11.0)
        self.assertAlmostEqual(self.poll_retry(11.0, 10.95).poll_at, 11.0)
        last = self.poll_retry(11.0, 11.0)
        self.assertEqual((last.is_taken, last.poll_at), (False, None))

    def test_answer_past_its_time_limit_still_gets_an_available_retry(self):
        # Its target stalled for long before it failed; a retry is available.
        self.budget.begin_wait(until=1.0)
        self.assertTrue(self.poll_retry(1.0, 2.0).is_taken)

    def test_answer_with_the_earliest_limit_is_served_first(self):
        self.take_all(now=0.0)
        for until in (11.5, 10.5):
            self.budget.begin_wait(until=until)
        self.assertFalse(self.poll_retry(11.5, 10.0).is_taken)
        self.assertTrue(self.poll_retry(10.5, 10.01).is_taken)
        self.budget.end_wait(until=10.5)
        self.assertTrue(self.poll_retry(11.5, 10.02).is_taken)

    def test_unregistered_answer_does_not_block_others(self):
        self.take_all(now=0.0)
        for until in (10.5, 11.5):
            self.budget.begin_wait(until=until)
        self.budget.end_wait(until=10.5)
        self.assertTrue(self.poll_retry(11.5, 10.0).is_taken)

    def test_availability_is_checked_without_taking_a_retry(self):
        self.assertTrue(self.budget.has_retry(share=1.0, now=0.0))
        self.assertEqual(self.take_all(now=0.0), 7)
        self.assertFalse(self.budget.has_retry(share=1.0, now=0.0))


class UnstartedPartTest(unittest.TestCase):
    """Budgets of an instance that targets reject requests of, by the work's figures."""

    #: Fixed budget, listed instances, and requests of one of them within a window.
    works = ((338.0, 32, 60), (322.0, 30, 55))

    def play(self, slack, listed, requests, *, open_answers):
        """Return how many rejected requests are sent again, and what is left then."""
        budget = RetryBudget(ratio=0.2, slack=slack, window_s=10.0)
        for _ in range(requests):
            budget.note_request(now=0.0)
        share, sent = 1 / listed, 0
        for _ in range(requests):
            part = budget.find_unstarted_part(
                open_answers=open_answers, share=share, now=0.0
            )
            sent += budget.take_retry(share=share, now=0.0, part=part)
        usage = budget.count(share=share, now=0.0)
        return sent, usage.allowed - usage.used

    def test_rejected_requests_may_use_all_after_a_restart(self):
        """Guards against refusals while the budget is kept for answers of nobody."""
        for work in self.works:
            with self.subTest(work):
                sent, left = self.play(*work, open_answers=0)
                self.assertGreaterEqual(sent, 13)
                self.assertLess(left, 2.0)

    def test_open_answers_keep_what_a_loss_may_take(self):
        """Guards against truncated answers, as rejected requests used all retries."""
        for work in self.works:
            with self.subTest(work):
                _, left = self.play(*work, open_answers=8)
                self.assertGreaterEqual(left, 2.0)

    def test_an_answer_that_starts_later_has_a_retry(self):
        """Guards against an answer that is truncated though it began after the rest."""
        for work in self.works:
            with self.subTest(work):
                _, left = self.play(*work, open_answers=0)
                self.assertGreaterEqual(left, 1.0)

    def test_many_open_answers_leave_half(self):
        """Guards against an instance that serves streams and repeats no request."""
        for work in self.works:
            with self.subTest(work):
                sent, left = self.play(*work, open_answers=100)
                self.assertGreaterEqual(sent, 7)
                self.assertGreaterEqual(left, sent)
