"""One caller's request on its way, and how it may end."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from aiohttp import web

from fulmarward_core.attempts import RequestTally
from fulmarward_core.results import ResultCode
from fulmarward_core.routes import Route, RoutingConfiguration, Team
from fulmarward_router.ports import CallerFacts


@dataclass(kw_only=True)
class Work:
    """One caller's request; the fields below `attempts` change while it is served."""

    #: The request as it came, and its whole body.
    request: web.BaseRequest
    headers: Mapping[str, str]
    body: bytes
    #: What its headers say.
    facts: CallerFacts
    #: The configuration in force when it came; it is served under that to its end.
    configuration: RoutingConfiguration
    route: Route
    team: Team | None
    #: Name of the service it goes to, and its urgency.
    service: str
    urgency: int
    #: When it came, until when it must be answered, seconds on the steady clock.
    arrived_at: float
    deadline: float
    #: Attempts at targets so far, and those that may have run.
    attempts: int = 0
    runs: int = 0
    #: Targets of the last attempt, for the log.
    targets: tuple[str, ...] = field(default=())
    #: When the first event of the answer went out and when the last one did, `None`
    #: before; seconds on the steady clock.
    answered_at: float | None = None
    given_at: float | None = None
    #: Last event that the caller was given, `None` before the first.
    last_event: str | None = None
    #: Longest pause between two writes to the caller, seconds.
    longest_pause_s: float = 0.0
    #: How often it was led along another path or resumed.
    repaths: int = 0
    resumes: int = 0

    @property
    def has_begun(self) -> bool:
        """Whether its answer has begun, and it cannot be refused any more."""
        return self.request.get("answer") is not None

    def note_given(self, *, now: float) -> None:
        """Note that events go out to the caller.

        The pause before them counts whatever happened in it: that the stream was led
        around a lost target, or begun anew at another one.
        """
        if self.answered_at is None:
            self.answered_at = now
        else:
            pause_s = now - self.given_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.given_at = now

    def make_tally(self) -> RequestTally:
        """Return its attempts and bounds, for deciding on another attempt."""
        return RequestTally(
            attempts=self.attempts,
            runs=self.runs,
            most_attempts=self.route.most_attempts,
            is_idempotent=self.route.may_retry,
            deadline=self.deadline,
        )


class Shortage(Enum):
    """What a request that waits for a path is short of."""

    #: No path of targets has room for its KV cache.
    KV_CACHE = "kv_cache"
    #: The paths with room cross data centres, and the pipe between them is full.
    PIPE = "pipe"
    #: There is no path: layers of the model are not held by any target.
    LAYERS = "layers"


class RejectedRequest(Exception):
    """The request gets a final answer of this instance's own.

    Raised only when nothing of an answer has gone out.
    """

    def __init__(
        self,
        code: ResultCode,
        *,
        cause: str,
        retry_after_s: float | None = None,
        shortage: Shortage | None = None,
    ) -> None:
        super().__init__(cause)
        self.code = code
        self.cause = cause
        self.retry_after_s = retry_after_s
        self.shortage = shortage


class TruncatedResponse(Exception):
    """An answer that has begun cannot be completed; the connection must show it."""

    def __init__(self, *, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause
