"""Retries that an instance borrows from others for answers that have started.

The lender counts what it lends as used until after the last time at which it may be
used, so a message that is lost, late or repeated wastes retries and never adds any.
"""

from dataclasses import dataclass

#: Seconds after its request in which a borrowed retry may be used.
LOAN_DURATION_S = 0.5

#: Seconds after the grant for which the lender regards a retry as not used yet. It is
#: longer, as the clocks of instances may run at different rates.
LENT_DURATION_S = 0.55

#: Upper bound on the retries of one request.
MAX_LOAN = 8

#: Seconds for which a stream counts as needing a retry after it was denied one.
NEED_DURATION_S = 0.25


@dataclass(frozen=True, kw_only=True)
class LoanKey:
    """Identifies a request for retries at all instances."""

    borrower: str
    #: When the borrower's process started, in ms since 1970.
    boot: int
    #: New for each request of that process.
    number: int


@dataclass(frozen=True, kw_only=True)
class Loan:
    """Retries that an instance lent."""

    count: int
    #: Until when they may be used at most, in seconds on the lender's clock.
    until: float


@dataclass(frozen=True, kw_only=True)
class _PendingLoan:
    """A request for retries that may still be answered in time."""

    count: int
    #: Until when its retries may be used, in seconds on the monotonic clock.
    until: float


class BorrowedRetries:
    """The retries of one service that an instance needs, requests and borrows."""

    def __init__(self) -> None:
        #: Until when each stream counts as needing a retry, by request.
        self._needs: dict[str, float] = {}
        #: Requests without an answer, by number.
        self._pending: dict[int, _PendingLoan] = {}
        #: Until when each borrowed retry may be used.
        self._usable: list[float] = []

    def note_need(self, request: str, *, now: float) -> None:
        """Record that the stream of a request was denied a retry."""
        self._needs[request] = now + NEED_DURATION_S

    def end_need(self, request: str) -> None:
        """Record that the stream of a request needs no retry any more."""
        self._needs.pop(request, None)

    def count_missing(self, *, now: float) -> int:
        """Return how many retries to request, at most `MAX_LOAN`."""
        self._drop_expired(now)
        return max(0, min(MAX_LOAN, len(self._needs) - len(self._usable)))

    def begin_request(self, number: int, *, count: int, now: float) -> None:
        """Record that `count` retries are requested now."""
        self._drop_expired(now)
        until = now + LOAN_DURATION_S
        self._pending[number] = _PendingLoan(count=count, until=until)

    def record_answer(self, number: int, *, count: int, now: float) -> int:
        """Record the answer to a request; return how many retries that brings.

        None if it is late or repeated.
        """
        self._drop_expired(now)
        pending = self._pending.pop(number, None)
        if pending is None:
            return 0
        borrowed = max(0, min(count, pending.count))
        self._usable += [pending.until] * borrowed
        return borrowed

    def is_available(self, *, now: float, spared: int = 0) -> bool:
        """Return whether there is a borrowed retry beside the `spared` ones."""
        self._drop_expired(now)
        return len(self._usable) > spared

    def take(self, *, now: float, spared: int = 0) -> bool:
        """Use a borrowed retry if there is one beside the `spared` ones."""
        if not self.is_available(now=now, spared=spared):
            return False
        self._usable.remove(min(self._usable))
        return True

    def _drop_expired(self, now: float) -> None:
        self._needs = {name: at for name, at in self._needs.items() if at > now}
        self._pending = {
            n: loan for n, loan in self._pending.items() if loan.until > now
        }
        self._usable = [until for until in self._usable if until > now]
