"""When targets last answered a report request, and which paces they reported."""

import math
from collections.abc import Callable
from dataclasses import dataclass

#: Targets of which answers are kept before the first search for unknown ones.
MIN_PRUNED_SIZE = 64


@dataclass(frozen=True, kw_only=True)
class Reading:
    """A pace that a target has reported."""

    #: Slowdown factor; 1 is normal speed.
    pace: float
    #: When the report was requested, in seconds on the monotonic clock.
    asked_at: float


class EvidenceTable:
    """The latest answer and the latest pace of each target, whatever the purpose.

    Guards against probes and polls of targets that have just answered another one. Its
    size is at most twice that of the catalogue, or `MIN_PRUNED_SIZE`.
    """

    def __init__(self, *, is_known: Callable[[str], bool]) -> None:
        #: Returns whether the catalogue has a target.
        self._is_known = is_known
        #: When the report was requested that each target answered last, in seconds on
        #: the monotonic clock.
        self._asked_at: dict[str, float] = {}
        self._readings: dict[str, Reading] = {}
        #: Size from which targets are removed that are no longer known. Rows that
        #: expire are not reported as removed.
        self._pruned_size = MIN_PRUNED_SIZE

    def __len__(self) -> int:
        """Return the number of targets with an answer."""
        return len(self._asked_at)

    def record(self, target: str, *, asked_at: float, pace: float | None) -> None:
        """Record that a target answered a report request made at `asked_at`.

        `pace` is `None` if the answer has none. Answers may arrive in another order
        than they were requested. An answer that arrives after the target was removed
        from the catalogue is ignored.
        """
        if not self._is_known(target):
            return
        if len(self) >= self._pruned_size and target not in self._asked_at:
            self._prune()
        self._asked_at[target] = max(asked_at, self._asked_at.get(target, -math.inf))
        known = self._readings.get(target)
        if pace is not None and (known is None or known.asked_at < asked_at):
            self._readings[target] = Reading(pace=pace, asked_at=asked_at)

    def answered_since(self, target: str, at: float) -> bool:
        """Return whether a target answered a report request made at `at` or later."""
        return self._asked_at.get(target, -math.inf) >= at

    def find_reading(self, target: str) -> Reading | None:
        """Return the latest pace of a target, `None` if it has reported none."""
        return self._readings.get(target)

    def forget(self, target: str) -> None:
        """Remove what is known of a target that has left or has started again."""
        self._asked_at.pop(target, None)
        self._readings.pop(target, None)

    def _prune(self) -> None:
        """Remove the targets that are no longer known."""
        for name in list(self._asked_at):
            if not self._is_known(name):
                self.forget(name)
        self._pruned_size = max(MIN_PRUNED_SIZE, 2 * len(self))
