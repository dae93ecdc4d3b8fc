"""Types of the membership slice."""

from dataclasses import dataclass, field
from enum import Enum, IntEnum

#: Buckets by which two tables are compared. Load: 330 members; harm: a whole table is
#: 26 KB; reason: one member that differs costs 16 digests and a sixteenth of that.
BUCKETS = 16


class MemberState(IntEnum):
    """What is believed of an instance.

    Of two rumours of one version the higher state wins.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, kw_only=True)
class Incarnation:
    """One run of an instance. A restarted instance is another incarnation."""

    #: The instance's name.
    name: str
    #: Number of the run; a later run of the same name has a higher one.
    boot: int


@dataclass(frozen=True, kw_only=True)
class Member:
    """What is said of one instance; rumours of it carry just this."""

    #: The instance's name.
    name: str
    #: Number of its run.
    boot: int
    #: Raised by the instance itself to refute a rumour about it.
    version: int
    #: What is believed.
    state: MemberState
    #: Its data centre.
    data_centre: str
    #: Where peers reach it, `IP:PORT`.
    peer_address: str
    #: Where callers reach it, `IP:PORT`.
    caller_address: str


@dataclass(frozen=True, kw_only=True)
class Listed:
    """An instance on the platform's list."""

    #: Its name.
    name: str
    #: Where peers reach it, `IP:PORT`.
    peer_address: str
    #: Whether the platform is taking it away.
    is_leaving: bool


class Miss(Enum):
    """What to do after a heartbeat without an answer."""

    #: Try again: one lost heartbeat says little.
    TRY_AGAIN = "try_again"
    #: Have others try before anything is said.
    ASK_OTHERS = "ask_others"


@dataclass(kw_only=True)
class MemberTable:
    """All members known to one instance, itself included."""

    #: The instance's own name.
    own_name: str
    #: Members by name.
    members: dict[str, Member] = field(default_factory=dict)
    #: When each came to be suspected, seconds on the steady clock.
    suspected_at: dict[str, float] = field(default_factory=dict)
    #: When each was found dead, seconds on the steady clock.
    dead_at: dict[str, float] = field(default_factory=dict)
    #: How often each recent change is still to be told, by name.
    untold: dict[str, int] = field(default_factory=dict)
    #: Digests of the members by bucket; dead ones do not count.
    digests: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    #: Raised by every change.
    revision: int = 0
    #: What the platform's list named last, by name.
    listed: dict[str, Listed] = field(default_factory=dict)
    #: Since when each member is missing on the platform's list.
    unlisted_at: dict[str, float] = field(default_factory=dict)
