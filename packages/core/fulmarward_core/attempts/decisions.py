"""Whether a request may be retried, and which result its caller gets if not.

Two counters decide. Attempts count every send, including those that reached no target:
each costs a connection, so the limit of the route applies to all of them. Once the
answer has begun it cannot be rejected any more, and only runs are limited. Runs count
the attempts that a target may have started: a request that ran twice may have had its
effect twice. The limit of the route leaves out those of them that are `uncounted`; what
decides on the result code, and on requests that may run only once, is their total.
"""

from dataclasses import dataclass

from fulmarward_core.results import ResultCode


@dataclass(frozen=True, kw_only=True)
class RequestTally:
    """Attempts of a request so far, and their limits."""

    #: Number of attempts, and of those that a target may have started.
    attempts: int
    runs: int
    #: Attempts that the route allows after the first, including lost and refused ones,
    #: and also the total number of runs that it allows.
    most_attempts: int
    #: Whether running it again has no further effect.
    is_idempotent: bool
    #: When the answer is due, in seconds on the monotonic clock.
    deadline: float
    #: Whether the answer has begun.
    has_begun: bool = False
    #: Number of runs that the limit of the route leaves out: those at targets that have
    #: ended, and further ones at the same target.
    uncounted_runs: int = 0
    #: Number of targets that may have run it and are not known to have ended. The limit
    #: of the route is one of targets, so that a begun answer may go on at these.
    reusable_targets: int = 0

    @property
    def counted_runs(self) -> int:
        """The number of runs that the limit of the route applies to."""
        return self.runs - self.uncounted_runs


def may_retry(tally: RequestTally, *, now: float) -> bool:
    """Return whether the request may be retried after its last attempt ended."""
    has_attempts_left = tally.has_begun or tally.attempts <= tally.most_attempts
    if now >= tally.deadline or not has_attempts_left:
        return False
    if tally.runs == 0:
        return True
    has_runs_left = tally.counted_runs < tally.most_attempts
    return tally.is_idempotent and (has_runs_left or must_reuse_targets(tally))


def must_reuse_targets(tally: RequestTally) -> bool:
    """Return whether a begun answer may go on only where it has already run."""
    is_used_up = tally.counted_runs >= tally.most_attempts
    return tally.has_begun and is_used_up and tally.reusable_targets > 0


def may_run_again(tally: RequestTally, *, now: float) -> bool:
    """Return whether a retry would be allowed if the current attempt is lost."""
    counted_runs = tally.counted_runs + 1
    has_runs_left = tally.is_idempotent and counted_runs < tally.most_attempts
    return has_runs_left and now < tally.deadline


def choose_result_code(tally: RequestTally, *, now: float) -> ResultCode:
    """Return the result code for a request that got no answer.

    `TARGET_REFUSED` is returned only if no attempt may have run, because the caller
    then retries even requests that are not idempotent.
    """
    if tally.runs == 0 and now < tally.deadline:
        return ResultCode.TARGET_REFUSED
    if now >= tally.deadline:
        return ResultCode.DEADLINE_PASSED
    return ResultCode.OUTCOME_UNKNOWN
