"""Since when no target has answered a new connection of this instance.

Only probes count, which open connections of their own: streams that began earlier may
go on while all new connections are refused.
"""

from enum import Enum


class IsolationChange(Enum):
    """What a probe round changed."""

    BEGAN = "began"
    ENDED = "ended"


class IsolationTracker:
    """The isolation of one instance, by its probe rounds."""

    def __init__(self) -> None:
        #: When a target last answered a probe, in seconds on the monotonic clock.
        self.answered_at = float("-inf")
        #: When the first round without any answer ended, `None` if not isolated.
        self.since: float | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether the last conclusive probe round had no answer."""
        return self.since is not None

    def record_silence(self, *, now: float) -> IsolationChange | None:
        """Record a conclusive round in which neither targets nor controls answered."""
        if self.since is not None:
            return None
        self.since = now
        return IsolationChange.BEGAN

    def record_answer(self, *, now: float) -> IsolationChange | None:
        """Record that a target answered a probe."""
        self.answered_at = now
        if self.since is None:
            return None
        self.since = None
        return IsolationChange.ENDED
