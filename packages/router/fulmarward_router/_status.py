"""The status of an instance: its current view of the system, for operators."""

from collections.abc import Sequence
from dataclasses import asdict
from typing import Any, Protocol

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import (
    MAX_TEXT_BYTES,
    TargetRecord,
    find_engine_misfit,
    find_misfit,
)
from fulmarward_core.isolation import ContactTable
from fulmarward_core.layers import count_holders, find_gaps, group_by_data_centre
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router._contention import ContentionSource, describe_contention
from fulmarward_router._life import Life
from fulmarward_router._supervision import TaskSupervisor
from fulmarward_router.mesh import InstanceIdentity, MemberTable
from fulmarward_router.placement import LeaseKeeper
from fulmarward_router.state import PoisonKnowledge, StoreWatch, TargetLimits

#: Upper bound on the rows without a usable target that a status lists.
MAX_REFUSED_ROWS = 100


class StatusSource(ContentionSource, Protocol):
    """The parts of an instance that its status describes."""

    own: InstanceIdentity
    life: Life
    members: MemberTable
    catalogue: TargetCatalogue
    suspicions: SuspicionTable
    watch: StoreWatch
    lease: LeaseKeeper
    contacts: ContactTable
    poison: PoisonKnowledge
    target_limits: TargetLimits
    supervisor: TaskSupervisor


def describe_status(instance: StatusSource, *, now: float) -> dict[str, Any]:
    """Return the status of an instance, with ages in seconds."""
    catalogue = instance.catalogue
    unreachable_since = instance.watch.unreachable_since
    refused_row = instance.configuration.refused_row
    return {
        "instance": instance.own.name,
        "state": instance.life.state,
        "failed_tasks": [
            {
                "duty": duty,
                "failures": failures.total,
                "in_a_row": failures.in_a_row,
                "cause": failures.cause,
                "failed_s_ago": round(now - failures.failed_at, 3),
            }
            for duty, failures in sorted(instance.supervisor.failures.items())
        ],
        "configuration": {
            "version": instance.configuration.version,
            "confirmed_s_ago": _count_age(instance.configuration.confirmed_at, now),
            "refused": None if refused_row is None else asdict(refused_row),
        },
        "store": {
            "is_reachable": unreachable_since is None,
            "out_for_s": None
            if unreachable_since is None
            else round(now - unreachable_since, 3),
            "era": instance.watch.era,
            "era_known_for_s": _count_age(instance.watch.era_since, now),
            "restores": instance.watch.restores,
        },
        "targets": {
            "store_version": catalogue.version,
            "confirmed_s_ago": _count_age(catalogue.confirmed_at, now),
            "known": _describe_targets(instance, now),
            "refused_rows": _describe_refused(catalogue),
        },
        "unreached_services": [
            {
                "service": service,
                "contact": known.contact.value,
                "for_s": round(now - known.since, 3),
            }
            for service, known in instance.contacts.list_unreached().items()
        ],
        "rejected_crash_patterns": [
            {
                "patterns": sorted(finding.patterns),
                "team": finding.team,
                "verdict": finding.verdict.value,
                "evidence": finding.evidence,
                "targets": sorted(finding.targets),
                "last_crash_s_ago": round(now - finding.last_crash_at, 3),
            }
            for finding in instance.poison.findings
        ],
        "target_limits": [
            {
                "target": target,
                "per_s": known.per_s,
                "owner": instance.target_limits.find_owner(target),
                "observed_s_ago": round(now - known.observed_at, 3),
            }
            for target, known in instance.target_limits.table.list_known().items()
            if known.per_s is not None
        ],
        "target_backoffs": [
            {
                "target": target,
                "left_s": round(
                    instance.target_limits.backoffs.find_left_s(target, now=now), 3
                ),
            }
            for target in sorted(instance.target_limits.list_backed_off())
        ],
        "layers": _describe_layers(instance, now),
        "contention": describe_contention(instance, now=now),
        "lease": {
            "holder": instance.lease.holder,
            "is_held_here": instance.lease.is_held(),
            "fencing": instance.lease.fencing,
        },
        "instances": [
            {
                "name": member.identity.name,
                "data_centre": member.identity.data_centre,
                "heard_s_ago": round(now - member.heard_at, 3),
                "is_ready": member.state is not None and member.state.is_ready,
            }
            for member in instance.members.list_all()
        ],
    }


def _count_age(at: float, now: float) -> float | None:
    return None if at == float("-inf") else round(now - at, 3)


def _describe_targets(instance: StatusSource, now: float) -> list[dict[str, Any]]:
    announced = instance.catalogue.list_announced()
    current = instance.configuration.current
    services = {} if current is None else current.services
    return [
        {
            "name": record.name,
            "service": record.service,
            "misfit": None if misfit is None else misfit.value,
            "address": record.address,
            "data_centre": record.data_centre,
            "kind": record.kind,
            "layers": (
                None
                if record.layers is None
                else [record.layers.start, record.layers.end]
            ),
            "is_leaving": record.is_leaving,
            "has_announced_leaving": record.name in announced,
            "is_suspect": instance.suspicions.is_suspect(record.name, now=now),
        }
        for record in instance.catalogue.list_targets(now=now)
        for misfit in [find_misfit(record, services)]
    ]


def _describe_refused(catalogue: TargetCatalogue) -> list[dict[str, Any]]:
    """Return the rows that describe no usable target, the latest first."""
    refused = sorted(catalogue.list_refused(), key=lambda row: -row.version)
    return [
        {
            "name": row.name[:MAX_TEXT_BYTES],
            "reason": row.fault.value,
            "store_version": row.version,
        }
        for row in refused[:MAX_REFUSED_ROWS]
    ]


def _describe_layers(instance: StatusSource, now: float) -> dict[str, Any]:
    """Return the coverage and the missing layers of each engine service."""
    current = instance.configuration.current
    services = {} if current is None else current.services
    described = {}
    for spec in services.values():
        if spec.engine is None:
            continue
        holders = [
            record
            for record in instance.catalogue.list_targets(now=now)
            if record.service == spec.name
            and record.layers is not None
            and find_engine_misfit(record, spec.engine) is None
        ]
        layers = spec.engine.layers
        ranges = [record.layers for record in holders]
        described[spec.name] = {
            "least_holders": min(count_holders(layers, ranges)),
            "missing": _describe_missing(layers, holders),
            "missing_by_data_centre": {
                data_centre: _describe_missing(layers, members)
                for data_centre, members in group_by_data_centre(holders).items()
            },
        }
    return described


def _describe_missing(
    layers: int, holders: Sequence[TargetRecord]
) -> list[tuple[int, int]]:
    gaps = find_gaps(layers, [record.layers for record in holders])
    return [(gap.start, gap.end) for gap in gaps]
