"""Routing configuration, and the choice of route, team and service for a request."""

from fulmarward_core.routes._types import (
    ROUTES_PER_STEP,
    CallerLimits,
    KeyWaiver,
    Route,
    RouteKind,
    RouteTables,
    RoutingConfiguration,
    ServiceShare,
    Team,
    build_tables,
)
from fulmarward_core.routes.decisions import (
    choose_service,
    find_class_urgency,
    find_key_waiver,
    find_route,
    find_team,
    find_urgency,
    list_class_services,
    list_urgencies,
)

__all__ = [
    "ROUTES_PER_STEP",
    "CallerLimits",
    "KeyWaiver",
    "Route",
    "RouteKind",
    "RouteTables",
    "RoutingConfiguration",
    "ServiceShare",
    "Team",
    "build_tables",
    "choose_service",
    "find_route",
    "find_team",
    "find_class_urgency",
    "find_key_waiver",
    "find_urgency",
    "list_class_services",
    "list_urgencies",
]
