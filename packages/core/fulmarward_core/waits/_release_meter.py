"""Measures the rate at which requests release KV cache."""

from collections import deque

#: Seconds over which the rate is averaged.
RELEASE_WINDOW_S = 2.0

#: Seconds that the average covers at least. The first releases after a time without any
#: would otherwise count as a very high rate.
_MIN_SPAN_S = 0.5

#: Seconds whose releases are summed in one entry, which bounds the number of entries.
_ENTRY_S = 0.1


class ReleaseMeter:
    """The KV cache released per second, as a mean over `RELEASE_WINDOW_S`."""

    def __init__(self) -> None:
        #: When each entry begins, and the KV cache released during it.
        self._entries: deque[tuple[float, float]] = deque()
        #: The first release after a window without any.
        self._began_at = float("-inf")

    def record(self, kv: float, *, now: float) -> None:
        """Record that KV cache, in tokens times layers, was released at time `now`."""
        self._drop_old(now)
        if not self._entries:
            self._began_at = now
        elif now - self._entries[-1][0] < _ENTRY_S:
            begin, sum_kv = self._entries[-1]
            self._entries[-1] = begin, sum_kv + kv
            return
        self._entries.append((now, kv))

    def measure(self, *, now: float) -> float | None:
        """Return the rate, `None` without any release in the last window."""
        self._drop_old(now)
        if not self._entries:
            return None
        span_s = min(RELEASE_WINDOW_S, max(_MIN_SPAN_S, now - self._began_at))
        return sum(kv for _, kv in self._entries) / span_s

    def _drop_old(self, now: float) -> None:
        while self._entries and self._entries[0][0] <= now - RELEASE_WINDOW_S:
            self._entries.popleft()
