"""Decisions that select the route, team, urgency and service of a request."""

import xxhash

from fulmarward_core.routes._types import Route, RoutingConfiguration, Team

#: Least urgent value that targets accept; 0 is served first.
LEAST_URGENT = 9


def find_route(
    configuration: RoutingConfiguration, *, host: str, path: str
) -> Route | None:
    """Return the route with the longest prefix of `path`, or `None`.

    `host` is the Host header as received; its port and case are ignored.
    """
    hostname = host.rsplit(":", 1)[0] if not host.endswith("]") else host
    index = configuration.route_indexes.get(hostname.lower())
    return None if index is None else index.find(path)


def find_team(configuration: RoutingConfiguration, key: str | None) -> Team | None:
    """Return the team that owns `key`, or `None`."""
    return None if key is None else configuration.teams_by_key.get(key)


def find_urgency(route: Route, team: Team | None) -> int:
    """Return the urgency of a request; that of the team overrides that of the route."""
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return max(0, min(LEAST_URGENT, priority))


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
