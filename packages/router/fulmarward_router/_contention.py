"""Demand, capacity, promises and uses of teams, for the status."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import asdict
from typing import Any, Protocol

from fulmarward_core.demand import ClassDemand, DemandTable
from fulmarward_core.fleet import EngineModel
from fulmarward_core.paths import KvCapacity
from fulmarward_core.routes import (
    RoutingConfiguration,
    list_class_services,
    list_urgencies,
)
from fulmarward_core.team_shares import TeamTable, TeamUse
from fulmarward_router.state import ConfigurationHolder, PromisedReturns

#: Bounds on the services and the classes of each that are described.
MAX_SERVICES = 64
MAX_CLASSES = 16

#: Largest amount that is shown. JSON readers represent integers exactly up to it, and
#: the sum of many reports may exceed what the encoder accepts.
MAX_SHOWN_KV = 2**53


class CapacitySource(Protocol):
    """Measures the capacity of services."""

    def measure_capacity(self, service: str, engine: EngineModel) -> KvCapacity:
        """Return the KV cache of the usable targets of a service."""


class ContentionSource(Protocol):
    """The parts of an instance that decide under contention."""

    configuration: ConfigurationHolder
    demands: DemandTable
    teams: TeamTable
    promised_returns: PromisedReturns
    engines: CapacitySource


def describe_contention(instance: ContentionSource, *, now: float) -> dict[str, Any]:
    """Return the demand of each class and what is promised, in tokens x layers.

    At most `MAX_SERVICES` services with `MAX_CLASSES` classes each are described, the
    first by name and the most urgent ones. An amount that is not finite is `None`.
    The uses of teams are those of services with and without classes.
    """
    configuration = instance.configuration.current
    names = [] if configuration is None else sorted(list_class_services(configuration))
    age_s = instance.demands.find_oldest_report_age_s(now=now)
    own = instance.demands.list_own(now=now) if names else {}
    return {
        "oldest_report_s_ago": None if age_s is None else round(age_s, 3),
        "services": {
            service: {
                "capacity": _describe_capacity(instance, configuration, service),
                "classes": _describe_classes(
                    instance,
                    service,
                    urgencies=list_urgencies(configuration, service),
                    own={demand.urgency: demand for demand in own.get(service, ())},
                    now=now,
                ),
            }
            for service in names[:MAX_SERVICES]
        },
        "omitted_services": max(0, len(names) - MAX_SERVICES),
        "promises": asdict(instance.promised_returns.counts),
        "teams": {
            service: _describe_teams(instance.teams, service, now)
            for service in instance.teams.list_services()[:MAX_SERVICES]
        },
    }


def _describe_teams(teams: TeamTable, service: str, now: float) -> list[dict[str, Any]]:
    """Return what the teams use and wait for, those with the most in each class.

    The fleet's uses are known while a request of the class waits anywhere.
    """
    fleet = {(u.urgency, u.team): u for u in teams.list_uses(service, now=now)}
    own = {(u.urgency, u.team): u for u in teams.list_own_uses(service)}
    return [
        {
            "urgency": urgency,
            "team": team,
            "fleet": _describe_use(use),
            "own": _describe_use(own.get((urgency, team))),
        }
        for (urgency, team), use in fleet.items()
    ]


def _describe_use(use: TeamUse | None) -> dict[str, int | None] | None:
    """Return the amounts of a team, `None` if it has no use."""
    if use is None:
        return None
    return {
        "used_kv": _round_kv(use.used_kv),
        "waiting_kv": _round_kv(use.waiting_kv),
    }


def _describe_capacity(
    instance: ContentionSource, configuration: RoutingConfiguration, service: str
) -> dict[str, int | None] | None:
    """Return the capacity of a service, `None` if it has no engine."""
    spec = configuration.services.get(service)
    if spec is None or spec.engine is None:
        return None
    capacity = instance.engines.measure_capacity(service, spec.engine)
    return {
        "planned_kv": _round_kv(capacity.planned),
        "free_kv": _round_kv(capacity.free),
    }


def _describe_classes(
    instance: ContentionSource,
    service: str,
    *,
    urgencies: Sequence[int],
    own: Mapping[int, ClassDemand],
    now: float,
) -> list[dict[str, Any]]:
    """Return the classes by urgency: those configured, and others with demand."""
    fleet = {d.urgency: d for d in instance.demands.sum(service, now=now)}
    promised = instance.promised_returns.sum_kv(service, due_within_s=math.inf)
    listed = sorted({*urgencies, *fleet, *own, *promised})[:MAX_CLASSES]
    return [
        {
            "urgency": urgency,
            "fleet": _describe_demand(fleet.get(urgency)),
            "own": _describe_demand(own.get(urgency)),
            "promised_kv": _round_kv(promised.get(urgency, 0.0)),
        }
        for urgency in listed
    ]


def _describe_demand(demand: ClassDemand | None) -> dict[str, int | None] | None:
    """Return the amounts of a class, `None` if it has no demand."""
    if demand is None:
        return None
    return {
        "on_time_kv": _round_kv(demand.on_time_kv),
        "late_kv": _round_kv(demand.late_kv),
        "arriving_kv_per_s": _round_kv(demand.arriving_kv_per_s),
        "released_kv_per_s": _round_kv(demand.released_kv_per_s),
    }


def _round_kv(kv: float) -> int | None:
    """Return an amount as an integer, `None` if it is not finite."""
    return round(min(kv, MAX_SHOWN_KV)) if math.isfinite(kv) else None
