import unittest
from dataclasses import replace

from fulmarward_standins.demand import find_scenario, measure_run, run_scenario

#: Minimum share of the upper bound of useful work, and minimum share of its demand that
#: the worst team within its sold share gets. Runs are seeded and use virtual time, so
#: the results are deterministic.
_BOUNDS = {
    "load 0.7": (0.97, 0.99),
    "load 1.0": (0.95, 0.98),
    "load 3": (0.90, 0.98),
    "bursts": (0.95, 0.98),
    "skewed teams": (0.90, 0.98),
    "skewed prefixes": (0.95, 0.98),
    "prefixes, gaps": (0.93, 0.98),
    "long and short": (0.95, 0.98),
    "one slow": (0.95, 0.98),
    "one fails fast": (0.95, 0.98),
    "one lies": (0.95, 0.98),
    "data centre lost": (0.85, 0.94),
    "report lag 0.1 s": (0.95, 0.98),
    "report lag 5 s": (0.93, 0.98),
}

_FAULT_AT = 10.0


def _shorten(scenario):
    faults = tuple(
        replace(fault, at=min(fault.at, _FAULT_AT)) for fault in scenario.faults
    )
    return replace(scenario, duration_s=25.0, warmup_s=7.0, faults=faults)


class ScenariosTest(unittest.TestCase):
    def test_callers_get_what_capacity_and_shares_allow(self):
        for name, (of_bound, worst_inside) in _BOUNDS.items():
            scenario = _shorten(find_scenario(name))
            with self.subTest(scenario=name):
                record = run_scenario(scenario, policy="ours", seed=1)
                self._check_cut(scenario, record)
                row = measure_run(scenario, record)
                self.assertGreaterEqual(row["of_bound"], of_bound)
                self.assertGreaterEqual(row["worst_inside"], worst_inside)
                self.assertLessEqual(row["retries"], 1.1)
                self.assertTrue(all(call.outcome for call in record.calls))

    def _check_cut(self, scenario, record):
        """Check that only answers on failed targets were cut, and remove them.

        No policy can save a stream that was running on a target when it failed.
        """
        hit = {index for fault in scenario.faults for index in fault.engines}
        cut = [call for call in record.calls if call.outcome == "failed"]
        self.assertLessEqual(len(cut), len(hit) * scenario.slots)
        kept = [
            (call, at)
            for call, at in zip(record.calls, record.first_arrivals, strict=True)
            if call.outcome != "failed"
        ]
        record.calls = [call for call, _ in kept]
        record.first_arrivals = [at for _, at in kept]

    def test_runs_are_deterministic(self):
        scenario = replace(find_scenario("bursts"), duration_s=5.0, warmup_s=1.0)
        rows = [
            measure_run(scenario, run_scenario(scenario, policy="ours", seed=3))
            for _ in range(2)
        ]
        self.assertEqual(rows[0], rows[1])
