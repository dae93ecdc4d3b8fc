"""The errors of forecasts on a wave, a step and noise."""

import math
import random
import unittest
from statistics import fmean

from fulmarward_core.forecasts import MAX_EXTRAPOLATION_S, Forecast


def _find_wave(at):
    return 100.0 * (1 + 0.55 * math.sin(math.tau * at / 15.0))


def _measure_errors(find_rate, noise):
    """Return the root mean square error of the forecast and of the last value."""
    rng, forecast, now = random.Random(7), Forecast(), 0.0
    squares, last_squares = [], []
    while now < 60.0:
        now += rng.uniform(0.05, 0.35)
        observed = max(0.0, find_rate(now) + rng.gauss(0.0, noise))
        forecast.record(observed, now=now)
        actual = find_rate(now + 1.0)
        squares.append((forecast.predict(horizon_s=1.0, now=now) - actual) ** 2)
        last_squares.append((observed - actual) ** 2)
    return math.sqrt(fmean(squares)), math.sqrt(fmean(last_squares))


class ForecastTest(unittest.TestCase):
    def test_error_is_below_that_of_the_last_value(self):
        """Guards against a forecast that lags, or that follows noise."""
        for name, find_rate, noise, most in (
            ("wave", _find_wave, 0.0, 0.7),
            ("noisy wave", _find_wave, 10.0, 0.8),
            ("noise", lambda at: 100.0, 20.0, 1.0),
        ):
            with self.subTest(name):
                error, last_error = _measure_errors(find_rate, noise)
                self.assertLess(error, most * last_error)

    def test_a_step_is_bounded(self):
        """Guards against a burst that is extrapolated for longer than it lasts."""
        forecast = Forecast()
        for step in range(100):
            now = step * 0.1
            forecast.record(100.0 if step < 20 else 300.0, now=now)
            predicted = forecast.predict(horizon_s=1.0, now=now)
            self.assertLess(predicted, 1.4 * 300.0)
            bound = forecast.predict(horizon_s=MAX_EXTRAPOLATION_S, now=now)
            self.assertAlmostEqual(forecast.predict(horizon_s=1.0, now=99.0), bound)
        self.assertAlmostEqual(predicted, 300.0, delta=15.0)

    def test_forecasts_are_never_negative(self):
        """Guards against a negative demand after a steep fall, or without a record."""
        forecast = Forecast()
        self.assertEqual(forecast.predict(horizon_s=1.0, now=0.0), 0.0)
        for step in range(30):
            forecast.record(max(0.0, 1000.0 - 100.0 * step), now=step * 0.1)
            self.assertGreaterEqual(forecast.predict(horizon_s=9.0, now=step * 0.1), 0)
        for rate in (-1.0, math.nan, math.inf):
            self.assertRaises(ValueError, forecast.record, rate, now=9.0)
