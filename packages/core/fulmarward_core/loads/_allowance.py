"""How many repeats a service may still be sent, by all instances together.

Each instance takes its part of the fixed allowance, one by the number of instances,
and a share of its own requests; so no call is needed for a repeat.
"""

from collections import deque
from dataclasses import dataclass

#: Part of what is allowed that is used. Load: windows that slide, and instances that
#: come and go, so that parts do not fit; harm: the bound is crossed by all together;
#: reason: leaves room for one instance in four to be unknown to the others.
USED_PART = 0.7


@dataclass(frozen=True, kw_only=True)
class RepeatCount:
    """How far an allowance is used at a moment."""

    #: Repeats within the window, and how many may be.
    used: int
    allowed: float
    #: Requests of callers within the window.
    requests: int


class RepeatAllowance:
    """Requests and repeats of one service within a sliding window."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window_s:
                times.popleft()

    def note_request(self, *, now: float) -> None:
        """A caller's request for the service came in."""
        self._trim(now)
        self._requests.append(now)

    def take_repeat(self, *, instances: int, now: float) -> bool:
        """Take one repeat; return whether there was one left."""
        count = self.count(instances=instances, now=now)
        if count.used + 1 > count.allowed:
            return False
        self._repeats.append(now)
        return True

    def count(self, *, instances: int, now: float) -> RepeatCount:
        """Return how far this instance's part of the allowance is used."""
        self._trim(now)
        allowed = self._slack / max(1, instances) + self._ratio * len(self._requests)
        return RepeatCount(
            used=len(self._repeats),
            allowed=allowed * USED_PART,
            requests=len(self._requests),
        )
