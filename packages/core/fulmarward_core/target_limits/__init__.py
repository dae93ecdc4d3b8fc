"""The requests a second that targets accept from all instances together."""

from fulmarward_core.target_limits._permits import PermitBucket, PermitGrant
from fulmarward_core.target_limits._table import (
    MAX_LIMIT_PER_S,
    KnownLimit,
    LimitTable,
)
from fulmarward_core.target_limits._usage import PERMIT_DURATION_S, PermitUsage
from fulmarward_core.target_limits.decisions import choose_owner

__all__ = [
    "MAX_LIMIT_PER_S",
    "PERMIT_DURATION_S",
    "KnownLimit",
    "LimitTable",
    "PermitGrant",
    "PermitBucket",
    "PermitUsage",
    "choose_owner",
]
