"""Chooses and encodes the reports on demand and teams that are due on a link."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from fulmarward_router.mesh._messages import (
    ClassDemandReport,
    DemandReport,
    TeamReport,
    TeamUseReport,
)
from fulmarward_router.mesh._state import DemandScope, MeshState

#: A report, and its entries: one for each class, or for each team of a class.
Report = DemandReport | TeamReport
Entries = tuple[ClassDemandReport, ...] | tuple[TeamUseReport, ...]

#: Minimum seconds between two sets of reports on a link. Six of them are sent while a
#: report is valid, so that a few that are lost or late do not end it.
DEMANDS_INTERVAL_S = 0.25

#: The same while no request of the reported sources waits. Only the rates change then,
#: which are means over about a second.
IDLE_DEMANDS_INTERVAL_S = 0.7


@dataclass(kw_only=True)
class SentReports:
    """What was sent on a link about demand, or about teams."""

    #: When reports were last due, in seconds on the monotonic clock.
    at: float = float("-inf")
    #: The sources whose last report on the link had entries, and whether each of them
    #: is a data centre.
    sources: frozenset[tuple[str, bool]] = frozenset()
    #: Whether requests of any of them waited.
    has_waiting: bool = False


class ReportEncoder:
    """Encodes the reports of one kind, once for all links of a round."""

    def __init__(
        self,
        *,
        make_reports: Callable[[DemandScope], Sequence[Report]],
        list_entries: Callable[[Report], Entries],
        has_waiting: Callable[[Entries], bool],
        encode: Callable[[object], bytes],
    ) -> None:
        self._make_reports = make_reports
        self._list_entries = list_entries
        #: Returns whether requests wait, given the entries of a report.
        self._has_waiting = has_waiting
        self._encode = encode
        #: The reports of this round, each with its encoding.
        self._reports: dict[DemandScope, list[tuple[Report, bytes]]] = {}

    def clear(self) -> None:
        """Discard the messages encoded for the previous round."""
        self._reports.clear()

    def encode_due(
        self, sent: SentReports, scopes: Sequence[DemandScope], *, now: float
    ) -> list[bytes]:
        """Return the encoded reports that are due on a link, and note them in `sent`.

        A source is reported while it has entries, and once more when it has none.
        """
        if now - sent.at < DEMANDS_INTERVAL_S:
            return []
        due = [
            (report, data)
            for scope in scopes
            for report, data in self._encode_scope(scope)
            if self._list_entries(report)
            or (report.source, report.is_data_centre) in sent.sources
        ]
        has_waiting = any(
            self._has_waiting(self._list_entries(report)) for report, _ in due
        )
        is_idle = not has_waiting and not sent.has_waiting
        if is_idle and now - sent.at < IDLE_DEMANDS_INTERVAL_S:
            return []
        if due:
            sent.at, sent.has_waiting = now, has_waiting
        sent.sources = frozenset(
            (report.source, report.is_data_centre)
            for report, _ in due
            if self._list_entries(report)
        )
        return [data for _, data in due]

    def _encode_scope(self, scope: DemandScope) -> list[tuple[Report, bytes]]:
        if scope not in self._reports:
            self._reports[scope] = [
                (report, self._encode(report)) for report in self._make_reports(scope)
            ]
        return self._reports[scope]


def make_demand_encoder(
    *, state: MeshState, encode: Callable[[object], bytes]
) -> ReportEncoder:
    """Return an encoder of the reports on demand."""

    def make_reports(scope: DemandScope) -> Sequence[Report]:
        # Looked up in each round: mesh states that never report need not have it.
        return state.make_demand_reports(scope)

    return ReportEncoder(
        make_reports=make_reports,
        list_entries=lambda report: report.demands,
        has_waiting=lambda demands: any(
            item.on_time_kv or item.late_kv for item in demands
        ),
        encode=encode,
    )


def make_team_encoder(
    *, state: MeshState, encode: Callable[[object], bytes]
) -> ReportEncoder:
    """Return an encoder of the reports on teams.

    A class is listed only while a request of it waits at any instance.
    """

    def make_reports(scope: DemandScope) -> Sequence[Report]:
        # Looked up in each round: mesh states that never report need not have it.
        return state.make_team_reports(scope)

    return ReportEncoder(
        make_reports=make_reports,
        list_entries=lambda report: report.uses,
        has_waiting=bool,
        encode=encode,
    )
