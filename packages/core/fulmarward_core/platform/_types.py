"""Types of the platform slice."""

from dataclasses import dataclass, field
from enum import Enum


class CallKind(Enum):
    """What a call costs the platform."""

    READ = "read"
    WRITE = "write"


class Circuit(Enum):
    """Whether calls are let through."""

    #: All calls pass.
    CLOSED = "closed"
    #: None pass until a time that was drawn at random.
    OPEN = "open"
    #: One probe is under way; its outcome decides.
    PROBING = "probing"


@dataclass(kw_only=True)
class Bucket:
    """Calls that may be begun at once; fills at a rate."""

    #: Calls left; negative when some are waiting for their turn.
    tokens: float
    #: When it was last filled, seconds on the steady clock.
    filled_at: float = float("-inf")


@dataclass(kw_only=True)
class Gate:
    """What one instance's calls to the platform pass through."""

    #: Where the circuit stands.
    circuit: Circuit = Circuit.CLOSED
    #: Failures in a row.
    failures: int = 0
    #: From when a probe may pass an open circuit.
    probe_from: float = float("-inf")
    #: A bucket for each kind of call; made at the first.
    buckets: dict[CallKind, Bucket] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Wait:
    """The call may begin after some seconds, 0 for at once."""

    #: The seconds.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The call may not begin; nothing of it was sent."""

    #: Why, a fixed word for logs.
    reason: str
