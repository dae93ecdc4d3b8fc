"""Measures how long each subsystem keeps the event loop busy.

The loop runs in one thread and its steps do not block, so the duration of a step is its
CPU time, apart from preemption by other processes.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Generator
from contextvars import ContextVar, copy_context
from functools import wraps
from typing import Any, ParamSpec, TypeVar

from fulmarward_core.steps import Steps

#: Seconds between two log lines with the totals of the subsystems.
LOG_INTERVAL_S = 10.0

#: Subsystem of all tasks that belong to no other, such as those that libraries start.
OTHER = "other"

_SUBSYSTEM: ContextVar[str] = ContextVar("subsystem", default=OTHER)

_Arguments = ParamSpec("_Arguments")
_Result = TypeVar("_Result")


class _MeasuredCoroutine(Coroutine[Any, Any, Any]):
    """Wraps a coroutine and adds the duration of its steps to a subsystem's total."""

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
    """Sums the time that the tasks of each subsystem take."""

    def __init__(self, *, read_clock: Callable[[], float]) -> None:
        self._read_clock = read_clock
        #: Total seconds by subsystem, and by activity.
        self.subsystems: Counter[str] = Counter()
        self.activities: Counter[str] = Counter()

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Measure every task that `loop` creates from now on."""
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
        """Return `function` wrapped so that its calls count towards `activity`."""

        @wraps(function)
        def call(*args: _Arguments.args, **kwargs: _Arguments.kwargs) -> _Result:
            began_at = self._read_clock()
            try:
                return function(*args, **kwargs)
            finally:
                self.activities[activity] += self._read_clock() - began_at

        return call

    def measure_steps(
        self, activity: str, function: Callable[_Arguments, Steps[_Result]]
    ) -> Callable[_Arguments, Steps[_Result]]:
        """Return `function` wrapped so that its steps count towards `activity`."""

        @wraps(function)
        def call(*args: _Arguments.args, **kwargs: _Arguments.kwargs) -> Steps[_Result]:
            take_step = self.measure(activity, function(*args, **kwargs).send)
            while True:
                try:
                    take_step(None)
                except StopIteration as stop:
                    return stop.value
                yield

        return call


def get_subsystem() -> str:
    """Return the subsystem of the current task."""
    return _SUBSYSTEM.get()


def start_in_subsystem(
    subsystem: str, coroutine: Coroutine[Any, Any, _Result], *, name: str | None = None
) -> "asyncio.Task[_Result]":
    """Start a task that counts towards `subsystem`, as do all tasks that it starts.

    This includes the connection tasks of servers that are opened in it.
    """
    context = copy_context()
    context.run(_SUBSYSTEM.set, subsystem)
    return asyncio.create_task(coroutine, name=name, context=context)
