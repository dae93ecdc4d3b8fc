"""Which targets may be lost, by the streams that are stalled.

A target that is lost silences every stream that passes through it; one through which
any stream moves is sound. What is left may be lost, and is to be asked.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

#: Silence after which a stream counts as stalled: a multiple of the mean pause, and
#: seconds at least.
STALL_FACTOR = 2.4
MIN_STALL_S = 0.06

#: The same where at least this many streams are stalled at one target: one stream
#: pauses that long by chance, several at once do not.
JOINT_STALL_COUNT = 3
JOINT_STALL_FACTOR = 1.3
MIN_JOINT_STALL_S = 0.04


@dataclass(frozen=True, kw_only=True)
class StreamView:
    """An open stream that has begun."""

    #: Names of the targets of its path.
    targets: tuple[str, ...]
    #: Seconds since its last event.
    silent_s: float


def compute_joint_stall_s(mean_pause_s: float) -> float:
    """Return the seconds of silence up to which no stream counts as stalled.

    `mean_pause_s` is the usual pause between two events of a stream.
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

    `last_events` are when each stream last gave a sign of life, seconds on the steady
    clock. Nothing can be found before one of them is silent for long enough to count;
    from then on the checks are `interval_s` apart.
    """
    silence_s = min(MIN_STALL_S, compute_joint_stall_s(mean_pause_s))
    due_at = min(last_events, default=now) + silence_s
    return max(interval_s, due_at - now)


def find_stalled_targets(
    streams: Sequence[StreamView], *, mean_pause_s: float
) -> list[str]:
    """Return the targets at which all streams are stalled, in order of first sight.

    `mean_pause_s` is the usual pause between two events of a stream.
    """
    limit_s = max(MIN_STALL_S, mean_pause_s * STALL_FACTOR)
    many_limit_s = compute_joint_stall_s(mean_pause_s)
    moving: set[str] = set()
    stalled: dict[str, int] = {}
    long_stalled: set[str] = set()
    for stream in streams:
        if stream.silent_s < many_limit_s:
            moving.update(stream.targets)
            continue
        for name in stream.targets:
            stalled[name] = stalled.get(name, 0) + 1
        if stream.silent_s >= limit_s:
            long_stalled.update(stream.targets)
    return [
        name
        for name, count in stalled.items()
        if name not in moving and (name in long_stalled or count >= JOINT_STALL_COUNT)
    ]
