"""Decisions about calls to the platform: their rate, and leaving it in peace."""

import random
from collections.abc import Callable

from fulmarward_core.platform._types import (
    Bucket,
    CallKind,
    Circuit,
    Gate,
    Refused,
    Wait,
)

#: Calls a second of all instances together. Load: 330 instances; harm: the platform
#: is slowed for its other users; reason: it takes two thousand reads and several
#: hundred writes a second, and a part of that is left to others.
ALL_PER_S = {CallKind.READ: 1_500.0, CallKind.WRITE: 300.0}

#: Calls a second that one instance gets in any case. Load: one instance that holds the
#: leases of four pools and renews each three times in ten seconds; harm: a lease lost
#: for want of tokens; reason: few instances write at all.
LEAST_PER_S = {CallKind.READ: 2.0, CallKind.WRITE: 1.5}

#: Calls that may be begun at once. Load: 330 instances that start together; harm: as
#: for ALL_PER_S; reason: a start makes four reads.
LEAST_BURST = 5.0

#: Longest that a call waits for its turn, in seconds. Harm: callers of the platform
#: pile up; reason: one that waits longer is told so and comes back later.
MOST_WAIT_S = 2.0

#: Failures in a row that open the circuit. Harm: calls that each wait for their
#: time-out; reason: one or two are often chance.
FAILURES_TO_OPEN = 3

#: Seconds before the first probe of an open circuit, doubled with each failed probe,
#: and the most. Load: 330 instances that wait for the end of an outage; harm: a
#: stampede at its end; reason: drawn from half to all of five seconds they make 90
#: probes a second.
FIRST_PAUSE_S = 0.5
MOST_PAUSE_S = 5.0


def admit_call(
    gate: Gate, kind: CallKind, *, instances: int, is_for_operator: bool, now: float
) -> Wait | Refused:
    """Return whether and when a call may begin. `instances` are alive now.

    An operator's call passes an open circuit: people wait for it, it is rare, and the
    true answer of the platform is worth more than a guess.
    """
    if not is_for_operator:
        refusal = _ADMIT[gate.circuit](gate, now)
        if refusal is not None:
            return refusal
    return _take_token(gate, kind, instances=instances, now=now)


def _admit_closed(gate: Gate, now: float) -> Refused | None:
    return None


def _admit_open(gate: Gate, now: float) -> Refused | None:
    """Let one call through as a probe when its time has come."""
    if now < gate.probe_from:
        return Refused(reason="circuit_open")
    gate.circuit = Circuit.PROBING
    gate.probe_from = now + MOST_PAUSE_S
    return None


def _admit_probing(gate: Gate, now: float) -> Refused | None:
    """Keep all others back; a probe that never told its outcome ends by time."""
    if now < gate.probe_from:
        return Refused(reason="circuit_probing")
    return _admit_open(gate, now)


_ADMIT: dict[Circuit, Callable[[Gate, float], Refused | None]] = {
    Circuit.CLOSED: _admit_closed,
    Circuit.OPEN: _admit_open,
    Circuit.PROBING: _admit_probing,
}


def _take_token(
    gate: Gate, kind: CallKind, *, instances: int, now: float
) -> Wait | Refused:
    rate = max(ALL_PER_S[kind] / max(instances, 1), LEAST_PER_S[kind])
    burst = max(LEAST_BURST, rate)
    bucket = gate.buckets.setdefault(kind, Bucket(tokens=burst, filled_at=now))
    gained = max(now - bucket.filled_at, 0.0) * rate
    bucket.tokens = min(bucket.tokens + gained, burst)
    bucket.filled_at = max(now, bucket.filled_at)
    seconds = max(1.0 - bucket.tokens, 0.0) / rate
    if seconds > MOST_WAIT_S:
        return Refused(reason="over_budget")
    bucket.tokens -= 1.0
    return Wait(seconds=seconds)


def note_success(gate: Gate) -> None:
    """Close the circuit. After an outage the buckets begin empty.

    Guards against the stampede at the end of an outage: all that waited for it begin
    at the rate they have, and none with a burst.
    """
    if gate.circuit is not Circuit.CLOSED:
        for bucket in gate.buckets.values():
            bucket.tokens = min(bucket.tokens, 0.0)
    gate.circuit = Circuit.CLOSED
    gate.failures = 0


def note_failure(gate: Gate, *, now: float, generator: random.Random) -> None:
    """Count a failure; open the circuit for a time drawn at random."""
    gate.failures += 1
    if gate.circuit is Circuit.CLOSED and gate.failures < FAILURES_TO_OPEN:
        return
    doublings = max(gate.failures - FAILURES_TO_OPEN, 0)
    longest = min(FIRST_PAUSE_S * 2 ** min(doublings, 10), MOST_PAUSE_S)
    gate.circuit = Circuit.OPEN
    gate.probe_from = now + longest * generator.uniform(0.5, 1.0)
