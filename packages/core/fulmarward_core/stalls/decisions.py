"""Detection of targets that may have failed, based on stalled streams.

A failed target stalls every stream through it; a target with any active stream is
healthy. The remaining targets may have failed and have to be probed.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

#: Time without an event after which a stream counts as stalled: a multiple of the mean
#: pause, and the minimum in seconds.
STALL_FACTOR = 2.4
MIN_STALL_S = 0.06

#: The same if at least this many streams are stalled at one target. A single stream may
#: pause that long by chance, several at the same time do not.
JOINT_STALL_COUNT = 3
JOINT_STALL_FACTOR = 1.3
MIN_JOINT_STALL_S = 0.04


@dataclass(frozen=True, kw_only=True)
class StreamView:
    """An open stream that has received its first event."""

    #: Names of the targets on its path.
    targets: tuple[str, ...]
    #: Seconds since its last event.
    silent_s: float


def compute_joint_stall_s(mean_pause_s: float) -> float:
    """Return the seconds without an event up to which no stream counts as stalled.

    `mean_pause_s` is the mean pause between two events of a stream.
    """
    return max(MIN_JOINT_STALL_S, mean_pause_s * JOINT_STALL_FACTOR)


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
    silence_s = min(MIN_STALL_S, compute_joint_stall_s(mean_pause_s))
    due_at = min(last_events, default=now) + silence_s
    return max(interval_s, due_at - now)


def find_stalled_targets(
    streams: Sequence[StreamView], *, mean_pause_s: float
) -> list[str]:
    """Return the targets at which all streams are stalled, in order of appearance.

    `mean_pause_s` is the mean pause between two events of a stream.
    """
    stall_s = max(MIN_STALL_S, mean_pause_s * STALL_FACTOR)
    joint_stall_s = compute_joint_stall_s(mean_pause_s)
    active: set[str] = set()
    stalled: dict[str, int] = {}
    long_stalled: set[str] = set()
    for stream in streams:
        if stream.silent_s < joint_stall_s:
            active.update(stream.targets)
            continue
        for name in stream.targets:
            stalled[name] = stalled.get(name, 0) + 1
        if stream.silent_s >= stall_s:
            long_stalled.update(stream.targets)
    return [
        name
        for name, count in stalled.items()
        if name not in active and (name in long_stalled or count >= JOINT_STALL_COUNT)
    ]
