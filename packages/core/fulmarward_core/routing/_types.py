"""State of the targets, and the inputs and results of choosing one."""

from dataclasses import dataclass, field

from fulmarward_core.declaration import Target
from fulmarward_core.performance import Performance
from fulmarward_core.placement import ReportedState


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Load reported by a target, with an unknown delay."""

    #: Number of running requests.
    running: int
    #: Number of waiting requests.
    waiting: int
    #: When this instance received it, in seconds on its monotonic clock.
    received_at: float


#: Stands in for the report of a target that has not reported yet.
NO_REPORT = LoadReport(running=0, waiting=0, received_at=float("-inf"))


@dataclass(kw_only=True)
class TargetView:
    """This instance's view of a target, updated by the tasks that watch the target."""

    #: Name in the declaration.
    name: str
    #: Declaration of the target.
    target: Target
    #: Requests that this instance currently runs on it.
    in_flight: int = 0
    #: Most recent report.
    report: LoadReport = field(default=NO_REPORT)
    #: Whether any source reports that it is leaving; it then gets no new work.
    leaving: bool = False
    #: Until when it gets no work after a failure, in seconds on the monotonic clock.
    avoided_until: float = float("-inf")
    #: What it reports to hold; `None` before its first report.
    held: ReportedState | None = None
    #: Prefixes that its cache probably holds, each with its expiry in seconds on the
    #: monotonic clock. Bounded. Cache events arrive late and with gaps, so this is only
    #: a hint.
    cached_prefixes: dict[str, float] = field(default_factory=dict)
    #: Sequence number of the last known cache event; 0 before the first.
    cache_sequence: int = 0
    #: Measurements by this instance.
    performance: Performance = field(default_factory=Performance)


@dataclass(frozen=True, kw_only=True)
class RequestProfile:
    """Properties of a request that matter for the choice of its target."""

    #: Number of prompt tokens.
    prompt_tokens: int = 0
    #: Expected number of output tokens.
    output_tokens: float = 0.0
    #: Hashes of the prefixes of the prompt, shortest first.
    prefixes: tuple[str, ...] = ()
    #: Number of tokens by which each prefix is longer than the previous one.
    prefix_tokens: int = 0
    #: Seconds until the deadline.
    slack_s: float = float("inf")
    #: Whether it may probe a target that was set aside.
    may_probe: bool = True
    #: Targets on which it was already tried.
    tried: frozenset[str] = frozenset()


#: A request with unknown properties, such as a call of a plain service.
DEFAULT_PROFILE = RequestProfile()


@dataclass(frozen=True, kw_only=True)
class PoolSpeed:
    """Capacity and speed of a pool as known to one instance."""

    #: Requests that this instance may currently run on it.
    places: float
    #: The same after all limits that were never cut have grown to the slots.
    capacity: float
    #: Seconds per prompt token.
    prefill_s: float
    #: Seconds per output token.
    token_s: float


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The chosen target, and why it was chosen."""

    chosen: TargetView
    #: Score of the chosen target; lower is better.
    score: float
    #: Name of the second-best target; empty if there was no other.
    runner_up: str
    #: Reason as a fixed string for logs.
    reason: str
