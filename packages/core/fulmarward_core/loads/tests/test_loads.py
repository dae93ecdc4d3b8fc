import unittest

from hypothesis import given, strategies as st

from fulmarward_core.fleet import LayerRange
from fulmarward_core.loads import LoadLedger, RepeatAllowance, TargetLoad
from fulmarward_core.paths import Hop

_PATH = (
    Hop(target="a", address="x:1", layers=LayerRange(start=0, end=6)),
    Hop(target="b", address="x:2", layers=LayerRange(start=6, end=8)),
)


class LoadLedgerTest(unittest.TestCase):
    def test_promise_counts_at_each_target_until_released(self):
        ledger = LoadLedger()
        promise = ledger.promise(_PATH, 100)
        loads = ledger.sum_loads(now=0.0)
        self.assertEqual(loads["a"], TargetLoad(kv=600.0, running=1, first_running=1))
        self.assertEqual(loads["b"], TargetLoad(kv=200.0, running=1))
        ledger.release(promise)
        ledger.release(promise)
        self.assertEqual(ledger.sum_loads(now=0.0), {})

    def test_word_of_a_silent_peer_does_not_count_for_long(self):
        # An instance dies with requests open; its load must not keep targets empty.
        ledger = LoadLedger()
        ledger.take_told("peer", {"a": TargetLoad(running=5)}, now=0.0)
        self.assertEqual(ledger.sum_loads(now=1.0)["a"].running, 5)
        self.assertEqual(ledger.sum_loads(now=9.0), {})


class DataCentreLoadTest(unittest.TestCase):
    def test_sum_of_another_data_centre_counts_and_is_not_told_back(self):
        # Loads of single instances are told within their data centre only. Without the
        # others' sums a target elsewhere looks idle, and all send their requests there.
        ledger = LoadLedger()
        ledger.take_told("peer", {"a": TargetLoad(running=2)}, now=0.0)
        ledger.take_centre("far", {"a": TargetLoad(running=7)}, now=0.0)
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
