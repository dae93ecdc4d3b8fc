"""The limits that targets have named, as far as an instance knows them."""

from collections.abc import Collection
from dataclasses import dataclass

#: A target that names more requests a second than this is not limited.
MAX_LIMIT_PER_S = 1e6


@dataclass(frozen=True, kw_only=True)
class KnownLimit:
    """What the newest known answer of a target says of its limit."""

    #: Requests a second that it accepts; `None` if it names no limit any more.
    per_s: float | None
    #: When the answer arrived, in seconds on the monotonic clock.
    observed_at: float


class LimitTable:
    """The limits by target; a target that never named one has no entry."""

    def __init__(self) -> None:
        self._limits: dict[str, KnownLimit] = {}

    def record(self, target: str, *, per_s: float | None, observed_at: float) -> bool:
        """Record an answer of a target; return whether its limit changes by that."""
        known = self._limits.get(target)
        if known is None and per_s is None:
            return False
        if known is not None and observed_at <= known.observed_at:
            return False
        self._limits[target] = KnownLimit(per_s=per_s, observed_at=observed_at)
        return known is None or known.per_s != per_s

    def __len__(self) -> int:
        """Return the number of targets that have named a limit, now or before."""
        return len(self._limits)

    def find(self, target: str) -> float | None:
        """Return the requests a second that a target accepts, `None` without limit."""
        known = self._limits.get(target)
        return None if known is None else known.per_s

    def list_limited(self) -> frozenset[str]:
        """Return the targets that have a limit now."""
        return frozenset(
            target for target, known in self._limits.items() if known.per_s is not None
        )

    def list_known(self) -> dict[str, KnownLimit]:
        """Return what is known by target, also of limits that are lifted."""
        return dict(self._limits)

    def retain(self, targets: Collection[str]) -> None:
        """Forget all other targets."""
        for target in self._limits.keys() - set(targets):
            del self._limits[target]
