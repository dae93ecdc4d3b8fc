"""Runs coroutines on a simulated clock."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine

#: Seconds by which each timer overruns.
_TIMER_OVERRUN_S = 0.001


class _SimulatedSelector(selectors.DefaultSelector):
    """Advances a simulated clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 100.0

    def select(self, timeout=None):
        events = super().select(0)
        if not events and timeout:
            self.now += timeout + _TIMER_OVERRUN_S
        return events


def run_simulated(work: Callable[[Callable[[], float]], Coroutine]) -> object:
    """Run the coroutine that `work` makes, given the simulated clock."""
    selector = _SimulatedSelector()

    def make_loop():
        loop = asyncio.SelectorEventLoop(selector)
        loop.time = lambda: selector.now
        return loop

    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(work(lambda: selector.now))
