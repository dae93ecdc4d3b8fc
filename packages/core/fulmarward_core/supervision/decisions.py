"""When a background task that failed is started again, and when that is logged."""

from dataclasses import dataclass, replace

#: Seconds without a failure after which the next one counts as the first again.
RESET_S = 30.0

#: Seconds between two log lines about failures of a task with the same cause.
LOG_INTERVAL_S = 30.0


@dataclass(frozen=True, kw_only=True)
class RestartTerms:
    """How soon a task is started again.

    The pause is doubled after each failure in a row, up to the maximum.
    """

    #: Seconds before the first restart, and the maximum.
    first_pause_s: float
    max_pause_s: float


@dataclass(frozen=True, kw_only=True)
class DutyFailures:
    """The failures of one task since the process started."""

    #: Number of all failures, and of those without `RESET_S` between them.
    total: int = 0
    in_a_row: int = 0
    #: Type of the last error.
    cause: str = ""
    #: When the task failed last, and when and with which cause that was logged; in
    #: seconds on the monotonic clock.
    failed_at: float = float("-inf")
    logged_at: float = float("-inf")
    logged_cause: str = ""


def record_failure(failures: DutyFailures, *, cause: str, now: float) -> DutyFailures:
    """Return the failures with one more."""
    is_first = now - failures.failed_at >= RESET_S
    return replace(
        failures,
        total=failures.total + 1,
        in_a_row=1 if is_first else failures.in_a_row + 1,
        cause=cause,
        failed_at=now,
    )


def compute_pause_s(failures: DutyFailures, terms: RestartTerms) -> float:
    """Return the seconds until the task is started again."""
    pause_s = terms.first_pause_s
    for _ in range(1, failures.in_a_row):
        if pause_s >= terms.max_pause_s:
            break
        pause_s *= 2
    return min(pause_s, terms.max_pause_s)


def must_log(failures: DutyFailures, *, now: float) -> bool:
    """Return whether the last failure gets a log line.

    Guards against a task that fails many times a second and fills the log.
    """
    is_new = failures.cause != failures.logged_cause
    return is_new or now - failures.logged_at >= LOG_INTERVAL_S


def record_logged(failures: DutyFailures, *, now: float) -> DutyFailures:
    """Return the failures with the last one logged."""
    return replace(failures, logged_at=now, logged_cause=failures.cause)
