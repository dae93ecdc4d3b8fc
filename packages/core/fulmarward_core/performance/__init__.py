"""Concurrency limits of targets, and outlier ejection ("set aside")."""

from fulmarward_core.performance._types import FIRST_PREFILL_S, Performance
from fulmarward_core.performance.decisions import (
    get_limit,
    note_failure,
    note_first_token,
    note_refusal,
    note_speed,
    note_success,
    review_pool,
)

__all__ = [
    "FIRST_PREFILL_S",
    "Performance",
    "get_limit",
    "note_failure",
    "note_first_token",
    "note_refusal",
    "note_speed",
    "note_success",
    "review_pool",
]
