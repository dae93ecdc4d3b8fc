"""Types of the health package."""

from dataclasses import dataclass, field
from enum import IntEnum


class LeavingSource(IntEnum):
    """Source of the information that a target is leaving. Any one of them is enough."""

    #: The platform's list, which lags.
    PLATFORM_LIST = 0
    #: The target itself, in a load report or by rejecting a request.
    TARGET = 1
    #: An operator's drain, stored as a row in the platform's table.
    OPERATOR = 2
    #: The holder of the pool's lease, which is about to have the target load weights.
    PLACEMENT = 3


@dataclass(frozen=True, kw_only=True)
class LeavingRecord:
    """Whether a target is leaving according to one source, as exchanged by peers."""

    #: Name of the target.
    target: str
    source: LeavingSource
    is_leaving: bool
    #: Incremented with each change; for `OPERATOR` the version of the table's row.
    version: int


@dataclass(frozen=True, kw_only=True)
class Observation:
    """What this instance itself observed of one target from one source."""

    is_leaving: bool
    #: Since when all observations agree, in seconds on the monotonic clock.
    since: float


#: Name of a target, and the source of the information about it.
LeavingKey = tuple[str, LeavingSource]


@dataclass(kw_only=True)
class LeavingTable:
    """All that one instance knows about leaving targets."""

    #: The newest record of each target and source, from this instance or from peers.
    records: dict[LeavingKey, LeavingRecord] = field(default_factory=dict)
    #: The latest observations of this instance itself.
    observations: dict[LeavingKey, Observation] = field(default_factory=dict)
    #: When each record was received, in seconds on the monotonic clock.
    received_at: dict[LeavingKey, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class PoolSummary:
    """Aggregated capacity and load of one pool in one data centre."""

    #: Requests that the open targets can run concurrently.
    slots: int
    #: Requests running and waiting on them, estimated from the followed targets.
    running: int
    waiting: int
    #: Number of targets that accept new work.
    open_targets: int
    #: When the numbers were computed, in seconds on this instance's monotonic clock.
    computed_at: float


@dataclass(frozen=True, kw_only=True)
class SummaryRecord:
    """A pool summary as exchanged by peers."""

    #: The pool (name of a model) and the data centre.
    serves: str
    data_centre: str
    #: As in `PoolSummary`.
    slots: int
    running: int
    waiting: int
    open_targets: int
    #: Tenths of a second since 1970 on the wall clock of the publishing instance.
    version: int
    #: Tenths of a second since the summary was computed.
    age: int


#: A pool (name of a model) and a data centre.
PoolKey = tuple[str, str]


@dataclass(kw_only=True)
class Pacer:
    """Limits the byte rate that the tasks of one instance share."""

    bytes_per_s: float
    #: When the next read may begin, in seconds on the monotonic clock.
    free_from: float = float("-inf")
