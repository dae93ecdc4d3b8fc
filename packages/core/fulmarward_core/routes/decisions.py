"""Decisions that select the route, team, urgency and service of a request."""

import xxhash

from fulmarward_core.routes._types import (
    KeyWaiver,
    Route,
    RoutingConfiguration,
    Team,
    combine_urgencies,
    limit_urgency,
)


def find_route(
    configuration: RoutingConfiguration, *, host: str, path: str
) -> Route | None:
    """Return the route with the longest prefix of `path`, or `None`.

    `host` is the Host header as received; its port and case are ignored.
    """
    hostname = host.rsplit(":", 1)[0] if not host.endswith("]") else host
    index = configuration.route_indexes.get(hostname.lower())
    return None if index is None else index.find(path)


def find_key_waiver(
    configuration: RoutingConfiguration, route: Route
) -> KeyWaiver | None:
    """Return why requests on a route need no team key, `None` if they need one."""
    if route.is_public:
        return KeyWaiver.PUBLIC_ROUTE
    return None if configuration.requires_team_key else KeyWaiver.NO_TEAMS


def find_team(configuration: RoutingConfiguration, key: str | None) -> Team | None:
    """Return the team that owns `key`, or `None`."""
    return None if key is None else configuration.teams_by_key.get(key)


def find_urgency(route: Route, team: Team | None) -> int:
    """Return the urgency of a request; that of the team overrides that of the route."""
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return limit_urgency(priority)


def find_class_urgency(route: Route, team: Team | None) -> int:
    """Return the urgency of the class of a request, see `combine_urgencies`."""
    of_team = None if team is None else team.priority
    return combine_urgencies(of_team=of_team, of_route=route.priority)


def list_urgencies(
    configuration: RoutingConfiguration, service: str
) -> tuple[int, ...]:
    """Return the urgencies of the classes of a service, the most urgent first.

    Empty if no route leads to the service.
    """
    return configuration.urgencies_by_service.get(service, ())


def list_class_services(configuration: RoutingConfiguration) -> frozenset[str]:
    """Return the services with classes: their routes have more than one priority.

    Teams with different priorities alone make no classes.
    """
    return configuration.class_services


def choose_service(route: Route, request_id: str) -> str:
    """Return the service for a request, chosen at random by weight.

    The choice hashes the request id, so every instance makes the same choice.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    digest = xxhash.xxh64_intdigest(f"{route.name}/{request_id}".encode())
    point = digest / 2**64 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
