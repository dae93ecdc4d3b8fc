"""Commands that run only after the whole command line is parsed.

Fire calls a command with the arguments that it knows and only then rejects the rest,
so a command with a mistyped flag would run before the error is reported. Therefore
Fire gets wrappers that only record the call, which runs after parsing succeeded.
"""

import functools
from collections.abc import Callable
from dataclasses import dataclass

import fire
from fire.decorators import SetParseFn


@dataclass(frozen=True, kw_only=True)
class _DeferredCall:
    """A command bound to its arguments that has not run yet."""

    run: Callable[[], None]

    def __dir__(self) -> list[str]:
        """Return no members, so that Fire takes no argument for a member."""
        return []


def defer(command: Callable[..., None]) -> Callable[..., object]:
    """Decorate `command` so that a call is recorded instead of executed."""

    @functools.wraps(command)
    def record(*arguments: object, **options: object) -> _DeferredCall:
        return _DeferredCall(run=functools.partial(command, *arguments, **options))

    return record


def keep_text(command: Callable[..., None]) -> Callable[..., None]:
    """Decorate `command` so that it gets its arguments as they were typed.

    Fire converts arguments that look like Python values, and some ids do: 4100e12 would
    be a number.
    """
    return SetParseFn(str)(command)


def run_command_line(component: object, *, name: str) -> None:
    """Parse the command line for `component` and run the recorded call."""
    result = fire.Fire(component, name=name, serialize=_hide_deferred_call)
    if isinstance(result, _DeferredCall):
        result.run()


def _hide_deferred_call(result: object) -> object:
    return None if isinstance(result, _DeferredCall) else result
