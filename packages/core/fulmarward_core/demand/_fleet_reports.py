"""Reports of peers, of hubs on other data centres, and of a hub on the own one."""

from collections.abc import Callable, Mapping

from fulmarward_core.demand._reports import Entries, ReportSet, ReportSnapshot
from fulmarward_core.demand._sums import (
    Amounts,
    ClassAmounts,
    ClassKey,
    add_classes,
    find_larger_classes,
)


class FleetReports:
    """What other instances and data centres reported, and the sums of it.

    Times are in seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        own: str,
        data_centre: str,
        note_changed: Callable[[], None],
        read_amounts: Callable[[Entries], ClassAmounts],
        is_within_bounds: Callable[[Entries, ClassAmounts], bool],
    ) -> None:
        #: Names of this instance and of its data centre.
        self._own_name = own
        self._data_centre = data_centre
        self._peers, self._other_centres, self._own_centre = self._report_sets = tuple(
            ReportSet(
                note_changed=note_changed,
                read_amounts=read_amounts,
                is_within_bounds=is_within_bounds,
            )
            for _ in range(3)
        )

    def merge_report(
        self, source: str, entries: Entries, *, boot: int, at: float, now: float
    ) -> bool:
        """Replace what another instance reported; return whether it was applied."""
        if source == self._own_name:
            return False
        return self._peers.merge(source, entries, boot=boot, at=at, now=now)

    def merge_data_centre(
        self, data_centre: str, entries: Entries, *, at: float, now: float
    ) -> bool:
        """Replace the sum that a hub reported for a data centre, also for the own one.

        Of the reports of several hubs the newest one counts.
        """
        is_own = data_centre == self._data_centre
        reports = self._own_centre if is_own else self._other_centres
        return reports.merge(data_centre, entries, boot=0, at=at, now=now)

    def remove(self, source: str) -> None:
        """Drop what an instance reported, as it leaves."""
        self._peers.remove(source)

    def expire(self, *, now: float) -> None:
        """Drop the reports that are too old."""
        for reports in self._report_sets:
            reports.expire(now)

    def sum(
        self, service: str, near: Mapping[ClassKey, Amounts]
    ) -> Mapping[ClassKey, Amounts]:
        """Return the amounts of a service at all instances.

        `near` is what `sum_direct` returns for it. A hub's sum of the own data centre
        may be older than what this instance knows itself, so the larger one of both
        counts.
        """
        near = self.sum_near(service, near)
        far = self._other_centres.sum.find_classes(service)
        return add_classes([near, far]) if far else near

    def sum_direct(
        self, service: str, own: Mapping[ClassKey, Amounts]
    ) -> dict[ClassKey, Amounts]:
        """Return the amounts of this instance and of its directly linked peers."""
        return add_classes([own, self._peers.sum.find_classes(service)])

    def list_services(self) -> list[str]:
        """Return the services of which any report has amounts."""
        sums = [reports.sum.list_services() for reports in self._report_sets]
        return sorted({service for services in sums for service in services})

    def list_direct_services(self) -> list[str]:
        """Return the services of which directly linked peers reported amounts."""
        return self._peers.sum.list_services()

    def list_data_centres(self) -> Mapping[str, ReportSnapshot]:
        """Return the valid reports on other data centres, for a hub to pass on."""
        return self._other_centres.list_valid()

    def sum_near(
        self, service: str, near: Mapping[ClassKey, Amounts]
    ) -> Mapping[ClassKey, Amounts]:
        """Return the amounts of a service in the own data centre, as `sum` does."""
        reported = self._own_centre.sum.find_classes(service)
        return find_larger_classes(near, reported) if reported else near

    def list_silent_centres(self) -> frozenset[str]:
        """Return the other data centres whose last report expired with entries."""
        return self._other_centres.list_silent()

    def find_oldest_age_s(self, *, now: float) -> float | None:
        """Return the age of the oldest report in the sums, `None` if there is none."""
        times = [
            report.at
            for reports in self._report_sets
            for report in reports.list_valid().values()
        ]
        return now - min(times) if times else None
