"""As of when an answer of the store is known to hold."""


def find_confirmed_at(
    *, asked_at: float, wait_s: float, has_changes: bool, now: float
) -> float:
    """Return since when nothing newer than the answer is known to have existed.

    All times are seconds on the steady clock. A call that waits for changes is answered
    at some moment between being asked and now. Without changes that is the end of the
    wait; with changes it may be as early as `asked_at`.

    Guards against an answer that a saturated link delays: taken for fresh, it lets an
    instance deny what a newer configuration allows.
    """
    answered_at = asked_at if has_changes else asked_at + wait_s
    return min(now, answered_at)
