"""Whether a request may be sent once more, and what its caller is told if not."""

from fulmarward_core.attempts.decisions import (
    RequestTally,
    choose_end,
    may_retry,
    may_run_again,
)

__all__ = ["RequestTally", "choose_end", "may_retry", "may_run_again"]
