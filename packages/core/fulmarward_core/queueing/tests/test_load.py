import unittest

from fulmarward_core.queueing.tests.load import (
    InOrderOfArrival,
    OnTimeFirst,
    play_load,
)

#: Requests that the fleet runs at once, and a second of them with all places filled.
_PLACES = 200
_FULL_RATE = _PLACES / 1.6

_SEEDS = (1, 2, 3)


def _play(make_policy, seed, places, rate):
    return play_load(
        make_policy,
        seed=seed,
        find_places=lambda now: _PLACES * places(now),
        find_rate=lambda now: _FULL_RATE * rate(now),
        for_s=20.0,
    )


def _keep(value):
    return lambda now: value


def _change(value, begin, end, otherwise):
    return lambda now: value if begin <= now < end else otherwise


class LoadTest(unittest.TestCase):
    def test_callers_above_the_capacity(self):
        """Guards against serving every caller late, and none in time, above capacity.

        The least share of callers answered in time, and of those answered at all, with
        the policy; beside it the most that order of arrival reaches in time.
        """
        cases = [
            # name, places, rate, in time, in the worst seconds, served, plain in time
            ("calm", _keep(1.0), _keep(0.6), 0.99, 0.95, 0.99, 1.0),
            ("burst", _keep(1.0), _change(1.5, 6, 10, 0.7), 0.8, 0.55, 0.95, 0.7),
            ("losses", _change(0.6, 4, 16, 1.0), _keep(0.75), 0.65, 0.45, 0.88, 0.55),
            ("far above", _change(0.3, 4, 18, 1.0), _keep(0.75), 0.4, 0.15, 0.65, 0.35),
            ("outage", _change(0.0, 8, 11, 1.0), _keep(0.65), 0.8, 0.25, 0.95, 0.85),
        ]
        for name, places, rate, on_time, worst, served, plain_on_time in cases:
            for seed in _SEEDS:
                found = _play(OnTimeFirst, seed, places, rate)
                plain = _play(lambda _: InOrderOfArrival(), seed, places, rate)
                with self.subTest(name, seed=seed):
                    self.assertGreaterEqual(found.on_time_share, on_time)
                    self.assertGreaterEqual(found.find_worst_share(), worst)
                    self.assertGreaterEqual(found.served_share, served)
                    self.assertLessEqual(plain.on_time_share, plain_on_time)
                    self.assertGreaterEqual(found.served_share, plain.served_share)
