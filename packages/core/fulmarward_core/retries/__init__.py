"""Retry budget in proportion to first attempts."""

from fulmarward_core.retries._types import RetryBudget
from fulmarward_core.retries.decisions import (
    MAX_SAVED_RETRIES,
    RETRIES_PER_FIRST_TRY,
    note_first_try,
    spend_retry,
)

__all__ = [
    "RETRIES_PER_FIRST_TRY",
    "MAX_SAVED_RETRIES",
    "RetryBudget",
    "note_first_try",
    "spend_retry",
]
