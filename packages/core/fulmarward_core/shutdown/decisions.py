"""Which requests a stopping instance takes, and when it ends those it has taken."""

from dataclasses import dataclass

#: Upper bounds on the time that is left for writing the last answers, closing the
#: connections and ending the process: in seconds, and as a share of the grace time.
MAX_CLOSING_S = 1.0
MAX_CLOSING_SHARE = 1 / 6

#: Seconds of that time on an idle machine: without a request, and for each open one.
CLOSING_BASE_S = 0.15
CLOSING_S_PER_REQUEST = 0.002

#: How many turns of the event loop closing takes, each as late as the latest one.
CLOSING_TURNS = 8

#: Share of the closing time after which nothing is waited for any more, so that the
#: process can end.
CLOSING_WAIT_SHARE = 0.6


@dataclass(frozen=True, kw_only=True)
class ClosingLoad:
    """What makes closing take longer."""

    #: Number of open requests, each of which gets its end.
    open_requests: int = 0
    #: By how many seconds a turn of the event loop was late, at most, of late.
    lateness_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class StopSchedule:
    """What happens when between SIGTERM and SIGKILL; times on the monotonic clock.

    Guards against a platform that ends a process in the middle of its answers: all that
    is open gets its end before, and no sooner than closing needs.
    """

    #: When the stop began, in seconds.
    began_at: float
    #: Seconds from then until the platform ends the process.
    grace_s: float
    #: What is to be closed, and how slowly, as last observed.
    load: ClosingLoad = ClosingLoad()

    @property
    def closing_s(self) -> float:
        """The seconds between the end of the answers and that of the grace time."""
        needed_s = (
            CLOSING_BASE_S
            + self.load.open_requests * CLOSING_S_PER_REQUEST
            + self.load.lateness_s * CLOSING_TURNS
        )
        return min(needed_s, self._max_closing_s)

    @property
    def answers_end_at(self) -> float:
        """When each open request gets its end."""
        return self.began_at + self.grace_s - self.closing_s

    @property
    def waits_end_at(self) -> float:
        """When the process ends, whatever it still waits for."""
        return self.answers_end_at + self.closing_s * CLOSING_WAIT_SHARE

    @property
    def earliest_end_at(self) -> float:
        """When the answers end if closing needs as long as it may."""
        return self.began_at + self.grace_s - self._max_closing_s

    def may_take(self, deadline: float) -> bool:
        """Return whether a request that is ended by its deadline can be taken.

        The deadline is the only bound on the end of an answer: how long others took is
        none. It has to be met however slow the machine becomes until then.
        """
        return deadline <= self.earliest_end_at

    @property
    def _max_closing_s(self) -> float:
        return min(MAX_CLOSING_S, self.grace_s * MAX_CLOSING_SHARE)
