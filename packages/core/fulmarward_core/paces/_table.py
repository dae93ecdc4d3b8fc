"""Slowdown factors ("paces") of targets, from own and forwarded reports."""

from dataclasses import dataclass

#: Factor from which a target counts as slow. Reports are rounded and delayed.
MIN_SLOWDOWN = 1.2

#: Seconds for which a report is valid; those of slow targets are read at least twice in
#: that time.
REPORT_DURATION_S = 2.5

#: A stream counts as slow when its mean pause exceeds this share of the pause that its
#: route allows. Pauses of a busy but healthy target stay below.
SLOW_PAUSE_SHARE = 0.4

#: The same for the wait for the first event, as a share of its objective.
SLOW_FIRST_SHARE = 0.6

#: Weight of the newest pause in the mean; low, so that one long pause is ignored.
_PAUSE_WEIGHT = 0.25


@dataclass(frozen=True, kw_only=True)
class Pace:
    """Reported slowdown of a target."""

    #: Slowdown factor; 1 is normal speed.
    factor: float
    #: When the report was read, in seconds on the monotonic clock.
    at: float


class PaceTable:
    """The latest reported slowdown of each target."""

    def __init__(self) -> None:
        self._paces: dict[str, Pace] = {}

    def note(self, target: str, factor: float, *, at: float) -> bool:
        """Store a report that was read here or by a peer; the newest one wins.

        Return whether the target became slow or stopped being slow.
        """
        known = self._paces.get(target)
        if known is not None and known.at >= at:
            return False
        was_slow = known is not None and known.factor >= MIN_SLOWDOWN
        self._paces[target] = Pace(factor=factor, at=at)
        return was_slow != (factor >= MIN_SLOWDOWN)

    def find(self, target: str, *, now: float) -> float:
        """Return the slowdown factor of a target; 1 if it is not known to be slow."""
        known = self._paces.get(target)
        if known is None or now - known.at > REPORT_DURATION_S:
            return 1.0
        return max(1.0, known.factor)

    def list_slow(self, *, now: float) -> dict[str, Pace]:
        """Return the slow targets, for peers, and remove expired reports."""
        for name, pace in list(self._paces.items()):
            if now - pace.at > REPORT_DURATION_S:
                del self._paces[name]
        return {
            name: pace
            for name, pace in self._paces.items()
            if pace.factor >= MIN_SLOWDOWN
        }


class SlowStreamDetector:
    """Detects from the pauses of one stream that a target on its path is slow.

    Before the first event, the time since the stream was sent counts instead.
    """

    def __init__(self) -> None:
        self._mean_pause_s: float | None = None

    def note_pause(self, pause_s: float) -> None:
        """Update the mean with the pause before an event other than the first."""
        mean_pause_s = self._mean_pause_s
        if mean_pause_s is None:
            self._mean_pause_s = pause_s
        else:
            self._mean_pause_s = mean_pause_s + _PAUSE_WEIGHT * (pause_s - mean_pause_s)

    def is_slow(
        self, *, silent_s: float, has_begun: bool, objective_s: float, pause_s: float
    ) -> bool:
        """Return whether the stream is slow.

        `silent_s` is the time since its last event, or since it was sent; `objective_s`
        and `pause_s` are what the route allows for the first event and between events.
        """
        if not has_begun:
            return silent_s > objective_s * SLOW_FIRST_SHARE
        mean_pause_s = self._mean_pause_s
        return mean_pause_s is not None and mean_pause_s > pause_s * SLOW_PAUSE_SHARE
