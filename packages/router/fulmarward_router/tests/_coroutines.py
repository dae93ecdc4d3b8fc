"""Runs coroutines without an event loop."""


def run_at_once(coroutine):
    """Run a coroutine that waits for nothing but its turns; return its result."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as stop:
            return stop.value
