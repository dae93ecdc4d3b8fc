"""Types of the rate limit and circuit breaker for platform calls."""

from dataclasses import dataclass, field
from enum import Enum


class CallKind(Enum):
    """Kind of a platform call; each kind has its own rate limit."""

    READ = "read"
    WRITE = "write"


class CircuitState(Enum):
    """State of the circuit breaker."""

    #: All calls are admitted.
    CLOSED = "closed"
    #: No call is admitted until a randomly chosen time.
    OPEN = "open"
    #: A probe call is in progress; its result closes or reopens the circuit.
    PROBING = "probing"


@dataclass(kw_only=True)
class Bucket:
    """A token bucket; a call takes one token."""

    #: Available tokens; negative while admitted calls wait for their start.
    tokens: float
    #: When it was last refilled, in seconds on the monotonic clock.
    refilled_at: float = float("-inf")


@dataclass(kw_only=True)
class CallLimiter:
    """State of the circuit breaker and the rate limits of an instance."""

    circuit: CircuitState = CircuitState.CLOSED
    #: Number of consecutive failures.
    failures: int = 0
    #: When the next probe may start.
    next_probe_at: float = float("-inf")
    #: Token buckets, created at the first call of a kind.
    buckets: dict[CallKind, Bucket] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Admitted:
    """The call is admitted and starts after a delay."""

    #: Delay; 0 to start immediately.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Rejected:
    """The call is rejected; nothing of it was sent."""

    #: Reason code for logs.
    reason: str
