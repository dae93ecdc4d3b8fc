"""What each instance may use of what all of them share."""

from fulmarward_core.quotas._retries import (
    UNSTARTED_SHARE,
    RetryBudget,
    RetryCount,
    RetryTurn,
)
from fulmarward_core.quotas._shares import RESERVE_SHARE, compute_share

__all__ = [
    "RESERVE_SHARE",
    "UNSTARTED_SHARE",
    "RetryBudget",
    "RetryCount",
    "RetryTurn",
    "compute_share",
]
