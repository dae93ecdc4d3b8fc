"""How long a request waits for capacity, and when a rejected caller should return.

KV cache is in tokens times layers, as in `fulmarward_core.loads`.
"""

import math

from fulmarward_core.queueing import choose_retry_after_s

#: A request is rejected if the estimate exceeds the rest of its wait by this factor. As
#: the estimate is a mean, some requests wait for less.
REJECT_MARGIN = 1.5

#: Share of the release for which capacity is promised; the rest is for new requests.
#: With all of it promised, new requests were rejected until long after a burst, and
#: half as many were on time as without promises (tests/test_load.py).
PROMISED_SHARE = 0.4

#: Bounds on the retry delay of a rejected caller, in seconds.
MIN_RETURN_S = 0.5
MAX_RETURN_S = 6.0

#: Largest part of the estimate that is added to it or subtracted from it, so that
#: callers that were rejected together do not return together.
RETURN_JITTER = 0.2

#: Bounds on the estimate before the jitter. They keep the delay within its bounds
#: without giving many callers the same delay.
_MIN_UNSPREAD_S = MIN_RETURN_S / (1 - RETURN_JITTER)
_MAX_UNSPREAD_S = MAX_RETURN_S / (1 + RETURN_JITTER)


def estimate_wait_s(
    *,
    kv: float,
    kv_ahead: float,
    free_kv: float,
    released_kv_per_s: float | None,
    arriving_above_kv_per_s: float,
) -> float | None:
    """Return the seconds until a request that needs `kv` has capacity.

    `kv_ahead` is what requests ahead of it wait for, and `free_kv` the free capacity of
    its level, negative if that is exceeded. Higher classes take part of the release.

    Returns infinity if they take all of it, and `None` without a measured release.
    """
    if not released_kv_per_s:
        return None
    missing_kv = kv_ahead + kv - free_kv
    if missing_kv <= 0:
        return 0.0
    rate = released_kv_per_s - arriving_above_kv_per_s
    return missing_kv / rate if rate > 0 else math.inf


def must_reject(estimate_s: float | None, *, left_s: float) -> bool:
    """Return whether a request with `left_s` of its wait left can't be served in time.

    Without an estimate it waits.
    """
    return estimate_s is not None and estimate_s > REJECT_MARGIN * left_s


def estimate_return_s(
    *,
    kv: float,
    kv_ahead: float,
    promised_kv: float,
    free_kv: float,
    released_kv_per_s: float | None,
    arriving_above_kv_per_s: float,
) -> float | None:
    """Return the seconds until a rejected caller can have capacity on its return.

    `promised_kv` is what is promised to earlier callers; the rest is as for
    `estimate_wait_s`. Promises are due at the rate of `PROMISED_SHARE` of the release.
    """
    estimate_s = estimate_wait_s(
        kv=kv,
        kv_ahead=kv_ahead + promised_kv,
        free_kv=free_kv,
        released_kv_per_s=released_kv_per_s,
        arriving_above_kv_per_s=arriving_above_kv_per_s,
    )
    return None if estimate_s is None else estimate_s / PROMISED_SHARE


def choose_return_s(estimate_s: float | None, *, draw: float) -> float:
    """Return the retry delay of a rejected caller, in seconds.

    The estimate is that of `estimate_return_s`; `draw` is uniform in [0, 1).
    """
    if estimate_s is None or math.isnan(estimate_s):
        return choose_retry_after_s(draw)
    unspread_s = min(max(estimate_s, _MIN_UNSPREAD_S), _MAX_UNSPREAD_S)
    return unspread_s * (1 + RETURN_JITTER * (2 * draw - 1))


def may_promise(estimate_s: float | None, *, honoured_s: float = math.inf) -> bool:
    """Return whether a rejected caller can be promised capacity at its return.

    Its capacity must be released by then. `honoured_s` is the longest delay that the
    caller honours: after that it returns anyway, before its promise would be due.
    """
    if estimate_s is None:
        return False
    longest_s = max(estimate_s, _MIN_UNSPREAD_S) * (1 + RETURN_JITTER)
    return longest_s <= min(MAX_RETURN_S, honoured_s)
