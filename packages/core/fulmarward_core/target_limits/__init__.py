"""What targets demand of those who send to them: limits of the rate, and pauses."""

from fulmarward_core.target_limits._backoffs import MAX_BACKOFF_S, BackoffTable
from fulmarward_core.target_limits._permits import PermitBucket, PermitGrant
from fulmarward_core.target_limits._table import (
    MAX_LIMIT_PER_S,
    KnownLimit,
    LimitTable,
)
from fulmarward_core.target_limits._usage import PERMIT_DURATION_S, PermitUsage

__all__ = [
    "MAX_BACKOFF_S",
    "MAX_LIMIT_PER_S",
    "PERMIT_DURATION_S",
    "BackoffTable",
    "KnownLimit",
    "LimitTable",
    "PermitGrant",
    "PermitBucket",
    "PermitUsage",
]
