"""The time at which an answer of the store is known to have been current."""


def find_confirmed_at(
    *, asked_at: float, wait_s: float, has_changes: bool, now: float
) -> float:
    """Return the latest time at which the answer is known to have been current.

    All times are seconds on the monotonic clock. The store answers a call that waits
    for changes at some time between `asked_at` and `now`: without changes at the end of
    the wait, with changes possibly as early as `asked_at`.

    Guards against an answer that is delayed by a saturated link: if it counted as
    current, an instance would deny what a newer configuration allows.
    """
    answered_at = asked_at if has_changes else asked_at + wait_s
    return min(now, answered_at)
