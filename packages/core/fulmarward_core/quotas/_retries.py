"""How many retries a service may still be sent, by all instances together.

Each instance takes its share of the fixed budget, and a share of its own requests; so
no call is needed for a retry.
"""

import bisect
from collections import deque
from dataclasses import dataclass

#: Share of the budget that is used: windows slide, and instances come and go unknown
#: to some.
USED_SHARE = 0.7

#: Share of that up to which requests are retried of which nothing has gone to their
#: callers. They can be rejected truthfully; an answer that has begun would be cut.
UNSTARTED_SHARE = 0.5

#: Bounds on the seconds after which an answer that waits for a retry asks again: each
#: request of a caller adds to the budget, so that one may be free early.
MIN_ASK_INTERVAL_S = 0.02
MAX_ASK_INTERVAL_S = 0.1


@dataclass(frozen=True, kw_only=True)
class RetryCount:
    """How far a budget is used at a moment."""

    #: Retries within the window, and how many may be.
    used: int
    allowed: float
    #: Requests of callers within the window.
    requests: int


@dataclass(frozen=True, kw_only=True)
class RetryTurn:
    """What an answer that has begun and asks for a retry shall do."""

    #: Whether it has its retry.
    is_taken: bool
    #: When to ask again, seconds on the steady clock; `None` once that is of no use.
    ask_at: float | None = None


class RetryBudget:
    """Requests and retries of one service within a sliding window."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        #: Until when answers that have begun wait for a retry, in order.
        self._waiting: list[float] = []

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()

    def note_request(self, *, now: float) -> None:
        """A caller's request for the service came in."""
        self._trim(now)
        self._requests.append(now)

    def take_retry(self, *, share: float, now: float, part: float = 1.0) -> bool:
        """Take one retry, if less than a `part` of the own share is used with it.

        `share` is that of this instance in the fixed budget of all. Return whether a
        retry was taken.
        """
        if not self.has_retry(share=share, now=now, part=part):
            return False
        self._retries.append(now)
        return True

    def has_retry(self, *, share: float, now: float, part: float = 1.0) -> bool:
        """Return whether a retry could be taken."""
        count = self.count(share=share, now=now)
        # A part of a share of one or two would be none: the first retry goes to
        # whoever asks first.
        allowed = max(count.allowed * part, min(count.allowed, 1.0))
        return count.used + 1 <= allowed

    def begin_wait(self, *, until: float) -> None:
        """An answer that has begun waits for a retry, up to a time."""
        bisect.insort(self._waiting, until)

    def end_wait(self, *, until: float) -> None:
        """It waits no more, whether it was given one or not."""
        self._waiting.remove(until)

    def take_turn(self, *, until: float, share: float, now: float) -> RetryTurn:
        """Take a retry for an answer that waits, or say when to ask again.

        Those that can wait least long go first.
        """
        is_first = not any(other < until for other in self._waiting)
        if is_first and self.take_retry(share=share, now=now):
            return RetryTurn(is_taken=True)
        if now >= until:
            return RetryTurn(is_taken=False)
        ask_at = min(until, self._find_next(now))
        return RetryTurn(is_taken=False, ask_at=ask_at)

    def _find_next(self, now: float) -> float:
        """Return when a retry may be free, looking now and then in any case."""
        latest = now + MAX_ASK_INTERVAL_S
        if not self._retries:
            return latest
        falls_out_at = self._retries[0] + self._window_s
        return min(latest, max(falls_out_at, now + MIN_ASK_INTERVAL_S))

    def count(self, *, share: float, now: float) -> RetryCount:
        """Return how far this instance's share of the budget is used."""
        self._trim(now)
        allowed = self._slack * share + self._ratio * len(self._requests)
        return RetryCount(
            used=len(self._retries),
            allowed=allowed * USED_SHARE,
            requests=len(self._requests),
        )
