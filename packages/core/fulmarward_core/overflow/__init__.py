"""Which share of the requests of a data centre use other data centres at once."""

from fulmarward_core.overflow.decisions import (
    DECISION_INTERVAL_S,
    END_S,
    END_SHARE,
    MAX_OVERFLOW_SHARE,
    OVERFLOW_TERMS,
    REPORT_DURATION_S,
    START_S,
    START_SHARE,
    CentreReport,
    Overflow,
    OverflowPlan,
)

__all__ = [
    "DECISION_INTERVAL_S",
    "END_S",
    "END_SHARE",
    "MAX_OVERFLOW_SHARE",
    "OVERFLOW_TERMS",
    "REPORT_DURATION_S",
    "START_S",
    "START_SHARE",
    "CentreReport",
    "Overflow",
    "OverflowPlan",
]
