"""The retry budget of a service, which holds for all instances together.

Each instance uses its share of the fixed budget, plus a ratio of its own requests, so
a retry needs no call to other instances. What it does not need it lends to others.
"""

import bisect
import math
from collections import deque
from dataclasses import dataclass

from fulmarward_core.quotas._loans import (
    LENT_DURATION_S,
    MAX_LOAN,
    BorrowedRetries,
    Loan,
    LoanKey,
)

#: Share of the budget that is used. The rest is a margin, since windows slide, and
#: instances may join or leave before all others know of it.
USABLE_SHARE = 0.7

#: Part of the usable budget that is open in any case to requests whose answer has not
#: started. Those can still be rejected cleanly, whereas a started answer would be
#: truncated.
UNSTARTED_SHARE = 0.5

#: Retries kept for each open answer, one at least: the loss of a target ends only some
#: of them, and these may wait for a retry.
RETRIES_PER_OPEN_ANSWER = 0.25

#: Part of the usable budget that is open to started answers whose target may still
#: respond; they also leave one whole retry. The rest is for those that lost their
#: target.
EARLY_SHARE = 0.75

#: Bounds on the interval at which a started answer polls for a retry, in seconds. Each
#: request of a caller adds to the budget, so a retry may become available early.
MIN_POLL_INTERVAL_S = 0.02
MAX_POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, kw_only=True)
class RetryUsage:
    """Current usage of a budget."""

    #: Retries within the window, with those that were lent, and how many are allowed.
    used: int
    allowed: float
    #: Caller requests within the window.
    requests: int


@dataclass(frozen=True, kw_only=True)
class RetryDecision:
    """Result of polling for a retry of a started answer."""

    #: Whether a retry was taken from the budget.
    is_taken: bool
    #: Whether another instance had lent it.
    is_borrowed: bool = False
    #: When to poll again, in seconds on the monotonic clock; `None` to stop polling.
    poll_at: float | None = None


class RetryBudget:
    """Retry budget of one service over a sliding window of requests and retries."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        #: Retries lent to other instances, in the order of the grants.
        self._lent: dict[LoanKey, Loan] = {}
        #: Retries lent by other instances, for answers that have started.
        self.borrowed = BorrowedRetries()
        #: Times until which started answers wait for a retry, sorted.
        self._waiting: list[float] = []

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        for key, loan in list(self._lent.items()):
            if loan.until > now - self._window_s:
                break
            del self._lent[key]

    def note_request(self, *, now: float) -> None:
        """Count a caller's request for the service."""
        self._drop_expired(now)
        self._requests.append(now)

    def take_retry(
        self, *, share: float, now: float, part: float = 1.0, yields: bool = False
    ) -> bool:
        """Take one retry if it fits in `part` of this instance's budget.

        `share` is the share of this instance in the fixed budget of all instances. One
        that `yields` has a target that may still go on: it leaves a part of the budget
        to those that lost theirs, and a retry for each started answer that waits.
        Return whether a retry was taken.
        """
        spared = len(self._waiting) if yields else 0
        if yields and not self._has_early_retry(share=share, now=now):
            return False
        if not self.has_retry(share=share, now=now, part=part, spared=spared):
            return False
        self._retries.append(now)
        return True

    def return_retry(self) -> None:
        """Return the retry that was taken last of this instance's own budget."""
        if self._retries:
            self._retries.pop()

    def take_borrowed(self, *, now: float, yields: bool = False) -> bool:
        """Take a retry that another instance has lent; return whether there was one.

        One that `yields` leaves a retry for each started answer that waits.
        """
        spared = len(self._waiting) if yields else 0
        return self.borrowed.take(now=now, spared=spared)

    def lend(
        self, key: LoanKey, *, count: int, open_answers: int, share: float, now: float
    ) -> int:
        """Take up to `count` retries for another instance; return how many.

        Those that the `open_answers` of this instance may need are kept. A repeated
        request takes no more.
        """
        usage = self.count(share=share, now=now)
        if key in self._lent:
            return self._lent[key].count
        kept = _count_kept(open_answers) + len(self._waiting)
        spare = math.floor(usage.allowed - usage.used - kept)
        lent = max(0, min(count, spare, MAX_LOAN))
        if lent:
            self._lent[key] = Loan(count=lent, until=now + LENT_DURATION_S)
        return lent

    def may_take_early(self, *, share: float, now: float, yields: bool) -> bool:
        """Return whether a started answer whose target may respond could take a retry.

        It is not taken; `yields` as for `take_retry`.
        """
        spared = len(self._waiting) if yields else 0
        if self.borrowed.is_available(now=now, spared=spared):
            return True
        if yields and not self._has_early_retry(share=share, now=now):
            return False
        return self.has_retry(share=share, now=now, spared=spared)

    def _has_early_retry(self, *, share: float, now: float) -> bool:
        """Return whether a retry is available beside those kept for real losses."""
        usage = self.count(share=share, now=now)
        return usage.used + 1 <= min(usage.allowed * EARLY_SHARE, usage.allowed - 1)

    def has_retry(
        self, *, share: float, now: float, part: float = 1.0, spared: int = 0
    ) -> bool:
        """Return whether a retry is available beside the `spared` ones.

        It is not taken.
        """
        usage = self.count(share=share, now=now)
        # A part of a share of one or two retries would round down to none, so the
        # first retry is available to any request.
        allowed = max(usage.allowed * part, min(usage.allowed, 1.0))
        return usage.used + 1 + spared <= allowed

    def find_unstarted_part(
        self, *, open_answers: int, share: float, now: float
    ) -> float:
        """Return the part open to requests whose answer has not started.

        It is all that the answers of this instance may not need, also those that start
        later: few after a restart, when targets reject many requests.
        """
        allowed = self.count(share=share, now=now).allowed
        kept = _count_kept(open_answers)
        return max(UNSTARTED_SHARE, 1 - kept / allowed) if allowed else UNSTARTED_SHARE

    def begin_wait(self, *, until: float) -> None:
        """Register a started answer that waits for a retry until the given time."""
        bisect.insort(self._waiting, until)

    def end_wait(self, *, until: float) -> None:
        """Unregister an answer that no longer waits, with or without a retry."""
        self._waiting.remove(until)

    def poll_retry(self, *, until: float, share: float, now: float) -> RetryDecision:
        """Take a retry for a waiting answer, or return when to poll again.

        Answers with the earliest `until` are served first.
        """
        earlier = sum(other < until for other in self._waiting)
        if self.borrowed.take(now=now, spared=earlier):
            return RetryDecision(is_taken=True, is_borrowed=True)
        is_first = not earlier
        if is_first and self.take_retry(share=share, now=now):
            return RetryDecision(is_taken=True)
        if now >= until:
            return RetryDecision(is_taken=False)
        poll_at = min(until, self._find_next_poll(now))
        return RetryDecision(is_taken=False, poll_at=poll_at)

    def _find_next_poll(self, now: float) -> float:
        """Return when a retry may be available, or the latest time to poll again."""
        latest = now + MAX_POLL_INTERVAL_S
        if not self._retries:
            return latest
        expires_at = self._retries[0] + self._window_s
        return min(latest, max(expires_at, now + MIN_POLL_INTERVAL_S))

    def count(self, *, share: float, now: float) -> RetryUsage:
        """Return the usage of this instance's share of the budget."""
        self._drop_expired(now)
        allowed = self._slack * share + self._ratio * len(self._requests)
        return RetryUsage(
            used=len(self._retries) + sum(loan.count for loan in self._lent.values()),
            allowed=allowed * USABLE_SHARE,
            requests=len(self._requests),
        )


def _count_kept(open_answers: int) -> int:
    """Return how many retries are kept for the open answers of an instance."""
    return max(1, math.ceil(open_answers * RETRIES_PER_OPEN_ANSWER))
