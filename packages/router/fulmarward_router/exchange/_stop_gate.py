"""Which requests a stopping instance takes, and how it ends those it has taken."""

import asyncio
from collections.abc import Callable
from enum import Enum

from aiohttp import web

from fulmarward.observability import log_event
from fulmarward_core.results import ResultCode
from fulmarward_core.shutdown import StopSchedule
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

    def __init__(self, request: web.BaseRequest, task: asyncio.Task | None) -> None:
        self._request = request
        self._task = task
        #: Its state, `None` until its body is read.
        self.state: RequestState | None = None
        #: Whether its answer is known, so that no other can be sent.
        self.is_answered = False
        #: How far it had come as the stop ended it, `None` unless it did.
        self.ended_in: Phase | None = None
        #: How often its task was cancelled to end it.
        self._ends = 0

    @property
    def deadline(self) -> float | None:
        """When its answer is due, on the monotonic clock; `None` until it is routed."""
        return self._request.get("deadline")

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
    """Takes requests; during a stop, only those whose deadline is before its end."""

    def __init__(
        self,
        *,
        has_peers: Callable[[], bool] = lambda: True,
        count_read: Callable[[], int] = lambda: 0,
    ) -> None:
        #: Returns whether callers that are refused find another instance.
        self._has_peers = has_peers
        #: Returns how many requests were read behind those that are being served.
        self._count_read = count_read
        self._schedule: StopSchedule | None = None
        #: Whether all open requests were ended, and none is taken any more.
        self.has_ended = False
        self._open: set[OpenRequest] = set()
        #: Answered requests whose bodies are still read, and until when at most.
        self._unread: list[tuple[web.BaseRequest, float]] = []

    def begin(self, schedule: StopSchedule) -> None:
        """Take only requests that are ended in time from now on.

        Those that no target has got are refused at once if they may last for longer.
        Called again when the schedule changes.
        """
        self._schedule = schedule
        for request in self._open:
            state, deadline = request.state, request.deadline
            if deadline is None or (state is not None and state.sends > 0):
                continue
            if not request.is_ended and not schedule.may_take(deadline):
                request.end()

    def count_open(self) -> int:
        """Return how many requests are open, those that are being read included.

        Those that were read behind others get an answer too, once it is their turn.
        """
        return len(self._open) + self._count_read()

    def open(self, request: web.BaseRequest) -> OpenRequest:
        """Record that the current task serves a request."""
        open_request = OpenRequest(request, asyncio.current_task())
        self._open.add(open_request)
        return open_request

    def close(self, request: OpenRequest) -> None:
        """Record that the answer to a request is written."""
        self._open.discard(request)
        request.close()

    def record_unread(self, request: web.BaseRequest, *, until: float) -> None:
        """Record that the body of an answered request is read until its end."""
        if self._schedule is not None:
            self._unread.append((request, until))

    def has_unread(self, *, now: float) -> bool:
        """Return whether a caller still sends the body of an answered request.

        It would lose the answer if its connection were reset.
        """
        self._unread = [
            (request, until)
            for request, until in self._unread
            if now < until and not request.content.is_eof() and _is_connected(request)
        ]
        return bool(self._unread)

    def end_all(self) -> None:
        """End all open requests, and take none from now on.

        May be called again for requests that have caught their cancellation.
        """
        self.has_ended = True
        for request in self._open:
            request.end()

    def check(self, *, deadline: float, request_id: str, now: float) -> None:
        """Raise `RejectedRequest` if a request may last beyond the end of the stop."""
        if self._schedule is None:
            return
        if self.has_ended or not self._schedule.may_take(deadline):
            raise self.make_rejection(now=now)
        log_event(
            "late_request_taken",
            request=request_id,
            left_s=round(deadline - now, 3),
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
        if state.sends == 0:
            self.check(
                deadline=state.deadline, request_id=state.facts.request_id, now=now
            )

    def make_rejection(self, *, now: float) -> RejectedRequest:
        """Return the rejection of a request that no target has got.

        Without another instance, its caller is to come back to the next process here.
        """
        retry_after_s = STOPPING_RETRY_S
        if self._schedule is not None and not self._has_peers():
            left_s = self._schedule.began_at + self._schedule.grace_s - now
            retry_after_s = max(retry_after_s, round(left_s, 2))
        return RejectedRequest(
            ResultCode.STOPPING, cause="stopping", retry_after_s=retry_after_s
        )


def _is_connected(request: web.BaseRequest) -> bool:
    return request.transport is not None and not request.transport.is_closing()
