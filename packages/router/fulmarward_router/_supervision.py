"""Keeps the background tasks of an instance running.

Guards against a value that one call of one task can't handle: as all instances read the
same rows, it would end all of them, and again after each restart.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Any

from fulmarward.observability import log_event
from fulmarward_core.supervision import (
    DutyFailures,
    RestartTerms,
    compute_pause_s,
    must_log,
    record_failure,
    record_logged,
)


@dataclass(frozen=True, kw_only=True)
class DutyTerms:
    """How a background task is kept running."""

    restart: RestartTerms
    #: Whether the task has an end, after which it isn't started again.
    is_finite: bool = False


#: For the task that checks open streams, whose callers leave soon.
_STREAMS = RestartTerms(first_pause_s=0.012, max_pause_s=0.1)
#: For others that open streams and callers wait for.
_PROMPT = RestartTerms(first_pause_s=0.05, max_pause_s=0.5)
#: For tasks that call the store, each of whose calls is paid for.
_STORE = RestartTerms(first_pause_s=0.15, max_pause_s=2.4)
#: For all others.
_PERIODIC = RestartTerms(first_pause_s=0.2, max_pause_s=5.0)

#: The background tasks of an instance, and what else has errors that nobody expects:
#: `messages` of peers, and `callbacks` with tasks that nobody awaits. Each task starts
#: anew: what it knows is kept by the objects that it works on, and those that follow a
#: table begin with a full read.
DUTIES: Mapping[str, DutyTerms] = {
    "configuration": DutyTerms(restart=_STORE),
    "targets": DutyTerms(restart=_STORE),
    "mesh": DutyTerms(restart=_PROMPT),
    "links": DutyTerms(restart=_PROMPT),
    "heartbeats": DutyTerms(restart=_PROMPT),
    "loads": DutyTerms(restart=_PROMPT),
    "messages": DutyTerms(restart=_PROMPT),
    "instances": DutyTerms(restart=_PERIODIC),
    "poison": DutyTerms(restart=_PERIODIC),
    "poison_rows": DutyTerms(restart=_PERIODIC),
    "lease": DutyTerms(restart=_STORE),
    "placement": DutyTerms(restart=_PROMPT),
    "streams": DutyTerms(restart=_STREAMS),
    "paces": DutyTerms(restart=_PERIODIC),
    "occupancy": DutyTerms(restart=_PERIODIC, is_finite=True),
    "losses": DutyTerms(restart=_PROMPT),
    "contacts": DutyTerms(restart=_PROMPT),
    "readiness": DutyTerms(restart=_PROMPT, is_finite=True),
    "settings": DutyTerms(restart=_PERIODIC),
    "metrics": DutyTerms(restart=_PERIODIC),
    "callbacks": DutyTerms(restart=_PERIODIC),
}


def log_failure(duty: str, error: BaseException, **details: str) -> None:
    """Log an unforeseen error in a duty, where no supervisor records it."""
    log_event("background_task_failed", duty=duty, exc_info=error, **details)


class _TaskEnded(Exception):
    """A task has ended that should run until it is cancelled."""


class TaskSupervisor:
    """Runs background tasks, and starts those again that fail or end."""

    def __init__(
        self,
        *,
        read_clock: Callable[[], float],
        count_failure: Callable[[str], None],
        duties: Mapping[str, DutyTerms] = DUTIES,
    ) -> None:
        self._read_clock = read_clock
        #: Counts a failure, by the name of the task.
        self._count_failure = count_failure
        self._duties = duties
        #: The failures of each task that has failed.
        self.failures: dict[str, DutyFailures] = {}

    async def run(
        self, duty: str, begin: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run the coroutines that `begin` makes, until one ends as it should.

        Only a cancellation of the task itself ends it early, and not one of a task that
        it awaits.
        """
        terms = self._duties[duty]
        while True:
            try:
                await begin()
                if terms.is_finite:
                    return
                raise _TaskEnded(f"expected {duty} to run on, found its end")
            except asyncio.CancelledError as error:
                if asyncio.current_task().cancelling():
                    raise
                failures = self.record_failure(duty, error)
            except Exception as error:
                failures = self.record_failure(duty, error)
            await asyncio.sleep(compute_pause_s(failures, terms.restart))

    def record_failure(
        self, duty: str, error: BaseException, **details: str
    ) -> DutyFailures:
        """Count and log an error of a task; `details` go into the log line."""
        now = self._read_clock()
        failures = record_failure(
            self.failures.get(duty, DutyFailures()),
            cause=type(error).__name__,
            now=now,
        )
        if must_log(failures, now=now):
            failures = record_logged(failures, now=now)
            log_event(
                "background_task_failed",
                level=logging.ERROR,
                duty=duty,
                failures=failures.total,
                exc_info=error,
                **details,
            )
        self.failures[duty] = failures
        self._count_failure(duty)
        return failures
