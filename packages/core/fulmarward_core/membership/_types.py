"""Types of the membership slice."""

from dataclasses import dataclass, field
from enum import IntEnum


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


@dataclass(kw_only=True)
class MemberTable:
    """All members known to one instance, itself included."""

    #: The instance's own name.
    own_name: str
    #: Members by name.
    members: dict[str, Member] = field(default_factory=dict)
    #: When each was last heard from directly, seconds on the steady clock.
    heard_at: dict[str, float] = field(default_factory=dict)
    #: When each came to be suspected, seconds on the steady clock.
    suspected_at: dict[str, float] = field(default_factory=dict)
