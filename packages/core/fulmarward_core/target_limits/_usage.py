"""The permits that an instance was granted, and the targets it may not use for now."""

#: Seconds for which a permit may be used. Those that are not used are lost.
PERMIT_DURATION_S = 0.25


class PermitUsage:
    """The permits of one instance, and since when it has to wait for others."""

    def __init__(self) -> None:
        #: Unused permits by target, as the times until which they are valid.
        self._permits: dict[str, list[float]] = {}
        #: Until when each target is throttled.
        self._throttled_until: dict[str, float] = {}

    def add(self, target: str, count: int, *, now: float) -> None:
        """Record permits that were granted now."""
        valid = [at for at in self._permits.get(target, ()) if at >= now]
        self._permits[target] = valid + [now + PERMIT_DURATION_S] * count
        self._throttled_until.pop(target, None)

    def take(self, target: str, *, now: float) -> bool:
        """Use a permit; return whether there was one."""
        valid = [at for at in self._permits.pop(target, ()) if at >= now]
        if len(valid) > 1:
            self._permits[target] = valid[1:]
        return bool(valid)

    def throttle(self, target: str, *, until: float) -> None:
        """Record that a target gets no requests until a time."""
        self._throttled_until[target] = until

    def release(self, target: str) -> None:
        """Record that a target is not throttled any more."""
        self._throttled_until.pop(target, None)

    def find_throttled_s(self, target: str, *, now: float) -> float:
        """Return the seconds for which a target is still throttled."""
        return max(0.0, self._throttled_until.get(target, now) - now)

    def list_throttled(self, *, now: float) -> frozenset[str]:
        """Return the targets that get no requests now."""
        if not self._throttled_until:
            return frozenset()
        self._throttled_until = {
            name: until for name, until in self._throttled_until.items() if until > now
        }
        return frozenset(self._throttled_until)
