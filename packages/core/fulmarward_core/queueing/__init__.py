"""Order of the waiting requests, and the retry delay of rejected callers."""

from fulmarward_core.queueing.decisions import (
    LATE_KV_SHARE,
    ON_TIME_SHARE,
    EqualTeams,
    TeamOrder,
    WaitClass,
    WaitingRequest,
    WaitQueue,
    choose_retry_after_s,
    classify_request,
    find_kv_share,
)

__all__ = [
    "LATE_KV_SHARE",
    "ON_TIME_SHARE",
    "EqualTeams",
    "TeamOrder",
    "WaitClass",
    "WaitQueue",
    "WaitingRequest",
    "choose_retry_after_s",
    "classify_request",
    "find_kv_share",
]
