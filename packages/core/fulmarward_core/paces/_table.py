"""How slow targets are, by their own reports and by what peers told."""

from dataclasses import dataclass

#: Slowdown from which a target counts as slow; reports are rounded and lag.
MIN_SLOWDOWN = 1.2

#: Seconds for which a report holds; reports are read twice in that time.
REPORT_DURATION_S = 2.5

#: Share of the pause that callers accept, from which the mean of a stream's last pauses
#: suggests that a target on its path is slow. A busy target takes less.
SLOW_PAUSE_SHARE = 0.4

#: The same for the wait for the first event, as a share of its objective.
SLOW_FIRST_SHARE = 0.6

#: Weight of the newest pause in the mean, so that one long pause is no slowness.
_PAUSE_WEIGHT = 0.25


@dataclass(frozen=True, kw_only=True)
class Pace:
    """How slow a target is."""

    #: Factor on its times.
    factor: float
    #: When its report was read, seconds on the steady clock.
    at: float


class PaceTable:
    """The slow targets."""

    def __init__(self) -> None:
        self._paces: dict[str, Pace] = {}

    def note(self, target: str, factor: float, *, at: float) -> bool:
        """Note a report, read here or by a peer; return whether that is news.

        The newest report counts, whoever read it.
        """
        known = self._paces.get(target)
        if known is not None and known.at >= at:
            return False
        was_slow = known is not None and known.factor >= MIN_SLOWDOWN
        self._paces[target] = Pace(factor=factor, at=at)
        return was_slow != (factor >= MIN_SLOWDOWN)

    def find(self, target: str, *, now: float) -> float:
        """Return the factor on a target's times; 1 when it is not known as slow."""
        known = self._paces.get(target)
        if known is None or now - known.at > REPORT_DURATION_S:
            return 1.0
        return max(1.0, known.factor)

    def list_slow(self, *, now: float) -> dict[str, Pace]:
        """Return the targets that are slow, for peers; forget old reports."""
        for name, pace in list(self._paces.items()):
            if now - pace.at > REPORT_DURATION_S:
                del self._paces[name]
        return {
            name: pace
            for name, pace in self._paces.items()
            if pace.factor >= MIN_SLOWDOWN
        }


class SlowSigns:
    """Whether one stream looks as if a target on its path were slow."""

    def __init__(self) -> None:
        self._mean_pause_s: float | None = None

    def note_pause(self, pause_s: float) -> None:
        """Take in the pause before an event that was not the first."""
        mean_s = self._mean_pause_s
        if mean_s is None:
            self._mean_pause_s = pause_s
        else:
            self._mean_pause_s = mean_s + _PAUSE_WEIGHT * (pause_s - mean_s)

    def is_slow(
        self, *, silent_s: float, has_begun: bool, objective_s: float, pause_s: float
    ) -> bool:
        """Return whether the stream is slow.

        `silent_s` is the time since its last event, or since it was sent; `objective_s`
        and `pause_s` are what the route allows for the first event and between events.
        """
        if not has_begun:
            return silent_s > objective_s * SLOW_FIRST_SHARE
        mean_s = self._mean_pause_s
        return mean_s is not None and mean_s > pause_s * SLOW_PAUSE_SHARE
