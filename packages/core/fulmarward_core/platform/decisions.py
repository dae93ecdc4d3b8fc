"""Rate limit and circuit breaker for calls to the platform."""

import random
from collections.abc import Callable

from fulmarward_core.platform._types import (
    Admitted,
    Bucket,
    CallKind,
    CallLimiter,
    CircuitState,
    Rejected,
)

#: Maximum calls a second of all instances (330) together. The platform can serve two
#: thousand reads and several hundred writes a second, and the rest is left to its
#: other users.
FLEET_CALLS_PER_S = {CallKind.READ: 1_500.0, CallKind.WRITE: 300.0}

#: Minimum rate of an instance in calls a second. An instance that holds the leases of
#: four pools and renews each three times in ten seconds must not lose a lease for lack
#: of tokens. This is safe for the platform as few instances write at all.
MIN_CALLS_PER_S = {CallKind.READ: 2.0, CallKind.WRITE: 1.5}

#: Minimum size of a burst: an instance makes four reads at its start. A larger burst of
#: 330 instances that start together would slow the platform for its other users.
MIN_BURST = 5.0

#: Maximum delay of an admitted call in seconds. A call that would wait longer is
#: rejected and retried later, so that waiting calls do not pile up.
MAX_DELAY_S = 2.0

#: Consecutive failures that open the circuit, so that calls do not all wait for their
#: timeout. One or two failures are often coincidence.
FAILURES_TO_OPEN = 3

#: Initial and maximum time in seconds before a probe of an open circuit; it doubles
#: with each failed probe. The jitter, from half to all of it, prevents a thundering
#: herd at the end of an outage: at five seconds, 330 instances make 90 probes a second.
INITIAL_OPEN_S = 0.5
MAX_OPEN_S = 5.0


def admit_call(
    limiter: CallLimiter,
    kind: CallKind,
    *,
    instances: int,
    bypasses_circuit: bool,
    now: float,
) -> Admitted | Rejected:
    """Return whether and when a call may start, with `instances` alive in the fleet.

    Calls for operators bypass the circuit breaker: they are rare, people wait for them,
    and the platform's actual response is more useful than a rejection.
    """
    if not bypasses_circuit:
        rejection = _ADMIT[limiter.circuit](limiter, now)
        if rejection is not None:
            return rejection
    return _take_token(limiter, kind, instances=instances, now=now)


def _admit_closed(limiter: CallLimiter, now: float) -> Rejected | None:
    return None


def _admit_open(limiter: CallLimiter, now: float) -> Rejected | None:
    """Admit a single call as the probe once the open time has passed."""
    if now < limiter.next_probe_at:
        return Rejected(reason="circuit_open")
    limiter.circuit = CircuitState.PROBING
    limiter.next_probe_at = now + MAX_OPEN_S
    return None


def _admit_probing(limiter: CallLimiter, now: float) -> Rejected | None:
    """Reject calls during a probe; a probe without a reported result times out."""
    if now < limiter.next_probe_at:
        return Rejected(reason="circuit_probing")
    return _admit_open(limiter, now)


_ADMIT: dict[CircuitState, Callable[[CallLimiter, float], Rejected | None]] = {
    CircuitState.CLOSED: _admit_closed,
    CircuitState.OPEN: _admit_open,
    CircuitState.PROBING: _admit_probing,
}


def _take_token(
    limiter: CallLimiter, kind: CallKind, *, instances: int, now: float
) -> Admitted | Rejected:
    rate = max(FLEET_CALLS_PER_S[kind] / max(instances, 1), MIN_CALLS_PER_S[kind])
    burst = max(MIN_BURST, rate)
    bucket = limiter.buckets.setdefault(kind, Bucket(tokens=burst, refilled_at=now))
    refill = max(now - bucket.refilled_at, 0.0) * rate
    bucket.tokens = min(bucket.tokens + refill, burst)
    bucket.refilled_at = max(now, bucket.refilled_at)
    seconds = max(1.0 - bucket.tokens, 0.0) / rate
    if seconds > MAX_DELAY_S:
        return Rejected(reason="over_budget")
    bucket.tokens -= 1.0
    return Admitted(seconds=seconds)


def record_success(limiter: CallLimiter) -> None:
    """Close the circuit; after an outage, also empty the buckets.

    Prevents a thundering herd at the end of an outage: instances resume at their
    sustained rate, without a burst.
    """
    if limiter.circuit is not CircuitState.CLOSED:
        for bucket in limiter.buckets.values():
            bucket.tokens = min(bucket.tokens, 0.0)
    limiter.circuit = CircuitState.CLOSED
    limiter.failures = 0


def record_failure(
    limiter: CallLimiter, *, now: float, generator: random.Random
) -> None:
    """Count a failure, and open the circuit for a random time if there are too many."""
    limiter.failures += 1
    if limiter.circuit is CircuitState.CLOSED and limiter.failures < FAILURES_TO_OPEN:
        return
    doublings = max(limiter.failures - FAILURES_TO_OPEN, 0)
    open_s = min(INITIAL_OPEN_S * 2 ** min(doublings, 10), MAX_OPEN_S)
    limiter.circuit = CircuitState.OPEN
    limiter.next_probe_at = now + open_s * generator.uniform(0.5, 1.0)
