"""Whether a request may be retried, and which result its caller gets if not."""

from fulmarward_core.attempts.decisions import (
    RequestTally,
    choose_result_code,
    may_retry,
    may_run_again,
    must_reuse_targets,
)

__all__ = [
    "RequestTally",
    "choose_result_code",
    "must_reuse_targets",
    "may_retry",
    "may_run_again",
]
