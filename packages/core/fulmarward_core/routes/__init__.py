"""Routing configuration, and the choice of route, team and service for a request."""

from fulmarward_core.routes._types import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceShare,
    Team,
)
from fulmarward_core.routes.decisions import (
    choose_service,
    find_class_urgency,
    find_route,
    find_team,
    find_urgency,
    list_class_services,
    list_urgencies,
)

__all__ = [
    "CallerLimits",
    "Route",
    "RouteKind",
    "RoutingConfiguration",
    "ServiceShare",
    "Team",
    "choose_service",
    "find_route",
    "find_team",
    "find_class_urgency",
    "find_urgency",
    "list_class_services",
    "list_urgencies",
]
