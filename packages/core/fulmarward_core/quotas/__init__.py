"""Shares of single instances in limits that hold for the whole fleet."""

from fulmarward_core.quotas._retries import (
    UNSTARTED_SHARE,
    RetryBudget,
    RetryDecision,
    RetryUsage,
)
from fulmarward_core.quotas._shares import RESERVE_SHARE, compute_share

__all__ = [
    "RESERVE_SHARE",
    "UNSTARTED_SHARE",
    "RetryBudget",
    "RetryUsage",
    "RetryDecision",
    "compute_share",
]
