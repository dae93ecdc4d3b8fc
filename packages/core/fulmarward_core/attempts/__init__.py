"""Whether a request may be retried, and which result its caller gets if not."""

from fulmarward_core.attempts.decisions import (
    RequestTally,
    choose_result_code,
    may_only_rerun,
    may_retry,
    may_run_again,
)

__all__ = [
    "RequestTally",
    "choose_result_code",
    "may_only_rerun",
    "may_retry",
    "may_run_again",
]
