"""Which requests a stopping instance takes, and how it ends those it has taken."""

import asyncio
from enum import Enum

from fulmarward.observability import log_event
from fulmarward_core.durations import DurationTable
from fulmarward_core.results import ResultCode
from fulmarward_core.shutdown import StopSchedule, estimate_duration_s
from fulmarward_router.exchange._request_state import RejectedRequest, RequestState

#: Retry delay, in seconds, while stopping: other instances serve.
STOPPING_RETRY_S = 0.1


class Phase(Enum):
    """How far a request had come as the stop ended it."""

    #: Its head or body was being read.
    READING = "reading"
    #: No target had got it here.
    WAITING = "waiting"
    #: A target or a peer had got it, and no response had started.
    SENT = "sent"
    #: Its response had started.
    RESPONDING = "responding"
    #: Its whole response was being written.
    WRITING = "writing"


class OpenRequest:
    """A request from its arrival until its answer is written."""

    def __init__(self, task: asyncio.Task | None) -> None:
        self._task = task
        #: Its state, `None` until it is routed.
        self.state: RequestState | None = None
        #: Whether its answer is known, so that no other can be sent.
        self.is_answered = False
        #: How far it had come as the stop ended it, `None` unless it did.
        self.ended_in: Phase | None = None
        #: How often its task was cancelled to end it.
        self._ends = 0

    @property
    def is_ended(self) -> bool:
        """Whether it was ended because the instance stops."""
        return self._ends > 0

    def end(self) -> None:
        """Cancel what serves it, so that its caller gets an answer at once."""
        if self._task is not None:
            self._ends += 1
            self._task.cancel()

    def close(self) -> None:
        """Leave its task as if it had not been cancelled to end it."""
        for _ in range(self._ends):
            self._task.uncancel()


class StopGate:
    """Takes requests, until a stop: then only those that can be ended before it."""

    def __init__(self) -> None:
        #: How long recent answers took, by service and route.
        self.durations = DurationTable()
        self._schedule: StopSchedule | None = None
        self._has_ended = False
        self._open: set[OpenRequest] = set()

    def begin(self, schedule: StopSchedule) -> None:
        """Take only requests that can be ended in time from now on.

        Called again when the schedule changes.
        """
        self._schedule = schedule

    def count_open(self) -> int:
        """Return how many requests are open, those that are being read included."""
        return len(self._open)

    def open(self) -> OpenRequest:
        """Record that the current task serves a request."""
        request = OpenRequest(asyncio.current_task())
        self._open.add(request)
        return request

    def close(self, request: OpenRequest) -> None:
        """Record that the answer to a request is written."""
        self._open.discard(request)
        request.close()

    def end_all(self) -> None:
        """End all open requests, and take none from now on.

        May be called again for requests that have caught their cancellation.
        """
        self._has_ended = True
        for request in self._open:
            request.end()

    def check(
        self,
        service: str,
        route: str,
        *,
        path_s: float | None = None,
        deadline: float,
        request_id: str,
        now: float,
    ) -> None:
        """Raise `RejectedRequest` if a request could not be ended in time.

        `path_s` is how long it is likely to take on its path, `None` if not known.
        """
        if self._schedule is None:
            return
        if self._has_ended:
            raise self.make_rejection()
        longest_s = self.durations.find_longest_s(service, route, now=now)
        open_s = self._find_oldest_s(service, route, now)
        left_s = max(0.0, deadline - now)
        expected_s = estimate_duration_s(
            longest_s, open_s=open_s, path_s=path_s, left_s=left_s
        )
        if not self._schedule.may_take(expected_s, now=now):
            raise self.make_rejection(expected_s)
        log_event(
            "late_request_taken",
            request=request_id,
            service=service,
            route=route,
            expected_s=round(expected_s, 3),
            longest_s=_round(longest_s),
            open_s=round(open_s, 3),
            path_s=_round(path_s),
            left_s=round(left_s, 3),
            **self.describe(now=now),
        )

    def describe(self, *, now: float) -> dict[str, float]:
        """Return how far a stop has come, for the log; empty if none has begun."""
        if self._schedule is None:
            return {}
        return {
            "stopping_s": round(now - self._schedule.began_at, 3),
            "answers_end_in_s": round(self._schedule.answers_end_at - now, 3),
        }

    def check_may_begin(self, state: RequestState, *, now: float) -> None:
        """Raise `RejectedRequest` if a request is not to be sent to its first target.

        One that no target has got may have waited here for long.
        """
        if self._schedule is None or state.has_begun:
            return
        if state.runs == state.facts.runs_before:
            self.check(
                state.service,
                state.route.name,
                path_s=state.path_estimate_s,
                deadline=state.deadline,
                request_id=state.facts.request_id,
                now=now,
            )

    def _find_oldest_s(self, service: str, route: str, now: float) -> float:
        """Return how long a route's requests at targets have been open, 0 if none is.

        Those that wait here say nothing of how long answers take.
        """
        states = [request.state for request in self._open if request.state is not None]
        ages = [
            now - state.arrived_at
            for state in states
            if (state.service, state.route.name) == (service, route)
            and state.attempts > state.facts.runs_before
        ]
        return max(ages, default=0.0)

    def record_answer(self, state: RequestState, *, now: float) -> None:
        """Record how long a whole answer took."""
        if state.facts.last_event is None:
            self.durations.record(
                state.service,
                state.route.name,
                duration_s=now - state.arrived_at,
                now=now,
            )

    def make_rejection(self, expected_s: float | None = None) -> RejectedRequest:
        """Return the rejection of a request that no target has got."""
        cause = "stopping"
        if expected_s is not None:
            cause += f", may take {expected_s:.2f} s"
        return RejectedRequest(
            ResultCode.STOPPING, cause=cause, retry_after_s=STOPPING_RETRY_S
        )


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
