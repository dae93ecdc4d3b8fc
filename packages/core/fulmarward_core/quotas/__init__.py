"""Shares of single instances in limits that hold for the whole fleet."""

from fulmarward_core.quotas._loans import (
    LENT_DURATION_S,
    LOAN_DURATION_S,
    MAX_LOAN,
    BorrowedRetries,
    LoanKey,
)
from fulmarward_core.quotas._retries import (
    UNSTARTED_SHARE,
    RetryBudget,
    RetryDecision,
    RetryUsage,
)
from fulmarward_core.quotas._shares import RESERVE_SHARE, compute_share

__all__ = [
    "LENT_DURATION_S",
    "LOAN_DURATION_S",
    "MAX_LOAN",
    "BorrowedRetries",
    "LoanKey",
    "RESERVE_SHARE",
    "UNSTARTED_SHARE",
    "RetryBudget",
    "RetryUsage",
    "RetryDecision",
    "compute_share",
]
