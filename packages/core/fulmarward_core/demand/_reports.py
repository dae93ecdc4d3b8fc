"""The last reports of peers or data centres on amounts, until they expire."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from fulmarward_core.demand._sums import AmountSum, ClassAmounts, Demands

#: What a source reports: by service, an entry for each class.
Entries = Mapping[str, tuple[Any, ...]]

#: Seconds for which a report is valid after it was made. Sources without valid report
#: count as without demand.
REPORT_DURATION_S = 1.5

#: Bounds on what is kept, and on one report.
MAX_SOURCES = 4096
MAX_SERVICES = 64
MAX_CLASSES = 16

#: Largest amount in a report; a float represents integers exactly up to it.
MAX_AMOUNT = 2**53


@dataclass(frozen=True, kw_only=True)
class ReportSnapshot:
    """What a source reported."""

    #: When the report was made, in seconds on the monotonic clock here.
    at: float
    #: Entries by service; for demands, one for each class.
    entries: Entries


@dataclass(frozen=True, kw_only=True, slots=True)
class _Report:
    """The last report of a source; without entries after it has expired."""

    boot: int
    at: float
    entries: Entries = field(default_factory=dict)
    #: The amounts in the entries, as they are in the sum.
    amounts: ClassAmounts = field(default_factory=dict)
    #: Whether the source was neither removed nor has the report expired.
    is_valid: bool = True
    #: Whether the report expired while it had entries.
    is_silent: bool = False


class ReportSet:
    """The last report of each source, and the sum of those that are valid."""

    def __init__(
        self,
        *,
        note_changed: Callable[[], None],
        read_amounts: Callable[[Entries], ClassAmounts],
        is_within_bounds: Callable[[Entries, ClassAmounts], bool],
    ) -> None:
        #: Called whenever the sum changes.
        self._note_changed = note_changed
        #: Returns the amounts in the entries of a report, rounded to integers.
        self._read_amounts = read_amounts
        self._is_within_bounds = is_within_bounds
        self._reports: dict[str, _Report] = {}
        self.sum = AmountSum()
        #: No report expires before this time.
        self.next_expiry = float("inf")

    def merge(
        self, source: str, entries: Entries, *, boot: int, at: float, now: float
    ) -> bool:
        """Replace what a source reported; return whether the report was applied.

        One that has expired, is older than the known one or exceeds a bound is ignored.
        """
        known = self._reports.get(source)
        amounts = self._read_amounts(entries)
        if not now - at <= REPORT_DURATION_S:
            return False
        if not self._is_within_bounds(entries, amounts):
            return False
        if known is None and not self._make_room(now):
            return False
        if known is not None and (boot, at) < (known.boot, known.at):
            return False
        report = _Report(boot=boot, at=min(at, now), entries=entries, amounts=amounts)
        self._set(source, report)
        self.next_expiry = min(self.next_expiry, at + REPORT_DURATION_S)
        return True

    def remove(self, source: str) -> None:
        """Drop what a source reported, but keep its start time for older reports."""
        known = self._reports.get(source)
        if known is not None:
            self._invalidate(source, known)

    def expire(self, now: float) -> None:
        """Drop the reports that are too old."""
        if now <= self.next_expiry:
            return
        self.next_expiry = float("inf")
        for source, report in list(self._reports.items()):
            if not report.is_valid:
                continue
            if now - report.at > REPORT_DURATION_S:
                self._invalidate(source, report, is_silent=bool(report.entries))
            else:
                end = report.at + REPORT_DURATION_S
                self.next_expiry = min(self.next_expiry, end)

    def list_valid(self) -> dict[str, ReportSnapshot]:
        """Return the valid reports by source."""
        return {
            source: ReportSnapshot(at=report.at, entries=report.entries)
            for source, report in self._reports.items()
            if report.is_valid
        }

    def list_silent(self) -> frozenset[str]:
        """Return the sources that sent nothing after a report with entries.

        One that has none left says so once, and is not among them.
        """
        return frozenset(
            source for source, report in self._reports.items() if report.is_silent
        )

    def _invalidate(
        self, source: str, report: _Report, *, is_silent: bool = False
    ) -> None:
        ended = _Report(
            boot=report.boot, at=report.at, is_valid=False, is_silent=is_silent
        )
        self._set(source, ended)

    def _set(self, source: str, report: _Report) -> None:
        known = self._reports.get(source)
        amounts: ClassAmounts = {} if known is None else known.amounts
        self._reports[source] = report
        if amounts != report.amounts:
            self.sum.replace(amounts, report.amounts)
            self._note_changed()

    def _make_room(self, now: float) -> bool:
        """Return whether one more source fits; drop those without entries if needed."""
        if len(self._reports) < MAX_SOURCES:
            return True
        self.expire(now)
        self._reports = {
            source: report for source, report in self._reports.items() if report.entries
        }
        return len(self._reports) < MAX_SOURCES


def is_within_bounds(demands: Demands, amounts: ClassAmounts) -> bool:
    """Return whether a report has no class twice, nor too many or too large ones."""
    sizes = [len(classes) for classes in demands.values()]
    return (
        len(sizes) <= MAX_SERVICES
        and max(sizes, default=0) <= MAX_CLASSES
        and sum(sizes) == len(amounts)
        and all(max(item) <= MAX_AMOUNT for item in amounts.values())
    )
