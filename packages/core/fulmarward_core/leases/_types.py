"""Types of the leases package."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


@dataclass(frozen=True, kw_only=True)
class Lease:
    """A lease's row in the platform's table."""

    #: Name and boot number of the holder. An empty name means that it was released.
    holder: str
    boot: int
    #: Fencing number; increases whenever the lease is acquired.
    fencing: int
    #: Unique per write, so that a write whose reply was lost can be recognized.
    token: str


#: The lease that an absent row stands for.
ABSENT_LEASE = Lease(holder="", boot=0, fencing=0, token="")

#: The lease that an odd row stands for. Its writer is not known, and the term of the
#: holder whose row it replaced may not have ended.
UNKNOWN_LEASE = Lease(holder="unknown", boot=0, fencing=0, token="")


@dataclass(frozen=True, kw_only=True)
class LeaseTerms:
    """How long a lease lasts.

    Guards against two concurrent holders because of pauses or clock drift: a holder
    counts from before it sent the request and stops early; a successor counts from
    after it read the row and waits longer. The two periods do not overlap as long as
    the clocks drift apart by less than `drift`.
    """

    #: Duration in seconds, from the request on.
    term_s: float
    #: Maximum drift of one clock against another, as a fraction.
    drift: float = 0.02
    #: Seconds by which a holder stops early in addition.
    margin_s: float = 0.2

    @property
    def held_s(self) -> float:
        """Seconds from its request for which a holder may rely on its lease."""
        return self.term_s * (1 - self.drift) - self.margin_s

    @property
    def takeover_wait_s(self) -> float:
        """Seconds that a successor waits after it first read the row."""
        return self.term_s * (1 + self.drift)


class Phase(Enum):
    """State of an instance with respect to a lease."""

    #: The row has not been read yet, or the outcome of a write is unknown.
    UNSURE = "unsure"
    #: Another instance holds or held the lease.
    WATCHING = "watching"
    #: This instance holds the lease, unless its term has ended (`may_order`).
    HOLDING = "holding"


@dataclass(frozen=True, kw_only=True)
class LeaseState:
    """What one instance knows about one lease. Immutable; changes create a copy."""

    #: Name and boot number of this instance.
    own_name: str
    own_boot: int
    phase: Phase = Phase.UNSURE
    #: The row as last read, its version as `fulmarward_core.store_versions`, and since
    #: when it has been unchanged.
    lease: Lease = ABSENT_LEASE
    version: int = 0
    unchanged_since: float = float("-inf")
    #: Highest fencing number seen in the row, and the end of any lease that the store
    #: lost as it came back from a copy.
    highest_fencing: int = 0
    lost_until: float = float("-inf")
    #: End of this instance's lease, in seconds on its monotonic clock.
    held_until: float = float("-inf")
    #: The fencing number of that lease.
    fencing: int = 0
    #: Whether this instance held the lease when the row was last known.
    is_last_holder: bool = False
    #: Start times of this instance's writes, by token: those whose outcome may still
    #: appear in the row.
    write_started_at: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class LeaseRead:
    """The row was read, or a rejected write returned it."""

    #: The lease and version of the row; the version names the era if it is absent.
    lease: Lease
    version: int


@dataclass(frozen=True, kw_only=True)
class LeaseWritten:
    """A write was committed."""

    #: The lease that was written and the new version of the row.
    lease: Lease
    version: int


@dataclass(frozen=True, kw_only=True)
class ReplyLost:
    """The outcome of a write is unknown: it may have been, or may yet be, committed."""


@dataclass(frozen=True, kw_only=True)
class StoreUnavailable:
    """The platform did not accept the request."""


LeaseEvent = LeaseRead | LeaseWritten | ReplyLost | StoreUnavailable
