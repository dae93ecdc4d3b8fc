"""The pauses that targets demand of an instance."""

#: Longest pause that is kept, in seconds. Guards against a wrong value that excludes a
#: target until its next start.
MAX_BACKOFF_S = 3600.0


class BackoffTable:
    """Until when each target wants no requests of this instance.

    It is a demand of the target, not a guess: nothing but its end, or a new start of
    the target, ends it.
    """

    def __init__(self) -> None:
        #: End of each pause, in seconds on the monotonic clock.
        self._until: dict[str, float] = {}

    def record(self, target: str, *, duration_s: float, now: float) -> bool:
        """Record a demand that a target made now; return whether it changes the end.

        A shorter one does not end a longer one.
        """
        until = now + min(duration_s, MAX_BACKOFF_S)
        if until <= self._until.get(target, now):
            return False
        self._until[target] = until
        return True

    def forget(self, target: str) -> bool:
        """Forget a target that has started again; return whether it had a pause."""
        return self._until.pop(target, None) is not None

    def list_backed_off(self, *, now: float) -> frozenset[str]:
        """Return the targets that want no requests now."""
        if not self._until:
            return frozenset()
        self._until = {name: end for name, end in self._until.items() if end > now}
        return frozenset(self._until)

    def find_left_s(self, target: str, *, now: float) -> float:
        """Return the seconds until a target may be sent to, 0 without a pause."""
        return max(0.0, self._until.get(target, now) - now)
