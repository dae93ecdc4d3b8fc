"""Sums of loads by target, updated incrementally."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol


class Load(Protocol):
    """Resources that requests use at one target."""

    @property
    def kv(self) -> float:
        """KV cache, in tokens x layers."""

    @property
    def running(self) -> int:
        """Requests whose path includes the target."""

    @property
    def first_running(self) -> int:
        """Requests whose path starts at the target."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLoad:
    """Resources reserved for requests at one target."""

    #: KV cache, in tokens x layers.
    kv: float = 0.0
    #: Requests whose path includes the target.
    running: int = 0
    #: Requests whose path starts at the target.
    first_running: int = 0


NO_LOAD = TargetLoad()


def add_loads(one: Load, other: Load, sign: int = 1) -> TargetLoad:
    """Return the sum of two loads, or their difference where `sign` is -1."""
    return TargetLoad(
        kv=one.kv + sign * other.kv,
        running=one.running + sign * other.running,
        first_running=one.first_running + sign * other.first_running,
    )


class LoadSum:
    """The sum of many loads by target, with subtraction.

    Paths are chosen from it several times a second with a thousand known loads, so only
    the targets of an added or removed load are summed again.
    """

    def __init__(self, *, note_changed: Callable[[str], None]) -> None:
        self._note_changed = note_changed
        self._sums: dict[str, TargetLoad] = {}
        #: Number of loads in each sum.
        self._counts: dict[str, int] = {}

    @property
    def loads(self) -> Mapping[str, TargetLoad]:
        """The sums by target; a live view."""
        return self._sums

    def add(self, loads: Mapping[str, Load]) -> None:
        """Add the loads of one reporter."""
        for target, load in loads.items():
            self._sums[target] = add_loads(self._sums.get(target, NO_LOAD), load)
            self._counts[target] = self._counts.get(target, 0) + 1
            self._note_changed(target)

    def subtract(self, loads: Mapping[str, Load]) -> None:
        """Subtract loads that were added before."""
        for target, load in loads.items():
            self._counts[target] -= 1
            if self._counts[target]:
                self._sums[target] = add_loads(self._sums[target], load, -1)
            else:
                del self._sums[target], self._counts[target]
            self._note_changed(target)
