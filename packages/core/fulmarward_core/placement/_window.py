"""Outcomes of attempts by model and version, forgotten after a while."""

from dataclasses import dataclass, field

from fulmarward_core.placement._types import Outcomes

#: Seconds of one of the two parts of a window.
PART_S = 30.0

#: Versions counted at once. Harm: engines that report ever new versions; reason: 4
#: models of which each is between two versions.
MOST_VERSIONS = 64

Counts = dict[tuple[str, str], tuple[int, int]]


@dataclass(kw_only=True)
class OutcomeWindow:
    """Counts of the present part and of the one before it."""

    #: When the present part began; seconds on the steady clock.
    began_at: float = float("-inf")
    #: Tries and failures by model and version.
    present: Counts = field(default_factory=dict)
    before: Counts = field(default_factory=dict)


def _turn(window: OutcomeWindow, now: float) -> None:
    if now - window.began_at < PART_S:
        return
    is_stale = now - window.began_at >= 2 * PART_S
    window.before = {} if is_stale else window.present
    window.present = {}
    window.began_at = now


def count_outcome(
    window: OutcomeWindow, model: str, version: str, *, is_failure: bool, now: float
) -> None:
    """Count one attempt that ended."""
    _turn(window, now)
    key = (model, version)
    if key not in window.present and len(window.present) >= MOST_VERSIONS:
        return
    tries, failures = window.present.get(key, (0, 0))
    window.present[key] = (tries + 1, failures + is_failure)


def list_outcomes(
    window: OutcomeWindow, model: str, *, now: float
) -> tuple[Outcomes, ...]:
    """Return the counts of a model's versions."""
    _turn(window, now)
    versions = {key[1] for key in (*window.present, *window.before) if key[0] == model}
    parts = (window.present, window.before)
    return tuple(
        Outcomes(
            version=version,
            tries=sum(part.get((model, version), (0, 0))[0] for part in parts),
            failures=sum(part.get((model, version), (0, 0))[1] for part in parts),
        )
        for version in sorted(versions)
    )
