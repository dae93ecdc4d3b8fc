"""Which route, team and service a request belongs to."""

import xxhash

from fulmarward_core.routes._types import Route, RoutingConfiguration, Team

#: Lowest urgency that targets know; 0 goes first.
LAST_URGENCY = 9


def find_route(
    configuration: RoutingConfiguration, *, host: str, path: str
) -> Route | None:
    """Return the route with the longest prefix that begins `path`, if there is one.

    `host` is the Host header as sent; its port and case do not count.
    """
    name = host.rsplit(":", 1)[0] if not host.endswith("]") else host
    for route in configuration.routes.get(name.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None


def find_team(configuration: RoutingConfiguration, key: str | None) -> Team | None:
    """Return the team that holds `key`, if there is one."""
    return None if key is None else configuration.teams_by_key.get(key)


def find_urgency(route: Route, team: Team | None) -> int:
    """Return the urgency of a request: its team's goes before its route's."""
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return max(0, min(LAST_URGENCY, priority))


def choose_service(route: Route, request_id: str) -> str:
    """Return the service that a request goes to.

    The request's id decides, so that every instance chooses alike.
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
