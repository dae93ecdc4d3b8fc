"""Sliding window over the outcomes of attempts by model and version."""

from dataclasses import dataclass, field

from fulmarward_core.placement._types import Outcomes

#: Duration of each of the two parts of a window, in seconds.
WINDOW_PART_S = 30.0

#: Maximum number of versions counted, which bounds memory when engines keep reporting
#: new versions. Regular use needs two versions for each of 4 models.
MAX_VERSIONS = 64

Counts = dict[tuple[str, str], tuple[int, int]]


@dataclass(kw_only=True)
class OutcomeWindow:
    """Counts of the current part of the window and of the previous one."""

    #: Start of the current part, in seconds on the monotonic clock.
    started_at: float = float("-inf")
    #: Attempts and failures by model and version.
    current: Counts = field(default_factory=dict)
    previous: Counts = field(default_factory=dict)


def _advance_window(window: OutcomeWindow, now: float) -> None:
    if now - window.started_at < WINDOW_PART_S:
        return
    is_stale = now - window.started_at >= 2 * WINDOW_PART_S
    window.previous = {} if is_stale else window.current
    window.current = {}
    window.started_at = now


def count_outcome(
    window: OutcomeWindow, model: str, version: str, *, is_failure: bool, now: float
) -> None:
    """Count an attempt that ended, in the current part of the window."""
    _advance_window(window, now)
    key = (model, version)
    if key not in window.current and len(window.current) >= MAX_VERSIONS:
        return
    tries, failures = window.current.get(key, (0, 0))
    window.current[key] = (tries + 1, failures + is_failure)


def list_outcomes(
    window: OutcomeWindow, model: str, *, now: float
) -> tuple[Outcomes, ...]:
    """Return the counts over both parts of the window by version of a model."""
    _advance_window(window, now)
    versions = {
        key[1] for key in (*window.current, *window.previous) if key[0] == model
    }
    parts = (window.current, window.previous)
    return tuple(
        Outcomes(
            version=version,
            tries=sum(part.get((model, version), (0, 0))[0] for part in parts),
            failures=sum(part.get((model, version), (0, 0))[1] for part in parts),
        )
        for version in sorted(versions)
    )
