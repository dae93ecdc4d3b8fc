import unittest
from functools import partial

from fulmarward_core.queueing.tests.load import (
    LocalUrgencyPolicy,
    OnTimeFirstPolicy,
    ReservingPolicy,
    simulate_load,
)
from fulmarward_core.reservations import MIN_CLASS_SHARE, ClassSettings

#: Concurrent requests of the fleet, and its throughput per second when it is full.
_PLACES = 200
_FULL_RATE = _PLACES / 1.6

_SEEDS = (1, 2)

#: Objectives of a deployment whose least urgent routes may take twice as long.
_OBJECTIVES_S = {0: 0.5, 1: 0.5, 2: 1.0}

_POLICIES = {
    "today": OnTimeFirstPolicy,
    "urgency at each instance": LocalUrgencyPolicy,
    "reservations": partial(ReservingPolicy, lowest_urgency=2),
}


def _simulate(make_policy, seed, places, rates, objectives_s=None):
    def scale(rate):
        return lambda now: _FULL_RATE * rate(now)

    return simulate_load(
        make_policy,
        seed=seed,
        find_places=lambda now: _PLACES * places(now),
        find_rates={urgency: scale(rate) for urgency, rate in rates.items()},
        objectives_s=objectives_s,
        duration_s=20.0,
    )


def _step(value, begin, end, otherwise):
    return lambda now: value if begin <= now < end else otherwise


_CALM, _BURST, _SHORT_BURST = (_step(v, 6, 10, 0.25) for v in (0.25, 1.0, 0.5))
_ALL, _THIRD_LOST = _step(1.0, 0, 0, 1.0), _step(2 / 3, 6, 14, 1.0)

_CASES = [
    # name, places, rates by urgency
    ("burst of the lowest", _ALL, {0: _CALM, 1: _CALM, 2: _BURST}),
    ("burst of the highest", _ALL, {0: _BURST, 1: _CALM, 2: _CALM}),
    ("losses", _THIRD_LOST, dict.fromkeys(range(3), _CALM)),
    ("losses, all burst", _THIRD_LOST, dict.fromkeys(range(3), _SHORT_BURST)),
]


class LoadTest(unittest.TestCase):
    def test_classes_under_contention(self):
        """Guards against lower classes that are served first, and against starvation.

        The order by lateness before urgency fails the first in each case, and a strict
        order at each instance answers fewer of the most urgent callers in time.
        """
        for name, places, rates in _CASES:
            for seed in _SEEDS:
                found = {
                    policy: _simulate(make, seed, places, rates, _OBJECTIVES_S)
                    for policy, make in _POLICIES.items()
                }
                outcome = found.pop("reservations")
                on_time = [outcome.find_class_share(u, "on time") for u in rates]
                served = [outcome.find_class_share(u, "on time", "late") for u in rates]
                with self.subTest(name, seed=seed, on_time=on_time, served=served):
                    self.assertGreaterEqual(on_time[0], on_time[1] - 0.02)
                    self.assertGreaterEqual(on_time[1], on_time[2] - 0.02)
                    self.assertGreaterEqual(min(served), outcome.served_share / 4)
                    for baseline in found.values():
                        baseline_on_time = baseline.find_class_share(0, "on time")
                        self.assertGreater(on_time[0], baseline_on_time)

    def test_lasting_overload_by_the_highest_class(self):
        """Guards against starvation, which a minimum share of 0 does not prevent."""
        rates = {0: _step(1.2, 0, 20, 0.0), 1: _CALM, 2: _CALM}
        for share, is_starved in [(MIN_CLASS_SHARE, False), (0.0, True)]:
            settings = ClassSettings(min_class_share=share)
            make_policy = partial(ReservingPolicy, lowest_urgency=2, settings=settings)
            outcome = _simulate(make_policy, 1, _ALL, rates, _OBJECTIVES_S)
            served = [outcome.find_class_share(u, "on time", "late") for u in rates]
            with self.subTest(share=share, served=served):
                self.assertEqual(min(served) < MIN_CLASS_SHARE, is_starved)

    def test_equal_urgencies_are_served_as_without_classes(self):
        """Guards against a change for services whose routes have one priority."""
        for name, places, rate in [
            ("burst", _ALL, _step(1.5, 6, 10, 0.7)),
            ("losses", _THIRD_LOST, _step(0.75, 0, 0, 0.75)),
        ]:
            with self.subTest(name):
                make_policy = partial(ReservingPolicy, lowest_urgency=1)
                found = _simulate(make_policy, 1, places, {1: rate})
                expected = _simulate(OnTimeFirstPolicy, 1, places, {1: rate})
                self.assertEqual(found, expected)
                self.assertGreater(found.late, 0, "without contention")
