"""Measures for how long the event loop is blocked."""

import asyncio

#: Seconds between two checks whether the event loop is blocked.
PAUSE_CHECK_INTERVAL_S = 0.005


class PauseMeter:
    """Measures the total time for which the event loop is blocked."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._paused_s = 0.0
        self._schedule()

    def _schedule(self) -> None:
        self._due_at = self._loop.time() + PAUSE_CHECK_INTERVAL_S
        self._timer = self._loop.call_at(self._due_at, self._check)

    def _check(self) -> None:
        self._add()
        self._schedule()

    def _add(self) -> None:
        self._paused_s += max(0.0, self._loop.time() - self._due_at)

    def stop(self) -> float:
        """Stop measuring and return the total of the pauses, in seconds."""
        self._timer.cancel()
        self._add()
        return self._paused_s
