"""Loads added up by target, kept as they come and go."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol


class Load(Protocol):
    """What requests take at one target, as an instance adds it up."""

    @property
    def kv(self) -> float:
        """KV cache, tokens times layers."""

    @property
    def running(self) -> int:
        """Requests that pass through it."""

    @property
    def first_running(self) -> int:
        """Requests for which it is the first of the path."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLoad:
    """What is reserved for requests at one target."""

    #: KV cache, tokens times layers.
    kv: float = 0.0
    #: Requests that pass through it.
    running: int = 0
    #: Requests for which it is the first of the path.
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
    """The sum of many loads by target; each may be taken out again.

    A path is chosen from it several times a second, while a thousand loads are known:
    only the targets of a load that comes or goes are added up.
    """

    def __init__(self, *, note_changed: Callable[[str], None]) -> None:
        self._note_changed = note_changed
        self._sums: dict[str, TargetLoad] = {}
        #: How many loads each sum is made of.
        self._counts: dict[str, int] = {}

    @property
    def loads(self) -> Mapping[str, TargetLoad]:
        """The sums; what is returned changes with them."""
        return self._sums

    def add(self, loads: Mapping[str, Load]) -> None:
        """Add the loads of one more reporter."""
        for target, load in loads.items():
            self._sums[target] = add_loads(self._sums.get(target, NO_LOAD), load)
            self._counts[target] = self._counts.get(target, 0) + 1
            self._note_changed(target)

    def subtract(self, loads: Mapping[str, Load]) -> None:
        """Take out loads that were added before."""
        for target, load in loads.items():
            self._counts[target] -= 1
            if self._counts[target]:
                self._sums[target] = add_loads(self._sums[target], load, -1)
            else:
                del self._sums[target], self._counts[target]
            self._note_changed(target)
