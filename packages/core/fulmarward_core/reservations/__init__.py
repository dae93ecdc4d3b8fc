"""Admission by urgency: order of the waiting requests, and reserved capacity."""

from fulmarward_core.reservations.decisions import (
    LAG_S,
    MAX_CREDIT,
    MIN_CLASS_SHARE,
    MIN_KV_SHARE,
    ClassQueue,
    ClassSettings,
    Level,
    MinimumShare,
    compute_kv_share,
)

__all__ = [
    "LAG_S",
    "MAX_CREDIT",
    "MIN_CLASS_SHARE",
    "MIN_KV_SHARE",
    "ClassQueue",
    "ClassSettings",
    "Level",
    "MinimumShare",
    "compute_kv_share",
]
