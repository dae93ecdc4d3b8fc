"""Converts demands to the messages between instances and back."""

import math
from collections.abc import Container

from fulmarward_core.demand import ClassDemand, Demands
from fulmarward_router.mesh import ClassDemandReport, DemandReport


def make_demand_report(
    source: str,
    demands: Demands,
    *,
    services: Container[str],
    boot: int | None = None,
    age_s: float = 0.0,
) -> DemandReport:
    """Return the report of a source on its demand for `services`.

    `boot` is `None` for a data centre. Amounts and the age are rounded up, so that the
    report never seems newer than it is.
    """
    return DemandReport(
        source=source,
        is_data_centre=boot is None,
        boot=boot or 0,
        age_ms=math.ceil(age_s * 1000),
        demands=tuple(
            _make_class_report(service, demand)
            for service, classes in demands.items()
            if service in services
            for demand in classes
        ),
    )


def _make_class_report(service: str, demand: ClassDemand) -> ClassDemandReport:
    return ClassDemandReport(
        service=service,
        urgency=demand.urgency,
        on_time_kv=math.ceil(demand.on_time_kv),
        late_kv=math.ceil(demand.late_kv),
        arriving_kv_per_s=math.ceil(demand.arriving_kv_per_s),
        released_kv_per_s=math.ceil(demand.released_kv_per_s),
        promised_kv=math.ceil(demand.promised_kv),
    )


def read_demands(report: DemandReport) -> Demands:
    """Return the demands in a report by service.

    Raises `ValueError` for a negative number, `OverflowError` for one beyond a float.
    """
    if report.age_ms < 0:
        raise ValueError(f"expected an age from 0 on, found {report.age_ms}")
    demands: dict[str, list[ClassDemand]] = {}
    for item in report.demands:
        demands.setdefault(item.service, []).append(
            ClassDemand(
                urgency=item.urgency,
                on_time_kv=float(item.on_time_kv),
                late_kv=float(item.late_kv),
                arriving_kv_per_s=float(item.arriving_kv_per_s),
                released_kv_per_s=float(item.released_kv_per_s),
                promised_kv=float(item.promised_kv),
            )
        )
    return {service: tuple(classes) for service, classes in demands.items()}
