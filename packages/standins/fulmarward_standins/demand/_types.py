"""What a run in virtual time consists of, and what comes out of it."""

from dataclasses import dataclass, field

from fulmarward_core.declaration import Urgency


@dataclass(frozen=True, kw_only=True)
class Kind:
    """Requests of one pipeline."""

    #: Name of the pipeline.
    name: str
    #: How soon they are needed.
    urgency: Urgency
    #: Mean tokens of the prompt and of the answer.
    prompt: int
    output: int
    #: Seconds that an answer may take.
    deadline_s: float
    #: Its part of all requests.
    part: float


LOOKUP = Kind(
    name="lookup",
    urgency=Urgency.URGENT,
    prompt=200,
    output=20,
    deadline_s=3.0,
    part=0.3,
)
SUMMARY = Kind(
    name="summary",
    urgency=Urgency.NORMAL,
    prompt=600,
    output=80,
    deadline_s=10.0,
    part=0.5,
)
CODING = Kind(
    name="coding",
    urgency=Urgency.BULK,
    prompt=1500,
    output=150,
    deadline_s=60.0,
    part=0.2,
)


@dataclass(frozen=True, kw_only=True)
class TeamDemand:
    """A team: what it was sold and what it asks for, as parts of the capacity."""

    #: Part of the capacity that it was sold.
    sold: float
    #: Part of the capacity that it asks for.
    asked: float


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A change of some engines at a moment."""

    #: When, in seconds.
    at: float
    #: Which engines, by place.
    engines: tuple[int, ...]
    #: Members of the engines that change, and their new values.
    change: dict[str, object]


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A fleet, its demand and what fails."""

    #: Its name.
    name: str
    #: Teams by name.
    teams: dict[str, TeamDemand]
    #: Kinds of requests.
    kinds: tuple[Kind, ...] = (LOOKUP, SUMMARY, CODING)
    #: Numbers of instances, engines and slots of each engine.
    instances: int = 4
    engines: int = 8
    slots: int = 8
    #: Seconds for an output token and for a prompt token.
    token_s: float = 0.01
    prefill_s: float = 0.0002
    #: Seconds with arrivals, and those of them that are measured.
    length_s: float = 60.0
    warm_s: float = 15.0
    #: Demand is multiplied by this inside the bursts.
    burst_factor: float = 1.0
    #: Seconds of one burst, the first at the start of every ten seconds.
    burst_s: float = 0.0
    #: How late load reports are, in seconds.
    report_lag_s: float = 0.2
    #: Shared prefixes, their tokens, and one in how many cache events is lost.
    prefixes: int = 0
    prefix_tokens: int = 400
    prefix_skew: float = 1.0
    lose_event_every: int = 0
    #: Prefixes that an engine holds.
    cache_entries: int = 16
    #: Whether each team's callers use one instance only.
    has_sticky_teams: bool = False
    #: What fails.
    faults: tuple[Fault, ...] = ()


@dataclass(kw_only=True)
class Call:
    """One request of a caller, with what became of it."""

    #: Its number.
    number: int
    #: Name of its team.
    team: str
    #: What it is.
    kind: Kind
    #: Tokens of its prompt and its answer, and the bound that the caller gives.
    prompt: int
    output: int
    bound: int
    #: Number of its prefix, -1 for none.
    prefix: int
    #: Place of the instance that it goes to.
    entry: int
    #: When it arrives, seconds.
    arrived: float
    #: Whether its caller comes back when told to, and how often it has.
    obeys: bool
    returns: int = 0
    #: `whole`, `refused`, `late` or `failed`; empty while it runs.
    end: str = ""
    #: When its first token and its end came.
    first_at: float = 0.0
    ended_at: float = 0.0
    #: Seconds between its tokens.
    token_s: float = 0.0
    #: Returns that were taken in.
    returns_taken: int = 0
    #: Whether the target that ran it had its prefix.
    had_prefix: bool = False

    @property
    def deadline(self) -> float:
        """When its answer has to be over."""
        return self.arrived + self.kind.deadline_s


@dataclass(kw_only=True)
class Tally:
    """Counts of a run."""

    #: All calls.
    calls: list[Call] = field(default_factory=list)
    #: When each call came first; a returning caller's `arrived` changes.
    first_arrivals: list[float] = field(default_factory=list)
    #: First tries and all tries on targets.
    firsts: int = 0
    tries: int = 0
    #: Seconds from arrival to each refusal.
    refusals_s: list[float] = field(default_factory=list)
    #: Refusals by result code.
    codes: dict[str, int] = field(default_factory=dict)
