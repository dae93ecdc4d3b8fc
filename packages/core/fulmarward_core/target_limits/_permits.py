"""Hands out permits to send requests to limited targets, at the owner of each."""

from dataclasses import dataclass

#: Seconds of its limit that a target's unused permits amount to at most; one always.
_BURST_S = 0.25

#: Seconds of its limit that are handed out at once to all instances.
_BATCH_S = 0.05

#: Lowest rate at which permits are handed out, so that a target which accepts nothing
#: can say when it does again.
_MIN_PER_S = 0.2

#: Seconds for which an instance counts as one that needs permits after a request.
_NEED_DURATION_S = 4.0

#: Longest wait before an instance's next request, as a share of the time in which each
#: instance that needs a permit is granted one.
_WAIT_SHARE = 0.25


@dataclass(frozen=True, kw_only=True)
class PermitGrant:
    """The answer to a request for permits."""

    #: Number of requests that it may send; none if `wait_s` is positive.
    count: int
    #: Seconds after which it may request some again.
    wait_s: float


class PermitBucket:
    """The permits of one limited target.

    It begins without any: the instance that kept them before may have used them.
    """

    def __init__(self, *, per_s: float, now: float) -> None:
        self._per_s = max(per_s, _MIN_PER_S)
        self._permits = 0.0
        self._updated_at = now
        #: When each instance last requested some.
        self._requested_at: dict[str, float] = {}

    def set_limit(self, per_s: float, *, now: float) -> None:
        """Apply the limit that the target names now."""
        self._update(now)
        self._per_s = max(per_s, _MIN_PER_S)

    def grant(self, instance: str, *, draw: float, now: float) -> PermitGrant:
        """Return the permits for an instance that needs one.

        `draw` between 0 and 1 spreads those that have to come again.
        """
        self._update(now)
        self._requested_at[instance] = now
        if self._permits >= 1.0:
            batch = int(self._per_s * _BATCH_S / len(self._requested_at))
            count = min(max(1, batch), int(self._permits))
            self._permits -= count
            return PermitGrant(count=count, wait_s=0.0)
        next_s = (1.0 - self._permits) / self._per_s
        others = len(self._requested_at) - 1
        return PermitGrant(
            count=0, wait_s=next_s + draw * _WAIT_SHARE * others / self._per_s
        )

    def _update(self, now: float) -> None:
        """Add the permits since the last update."""
        added = max(0.0, now - self._updated_at) * self._per_s
        most = max(1.0, self._per_s * _BURST_S)
        self._permits = min(most, self._permits + added)
        self._updated_at = now
        self._requested_at = {
            name: at
            for name, at in self._requested_at.items()
            if now - at <= _NEED_DURATION_S
        }
