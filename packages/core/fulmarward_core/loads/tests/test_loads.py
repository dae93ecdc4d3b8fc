import unittest

from hypothesis import given, strategies as st

from fulmarward_core.codec.tests.calls import count_calls
from fulmarward_core.fleet import LayerRange
from fulmarward_core.loads import LoadLedger, TargetLoad
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

    def test_report_of_a_silent_peer_expires(self):
        # An instance fails with open requests; its load must not keep targets unused.
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
    def test_sum_over_many_peers_needs_few_calls(self):
        # Each choice of a path and each report of a hub needs the sum over all peers.
        # With 19 peers of 60 targets each this took 1.2 to 1.5 ms, as much as the
        # choice itself, because an object was created for each target of each peer.
        ledger = LoadLedger()
        names = [f"t{place}" for place in range(99)]
        for place in range(19):
            reported = {
                name: TargetLoad(kv=1.0, running=1) for name in names[place:][:60]
            }
            ledger.merge_report(f"peer-{place}", reported, now=0.0)
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
                st.sampled_from(["own", "reported", "centre", "release"]),
                st.integers(0, 3),
                _DRAWN_LOADS,
            ),
            max_size=20,
        )
    )
    def test_sum_equals_adding_one_by_one(self, steps):
        ledger = LoadLedger()
        reservations, reported, centres = [], {}, {}
        for place, (step, number, loads) in enumerate(steps):
            now = place * 0.4
            if step == "own":
                reservations.append(ledger.reserve(_PATH, number))
            elif step == "reported":
                ledger.merge_report(f"peer-{number}", loads, now=now)
                reported[number] = (now, loads)
            elif step == "centre":
                ledger.merge_data_centre(f"centre-{number}", loads, now=now)
                centres[number] = (now, loads)
            elif reservations:
                ledger.release(reservations.pop())
            linked = [ledger.list_own(), *_list_unexpired(reported, now)]
            all_reports = [*linked, *_list_unexpired(centres, now)]
            self.assertEqual(ledger.sum_linked(now=now), _sum_one_by_one(linked))
            self.assertEqual(ledger.sum_loads(now=now), _sum_one_by_one(all_reports))
            for target in "abcdef":
                expected = _sum_one_by_one(all_reports).get(target, TargetLoad())
                self.assertEqual(ledger.find_load(target, now=now), expected)


def _list_unexpired(reported, now):
    return [loads for at, loads in reported.values() if now - at <= 2.5]


def _sum_one_by_one(many):
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
    def test_sum_of_another_data_centre_counts_but_is_not_sent_back(self):
        # Loads of single instances are sent only within their data centre. Without the
        # sums of other data centres, a remote target looks idle and gets all requests.
        ledger = LoadLedger()
        ledger.merge_report("peer", {"a": TargetLoad(running=2)}, now=0.0)
        ledger.merge_data_centre("far", {"a": TargetLoad(running=7)}, now=0.0)
        self.assertEqual(ledger.sum_loads(now=0.1)["a"].running, 9)
        self.assertEqual(ledger.sum_linked(now=0.1)["a"].running, 2)
        self.assertEqual(ledger.sum_loads(now=9.0), {})
