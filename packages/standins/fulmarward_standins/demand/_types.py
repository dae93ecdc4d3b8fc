"""Inputs and results of a simulated run."""

from dataclasses import dataclass, field

from fulmarward_core.declaration import Urgency


@dataclass(frozen=True, kw_only=True)
class RequestKind:
    """Distribution of the requests of one pipeline."""

    #: Pipeline name.
    name: str
    urgency: Urgency
    #: Mean tokens of prompt and output.
    prompt: int
    output: int
    deadline_s: float
    #: Share of all requests.
    share: float


LOOKUP = RequestKind(
    name="lookup",
    urgency=Urgency.URGENT,
    prompt=200,
    output=20,
    deadline_s=3.0,
    share=0.3,
)
SUMMARY = RequestKind(
    name="summary",
    urgency=Urgency.NORMAL,
    prompt=600,
    output=80,
    deadline_s=10.0,
    share=0.5,
)
CODING = RequestKind(
    name="coding",
    urgency=Urgency.BULK,
    prompt=1500,
    output=150,
    deadline_s=60.0,
    share=0.2,
)


@dataclass(frozen=True, kw_only=True)
class TeamDemand:
    """A team's sold share and its demand, as fractions of the capacity."""

    sold: float
    asked: float


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A change of the state of some engines."""

    #: Virtual time in seconds.
    at: float
    #: Indexes of the engines.
    engines: tuple[int, ...]
    #: New values of attributes of `Engine`, by name.
    change: dict[str, object]


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A fleet, its demand and its faults."""

    name: str
    teams: dict[str, TeamDemand]
    kinds: tuple[RequestKind, ...] = (LOOKUP, SUMMARY, CODING)
    #: Number of instances, of engines, and of slots per engine.
    instances: int = 4
    engines: int = 8
    slots: int = 8
    #: Seconds per output token and per prompt token.
    token_s: float = 0.01
    prefill_s: float = 0.0002
    #: Seconds with arrivals; measurements start after `warmup_s`.
    duration_s: float = 60.0
    warmup_s: float = 15.0
    #: Factor on the demand during bursts.
    burst_factor: float = 1.0
    #: Length of a burst, which starts every ten seconds.
    burst_s: float = 0.0
    #: Delay of load reports.
    report_lag_s: float = 0.2
    #: Number of shared prefixes, their tokens and the Zipf exponent of their use. Every
    #: `lose_event_every`th cache event is lost, none if 0.
    prefixes: int = 0
    prefix_tokens: int = 400
    prefix_skew: float = 1.0
    lose_event_every: int = 0
    #: Prefixes that an engine can cache.
    cache_entries: int = 16
    #: Whether all callers of a team use the same instance.
    has_sticky_teams: bool = False
    faults: tuple[Fault, ...] = ()


@dataclass(kw_only=True)
class Call:
    """A request and its result."""

    number: int
    team: str
    kind: RequestKind
    #: Tokens of prompt and output, and the caller's limit on the output.
    prompt: int
    output: int
    bound: int
    #: Index of the shared prefix, -1 for none.
    prefix: int
    #: Index of the instance that receives the request.
    instance: int
    #: Arrival time in seconds; a resubmission overwrites it.
    arrived: float
    #: Whether the caller resubmits after a refusal, and how often it has.
    retries_when_told: bool
    resubmissions: int = 0
    #: `whole`, `refused`, `late` or `failed`; empty while it runs.
    outcome: str = ""
    #: Times of the first token and of the end.
    first_at: float = 0.0
    ended_at: float = 0.0
    #: Seconds between output tokens.
    token_s: float = 0.0
    #: Resubmissions that were not refused.
    resubmissions_admitted: int = 0
    #: Whether the engine had the prefix cached.
    had_prefix: bool = False

    @property
    def deadline(self) -> float:
        """Latest time for the end of the answer."""
        return self.arrived + self.kind.deadline_s


@dataclass(kw_only=True)
class RunRecord:
    """Calls and counters of a run."""

    calls: list[Call] = field(default_factory=list)
    #: First arrival of each call; resubmissions overwrite `Call.arrived`.
    first_arrivals: list[float] = field(default_factory=list)
    #: Number of first tries, and of all tries, on targets.
    first_tries: int = 0
    tries: int = 0
    #: Seconds from arrival to refusal, for each refusal.
    refusals_s: list[float] = field(default_factory=list)
    #: Number of refusals by result code.
    codes: dict[str, int] = field(default_factory=dict)
