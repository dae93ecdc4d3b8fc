"""How many retries there may be in proportion to first tries."""

from fulmarward_core.retries._types import RetryBudget
from fulmarward_core.retries.decisions import (
    EARNED_BY_FIRST,
    MOST_SAVED,
    note_first_try,
    spend_retry,
)

__all__ = [
    "EARNED_BY_FIRST",
    "MOST_SAVED",
    "RetryBudget",
    "note_first_try",
    "spend_retry",
]
