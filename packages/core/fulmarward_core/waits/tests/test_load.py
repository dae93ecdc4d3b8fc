import unittest
from functools import cache

from fulmarward_core.queueing.tests.load import OBJECTIVE_S
from fulmarward_core.waits.tests.load import ReturnSimulation, make_callers

#: Concurrent requests of the fleet, and its throughput per second when it is full.
_PLACES = 200
_FULL_RATE = _PLACES / 1.6

_SEEDS = (1, 2, 3)


def _fixed(value):
    return lambda now: value


def _step(value, begin, end, otherwise):
    return lambda now: value if begin <= now < end else otherwise


_CASES = {
    # name: places, rate, length of answers, share of callers that return early
    "a third lost": (_step(2 / 3, 4, 12, 1.0), _fixed(0.9), _fixed(1.0), 0.0),
    "burst": (_fixed(1.0), _step(1.5, 6, 10, 0.7), _fixed(1.0), 0.0),
    "early returns": (_step(2 / 3, 4, 12, 1.0), _fixed(0.9), _fixed(1.0), 0.3),
    "long answers": (_fixed(1.0), _fixed(0.7), _step(2.0, 6, 12, 1.0), 0.0),
}


@cache
def _simulate(name, seed):
    """Return the results by the promises, and those of today's way."""
    places, rate, slowness, early_share = _CASES[name]
    callers = make_callers(
        seed,
        find_rate=lambda now: _FULL_RATE * rate(now),
        duration_s=20.0,
        early_share=early_share,
        find_slowness=slowness,
    )
    return tuple(
        ReturnSimulation(
            callers,
            seed=seed,
            find_places=lambda now: _PLACES * places(now),
            makes_promises=makes_promises,
        ).run()
        for makes_promises in (True, False)
    )


class LoadTest(unittest.TestCase):
    def check(self, check_outcome):
        for name in _CASES:
            for seed in _SEEDS:
                with self.subTest(name, seed=seed):
                    check_outcome(*_simulate(name, seed))

    def test_promised_returns_find_capacity(self):
        """Guards against a retry delay at which there is no capacity."""

        def check_outcome(found, today):
            self.assertGreater(found.promised, 100)
            self.assertGreaterEqual(found.kept_share, 0.9)

        self.check(check_outcome)

    def test_as_many_callers_are_served_as_today(self):
        """Guards against capacity that is held for callers and not used."""
        self.check(
            lambda found, today: self.assertGreaterEqual(
                found.served_share, today.served_share - 0.01
            )
        )

    def test_returning_early_gains_nothing(self):
        """Guards against rewarding callers that ignore the retry delay."""
        for seed in _SEEDS:
            found, _ = _simulate("early returns", seed)
            with self.subTest(seed=seed):
                self.assertGreaterEqual(
                    found.find_served_share(returns_early=False),
                    found.find_served_share(returns_early=True),
                )

    def test_callers_that_cannot_be_served_are_rejected_at_once(self):
        """Guards against callers that wait although their rejection can be foreseen."""
        quick_shares = {
            (name, seed): _simulate(name, seed)[0].find_quick_share(OBJECTIVE_S / 8)
            for name in _CASES
            for seed in _SEEDS
        }
        self.assertEqual(min(quick_shares.values()), 1.0, quick_shares)
