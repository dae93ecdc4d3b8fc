"""Which targets are asked for their paces."""

import math
from collections.abc import Callable, Collection, Sequence

#: Seconds between two polls in a large fleet, each of the targets that are due.
POLL_INTERVAL_S = 0.2

#: Seconds after which a pace is read again: of targets that may be slow, and of others.
SLOW_READ_INTERVAL_S = 0.8
READ_INTERVAL_S = 3.2

#: Minimum number of targets that a poll may read besides those that may be slow.
MIN_READ_IN_TURN = 8


def choose_polled_targets(
    targets: Sequence[str],
    *,
    may_be_slow: Collection[str],
    read_at: Callable[[str], float],
    now: float,
) -> list[str]:
    """Return the targets whose paces are to be read in a poll.

    `may_be_slow` has those known to be slow and those on paths of slow streams.
    `read_at` returns when the pace of a target was last read, in seconds on the
    monotonic clock. The others are read in turn, the oldest pace first, as many in each
    poll as suffice to read each of them once an interval.
    """
    due_before = now + POLL_INTERVAL_S / 2
    urgent, others = [], []
    for target in targets:
        if target in may_be_slow:
            if read_at(target) + SLOW_READ_INTERVAL_S <= due_before:
                urgent.append(target)
        elif read_at(target) + READ_INTERVAL_S <= due_before:
            others.append(target)
    share = math.ceil(len(targets) * POLL_INTERVAL_S / READ_INTERVAL_S)
    others.sort(key=read_at)
    return urgent + others[: max(MIN_READ_IN_TURN, share)]
