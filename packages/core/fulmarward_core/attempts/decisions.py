"""Whether a request may be sent once more, and what its caller is told if not.

Two counts decide. Attempts are sends, those that found nobody included: each of them
costs the fleet a connection, so the route's bound holds for them all. Runs are attempts
that a target may have begun: what has run twice may have had its effect twice.
"""

from dataclasses import dataclass

from fulmarward_core.results import ResultCode


@dataclass(frozen=True, kw_only=True)
class RequestTally:
    """What became of a request so far, and its bounds."""

    #: Attempts that were made, and those of them that a target may have begun.
    attempts: int
    runs: int
    #: Attempts that its route allows beside the first, lost and refused ones included,
    #: and runs that it allows in all.
    most_attempts: int
    #: Whether running it again changes nothing.
    is_idempotent: bool
    #: When its answer is due, seconds on the steady clock.
    deadline: float


def may_retry(tally: RequestTally, *, now: float) -> bool:
    """Return whether the request may be sent once more after its last attempt."""
    if now >= tally.deadline or tally.attempts > tally.most_attempts:
        return False
    is_within = tally.is_idempotent and tally.runs < tally.most_attempts
    return tally.runs == 0 or is_within


def may_run_again(tally: RequestTally, *, now: float) -> bool:
    """Return whether one more run would be allowed if the attempt under way is lost."""
    is_within = tally.is_idempotent and tally.runs + 1 < tally.most_attempts
    return is_within and now < tally.deadline


def choose_end(tally: RequestTally, *, now: float) -> ResultCode:
    """Return what the caller of a request without an answer is told, truthfully.

    That nothing ran is said only where no attempt may have: the caller then retries
    even what must not happen twice.
    """
    if tally.runs == 0 and now < tally.deadline:
        return ResultCode.TARGET_REFUSED
    if now >= tally.deadline:
        return ResultCode.DEADLINE_PASSED
    return ResultCode.OUTCOME_UNKNOWN
