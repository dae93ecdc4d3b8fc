"""One attempt at a stream, and the exception that ends it early."""

import asyncio
from collections.abc import Hashable, Mapping
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

import aiohttp

from fulmarward_core.fleet import EngineModel, TargetRecord
from fulmarward_core.loads import Reservation
from fulmarward_core.paces import SlowStreamDetector
from fulmarward_core.paths import Hop, PathRequest
from fulmarward_router.exchange._events import Event, EventSplitter
from fulmarward_router.exchange._request_state import EndedAttempt, RequestState, Run

if TYPE_CHECKING:
    from fulmarward_router.exchange._resumption import Resumption


class Progress(Enum):
    """How far the response of a target to one attempt has come."""

    #: No response has started.
    NO_RESPONSE = "no response"
    #: The response has started, and no complete event has arrived.
    NO_EVENT = "no event"
    #: At least one complete event has arrived.
    EVENTS = "events"


class EndedBy(Enum):
    """Who ended an attempt that failed."""

    #: The first target: it refused, or closed the connection.
    TARGET = "target"
    #: This instance, as the target or its path was considered unreachable.
    INSTANCE = "instance"
    DEADLINE = "deadline"


class Attempt:
    """One attempt at a stream, with the resources that it holds."""

    def __init__(
        self,
        *,
        state: RequestState,
        engine: EngineModel,
        wanted: PathRequest,
        path: tuple[Hop, ...],
        reservation: Reservation,
        records: Mapping[str, TargetRecord],
        admission_key: Hashable,
    ) -> None:
        #: Identifies what its team uses for it.
        self.admission_key = admission_key
        self.state = state
        self.engine = engine
        self.wanted = wanted
        self.path = path
        self.reservation = reservation
        #: The targets of the path as they were known when each became a part of it.
        self.records = dict(records)
        #: Task that waits for the response headers, and the response once they arrived.
        self.head_task: asyncio.Task | None = None
        self.response: aiohttp.ClientResponse | None = None
        #: Whether it was cancelled before a connection to the first target was made.
        self.is_unsent = False
        self.splitter = EventSplitter()
        #: Events that arrived before the attempt took the place of another one.
        self.early_events: list[Event] = []
        #: The further attempt that is tried while this one is silent, how many of these
        #: brought nothing since its last event, and until when no other is tried.
        self.resumption: Resumption | None = None
        self.fruitless_resumptions = 0
        self.resume_pause_until = float("-inf")
        #: Why the attempt was aborted, `None` unless it was.
        self.failure: AttemptFailed | None = None
        #: Task that checks or reroutes the path, `None` when there is none.
        self.check_task: asyncio.Task | None = None
        #: When the stream last showed activity, in seconds on the monotonic clock.
        self.last_activity_at = 0.0
        #: When data last arrived, in seconds on the monotonic clock; minus infinity
        #: before the first.
        self.last_event_at = float("-inf")
        self.checks = 0
        #: Whether events wait for the caller to read; the target is not silent then.
        self.is_writing = False
        self.has_begun = False
        #: Whether its path was changed since its last event.
        self.is_rerouted = False
        #: Why its stream was left at its silent target, since its last event.
        self.withheld_causes: set[str] = set()
        #: Number of complete events that arrived, and whether these, or the end of the
        #: response, prove that the prompt does not crash the target.
        self.events = 0
        self.is_proven = False
        self.slow_signs = SlowStreamDetector()
        #: Aborts the attempt at the request's deadline.
        self.deadline_timer: asyncio.TimerHandle | None = None

    @property
    def first(self) -> Hop:
        return self.path[0]

    @property
    def record(self) -> TargetRecord | None:
        """The first target as it was known when the attempt began."""
        return self.records.get(self.first.target)

    def change_path(
        self,
        path: tuple[Hop, ...],
        *,
        reservation: Reservation,
        records: Mapping[str, TargetRecord],
    ) -> None:
        """Go on along another path with the same first target.

        Targets that it keeps stay as they were known: their processes hold the stream.
        """
        kept = {hop.target for hop in self.path}
        known = {n: record for n, record in self.records.items() if n in kept}
        self.records = {**records, **known}
        self.path, self.reservation = path, reservation

    @property
    def progress(self) -> "Progress":
        """How far the response of the target has come."""
        if self.response is None:
            return Progress.NO_RESPONSE
        return Progress.EVENTS if self.events else Progress.NO_EVENT

    def abort(self, failure: "AttemptFailed") -> None:
        """Abort the attempt; the task that awaits its response raises `failure`."""
        if self.failure is not None:
            return
        self.failure = failure
        if self.response is not None:
            self.response.close()
        elif self.head_task is not None:
            self.head_task.cancel()


class AttemptFailed(Exception):
    """An attempt ended without a complete response; another may follow."""

    def __init__(
        self,
        *,
        cause: str,
        is_not_run: bool,
        is_not_sent: bool = False,
        has_retry: bool = False,
        is_broken_off: bool = False,
        ended_by: EndedBy = EndedBy.TARGET,
        lost: frozenset[str] = frozenset(),
    ) -> None:
        super().__init__(cause)
        self.cause = cause
        self.is_not_run = is_not_run
        #: Whether no connection to the first target could be made.
        self.is_not_sent = is_not_sent
        #: Whether the retry that follows was consumed before the attempt was aborted.
        self.has_retry = has_retry
        #: Whether the first target closed the connection before its response was
        #: complete.
        self.is_broken_off = is_broken_off
        self.ended_by = ended_by
        #: Later targets of the path that caused the failure; empty if the first did.
        self.lost = lost


def describe_path(path: tuple[Hop, ...]) -> str:
    """Format a path for the log."""
    return " ".join(f"{h.target}:{h.layers.start}-{h.layers.end}" for h in path)


def record_run(state: RequestState, attempt: Attempt) -> None:
    """Count a failed attempt that a target may have run."""
    state.runs += 1
    run = None
    if attempt.record is not None:
        run = Run(target=attempt.record)
        state.failed_runs.append(run)
    record_ended(state, attempt, may_have_run=True, run=run)


def record_ended(
    state: RequestState, attempt: Attempt, *, may_have_run: bool, run: Run | None = None
) -> None:
    """Record an attempt that has ended, for the log."""
    ended = EndedAttempt(
        target=attempt.first.target,
        progress=attempt.progress.value,
        may_have_run=may_have_run,
        run=run,
    )
    state.ended_attempts.append(ended)


def find_lost_state(attempt: Attempt) -> RequestState:
    """Return the state that a request would have if its running attempt were lost."""
    state = attempt.state
    lost = replace(
        state,
        failed_runs=list(state.failed_runs),
        ended_attempts=state.ended_attempts.copy(),
    )
    record_run(lost, attempt)
    return lost
