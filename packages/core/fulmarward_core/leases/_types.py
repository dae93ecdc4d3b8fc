"""Types of the leases slice."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


@dataclass(frozen=True, kw_only=True)
class Lease:
    """A lease's row in the platform's table."""

    #: Name and boot number of the holder; an empty name says that it was given back.
    holder: str
    boot: int
    #: Rises each time the lease changes hands or is taken anew.
    fencing: int
    #: Unlike for each write, so that a lost reply's write is known again.
    token: str


#: What an absent row means.
ABSENT_LEASE = Lease(holder="", boot=0, fencing=0, token="")


@dataclass(frozen=True, kw_only=True)
class LeaseTerms:
    """How long a lease lasts.

    Guards against two holders at once, by pauses or clocks that drift: a holder counts
    from before it asked and stops early, a successor counts from after it saw the row
    and waits longer. Their times do not meet while two clocks drift apart by less than
    `drift`.
    """

    #: Seconds from the asking.
    term_s: float
    #: Most that one clock gains on another, as a part.
    drift: float = 0.02
    #: Seconds by which a holder stops early besides.
    margin_s: float = 0.2

    @property
    def held_s(self) -> float:
        """Seconds from its asking for which a holder trusts its lease."""
        return self.term_s * (1 - self.drift) - self.margin_s

    @property
    def waited_s(self) -> float:
        """Seconds that a successor waits from when it saw the row."""
        return self.term_s * (1 + self.drift)


class Phase(Enum):
    """Where an instance stands with a lease."""

    #: The row was not read yet, or a write's outcome is not known: read it.
    UNSURE = "unsure"
    #: Someone else holds it, or held it.
    WATCHING = "watching"
    #: This instance holds it; whether still, the time says.
    HOLDING = "holding"


@dataclass(frozen=True, kw_only=True)
class LeaseState:
    """What one instance knows of one lease. A change is a changed copy."""

    #: Name and boot number of this instance.
    own_name: str
    own_boot: int
    #: Where it stands.
    phase: Phase = Phase.UNSURE
    #: The row as last seen, its version, and since when it has been so.
    lease: Lease = ABSENT_LEASE
    version: int = 0
    seen_since: float = float("-inf")
    #: Until when this instance holds the lease; seconds on its steady clock.
    held_until: float = float("-inf")
    #: The fencing number that it holds until then.
    fencing: int = 0
    #: Whether it held the lease when the row was last known.
    is_last_holder: bool = False
    #: When each write of this instance was begun, by its token: those whose outcome
    #: may still show in the row.
    asked_at: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class LeaseRead:
    """The row was read, or a refused write showed it."""

    #: The row's lease and version.
    lease: Lease
    version: int


@dataclass(frozen=True, kw_only=True)
class LeaseWritten:
    """A write took effect."""

    #: The lease written and the row's new version.
    lease: Lease
    version: int


@dataclass(frozen=True, kw_only=True)
class ReplyLost:
    """A write may have taken effect, or may still."""


@dataclass(frozen=True, kw_only=True)
class StoreOut:
    """The platform did not take the call."""


LeaseEvent = LeaseRead | LeaseWritten | ReplyLost | StoreOut
