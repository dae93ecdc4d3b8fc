"""Types of the routes slice. A configuration is in force whole or not at all."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from fulmarward_core.fleet import ServiceSpec


class RouteKind(Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True)
class ServiceShare:
    """One arm of a route's split."""

    #: Name of the service.
    service: str
    #: Its share in proportion to the other arms' weights.
    weight: float


@dataclass(frozen=True, kw_only=True)
class Route:
    """Where requests of one host and path prefix go."""

    #: Name, for logs.
    name: str
    #: Host without a port, in lower case.
    host: str
    #: Path prefix; begins and ends with a slash.
    prefix: str
    #: What may be repeated.
    kind: RouteKind
    #: Seconds after which a request gets its final answer.
    timeout_s: float
    #: Seconds to the answer, or to a stream's first event, that users expect.
    objective_s: float
    #: Longest pause between a stream's events that users expect, in seconds.
    pause_s: float
    #: Urgency; 0 goes first.
    priority: int
    #: Services by share, at least one.
    shares: tuple[ServiceShare, ...]
    #: Targets that one request may be sent to.
    most_attempts: int
    #: Whether it needs no key.
    is_public: bool
    #: Whether a stream may be continued by another target.
    is_resumable: bool

    @property
    def may_retry(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, kw_only=True)
class Team:
    """A team and the urgency it was sold."""

    #: Name, told to targets.
    name: str
    #: Urgency that goes before the route's, or `None`.
    priority: int | None


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Bounds on what callers send."""

    #: Bytes of a request's line and headers.
    header_bytes: int
    #: Bytes of a request's body.
    body_bytes: int
    #: Seconds for sending the headers.
    header_s: float
    #: Seconds that a connection may stay idle.
    idle_s: float


@dataclass(frozen=True, kw_only=True)
class RoutingConfiguration:
    """One version of everything that the operator declares."""

    #: Rises with each change.
    version: int
    #: Routes by host, longest prefix first.
    routes: Mapping[str, tuple[Route, ...]]
    #: Services by name.
    services: Mapping[str, ServiceSpec]
    #: Bounds on callers.
    limits: CallerLimits
    #: Teams by key.
    teams_by_key: Mapping[str, Team] = field(default_factory=dict)
    #: Whether routes that are not public ask for a key.
    has_teams: bool = False
