"""State of admission control."""

from collections import deque
from dataclasses import dataclass, field

from fulmarward_core.declaration import Urgency
from fulmarward_core.fair_queueing import FlowSchedule
from fulmarward_core.results import ResultCode


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """A request as admission control sees it."""

    #: Id of the request.
    request: str
    team: str
    urgency: Urgency
    #: Tokens of the prompt and the expected output, which are charged to the share.
    tokens: float
    #: Expected time on a target, in seconds.
    service_s: float
    #: When the answer must be complete, in seconds on the monotonic clock.
    deadline: float
    #: Whether it runs on unused capacity that its team borrows beyond its sold share.
    is_lent: bool = False
    #: When it must have left the queue, in seconds on the monotonic clock.
    latest_start: float = float("inf")
    #: When it was queued, on the monotonic clock, and the wait estimated at that time.
    queued_at: float = 0.0
    expected_wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a request was refused, and when a similar one may be admitted."""

    #: Result code that the caller receives.
    code: ResultCode
    #: Seconds after which to retry; `None` when a retry cannot succeed.
    retry_after_s: float | None
    #: Estimated wait on which the decision was based, in seconds.
    wait_s: float


@dataclass(kw_only=True)
class Bucket:
    """Token bucket for the part of a team's share that this instance may use."""

    #: Tokens added per second.
    rate: float
    #: Maximum number of tokens.
    depth: float
    #: Current number of tokens; negative after answers longer than expected.
    level: float
    #: When `level` was last updated, in seconds on the monotonic clock.
    updated_at: float
    #: Tokens for which refused callers were told to retry.
    promised: float = 0.0


@dataclass(kw_only=True)
class FairQueue:
    """Requests that wait for a place in one pool.

    Work within sold shares is served before work on lent capacity. Teams are scheduled
    by weighted fair queueing, and so are the urgencies within a team.
    """

    #: Schedule of the teams by whether their work is on lent capacity.
    teams: dict[bool, FlowSchedule] = field(
        default_factory=lambda: {False: FlowSchedule(), True: FlowSchedule()}
    )
    #: Schedule of the urgencies by (is lent, team).
    urgencies: dict[tuple[bool, str], FlowSchedule] = field(default_factory=dict)
    #: Waiting tickets by (is lent, team, urgency).
    waiting: dict[tuple[bool, str, Urgency], deque[Ticket]] = field(
        default_factory=dict
    )
    #: Number of waiting tickets.
    length: int = 0
    #: Average seconds of sold work that arrive per second, and when it was updated.
    sold_rate: float = 0.0
    sold_at: float = 0.0
    #: Ratio of actual to estimated waits on lent capacity, by urgency.
    corrections: dict[Urgency, float] = field(default_factory=dict)


@dataclass(kw_only=True)
class OutputLengths:
    """Statistics on the answer lengths of a pipeline."""

    #: Estimate of the 90th percentile, in tokens; 0 before the first answer.
    tokens: float = 0.0
    #: Number of answers observed.
    samples: int = 0


@dataclass(frozen=True, kw_only=True)
class TeamDemand:
    """Demand of one team at one instance."""

    team: str
    tokens_per_s: float


@dataclass(frozen=True, kw_only=True)
class DemandRow:
    """Demand of the teams at one instance, as reported by that instance."""

    #: Name of the instance, and a number that rises with each of its restarts.
    member: str
    boot: int
    #: Rises with each report of the same run.
    sequence: int
    #: The teams with the largest demand.
    teams: tuple[TeamDemand, ...]


@dataclass(kw_only=True)
class DemandTable:
    """Demand of the teams at this instance and at all others."""

    #: Average tokens per second at this instance, by team.
    own: dict[str, float] = field(default_factory=dict)
    #: Tokens requested since the last update of the averages, by team.
    counted: dict[str, float] = field(default_factory=dict)
    #: When the averages were last updated, in seconds on the monotonic clock.
    averaged_at: float = float("-inf")
    #: Sequence number of the last own report.
    sequence: int = 0
    #: Rows of other instances by name, and when they arrived, on the monotonic clock.
    rows: dict[str, DemandRow] = field(default_factory=dict)
    received_at: dict[str, float] = field(default_factory=dict)
    #: Sequence number of the own report with which each row was last forwarded.
    sent: dict[str, int] = field(default_factory=dict)
