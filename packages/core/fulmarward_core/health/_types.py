"""Types of the health slice."""

from dataclasses import dataclass, field
from enum import IntEnum


class LeavingSource(IntEnum):
    """Who can say that a target is leaving; any one of them is enough."""

    #: The platform's list, which lags.
    PLATFORM_LIST = 0
    #: The target itself, in a load report or in the refusal of a request.
    TARGET = 1
    #: An operator's drain, a row in the platform's table.
    OPERATOR = 2
    #: The holder of its pool's lease, which is about to have it load weights.
    PLACEMENT = 3


@dataclass(frozen=True, kw_only=True)
class LeavingRecord:
    """What is believed of one target by one source; peers tell each other these."""

    #: The target's name.
    target: str
    #: Whose word it is.
    source: LeavingSource
    #: Whether the target is leaving.
    is_leaving: bool
    #: Rises with each change; for `OPERATOR` it is the version of the table's row.
    version: int


@dataclass(frozen=True, kw_only=True)
class Observation:
    """What this instance itself saw of one target from one source."""

    #: Whether the target was leaving.
    is_leaving: bool
    #: Since when it has been seen so without a break, seconds on the steady clock.
    since: float


#: A target and who speaks of it.
LeavingKey = tuple[str, LeavingSource]


@dataclass(kw_only=True)
class LeavingTable:
    """All that one instance knows of targets that leave."""

    #: The newest record of each target and source, from here or from peers.
    records: dict[LeavingKey, LeavingRecord] = field(default_factory=dict)
    #: What this instance itself saw last.
    observations: dict[LeavingKey, Observation] = field(default_factory=dict)
    #: When each record came, seconds on the steady clock.
    heard_at: dict[LeavingKey, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class PoolSummary:
    """The targets of one pool in one data centre, added up."""

    #: Requests that the open targets run at once.
    slots: int
    #: Requests running and waiting on them, an estimate from the followed ones.
    running: int
    waiting: int
    #: Targets that take new work.
    open_targets: int
    #: When the numbers were taken, seconds on the reading instance's steady clock.
    told_at: float


@dataclass(frozen=True, kw_only=True)
class SummaryRecord:
    """A summary as peers tell it."""

    #: The pool (name of a model) and the data centre.
    serves: str
    data_centre: str
    #: As in `PoolSummary`.
    slots: int
    running: int
    waiting: int
    open_targets: int
    #: Tenths of a second since 1970 on the clock of the instance that added it up.
    version: int
    #: Tenths of a second since it was added up.
    age: int


#: A pool (name of a model) and a data centre.
PoolKey = tuple[str, str]


@dataclass(kw_only=True)
class Pacer:
    """Shares out a rate of bytes among the tasks of one instance."""

    #: Bytes a second.
    bytes_per_s: float
    #: From when the next read may begin, seconds on the steady clock.
    free_from: float = float("-inf")
