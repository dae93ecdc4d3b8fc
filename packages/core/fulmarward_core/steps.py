"""Work in short steps, between which its caller can do other work."""

from collections.abc import Generator
from typing import TypeAlias, TypeVar

_Result = TypeVar("_Result")

#: Ends a step with each `yield`, and returns the result of the work.
Steps: TypeAlias = Generator[None, None, _Result]


def finish_steps(steps: Steps[_Result]) -> _Result:
    """Take all steps at a stretch; return the result of the work."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
