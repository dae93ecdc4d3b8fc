"""Tracks what waits ahead of a request from its arrival on."""


class KvAhead:
    """KV cache that requests ahead of a waiting one need, in tokens times layers.

    What waits at its arrival is ahead of it, and what is released since then goes to
    that first. What arrives later is not counted, at whichever instance it waits.
    """

    def __init__(self, kv: float, *, now: float) -> None:
        #: What is left of the KV cache that waited ahead at the arrival.
        self._kv = kv
        self._updated_at = now

    def update(
        self, *, waiting_kv: float, released_kv_per_s: float, now: float
    ) -> float:
        """Return the KV cache that is still needed ahead.

        `waiting_kv` is what the other requests of its level wait for now, an upper
        bound: those ahead may have given up. `released_kv_per_s` is the rate since the
        last update; a negative one, where higher classes take more, counts as 0.
        """
        released_kv = max(0.0, released_kv_per_s) * max(0.0, now - self._updated_at)
        self._kv = max(0.0, self._kv - released_kv)
        self._updated_at = now
        return max(0.0, min(self._kv, waiting_kv))
