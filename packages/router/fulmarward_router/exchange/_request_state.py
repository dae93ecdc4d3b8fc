"""State of a caller's request, and the exceptions that end it."""

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from aiohttp import web

from fulmarward_core.attempts import RequestTally
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.poison import compute_fingerprint, compute_head_fingerprint
from fulmarward_core.results import ResultCode
from fulmarward_core.routes import KeyWaiver, Route, RoutingConfiguration, Team
from fulmarward_router.ports import CallerFacts

#: Runs of a request at targets that ended that the limit of its route leaves out. More
#: may mean that it is the request that ends them.
MAX_ENDED_RUNS = 2

#: Upper bound on the latest attempts that are described in the log.
MAX_LOGGED_ATTEMPTS = 16


class CutCause(Enum):
    """Why a response that has started is not completed."""

    #: The route allows no further attempt or run.
    NO_RUN = "no run left"
    #: The retry budget has no retry while the caller waits.
    NO_RETRY = "no retry left"
    NO_PATH = "no path to resume on"
    NO_PEER = "no target answers, and no peer serves it"
    DEADLINE = "deadline"
    CRASHES_TARGETS = "targets crash under it"
    INTERNAL_ERROR = "internal error"
    STOPPING = "the instance stops"


class LeaveCause(Enum):
    """Why a caller has left a response that has started."""

    #: It waited for the next event as long as callers do.
    SILENCE = "silence"
    #: It left earlier, for a reason of its own.
    OWN = "own"


class Exclusion(Enum):
    """Why the limit of a route leaves out a run."""

    ENDED = "its target has ended"
    REPEATED = "its target has run it before"


@dataclass(kw_only=True, eq=False)
class Run:
    """A run that failed or was given up."""

    target: TargetRecord
    #: Whether its process is known to have ended, or be cut off now.
    has_ended: bool = False


@dataclass(frozen=True, kw_only=True)
class EndedAttempt:
    """An attempt that has ended, for the log."""

    #: Name of its first target, or of the peer that it was relayed to.
    target: str
    #: How far the response came.
    progress: str
    #: Whether a target may have run it.
    may_have_run: bool
    #: Its run, `None` unless it may have run, failed, and its target was known.
    run: Run | None = None


@dataclass(kw_only=True)
class RequestState:
    """State of a caller's request; the fields from `attempts` on are mutable."""

    request: web.BaseRequest
    headers: Mapping[str, str]
    body: bytes
    #: Values parsed from the headers.
    facts: CallerFacts
    #: Configuration in force on arrival; a later one does not affect the request.
    configuration: RoutingConfiguration
    route: Route
    team: Team | None
    service: str
    #: Urgency that is sent to targets.
    urgency: int
    #: Urgency of its class, which decides on its admission.
    class_urgency: int
    #: Seconds on the monotonic clock.
    arrived_at: float
    deadline: float
    #: Why it needs no team key, `None` if it needs one.
    key_waiver: KeyWaiver | None = None
    #: Whether it has asked for a path before, for an earlier attempt or in place of a
    #: path that was unreachable.
    has_sought_path: bool = False
    #: Attempts so far, and how many of them a target may have executed.
    attempts: int = 0
    runs: int = 0
    #: How often it was sent to a target or a peer from here, without the sends of which
    #: it is known that it did not run.
    sends: int = 0
    #: Those of these runs that failed at a target that was known.
    failed_runs: list[Run] = field(default_factory=list)
    #: The latest attempts that have ended, in this order, for the log.
    ended_attempts: deque[EndedAttempt] = field(
        default_factory=lambda: deque(maxlen=MAX_LOGGED_ATTEMPTS)
    )
    #: Targets of the latest attempt, for the log.
    targets: tuple[str, ...] = field(default=())
    #: When the first and the latest event were sent to the caller, in seconds on the
    #: monotonic clock; `None` before the first.
    first_event_at: float | None = None
    last_write_at: float | None = None
    #: Id of the latest event sent to the caller; before the first, the one that it has
    #: named itself, `None` if none.
    last_event: str | None = None
    #: Whether an event without a number was sent to the caller: no other target can go
    #: on with the stream without repeating or losing events.
    is_unresumable: bool = False
    #: Longest interval between two writes to the caller, in seconds.
    longest_pause_s: float = 0.0
    #: How often the stream was rerouted, and how often resumed by a new attempt.
    repaths: int = 0
    resumes: int = 0
    #: How often in a row its resumption brought no event, and the latest event when it
    #: was last lost.
    fruitless_resumes: int = 0
    last_event_at_loss: str | None = None
    #: How long its latest path was likely to take, in seconds; `None` if not known.
    path_estimate_s: float | None = None
    #: When its latest attempt failed, in seconds on the monotonic clock.
    failed_at: float = float("-inf")
    #: Name of the peer that the request was last relayed to, empty if to none.
    relayed_to: str = ""
    #: Whether its peers have been tried.
    is_relay_tried: bool = False
    #: Whether a target has written so much of the response that it crashes none.
    is_proven: bool = False
    #: Why its started response was cut, `None` unless it was.
    cut_cause: CutCause | None = None
    #: Why its caller left the started response, `None` unless it did.
    leave_cause: LeaveCause | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the response has started, so that no status can be sent any more."""
        return self.request.get("answer") is not None

    @property
    def team_name(self) -> str:
        """The name of the caller's team, empty if there is none."""
        return "" if self.team is None else self.team.name

    @cached_property
    def head_fingerprint(self) -> str:
        """The digest of all of the request but the content of its body."""
        return compute_head_fingerprint(
            method=self.request.method,
            host=self.headers.get("Host", ""),
            path=self.request.raw_path,
            team=self.team_name,
            body_bytes=len(self.body),
        )

    @cached_property
    def fingerprint(self) -> str:
        """The digest of the whole request; computed once it is asked for."""
        return compute_fingerprint(self.head_fingerprint, self.body)

    def count_left(self, now: float) -> float:
        """Return the seconds until the answer is due, 0 if that has passed."""
        return max(0.0, self.deadline - now)

    def record_write(self, *, now: float) -> None:
        """Record that events are being sent to the caller.

        The pause since the previous write counts as a whole, also where the stream was
        rerouted or resumed in the meantime.
        """
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            pause_s = now - self.last_write_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_write_at = now

    def make_tally(self) -> RequestTally:
        """Return the attempt counts and limits that decide on another attempt."""
        return RequestTally(
            attempts=self.attempts,
            runs=self.runs,
            most_attempts=self._find_most_attempts(),
            is_idempotent=self.route.may_retry and not self.is_unresumable,
            deadline=self.deadline,
            has_begun=self.has_begun,
            uncounted_runs=self._count_uncounted_runs(),
            reusable_targets=len(self.list_reusable_targets()),
        )

    def _find_most_attempts(self) -> int:
        """Return the number of targets that it may use here or has used elsewhere.

        A relayed request gets one target here, since the instance that relayed it
        counts each peer as one.
        """
        if self.facts.relayed_by is None:
            return self.route.most_attempts
        return min(self.route.most_attempts, self.facts.runs_before + 1)

    def list_reusable_targets(self) -> frozenset[str]:
        """Return the targets that may have run it and are not known to have ended."""
        return frozenset(r.target.name for r in self.failed_runs if not r.has_ended)

    def describe_attempts(self) -> list[dict[str, str]]:
        """Describe the latest attempts that have ended, for the log.

        `limit` says whether the limit of the route counts the run, or why not.
        """
        exclusions = dict(self._find_exclusions())
        return [
            {
                "target": attempt.target,
                "progress": attempt.progress,
                "limit": _describe_limit(attempt, exclusions.get(attempt.run)),
            }
            for attempt in self.ended_attempts
        ]

    def _count_uncounted_runs(self) -> int:
        """Return how many runs the limit of the route leaves out."""
        return sum(exclusion is not None for _, exclusion in self._find_exclusions())

    def _find_exclusions(self) -> Iterator[tuple[Run, Exclusion | None]]:
        """Return each failed run, and why the limit leaves it out, if it does."""
        counted: set[str] = set()
        ended = 0
        for run in self.failed_runs:
            exclusion = None
            if run.has_ended and ended < MAX_ENDED_RUNS:
                ended += 1
                exclusion = Exclusion.ENDED
            elif run.target.process_name in counted:
                exclusion = Exclusion.REPEATED
            counted.add(run.target.process_name)
            yield run, exclusion


def _describe_limit(attempt: EndedAttempt, exclusion: Exclusion | None) -> str:
    if not attempt.may_have_run:
        return "not run"
    return "counted" if exclusion is None else exclusion.value


class Shortage(Enum):
    """Resource that a request waiting for a path lacks."""

    #: No path has enough free KV cache.
    KV_CACHE = "kv_cache"
    #: All paths with capacity are likely to end after the deadline.
    SPEED = "speed"
    #: All paths with capacity cross data centres, and the link between them is full.
    PIPE = "pipe"
    #: Some layers of the model are not loaded on any usable target.
    LAYERS = "layers"
    #: All targets that could serve it have been sent as much as they accept.
    LIMIT = "limit"
    #: Other requests that wait are served first.
    QUEUE = "queue"


@dataclass(frozen=True, kw_only=True)
class RejectionValues:
    """What decided on a request that is rejected for want of capacity."""

    #: Estimated wait in seconds; `None` if it did not decide or is infinite.
    estimate_s: float | None = None
    #: Whether the caller was promised capacity on its return.
    is_return_promised: bool = False
    #: Further values of the event `admission_denied`; empty without classes.
    measured: Mapping[str, float | int | None] = field(default_factory=dict)


class RejectedRequest(Exception):
    """This instance responds to the request with an error.

    Raised only before the response to the caller has started.
    """

    def __init__(
        self,
        code: ResultCode,
        *,
        cause: str,
        retry_after_s: float | None = None,
        shortage: Shortage | None = None,
        values: RejectionValues | None = None,
        detail: str = "",
    ) -> None:
        super().__init__(cause)
        self.code = code
        #: Text for the caller, in words of this program.
        self.cause = cause
        #: Why the last attempt failed, for the log. It may quote a target.
        self.detail = detail
        self.retry_after_s = retry_after_s
        self.shortage = shortage
        self.values = values or RejectionValues()


class TruncatedResponse(Exception):
    """A response that has started cannot be completed.

    The caller's connection is closed, so that the response is seen as incomplete.
    """

    def __init__(self, cause: CutCause, *, detail: str = "") -> None:
        super().__init__(cause.value)
        self.cause = cause
        #: Why the last attempt failed, for the log.
        self.detail = detail

    def describe(self) -> str:
        """Format the cause for the log."""
        return ": ".join(filter(None, (self.cause.value, self.detail)))
