"""Types of the routing configuration, which takes effect only as a whole."""

from bisect import insort
from collections.abc import Iterable, Mapping, Set
from dataclasses import InitVar, dataclass, field
from enum import Enum
from operator import neg

from fulmarward_core.fleet import ServiceSpec
from fulmarward_core.steps import Steps, finish_steps

#: Least urgent value that targets accept; 0 is served first.
LEAST_URGENT = 9

#: Routes that one step of building the tables handles.
ROUTES_PER_STEP = 1000


class RouteKind(Enum):
    """Kind of requests on a route, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class KeyWaiver(Enum):
    """Why a request needs no team key."""

    PUBLIC_ROUTE = "public_route"
    #: The configuration has no list of teams; with an empty one, no key is valid.
    NO_TEAMS = "no_teams"


@dataclass(frozen=True, kw_only=True)
class ServiceShare:
    """A service with its share of a route's traffic."""

    service: str
    #: Weight relative to the other services of the route.
    weight: float


@dataclass(frozen=True, kw_only=True)
class Route:
    """Rules for requests with a given host and path prefix."""

    #: Name, used in logs.
    name: str
    #: Host without a port, in lower case.
    host: str
    #: Path prefix; starts and ends with a slash.
    prefix: str
    kind: RouteKind
    #: Time limit for the final answer to a request, in seconds.
    timeout_s: float
    #: Latency objective for the answer or for the first event of a stream, in seconds.
    objective_s: float
    #: Objective for the longest pause between two events of a stream, in seconds.
    pause_s: float
    #: Urgency; 0 is served first.
    priority: int
    #: Services with their weights; at least one.
    shares: tuple[ServiceShare, ...]
    #: Maximum number of targets that a request is sent to.
    most_attempts: int
    #: Whether requests need no key.
    is_public: bool
    #: Whether another target may resume a stream.
    is_resumable: bool

    @property
    def may_retry(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, kw_only=True)
class Team:
    """A team and its urgency."""

    #: Name, sent to targets.
    name: str
    #: Urgency that overrides the urgency of the route, or `None`.
    priority: int | None


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits on requests and connections of callers."""

    #: Maximum size of the request line and headers, in bytes.
    header_bytes: int
    #: Maximum size of a request body, in bytes.
    body_bytes: int
    #: Time limit for receiving the headers, in seconds.
    header_s: float
    #: Maximum idle time of a connection, in seconds.
    idle_s: float


@dataclass(frozen=True, kw_only=True)
class RoutingConfiguration:
    """One version of the routing configuration that the operator declares."""

    #: Increases with each change.
    version: int
    #: Routes by host, longest prefix first.
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits
    teams_by_key: Mapping[str, Team] = field(default_factory=dict)
    #: Whether routes that are not public require a team key.
    requires_team_key: bool = False
    #: The tables, if they are known; computed otherwise.
    known_tables: InitVar["RouteTables | None"] = None
    tables: "RouteTables" = field(init=False, compare=False, repr=False)

    def __post_init__(self, known_tables: "RouteTables | None") -> None:
        tables = known_tables or finish_steps(
            build_tables(
                self.routes,
                priorities={team.priority for team in self.teams_by_key.values()},
                requires_team_key=self.requires_team_key,
            )
        )
        object.__setattr__(self, "tables", tables)

    @property
    def route_indexes(self) -> Mapping[str, "RouteIndex"]:
        """The routes of each host, to be found by their prefixes."""
        return self.tables.route_indexes

    @property
    def urgencies_by_service(self) -> Mapping[str, tuple[int, ...]]:
        """The class urgencies of each service with a route, sorted."""
        return self.tables.urgencies_by_service

    @property
    def class_services(self) -> frozenset[str]:
        """The services to which routes of different priorities lead."""
        return self.tables.class_services


@dataclass(frozen=True, kw_only=True)
class RouteTables:
    """What requests look up; see the properties of `RoutingConfiguration`."""

    route_indexes: Mapping[str, "RouteIndex"]
    urgencies_by_service: Mapping[str, tuple[int, ...]]
    class_services: frozenset[str]


def build_tables(
    routes: Mapping[str, Iterable[Route]],
    *,
    priorities: Set[int | None],
    requires_team_key: bool,
) -> Steps[RouteTables]:
    """Build the tables of routes by host, in steps.

    `priorities` are those of all teams, see `Team.priority`.
    """
    indexes: dict[str, RouteIndex] = {}
    #: Priorities of the routes to each service, by whether they require a team key.
    found: dict[str, set[tuple[int, bool]]] = {}
    count = 0
    for host, items in routes.items():
        index = indexes[host] = RouteIndex(())
        for route in items:
            index.add(route)
            kind = (route.priority, requires_team_key and not route.is_public)
            for share in route.shares:
                found.setdefault(share.service, set()).add(kind)
            count += 1
            if count % ROUTES_PER_STEP == 0:
                yield
    return RouteTables(
        route_indexes=indexes,
        urgencies_by_service={
            service: _list_urgencies(kinds, priorities)
            for service, kinds in found.items()
        },
        class_services=frozenset(
            service
            for service, kinds in found.items()
            if len({limit_urgency(priority) for priority, _ in kinds}) > 1
        ),
    )


def _list_urgencies(
    kinds: Iterable[tuple[int, bool]], priorities: Set[int | None]
) -> tuple[int, ...]:
    """Return the class urgencies of routes by priority and whether they have teams."""
    urgencies = {
        combine_urgencies(of_team=of_team, of_route=of_route)
        for of_route, has_team in kinds
        for of_team in (priorities if has_team else {None})
    }
    return tuple(sorted(urgencies))


def limit_urgency(priority: int) -> int:
    """Return the urgency that a priority stands for."""
    return max(0, min(LEAST_URGENT, priority))


def combine_urgencies(*, of_team: int | None, of_route: int) -> int:
    """Return the class urgency of a team's requests on a route, by both priorities.

    The priority of the team precedes that of the route, which decides between requests
    of teams with the same priority. A team without one has that of the route.
    """
    urgency = limit_urgency(of_route)
    first = urgency if of_team is None else limit_urgency(of_team)
    return first * (LEAST_URGENT + 1) + urgency


class RouteIndex:
    """The routes of a host by prefix.

    Guards against requests that compare their path with thousands of routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_prefix: dict[str, Route] = {}
        #: Lengths of the prefixes, the longest first.
        self._lengths: list[int] = []
        for route in routes:
            self.add(route)

    def add(self, route: Route) -> None:
        """Add a route; of those with the same prefix the first is found."""
        self._by_prefix.setdefault(route.prefix, route)
        length = len(route.prefix)
        if length not in self._lengths:
            insort(self._lengths, length, key=neg)

    def find(self, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or `None`."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None and len(route.prefix) == length:
                return route
        return None
