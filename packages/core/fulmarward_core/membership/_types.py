"""Types of the membership package."""

from dataclasses import dataclass, field
from enum import Enum, IntEnum

#: Number of buckets by which two member tables are compared. A whole table of 330
#: members takes 26 KB; with buckets, one differing member costs 16 digests and one
#: sixteenth of the table.
BUCKETS = 16


class MemberState(IntEnum):
    """State of an instance. Of two rumours of one version the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, kw_only=True)
class Incarnation:
    """One run of an instance. A restart creates a new incarnation."""

    name: str
    #: Number of the run. Later runs under the same name have higher numbers.
    boot: int


@dataclass(frozen=True, kw_only=True)
class Member:
    """An instance as described by a gossip rumour."""

    name: str
    #: Number of its run.
    boot: int
    #: Incremented by the instance itself to refute a rumour about it.
    version: int
    state: MemberState
    data_centre: str
    #: Address for peers, `IP:PORT`.
    peer_address: str
    #: Address for callers, `IP:PORT`.
    caller_address: str


@dataclass(frozen=True, kw_only=True)
class ListedInstance:
    """An instance on the platform's list."""

    name: str
    #: Address for peers, `IP:PORT`.
    peer_address: str
    #: Whether the platform is removing the instance.
    is_leaving: bool


class MissAction(Enum):
    """What to do after a heartbeat without an answer."""

    #: Repeat the heartbeat: a single missed one proves little.
    TRY_AGAIN = "try_again"
    #: Have other members probe the instance before it is suspected.
    ASK_OTHERS = "ask_others"


@dataclass(kw_only=True)
class MemberTable:
    """All members known to one instance, including itself."""

    #: Name of the instance that owns the table.
    own_name: str
    #: Members by name.
    members: dict[str, Member] = field(default_factory=dict)
    #: Start of each suspicion, in seconds on the monotonic clock.
    suspected_at: dict[str, float] = field(default_factory=dict)
    #: When each dead member was declared dead, in seconds on the monotonic clock.
    dead_at: dict[str, float] = field(default_factory=dict)
    #: Remaining transmissions of each recent change, by member name.
    pending_transmissions: dict[str, int] = field(default_factory=dict)
    #: Digest of each bucket, without dead members.
    digests: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    #: Incremented with every change of `members`.
    revision: int = 0
    #: The entries of the last platform list, by name.
    listed: dict[str, ListedInstance] = field(default_factory=dict)
    #: Since when each member has been absent from the platform's list.
    unlisted_at: dict[str, float] = field(default_factory=dict)
