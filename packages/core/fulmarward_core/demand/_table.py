"""Demand of each class: requests of this instance, and reports of others."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from fulmarward_core.demand._fleet_reports import FleetReports
from fulmarward_core.demand._rates import RateWindow
from fulmarward_core.demand._reports import (
    MAX_AMOUNT,
    MAX_CLASSES,
    MAX_SERVICES,
    ReportSnapshot,
    is_within_bounds,
)
from fulmarward_core.demand._sums import (
    Amounts,
    Demands,
    make_class_demands,
    round_amounts,
)
from fulmarward_core.demand._types import CentreDemand, ClassDemand

#: Seconds for which a sum is reused while nothing is recorded or reported. Waiting
#: requests ask for it many times a second, and only the rates change in between.
_REUSE_S = 0.02


@dataclass(kw_only=True)
class _OwnClass:
    """What this instance recorded for a class."""

    on_time_kv: float = 0.0
    late_kv: float = 0.0
    arrivals: RateWindow = field(default_factory=RateWindow)
    releases: RateWindow = field(default_factory=RateWindow)

    def find_amounts(self, now: float) -> Amounts:
        # Promises are sent one by one, not as a sum.
        promised_kv = 0.0
        return (
            self.on_time_kv,
            self.late_kv,
            self.arrivals.find_rate(now=now),
            self.releases.find_rate(now=now),
            promised_kv,
        )


@dataclass(frozen=True, kw_only=True)
class _CachedSum:
    """The sum of a service, and while it may be reused."""

    revision: int
    since: float
    until: float
    demands: tuple[ClassDemand, ...]


class DemandTable:
    """Demand by service and urgency, of this instance and of those that report theirs.

    Amounts are in tokens x layers of KV cache, times in seconds on the monotonic clock.
    """

    def __init__(self, *, own: str, data_centre: str = "") -> None:
        self._data_centre = data_centre
        self._own: dict[str, dict[int, _OwnClass]] = {}
        #: Increases with each change, apart from the rates that fall with time.
        self.revision = 0
        self._reports = FleetReports(
            own=own,
            data_centre=data_centre,
            note_changed=self._note_changed,
            read_amounts=round_amounts,
            is_within_bounds=is_within_bounds,
        )
        self._cached_sums: dict[str, _CachedSum] = {}

    def _note_changed(self) -> None:
        self.revision += 1

    def record_arrival(
        self, service: str, urgency: int, kv: float, *, now: float
    ) -> None:
        """Record that a request arrived which needs `kv`."""
        _check_amounts(kv)
        self._change(service, urgency, now, lambda it: it.arrivals.add(kv, now=now))

    def record_released(
        self, service: str, urgency: int, kv: float, *, now: float
    ) -> None:
        """Record that a request of a class released `kv`."""
        _check_amounts(kv)
        self._change(service, urgency, now, lambda it: it.releases.add(kv, now=now))

    def set_waiting(
        self,
        service: str,
        urgency: int,
        *,
        on_time_kv: float,
        late_kv: float,
        now: float,
    ) -> None:
        """Replace what the waiting requests of a class need at this instance."""
        _check_amounts(on_time_kv, late_kv)

        def replace(known: _OwnClass) -> None:
            known.on_time_kv, known.late_kv = on_time_kv, late_kv

        self._change(service, urgency, now, replace)

    def _change(
        self,
        service: str,
        urgency: int,
        now: float,
        change: Callable[[_OwnClass], None],
    ) -> None:
        """Change what is recorded for a class; ignored if there are too many classes.

        Classes without demand make room for new ones, and so does the least urgent one
        for one that is more urgent.
        """
        if service not in self._own and len(self._own) >= MAX_SERVICES:
            self._drop_idle(now)
            if len(self._own) >= MAX_SERVICES:
                return
        classes = self._own.setdefault(service, {})
        if urgency not in classes and len(classes) >= MAX_CLASSES:
            if not _make_room(classes, urgency, now):
                return
        change(classes.setdefault(urgency, _OwnClass()))
        self.revision += 1

    def _drop_idle(self, now: float) -> None:
        self._own = {
            service: classes
            for service, classes in self._own.items()
            if any(any(known.find_amounts(now)) for known in classes.values())
        }

    def _find_own_classes(self, service: str, now: float) -> dict[int, Amounts]:
        return {
            urgency: known.find_amounts(now)
            for urgency, known in self._own.get(service, {}).items()
        }

    def list_own(self, *, now: float) -> Demands:
        """Return the demand of this instance by service, for its peers."""
        demands = {
            service: make_class_demands(self._find_own_classes(service, now))
            for service in self._own
        }
        return {service: found for service, found in demands.items() if found}

    def merge_report(
        self, source: str, demands: Demands, *, boot: int, at: float, now: float
    ) -> bool:
        """Replace what another instance reported of its own demand.

        `boot` is when its process started and `at` when the report was made. Returns
        whether it was applied: one that has expired, is of an earlier start, is older
        than the known one or exceeds a bound is ignored.
        """
        return self._reports.merge_report(source, demands, boot=boot, at=at, now=now)

    def merge_data_centre(
        self, data_centre: str, demands: Demands, *, at: float, now: float
    ) -> bool:
        """Replace the sum that a hub reported for a data centre, also for the own one.

        Of the reports of several hubs the newest one counts. Returns whether it was
        applied, as `merge_report` does.
        """
        return self._reports.merge_data_centre(data_centre, demands, at=at, now=now)

    def remove(self, source: str) -> None:
        """Drop what an instance reported, as it leaves."""
        self._reports.remove(source)

    def sum(self, service: str, *, now: float) -> tuple[ClassDemand, ...]:
        """Return the demand of a service at all instances, by class in order.

        A hub's sum of the own data centre may be older than what this instance knows
        itself, so the larger one of both counts.
        """
        self._reports.expire(now=now)
        known = self._cached_sums.get(service)
        if (
            known is not None
            and known.revision == self.revision
            and known.since <= now <= known.until
        ):
            return known.demands
        near = self._sum_direct(service, now)
        demands = make_class_demands(self._reports.sum(service, near))
        if service not in self._cached_sums and len(self._cached_sums) >= MAX_SERVICES:
            self._cached_sums.clear()
        self._cached_sums[service] = _CachedSum(
            revision=self.revision, since=now, until=now + _REUSE_S, demands=demands
        )
        return demands

    def sum_data_centre(self, *, now: float) -> Demands:
        """Return the demand by service of this instance and its directly linked peers.

        A hub reports it as that of its data centre.
        """
        self._reports.expire(now=now)
        services = sorted({*self._own, *self._reports.list_direct_services()})
        demands = {
            service: make_class_demands(self._sum_direct(service, now))[:MAX_CLASSES]
            for service in services
        }
        listed = [item for item in demands.items() if item[1]]
        return dict(listed[:MAX_SERVICES])

    def list_data_centres(self, *, now: float) -> Mapping[str, ReportSnapshot]:
        """Return the valid reports on other data centres, for a hub to pass on."""
        self._reports.expire(now=now)
        return self._reports.list_data_centres()

    def sum_by_data_centre(
        self, service: str, *, now: float
    ) -> dict[str, CentreDemand]:
        """Return the demand of a service by data centre, where it is known.

        Others are without demand, unless `list_silent_data_centres` names them.
        """
        self._reports.expire(now=now)
        near = self._reports.sum_near(service, self._sum_direct(service, now))
        own = CentreDemand(demands=make_class_demands(near), age_s=0.0)
        return {
            **{
                name: CentreDemand(
                    demands=known.entries.get(service, ()), age_s=now - known.at
                )
                for name, known in self._reports.list_data_centres().items()
            },
            self._data_centre: own,
        }

    def list_silent_data_centres(self, *, now: float) -> frozenset[str]:
        """Return the others that reported demand, but not within the last 1.5 s."""
        self._reports.expire(now=now)
        return self._reports.list_silent_centres()

    def find_oldest_report_age_s(self, *, now: float) -> float | None:
        """Return the age of the oldest report in the sums, `None` if there is none."""
        self._reports.expire(now=now)
        return self._reports.find_oldest_age_s(now=now)

    def _sum_direct(self, service: str, now: float) -> dict[int, Amounts]:
        own = self._find_own_classes(service, now)
        return self._reports.sum_direct(service, own)


def _make_room(classes: dict[int, _OwnClass], urgency: int, now: float) -> bool:
    """Drop a class for one of `urgency`; return whether there was one to drop."""
    idle = [u for u, known in classes.items() if not any(known.find_amounts(now))]
    dropped = max(idle or classes)
    if not idle and dropped < urgency:
        return False
    del classes[dropped]
    return True


def _check_amounts(*amounts: float) -> None:
    """Raise `ValueError` unless all amounts are within bounds."""
    for amount in amounts:
        if not 0 <= amount <= MAX_AMOUNT:
            raise ValueError(f"expected a number from 0 to 2^53, found {amount}")
