"""Detection of targets that may have failed, based on stalled streams.

A failed target stalls every stream through it; a target with any active stream is
healthy. The remaining targets may have failed and have to be probed.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

#: Time without an event after which a stream counts as stalled: a multiple of the mean
#: pause, and the minimum in seconds.
STALL_FACTOR = 2.4
MIN_STALL_S = 0.06

#: The same if at least this many streams are stalled at one target. A single stream may
#: pause that long by chance, several at the same time do not.
JOINT_STALL_COUNT = 3
JOINT_STALL_FACTOR = 1.3
MIN_JOINT_STALL_S = 0.04

#: Multiple of the longest recent pause that streams have ended by themselves. Streams
#: of one target pause together while it reads another prompt.
LONGEST_PAUSE_FACTOR = 1.2

#: Share of the pause that callers accept after which a stream counts as stalled however
#: long others have paused. Of 250 ms, two probe rounds take 70 ms, and 120 ms pass from
#: the order of another path to the next event.
MAX_STALL_SHARE = 0.24

#: Seconds for which the report of a peer on a target may explain why a stream is
#: stalled: a target that refuses connections does so after 10 to 20 ms. A longer time
#: would delay the detection of a second lost target on the same path.
REPORT_HOLD_S = 0.02

#: Weight of the mean pause in the longest recent pause, at each event.
LONGEST_PAUSE_DECAY = 0.002

#: Seconds in which a stream gets an event after its new path was accepted, unless its
#: route declares longer pauses. Transfers of the tokens so far may queue up between
#: data centres.
MAX_REROUTE_PAUSE_S = 0.6

#: Seconds for which targets that answer may be silent before they go on by themselves.
MAX_SILENCE_S = 1.0


class SilenceCause(Enum):
    """Why a stream is to be resumed elsewhere although all its targets answer."""

    REROUTED = "no event on its new path"
    CALLER_LEAVES = "silent until its caller leaves"


@dataclass(frozen=True, kw_only=True)
class StreamView:
    """An open stream that has received its first event."""

    #: Names of the targets on its path.
    targets: tuple[str, ...]
    #: Seconds since its last event.
    silent_s: float
    #: Those of its targets that a peer reported and that have not answered since.
    reported: frozenset[str] = frozenset()
    #: Factor by which the slowest of its targets is known to be slow; 1 if none is.
    slowdown: float = 1.0


@dataclass(frozen=True, kw_only=True)
class StallThresholds:
    """Seconds without an event after which streams count as stalled."""

    #: For each of several streams of one target, and for a single stream.
    joint_s: float
    single_s: float
    #: The pause that callers accept, up to which streams through slow targets are not
    #: stalled.
    accepted_s: float = float("inf")

    def scale(self, threshold_s: float, slowdown: float) -> float:
        """Return a threshold for a stream whose pauses are longer by a factor."""
        return max(threshold_s, min(threshold_s * slowdown, self.accepted_s))


def compute_stall_thresholds(
    *,
    mean_pause_s: float,
    longest_pause_s: float = 0.0,
    accepted_pause_s: float = float("inf"),
) -> StallThresholds:
    """Return when streams count as stalled.

    `mean_pause_s` is the mean pause between two events of a stream, `longest_pause_s`
    the longest recent one, and `accepted_pause_s` the longest that callers accept.
    """
    usual_s = longest_pause_s * LONGEST_PAUSE_FACTOR
    usual_s = min(usual_s, accepted_pause_s * MAX_STALL_SHARE)
    return StallThresholds(
        joint_s=max(MIN_JOINT_STALL_S, mean_pause_s * JOINT_STALL_FACTOR, usual_s),
        single_s=max(MIN_STALL_S, mean_pause_s * STALL_FACTOR, usual_s),
        accepted_s=accepted_pause_s,
    )


def decay_longest_pause_s(
    longest_pause_s: float, *, pause_s: float, mean_pause_s: float
) -> float:
    """Return the longest recent pause after one more pause that an event has ended."""
    decay_s = (longest_pause_s - mean_pause_s) * LONGEST_PAUSE_DECAY
    return max(pause_s, longest_pause_s - decay_s)


def compute_check_delay_s(
    last_events: Iterable[float],
    *,
    mean_pause_s: float,
    interval_s: float,
    now: float,
) -> float:
    """Return the seconds until the next check of open streams.

    `last_events` holds the time of each stream's last event, in seconds on the
    monotonic clock. No stream counts as stalled before one of them has been silent for
    long enough; from then on checks are `interval_s` apart.
    """
    thresholds = compute_stall_thresholds(mean_pause_s=mean_pause_s)
    silence_s = min(MIN_STALL_S, thresholds.joint_s)
    due_at = min(last_events, default=now) + silence_s
    return max(interval_s, due_at - now)


def find_silence_cause(
    *, silent_s: float, is_rerouted: bool, left_s: float, pause_s: float
) -> SilenceCause | None:
    """Return why a stream whose targets answer is to be resumed elsewhere, or `None`.

    `silent_s` is the time since its last event, or since its new path was accepted if
    it `is_rerouted`; `left_s` is the time until it has to be resumed before its caller
    leaves, and `pause_s` the pause that its route declares. All are in seconds.
    """
    if is_rerouted and silent_s >= max(MAX_REROUTE_PAUSE_S, pause_s):
        return SilenceCause.REROUTED
    if left_s <= 0 and silent_s >= MAX_SILENCE_S:
        return SilenceCause.CALLER_LEAVES
    return None


def find_stalled_targets(
    streams: Sequence[StreamView], *, thresholds: StallThresholds
) -> list[str]:
    """Return the targets at which all streams are stalled, in order of appearance.

    A stream that passes through a target that a peer reported is no reason to probe
    the rest of its path, until it is silent for `REPORT_HOLD_S` more. One that passes
    through a slow target counts as stalled later by that factor, up to the pause that
    callers accept, as its pauses are longer; until then it shows nothing about its
    targets.
    """
    active: set[str] = set()
    stalled: dict[str, int] = {}
    long_stalled: set[str] = set()
    for stream in streams:
        if stream.silent_s < thresholds.joint_s:
            active.update(stream.targets)
            continue
        if stream.silent_s < thresholds.scale(thresholds.joint_s, stream.slowdown):
            continue
        for name in stream.targets:
            stalled[name] = stalled.get(name, 0) + 1
        if stream.silent_s >= thresholds.scale(thresholds.single_s, stream.slowdown):
            long_stalled.update(stream.targets)
    held_until_s = thresholds.single_s + REPORT_HOLD_S
    in_question: set[str] = set()
    for stream in streams:
        if stream.silent_s < thresholds.scale(thresholds.joint_s, stream.slowdown):
            continue
        # A report does not explain the silence if its target serves other streams.
        reported = stream.reported - active
        is_explained = reported and stream.silent_s < held_until_s
        in_question.update(reported if is_explained else stream.targets)
    return [
        name
        for name, count in stalled.items()
        if name in in_question - active
        and (name in long_stalled or count >= JOINT_STALL_COUNT)
    ]
