"""Applies the overflow of requests to other data centres."""

from collections.abc import Callable, Mapping

from fulmarward.observability import log_event
from fulmarward_core.demand import CentreDemand, DemandTable
from fulmarward_core.fleet import EngineModel
from fulmarward_core.overflow import CentreReport, Overflow, OverflowPlan
from fulmarward_core.paths import KvCapacity

_NO_DEMAND = CentreDemand(demands=(), age_s=0.0)


class OverflowPlanner:
    """Decides on the overflow of each service, at most each 0.1 s.

    It decides when a path is sought, so that idle services cost nothing.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        demands: DemandTable,
        measure_capacities: Callable[[str, EngineModel], Mapping[str, KvCapacity]],
        list_reached_centres: Callable[[], frozenset[str]],
        read_clock: Callable[[], float],
    ) -> None:
        self._data_centre = data_centre
        self._demands = demands
        #: Returns the KV cache of the usable targets of a service by data centre.
        self._measure_capacities = measure_capacities
        #: Returns the other data centres with an instance that was heard recently.
        self._list_reached_centres = list_reached_centres
        self._read_clock = read_clock
        self._overflows: dict[str, Overflow] = {}

    def find_plan(self, service: str, engine: EngineModel) -> OverflowPlan:
        """Return what share of the requests overflow now, and their terms."""
        overflow = self._overflows.get(service)
        if overflow is None:
            overflow = Overflow(data_centre=self._data_centre)
            self._overflows[service] = overflow
        now = self._read_clock()
        if not overflow.is_due(now=now):
            return overflow.plan
        was_overflowing = overflow.plan.is_overflowing
        plan = overflow.update(self._make_reports(service, engine, now), now=now)
        if plan.is_overflowing != was_overflowing:
            self._log_change(service, plan)
        return plan

    def is_overflowing(self, service: str) -> bool:
        """Return whether the last decision on a service was overflow."""
        overflow = self._overflows.get(service)
        return overflow is not None and overflow.plan.is_overflowing

    def _make_reports(
        self, service: str, engine: EngineModel, now: float
    ) -> dict[str, CentreReport]:
        """Return what is known of each data centre that is reached.

        A data centre sends no reports while it has no demand, so that one without a
        report counts as idle, unless its last report was one of demand.
        """
        known = self._demands.sum_by_data_centre(service, now=now)
        silent = self._demands.list_silent_data_centres(now=now)
        reached = {self._data_centre, *self._list_reached_centres()} - silent
        capacities = self._measure_capacities(service, engine)
        return {
            name: _make_report(known.get(name, _NO_DEMAND), capacity)
            for name, capacity in capacities.items()
            if name in reached
        }

    def _log_change(self, service: str, plan: OverflowPlan) -> None:
        log_event(
            "overflow_started" if plan.is_overflowing else "overflow_ended",
            service=service,
            need_kv=int(plan.need_kv),
            capacity_kv=int(plan.capacity_kv),
            spare_kv=int(plan.spare_kv),
            share=round(plan.share, 3),
            data_centres=sorted(plan.terms.data_centres or ()),
        )


def _make_report(demand: CentreDemand, capacity: KvCapacity) -> CentreReport:
    classes = demand.demands
    return CentreReport(
        arriving_kv_per_s=sum(item.arriving_kv_per_s for item in classes),
        waiting_kv=sum(item.on_time_kv + item.late_kv for item in classes),
        released_kv_per_s=sum(item.released_kv_per_s for item in classes),
        planned_kv=capacity.planned,
        free_kv=capacity.free,
        age_s=demand.age_s,
    )
