"""What an instance knows of targets when it chooses among them."""

from dataclasses import dataclass, field

from fulmarward_core.declaration import Target
from fulmarward_core.performance import Performance
from fulmarward_core.placement import Held


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """A target's own word about its load, late by an unknown lag."""

    #: Requests running.
    running: int
    #: Requests waiting.
    waiting: int
    #: When the instance received it, seconds on the instance's steady clock.
    received_at: float


#: The report of a target that has not reported yet.
NO_REPORT = LoadReport(running=0, waiting=0, received_at=float("-inf"))


@dataclass(kw_only=True)
class TargetView:
    """One target as this instance sees it; changed by the tasks that watch it."""

    #: Its name in the declaration.
    name: str
    #: Its declaration.
    target: Target
    #: Requests that this instance has on it now.
    in_flight: int = 0
    #: The newest report.
    report: LoadReport = field(default=NO_REPORT)
    #: Whether any source says that it is leaving: no new work.
    leaving: bool = False
    #: Until when it gets no work because it failed; seconds on the steady clock.
    avoided_until: float = float("-inf")
    #: What it says that it holds; `None` before its first report.
    held: Held | None = None
    #: Prefixes that its cache is believed to hold, each with the time until when the
    #: belief stands, seconds on the steady clock. Bounded; events come late and with
    #: gaps, so it is a hint.
    cached_prefixes: dict[str, float] = field(default_factory=dict)
    #: Sequence number of the last cache event known; 0 before the first.
    cache_sequence: int = 0
    #: What this instance has measured of it.
    performance: Performance = field(default_factory=Performance)


@dataclass(frozen=True, kw_only=True)
class Ask:
    """What a request needs of its target."""

    #: Tokens of the prompt.
    prompt_tokens: int = 0
    #: Output tokens that are expected.
    output_tokens: float = 0.0
    #: Hashes of the prompt's prefixes, the shortest first.
    prefixes: tuple[str, ...] = ()
    #: Tokens in one more prefix than the one before it.
    prefix_tokens: int = 0
    #: Seconds until the deadline.
    slack_s: float = float("inf")
    #: Whether it may test a target that was set aside.
    may_probe: bool = True
    #: Targets that it was tried on before.
    tried: frozenset[str] = frozenset()


#: A request of which nothing is known, as calls of plain services are.
PLAIN_ASK = Ask()


@dataclass(frozen=True, kw_only=True)
class PoolSpeed:
    """What a pool carries, as far as one instance knows."""

    #: Requests that this instance may have on it now.
    places: float
    #: The same once limits that were never cut have grown to the slots.
    capacity: float
    #: Seconds for a prompt token.
    prefill_s: float
    #: Seconds for an output token.
    token_s: float


@dataclass(frozen=True, kw_only=True)
class Choice:
    """A choice of target, with what decided it."""

    #: The chosen target.
    chosen: TargetView
    #: Score of the chosen target; lower is better.
    score: float
    #: Name of the next best target, empty when there was no other.
    runner_up: str
    #: Why it was chosen, a fixed word for logs.
    reason: str
