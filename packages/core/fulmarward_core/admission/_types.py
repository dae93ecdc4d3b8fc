"""The state of admission."""

from collections import deque
from dataclasses import dataclass, field

from fulmarward_core.declaration import Urgency
from fulmarward_core.results import ResultCode


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """One request in the eyes of admission."""

    #: Id of the request.
    request: str
    #: Its team.
    team: str
    #: How soon it is needed.
    urgency: Urgency
    #: Tokens of prompt and expected output, as shares are counted.
    tokens: float
    #: Expected time on a target, in seconds.
    service_s: float
    #: When the answer has to be over, seconds on the steady clock.
    deadline: float
    #: Whether it runs on capacity lent to its team beyond the sold share.
    is_lent: bool = False
    #: Until when it may wait for a place, seconds on the steady clock.
    latest_start: float = float("inf")
    #: When it was queued, on the steady clock, and the wait that was estimated.
    queued_at: float = 0.0
    expected_wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a request is not taken, and when one like it may be."""

    #: The numbered result.
    code: ResultCode
    #: Seconds after which coming back makes sense; `None` when it never does.
    retry_after_s: float | None
    #: The estimated wait that decided, in seconds.
    wait_s: float


@dataclass(kw_only=True)
class Bucket:
    """What is left of a team's share at this instance."""

    #: Tokens a second that come in.
    rate: float
    #: Most tokens held.
    depth: float
    #: Tokens held; below 0 when answers were longer than expected.
    level: float
    #: When `level` was true, seconds on the steady clock.
    updated_at: float
    #: Tokens that refused callers were told to come back for.
    promised: float = 0.0


@dataclass(kw_only=True)
class Flow:
    """One of several that share an order by weight."""

    #: Weight; a flow of weight 2 gets twice as much as one of weight 1.
    weight: float
    #: Start tag of its next item in the order's virtual time.
    tag: float = 0.0
    #: Seconds of service that wait.
    backlog_s: float = 0.0


@dataclass(kw_only=True)
class Order:
    """Flows and the virtual time in which they are served (start-time fair)."""

    #: Flows by key.
    flows: dict[object, Flow] = field(default_factory=dict)
    #: Start tag of the item served last.
    virtual: float = 0.0


@dataclass(kw_only=True)
class FairQueue:
    """Requests that wait for a place in one pool.

    Work inside sold shares goes before lent work; teams are ordered fairly by their
    weights, and inside a team its urgencies are.
    """

    #: The order of teams inside their share, and of those on lent capacity.
    teams: dict[bool, Order] = field(
        default_factory=lambda: {False: Order(), True: Order()}
    )
    #: The order of urgencies by (is lent, team).
    urgencies: dict[tuple[bool, str], Order] = field(default_factory=dict)
    #: Waiting tickets by (is lent, team, urgency).
    waiting: dict[tuple[bool, str, Urgency], deque[Ticket]] = field(
        default_factory=dict
    )
    #: Number of waiting tickets.
    length: int = 0
    #: Seconds of service a second that sold work asks for, averaged, and as of when.
    sold_rate: float = 0.0
    sold_at: float = 0.0
    #: What waits on lent capacity were, as a multiple of their estimates, by urgency.
    corrections: dict[Urgency, float] = field(default_factory=dict)


@dataclass(kw_only=True)
class Outputs:
    """How long a pipeline's answers have been."""

    #: The length that nine in ten stay under; 0 before the first.
    tokens: float = 0.0
    #: Answers seen.
    samples: int = 0


@dataclass(frozen=True, kw_only=True)
class TeamDemand:
    """What one team asks for at one instance."""

    #: Name of the team.
    team: str
    #: Tokens a second.
    tokens_per_s: float


@dataclass(frozen=True, kw_only=True)
class DemandRow:
    """What teams ask for at one instance, as it said itself."""

    #: The instance's name and the number of its run.
    member: str
    boot: int
    #: Raised with each word of that run.
    sequence: int
    #: Its largest teams.
    teams: tuple[TeamDemand, ...]


@dataclass(kw_only=True)
class DemandTable:
    """What teams ask for, here and elsewhere."""

    #: Tokens a second by team, averaged.
    own: dict[str, float] = field(default_factory=dict)
    #: Tokens by team since the last averaging.
    counted: dict[str, float] = field(default_factory=dict)
    #: When it was averaged last, seconds on the steady clock.
    averaged_at: float = float("-inf")
    #: Number of the own last word.
    sequence: int = 0
    #: Other instances' rows by name, and when they came, on the steady clock.
    rows: dict[str, DemandRow] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)
    #: Number of the own word with which each row was last passed on.
    sent: dict[str, int] = field(default_factory=dict)
