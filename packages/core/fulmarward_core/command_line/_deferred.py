"""Commands that run only after the whole command line was read.

Guards against a mistyped flag that is noticed too late: the library calls a command
with the arguments it knows and only then refuses the rest, when the command has
already been carried out. Here the library is given commands that merely note their
call, and the noted call is carried out after nothing was refused.
"""

import functools
from collections.abc import Callable
from dataclasses import dataclass

import fire


@dataclass(frozen=True, kw_only=True)
class _NotedCall:
    """A command and its arguments, bound but not yet carried out."""

    carry_out: Callable[[], None]

    def __dir__(self) -> list[str]:
        """Show no members, so that no argument is taken for one of them."""
        return []


def defer(command: Callable[..., None]) -> Callable[..., object]:
    """Return `command` in a form that notes its call; a decorator for commands."""

    @functools.wraps(command)
    def note(*arguments: object, **options: object) -> _NotedCall:
        return _NotedCall(carry_out=functools.partial(command, *arguments, **options))

    return note


def run_command_line(component: object, *, name: str) -> None:
    """Read the command line for `component` and carry out the noted call."""
    result = fire.Fire(component, name=name, serialize=_show_nothing)
    if isinstance(result, _NotedCall):
        result.carry_out()


def _show_nothing(result: object) -> object:
    return None if isinstance(result, _NotedCall) else result
