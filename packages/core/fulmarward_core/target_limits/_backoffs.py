"""The pauses that targets demand of an instance."""

from dataclasses import dataclass

#: Longest pause that is kept, in seconds. Guards against a wrong value that excludes a
#: target until its next start.
MAX_BACKOFF_S = 3600.0


@dataclass(frozen=True, kw_only=True)
class Backoff:
    """The time for which a process of a target wants no requests."""

    process: str
    #: Its end, in seconds on the monotonic clock.
    until: float


class BackoffTable:
    """Until when each target wants no requests of this instance.

    It is a demand of the target, not a guess: nothing but its end, or a new start of
    the target, ends it.
    """

    def __init__(self) -> None:
        self._backoffs: dict[str, Backoff] = {}

    def record(
        self, target: str, *, process: str, duration_s: float, now: float
    ) -> bool:
        """Record a demand that a target made now; return whether it changes the end.

        A shorter one does not end a longer one of the same process.
        """
        until = now + min(duration_s, MAX_BACKOFF_S)
        known = self._backoffs.get(target)
        is_same = known is not None and known.process == process
        if until <= (known.until if is_same else now):
            return False
        self._backoffs[target] = Backoff(process=process, until=until)
        return True

    def record_process(self, target: str, *, process: str) -> bool:
        """Record which process a target is now; return whether that ends a pause.

        A row that was missing for a moment is of the same process.
        """
        known = self._backoffs.get(target)
        if known is None or known.process == process:
            return False
        del self._backoffs[target]
        return True

    def list_backed_off(self, *, now: float) -> frozenset[str]:
        """Return the targets that want no requests now."""
        if not self._backoffs:
            return frozenset()
        self._backoffs = {
            name: backoff
            for name, backoff in self._backoffs.items()
            if backoff.until > now
        }
        return frozenset(self._backoffs)

    def find_left_s(self, target: str, *, now: float) -> float:
        """Return the seconds until a target may be sent to, 0 without a pause."""
        known = self._backoffs.get(target)
        return 0.0 if known is None else max(0.0, known.until - now)
