import unittest

from hypothesis import given, strategies as st

from fulmarward_core.quotas import UNSTARTED_SHARE, RetryBudget


class RetryBudgetTest(unittest.TestCase):
    @given(
        st.integers(1, 9),
        st.lists(st.tuples(st.booleans(), st.floats(0, 0.5)), max_size=300),
    )
    def test_all_instances_together_keep_the_bound(self, instances, steps):
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
            within = [at for at in retries if end - window_s < at <= end]
            asked = [at for at in requests if end - window_s < at <= end]
            self.assertLessEqual(len(within), ratio * len(asked) + slack)

    @given(
        st.integers(1, 9),
        st.lists(
            st.tuples(
                st.sampled_from(["request", "unbegun", "begun"]),
                st.floats(0, 0.5),
                st.floats(0, 2.0),
            ),
            max_size=300,
        ),
    )
    def test_bound_holds_for_requests_that_have_begun_and_that_have_not(
        self, instances, steps
    ):
        ratio, slack, window_s = 0.2, 30.0, 10.0
        budgets = [
            RetryBudget(ratio=ratio, slack=slack, window_s=window_s)
            for _ in range(instances)
        ]
        now, requests, retries = 0.0, [], []
        #: When to ask again, until when, and where, of answers that wait.
        waiting = []

        def take_turns():
            for entry in sorted(entry for entry in waiting if entry[0] <= now):
                waiting.remove(entry)
                _, until, place = entry
                budget = budgets[place]
                turn = budget.take_turn(until=until, share=1 / instances, now=now)
                if turn.is_taken:
                    retries.append(now)
                if turn.ask_at is None:
                    budget.end_wait(until=until)
                else:
                    self.assertGreater(turn.ask_at, now)
                    self.assertLessEqual(turn.ask_at, until)
                    waiting.append((turn.ask_at, until, place))

        for number, (kind, passed, patience_s) in enumerate(steps):
            now += passed
            place = number % instances
            budget = budgets[place]
            if kind == "request":
                budget.note_request(now=now)
                requests.append(now)
            elif kind == "begun":
                budget.begin_wait(until=now + patience_s)
                waiting.append((now, now + patience_s, place))
            elif budget.take_retry(share=1 / instances, now=now, part=UNSTARTED_SHARE):
                retries.append(now)
            take_turns()
        for end in retries:
            within = [at for at in retries if end - window_s < at <= end]
            asked = [at for at in requests if end - window_s < at <= end]
            self.assertLessEqual(len(within), ratio * len(asked) + slack)


class RetryTurnTest(unittest.TestCase):
    def setUp(self):
        #: One instance alone: 0.7 x 10 retries in ten seconds.
        self.budget = RetryBudget(ratio=0.2, slack=10.0, window_s=10.0)

    def take_all(self, *, now, part=1.0):
        taken = 0
        while self.budget.take_retry(share=1.0, now=now, part=part):
            taken += 1
        return taken

    def take_turn(self, until, now):
        return self.budget.take_turn(until=until, share=1.0, now=now)

    def test_requests_that_have_not_begun_leave_a_part_to_those_that_have(self):
        # Requests that had not begun used up the share, and an answer that had begun
        # was cut in the middle in the same second.
        self.assertEqual(self.take_all(now=0.0, part=UNSTARTED_SHARE), 3)
        self.assertEqual(self.take_all(now=0.1), 4)
        self.assertEqual(self.take_all(now=0.2, part=UNSTARTED_SHARE), 0)

    def test_small_share_still_retries_a_request_that_has_not_begun(self):
        # In a fleet of many instances a share is one or two retries. Half of one is
        # none: a request whose first target refused it was never sent on, and its
        # caller was refused though others had room.
        self.budget = RetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
        self.assertEqual(self.take_all(now=0.0, part=UNSTARTED_SHARE), 1)
        self.budget = RetryBudget(ratio=0.2, slack=1.0, window_s=10.0)
        self.assertEqual(self.take_all(now=0.0, part=UNSTARTED_SHARE), 0)

    def test_answer_waits_until_a_retry_falls_out_of_the_window(self):
        # An answer was cut at once though a retry was free half a second later.
        self.take_all(now=0.0)
        self.budget.begin_wait(until=11.0)
        now, asked = 9.47, 0
        while True:
            turn = self.take_turn(11.0, now)
            if turn.is_taken:
                break
            now, asked = turn.ask_at, asked + 1
        self.assertAlmostEqual(now, 10.0)
        self.assertLessEqual(asked, 7)

    def test_answer_gives_up_when_its_caller_leaves(self):
        self.take_all(now=9.0)
        self.budget.begin_wait(until=11.0)
        self.assertAlmostEqual(self.take_turn(11.0, 10.95).ask_at, 11.0)
        last = self.take_turn(11.0, 11.0)
        self.assertEqual((last.is_taken, last.ask_at), (False, None))

    def test_answer_is_asked_for_once_even_if_its_time_is_over(self):
        # Its target stood still for long before it broke off; a retry is free.
        self.budget.begin_wait(until=1.0)
        self.assertTrue(self.take_turn(1.0, 2.0).is_taken)

    def test_answer_whose_caller_leaves_first_goes_first(self):
        self.take_all(now=0.0)
        for until in (11.5, 10.5):
            self.budget.begin_wait(until=until)
        self.assertFalse(self.take_turn(11.5, 10.0).is_taken)
        self.assertTrue(self.take_turn(10.5, 10.01).is_taken)
        self.budget.end_wait(until=10.5)
        self.assertTrue(self.take_turn(11.5, 10.02).is_taken)

    def test_one_that_waits_no_more_holds_up_nobody(self):
        self.take_all(now=0.0)
        for until in (10.5, 11.5):
            self.budget.begin_wait(until=until)
        self.budget.end_wait(until=10.5)
        self.assertTrue(self.take_turn(11.5, 10.0).is_taken)

    def test_retry_that_is_left_is_told_without_being_taken(self):
        self.assertTrue(self.budget.has_retry(share=1.0, now=0.0))
        self.assertEqual(self.take_all(now=0.0), 7)
        self.assertFalse(self.budget.has_retry(share=1.0, now=0.0))
