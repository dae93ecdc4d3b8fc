"""Rates of arrivals and releases as means over a sliding window."""

from collections import deque

#: Seconds of a bucket, and number of buckets in a window of about a second.
_BUCKET_S = 0.1
_BUCKETS = 10


class RateWindow:
    """Mean per second over the last 0.9 to 1.0 s.

    Unlike an exponential mean it is zero as soon as nothing was added for a second, so
    that reports of demand end soon after the last request.
    """

    def __init__(self) -> None:
        #: Number of each bucket that has an amount, and the amount; the oldest first.
        self._buckets: deque[tuple[int, float]] = deque()

    def add(self, amount: float, *, now: float) -> None:
        """Add an amount at `now`."""
        number = int(now / _BUCKET_S)
        if self._buckets and self._buckets[-1][0] >= number:
            number, known = self._buckets.pop()
            amount += known
        self._buckets.append((number, amount))
        self._drop_old(number)

    def find_rate(self, *, now: float) -> float:
        """Return the mean amount per second."""
        if not self._buckets:
            return 0.0
        number = int(now / _BUCKET_S)
        self._drop_old(number)
        span_s = now - (number - _BUCKETS + 1) * _BUCKET_S
        return sum(amount for _, amount in self._buckets) / span_s

    def _drop_old(self, number: int) -> None:
        while self._buckets and self._buckets[0][0] <= number - _BUCKETS:
            self._buckets.popleft()
