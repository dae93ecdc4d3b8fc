"""How long each subsystem keeps the event loop busy.

The loop has one thread and its steps do not wait, so the time that a step takes is
processor time, apart from preemption by other processes.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Generator
from contextvars import ContextVar, copy_context
from functools import wraps
from typing import Any, ParamSpec, TypeVar

#: Seconds between two log lines with the sums of the subsystems.
LOG_INTERVAL_S = 10.0

#: What counts for no subsystem: tasks that the libraries start by themselves.
OTHER = "other"

_SUBSYSTEM: ContextVar[str] = ContextVar("subsystem", default=OTHER)

_Arguments = ParamSpec("_Arguments")
_Result = TypeVar("_Result")


class _MeasuredCoroutine(Coroutine[Any, Any, Any]):
    """A coroutine whose steps are added to the account of a subsystem."""

    __slots__ = ("_coroutine", "_read_clock", "_seconds", "_subsystem")

    def __init__(
        self,
        coroutine: Coroutine[Any, Any, Any],
        *,
        subsystem: str,
        seconds: Counter[str],
        read_clock: Callable[[], float],
    ) -> None:
        self._coroutine = coroutine
        self._subsystem = subsystem
        self._seconds = seconds
        self._read_clock = read_clock

    def send(self, value: Any) -> Any:  # noqa: ANN401
        began_at = self._read_clock()
        try:
            return self._coroutine.send(value)
        finally:
            self._seconds[self._subsystem] += self._read_clock() - began_at

    def throw(self, *error: Any) -> Any:  # noqa: ANN401
        began_at = self._read_clock()
        try:
            return self._coroutine.throw(*error)
        finally:
            self._seconds[self._subsystem] += self._read_clock() - began_at

    def close(self) -> None:
        self._coroutine.close()

    def __await__(self) -> Generator[Any, Any, Any]:
        return self._coroutine.__await__()


class ProcessorMeter:
    """Adds up the time that the tasks of each subsystem take."""

    def __init__(self, *, read_clock: Callable[[], float]) -> None:
        self._read_clock = read_clock
        #: Seconds by subsystem, and by activity within the subsystems.
        self.subsystems: Counter[str] = Counter()
        self.activities: Counter[str] = Counter()

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Measure every task that is made from now on."""
        loop.set_task_factory(self._make_task)

    def _make_task(
        self,
        loop: asyncio.AbstractEventLoop,
        coroutine: Coroutine[Any, Any, Any],
        **options: Any,  # noqa: ANN401
    ) -> asyncio.Task:
        context = options.get("context")
        if context is None:
            subsystem = _SUBSYSTEM.get()
        else:
            subsystem = context.get(_SUBSYSTEM, OTHER)
        measured = _MeasuredCoroutine(
            coroutine,
            subsystem=subsystem,
            seconds=self.subsystems,
            read_clock=self._read_clock,
        )
        return asyncio.Task(measured, loop=loop, **options)

    def measure(
        self, activity: str, function: Callable[_Arguments, _Result]
    ) -> Callable[_Arguments, _Result]:
        """Return `function`, with the time of its calls counted as an activity."""

        @wraps(function)
        def call(*args: _Arguments.args, **kwargs: _Arguments.kwargs) -> _Result:
            began_at = self._read_clock()
            try:
                return function(*args, **kwargs)
            finally:
                self.activities[activity] += self._read_clock() - began_at

        return call


def start_in_subsystem(
    subsystem: str, coroutine: Coroutine[Any, Any, _Result], *, name: str | None = None
) -> "asyncio.Task[_Result]":
    """Start a task; it and all tasks that come from it count for `subsystem`.

    So do the tasks of connections that a server accepts which is opened there.
    """
    context = copy_context()
    context.run(_SUBSYSTEM.set, subsystem)
    return asyncio.create_task(coroutine, name=name, context=context)
