import unittest

from hypothesis import given, strategies as st

from fulmarward_core.codec.tests.calls import count_calls
from fulmarward_core.fleet import LayerRange
from fulmarward_core.loads import (
    UNBEGUN_PART,
    LoadLedger,
    RepeatAllowance,
    TargetLoad,
)
from fulmarward_core.paths import Hop

_PATH = (
    Hop(target="a", address="x:1", layers=LayerRange(start=0, end=6)),
    Hop(target="b", address="x:2", layers=LayerRange(start=6, end=8)),
)


class LoadLedgerTest(unittest.TestCase):
    def test_reservation_counts_at_each_target_until_released(self):
        ledger = LoadLedger()
        reservation = ledger.reserve(_PATH, 100)
        loads = ledger.sum_loads(now=0.0)
        self.assertEqual(loads["a"], TargetLoad(kv=600.0, running=1, first_running=1))
        self.assertEqual(loads["b"], TargetLoad(kv=200.0, running=1))
        ledger.release(reservation)
        ledger.release(reservation)
        self.assertEqual(ledger.sum_loads(now=0.0), {})

    def test_word_of_a_silent_peer_does_not_count_for_long(self):
        # An instance dies with requests open; its load must not keep targets empty.
        ledger = LoadLedger()
        ledger.merge_report("peer", {"a": TargetLoad(running=5)}, now=0.0)
        self.assertEqual(ledger.sum_loads(now=1.0)["a"].running, 5)
        self.assertEqual(ledger.sum_loads(now=9.0), {})


_DRAWN_LOADS = st.dictionaries(
    st.sampled_from("abcdef"),
    st.builds(
        TargetLoad,
        kv=st.integers(0, 90_000),
        running=st.integers(0, 9),
        first_running=st.integers(0, 3),
    ),
)


class SumTest(unittest.TestCase):
    def test_sum_over_many_peers_costs_few_calls(self):
        # Each choice of a path and each word of a hub sums what all peers told. With 19
        # peers that each tell of 60 targets this took 1.2 to 1.5 ms, as much as the
        # choice itself: a load was made for each target of each peer.
        ledger = LoadLedger()
        names = [f"t{place}" for place in range(99)]
        for place in range(19):
            told = {name: TargetLoad(kv=1.0, running=1) for name in names[place:][:60]}
            ledger.merge_report(f"peer-{place}", told, now=0.0)
        sums = ledger.sum_loads(now=0.1)
        self.assertEqual(sums["t30"].running, 19)
        calls = count_calls(lambda: ledger.sum_loads(now=0.1))
        self.assertLess(calls, 2 * len(names))
        self.assertEqual(ledger.find_load("t30", now=0.1), sums["t30"])
        calls = count_calls(lambda: ledger.find_load("t30", now=0.1))
        self.assertLess(calls, len(names))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["own", "told", "centre", "release"]),
                st.integers(0, 3),
                _DRAWN_LOADS,
            ),
            max_size=20,
        )
    )
    def test_sum_is_what_adding_one_by_one_gives(self, steps):
        ledger = LoadLedger()
        reservations, told, centres = [], {}, {}
        for place, (step, number, loads) in enumerate(steps):
            now = place * 0.4
            if step == "own":
                reservations.append(ledger.reserve(_PATH, number))
            elif step == "told":
                ledger.merge_report(f"peer-{number}", loads, now=now)
                told[number] = (now, loads)
            elif step == "centre":
                ledger.merge_centre(f"centre-{number}", loads, now=now)
                centres[number] = (now, loads)
            elif reservations:
                ledger.release(reservations.pop())
            near = [ledger.list_own(), *_list_late(told, now)]
            all_told = [*near, *_list_late(centres, now)]
            self.assertEqual(ledger.sum_nearby(now=now), _add_plainly(near))
            self.assertEqual(ledger.sum_loads(now=now), _add_plainly(all_told))
            for target in "abcdef":
                expected = _add_plainly(all_told).get(target, TargetLoad())
                self.assertEqual(ledger.find_load(target, now=now), expected)


def _list_late(told, now):
    return [loads for at, loads in told.values() if now - at <= 2.5]


def _add_plainly(many):
    total = {}
    for loads in many:
        for target, load in loads.items():
            known = total.get(target, TargetLoad())
            total[target] = TargetLoad(
                kv=known.kv + load.kv,
                running=known.running + load.running,
                first_running=known.first_running + load.first_running,
            )
    return total


class DataCentreLoadTest(unittest.TestCase):
    def test_sum_of_another_data_centre_counts_and_is_not_told_back(self):
        # Loads of single instances are told within their data centre only. Without the
        # others' sums a target elsewhere looks idle, and all send their requests there.
        ledger = LoadLedger()
        ledger.merge_report("peer", {"a": TargetLoad(running=2)}, now=0.0)
        ledger.merge_centre("far", {"a": TargetLoad(running=7)}, now=0.0)
        self.assertEqual(ledger.sum_loads(now=0.1)["a"].running, 9)
        self.assertEqual(ledger.sum_nearby(now=0.1)["a"].running, 2)
        self.assertEqual(ledger.sum_loads(now=9.0), {})


class RepeatAllowanceTest(unittest.TestCase):
    @given(
        st.integers(1, 9),
        st.lists(st.tuples(st.booleans(), st.floats(0, 0.5)), max_size=300),
    )
    def test_all_instances_together_keep_the_bound(self, instances, steps):
        ratio, slack, window_s = 0.2, 30.0, 10.0
        allowances = [
            RepeatAllowance(ratio=ratio, slack=slack, window_s=window_s)
            for _ in range(instances)
        ]
        now, requests, repeats = 0.0, [], []
        for place, (is_request, passed) in enumerate(steps):
            now += passed
            allowance = allowances[place % instances]
            if is_request:
                allowance.note_request(now=now)
                requests.append(now)
            elif allowance.take_repeat(instances=instances, now=now):
                repeats.append(now)
        for end in repeats:
            within = [at for at in repeats if end - window_s < at <= end]
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
        allowances = [
            RepeatAllowance(ratio=ratio, slack=slack, window_s=window_s)
            for _ in range(instances)
        ]
        now, requests, repeats = 0.0, [], []
        #: When to ask again, until when, and where, of answers that wait.
        waiting = []

        def take_turns():
            for entry in sorted(entry for entry in waiting if entry[0] <= now):
                waiting.remove(entry)
                _, until, place = entry
                allowance = allowances[place]
                turn = allowance.take_turn(until=until, instances=instances, now=now)
                if turn.is_taken:
                    repeats.append(now)
                if turn.ask_at is None:
                    allowance.end_wait(until=until)
                else:
                    self.assertGreater(turn.ask_at, now)
                    self.assertLessEqual(turn.ask_at, until)
                    waiting.append((turn.ask_at, until, place))

        for number, (kind, passed, patience_s) in enumerate(steps):
            now += passed
            place = number % instances
            allowance = allowances[place]
            if kind == "request":
                allowance.note_request(now=now)
                requests.append(now)
            elif kind == "begun":
                allowance.begin_wait(until=now + patience_s)
                waiting.append((now, now + patience_s, place))
            elif allowance.take_repeat(instances=instances, now=now, part=UNBEGUN_PART):
                repeats.append(now)
            take_turns()
        for end in repeats:
            within = [at for at in repeats if end - window_s < at <= end]
            asked = [at for at in requests if end - window_s < at <= end]
            self.assertLessEqual(len(within), ratio * len(asked) + slack)


class RepeatTurnTest(unittest.TestCase):
    def setUp(self):
        #: One instance alone: 0.7 x 10 repeats in ten seconds.
        self.allowance = RepeatAllowance(ratio=0.2, slack=10.0, window_s=10.0)

    def take_all(self, *, now, part=1.0):
        taken = 0
        while self.allowance.take_repeat(instances=1, now=now, part=part):
            taken += 1
        return taken

    def take_turn(self, until, now):
        return self.allowance.take_turn(until=until, instances=1, now=now)

    def test_requests_that_have_not_begun_leave_a_part_to_those_that_have(self):
        # Requests that had not begun used up the share, and an answer that had begun
        # was cut in the middle in the same second.
        self.assertEqual(self.take_all(now=0.0, part=UNBEGUN_PART), 3)
        self.assertEqual(self.take_all(now=0.1), 4)
        self.assertEqual(self.take_all(now=0.2, part=UNBEGUN_PART), 0)

    def test_small_share_still_repeats_a_request_that_has_not_begun(self):
        # In a fleet of many instances a share is one or two repeats. Half of one is
        # none: a request whose first target refused it was never sent on, and its
        # caller was refused though others had room.
        self.allowance = RepeatAllowance(ratio=0.2, slack=2.0, window_s=10.0)
        self.assertEqual(self.take_all(now=0.0, part=UNBEGUN_PART), 1)
        self.allowance = RepeatAllowance(ratio=0.2, slack=1.0, window_s=10.0)
        self.assertEqual(self.take_all(now=0.0, part=UNBEGUN_PART), 0)

    def test_answer_waits_until_a_repeat_falls_out_of_the_window(self):
        # An answer was cut at once though a repeat was free half a second later.
        self.take_all(now=0.0)
        self.allowance.begin_wait(until=11.0)
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
        self.allowance.begin_wait(until=11.0)
        self.assertAlmostEqual(self.take_turn(11.0, 10.95).ask_at, 11.0)
        last = self.take_turn(11.0, 11.0)
        self.assertEqual((last.is_taken, last.ask_at), (False, None))

    def test_answer_is_asked_for_once_even_if_its_time_is_over(self):
        # Its target stood still for long before it broke off; a repeat is free.
        self.allowance.begin_wait(until=1.0)
        self.assertTrue(self.take_turn(1.0, 2.0).is_taken)

    def test_answer_whose_caller_leaves_first_goes_first(self):
        self.take_all(now=0.0)
        for until in (11.5, 10.5):
            self.allowance.begin_wait(until=until)
        self.assertFalse(self.take_turn(11.5, 10.0).is_taken)
        self.assertTrue(self.take_turn(10.5, 10.01).is_taken)
        self.allowance.end_wait(until=10.5)
        self.assertTrue(self.take_turn(11.5, 10.02).is_taken)

    def test_one_that_waits_no_more_holds_up_nobody(self):
        self.take_all(now=0.0)
        for until in (10.5, 11.5):
            self.allowance.begin_wait(until=until)
        self.allowance.end_wait(until=10.5)
        self.assertTrue(self.take_turn(11.5, 10.0).is_taken)

    def test_repeat_that_is_left_is_told_without_being_taken(self):
        self.assertTrue(self.allowance.has_repeat(instances=1, now=0.0))
        self.assertEqual(self.take_all(now=0.0), 7)
        self.assertFalse(self.allowance.has_repeat(instances=1, now=0.0))
