"""Which targets may be lost, by the streams that stand still.

A target that is lost silences every stream that passes through it; one through which
any stream moves is sound. What is left may be lost, and is to be asked.
"""

from collections.abc import Sequence
from dataclasses import dataclass

#: Silence after which a stream counts as standing still, as a multiple of the mean
#: pause and at least. Load: a target in the middle of a path that falls silent, with
#: about five streams of each instance passing through; harm: a pause of more than
#: 0.2 s makes an answer late, a look at sound targets is paid for; reason: the mean
#: pause is 17 ms with 39 targets and 50 ms with 99, the longest one of an answer 44 ms
#: and, for nine in ten, 64 ms. With 0.085 s, 46 in 100 streams through a lost target
#: went on in time, with this 65.
STILL_FACTOR = 2.4
LEAST_STILL_S = 0.06

#: The same, where at least this many streams stand still at one target. Harm: one
#: stream in a hundred pauses that long by chance, three of them at once do not.
MANY_STILL = 3
MANY_STILL_FACTOR = 1.3
LEAST_MANY_STILL_S = 0.04


@dataclass(frozen=True, kw_only=True)
class StreamView:
    """An open stream that has begun."""

    #: Names of the targets of its path.
    targets: tuple[str, ...]
    #: Seconds since its last event.
    silent_s: float


def find_still_targets(
    streams: Sequence[StreamView], *, mean_pause_s: float
) -> list[str]:
    """Return the targets at which all streams stand still, in order of first sight.

    `mean_pause_s` is the usual pause between two events of a stream.
    """
    limit_s = max(LEAST_STILL_S, mean_pause_s * STILL_FACTOR)
    many_limit_s = max(LEAST_MANY_STILL_S, mean_pause_s * MANY_STILL_FACTOR)
    moving: set[str] = set()
    still: dict[str, int] = {}
    long_still: set[str] = set()
    for stream in streams:
        if stream.silent_s < many_limit_s:
            moving.update(stream.targets)
            continue
        for name in stream.targets:
            still[name] = still.get(name, 0) + 1
        if stream.silent_s >= limit_s:
            long_still.update(stream.targets)
    return [
        name
        for name, count in still.items()
        if name not in moving and (name in long_still or count >= MANY_STILL)
    ]
