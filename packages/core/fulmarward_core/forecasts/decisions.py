"""Short forecasts of a rate by double exponential smoothing."""

import math

#: Time constants of the level and of the slope, in seconds. Shorter ones follow a wave
#: of 15 s more closely, but are worse than the last value on noise of a fifth.
LEVEL_TIME_S = 0.6
SLOPE_TIME_S = 0.6

#: Seconds after the last observation up to which the slope is extrapolated at most.
MAX_EXTRAPOLATION_S = 2.0

#: Bound on the slope per second, as a share of the level. A wave of 15 s with a swing
#: of 0.55 grows by 0.28 at most. A step would otherwise be exceeded by half.
MAX_SLOPE_SHARE = 0.3


class Forecast:
    """Level and slope of a rate that is observed at irregular times.

    Times are in seconds on the monotonic clock.
    """

    def __init__(self) -> None:
        self._at: float | None = None
        self._level = 0.0
        #: Change of the level per second.
        self._slope = 0.0

    def record(self, rate: float, *, now: float) -> None:
        """Record the rate that was observed at `now`; not later than known is ignored.

        Raises `ValueError` for a rate that is negative or not finite.
        """
        if not 0 <= rate < math.inf:
            raise ValueError(f"expected a finite number from 0 on, found {rate}")
        if self._at is None:
            self._at, self._level = now, rate
            return
        past_s = now - self._at
        if past_s <= 0:
            return
        expected = self._extrapolate(past_s)
        error = rate - expected
        level = max(0.0, expected + error * _compute_weight(past_s, LEVEL_TIME_S))
        change = (level - self._level) / past_s
        slope_weight = _compute_weight(past_s, SLOPE_TIME_S)
        slope = self._slope + (change - self._slope) * slope_weight
        limit = level * MAX_SLOPE_SHARE
        self._at, self._level = now, level
        self._slope = max(-limit, min(slope, limit))

    def predict(self, *, horizon_s: float, now: float) -> float:
        """Return the rate that is expected in `horizon_s` seconds, never negative.

        It is 0 before the first observation.
        """
        if self._at is None:
            return 0.0
        return self._extrapolate(max(0.0, now + horizon_s - self._at))

    def _extrapolate(self, duration_s: float) -> float:
        bounded_s = min(duration_s, MAX_EXTRAPOLATION_S)
        return max(0.0, self._level + self._slope * bounded_s)


def _compute_weight(past_s: float, time_s: float) -> float:
    """Return the weight of a new observation after `past_s` seconds."""
    return 1.0 - math.exp(-past_s / time_s)
