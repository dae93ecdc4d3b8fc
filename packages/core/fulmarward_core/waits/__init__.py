"""Estimates of how long requests wait, and promised returns of rejected callers."""

from fulmarward_core.waits._promises import (
    FINGERPRINT_BYTES,
    MAX_OPEN_PROMISES,
    PROMISE_EARLY_S,
    PROMISE_GRACE_S,
    Promise,
    PromiseCounts,
    PromisedReturn,
    PromiseKey,
    PromiseLedger,
    ReturnStatus,
    shorten_fingerprint,
)
from fulmarward_core.waits._release_meter import RELEASE_WINDOW_S, ReleaseMeter
from fulmarward_core.waits.decisions import (
    MAX_RETURN_S,
    MIN_RETURN_S,
    REJECT_MARGIN,
    RETURN_JITTER,
    choose_return_s,
    estimate_wait_s,
    may_promise,
    must_reject,
)

__all__ = [
    "FINGERPRINT_BYTES",
    "MAX_OPEN_PROMISES",
    "MAX_RETURN_S",
    "MIN_RETURN_S",
    "PROMISE_EARLY_S",
    "PROMISE_GRACE_S",
    "REJECT_MARGIN",
    "RELEASE_WINDOW_S",
    "RETURN_JITTER",
    "Promise",
    "PromiseCounts",
    "PromiseKey",
    "PromiseLedger",
    "PromisedReturn",
    "ReleaseMeter",
    "ReturnStatus",
    "choose_return_s",
    "estimate_wait_s",
    "may_promise",
    "must_reject",
    "shorten_fingerprint",
]
