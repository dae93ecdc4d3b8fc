"""The requests a second that targets accept from all instances together."""

from fulmarward_core.target_limits._table import (
    MAX_LIMIT_PER_S,
    KnownLimit,
    LimitTable,
)

__all__ = ["MAX_LIMIT_PER_S", "KnownLimit", "LimitTable"]
