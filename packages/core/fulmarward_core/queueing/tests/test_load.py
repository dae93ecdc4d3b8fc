import unittest

from fulmarward_core.queueing.tests.load import (
    ArrivalOrderPolicy,
    OnTimeFirstPolicy,
    simulate_load,
)

#: Concurrent requests of the fleet, and its throughput per second when it is full.
_PLACES = 200
_FULL_RATE = _PLACES / 1.6

_SEEDS = (1, 2, 3)


def _simulate(make_policy, seed, places, rate):
    return simulate_load(
        make_policy,
        seed=seed,
        find_places=lambda now: _PLACES * places(now),
        find_rates={0: lambda now: _FULL_RATE * rate(now)},
        duration_s=20.0,
    )


def _fixed(value):
    return lambda now: value


def _step(value, begin, end, otherwise):
    return lambda now: value if begin <= now < end else otherwise


class LoadTest(unittest.TestCase):
    def test_callers_are_answered_in_time_above_capacity(self):
        """Guards against answering every caller late when the load exceeds capacity.

        Checks the minimum share of callers that the policy answers in time, and at all,
        and the maximum share that serving in order of arrival answers in time.
        """
        cases = [
            # name, places, rate, on time, worst span, served, baseline on time
            ("calm", _fixed(1.0), _fixed(0.6), 0.99, 0.95, 0.99, 1.0),
            ("burst", _fixed(1.0), _step(1.5, 6, 10, 0.7), 0.8, 0.55, 0.95, 0.7),
            ("losses", _step(0.6, 4, 16, 1.0), _fixed(0.75), 0.65, 0.45, 0.88, 0.55),
            ("far above", _step(0.3, 4, 18, 1.0), _fixed(0.75), 0.4, 0.15, 0.65, 0.35),
            ("outage", _step(0.0, 8, 11, 1.0), _fixed(0.65), 0.8, 0.25, 0.95, 0.85),
        ]
        for name, places, rate, on_time, worst, served, baseline_on_time in cases:
            for seed in _SEEDS:
                found = _simulate(OnTimeFirstPolicy, seed, places, rate)
                baseline = _simulate(lambda _: ArrivalOrderPolicy(), seed, places, rate)
                with self.subTest(name, seed=seed):
                    self.assertGreaterEqual(found.on_time_share, on_time)
                    self.assertGreaterEqual(found.find_worst_share(), worst)
                    self.assertGreaterEqual(found.served_share, served)
                    self.assertLessEqual(baseline.on_time_share, baseline_on_time)
                    self.assertGreaterEqual(found.served_share, baseline.served_share)
