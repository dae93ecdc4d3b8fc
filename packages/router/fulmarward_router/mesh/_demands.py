"""Chooses and encodes the reports on demand that are due on a link."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from fulmarward_router.mesh._messages import DemandReport
from fulmarward_router.mesh._state import DemandScope, MeshState

#: Minimum seconds between two sets of reports on a link. Six of them are sent while a
#: report is valid, so that a few that are lost or late do not end it.
DEMANDS_INTERVAL_S = 0.25

#: The same while no request of the reported sources waits. Only the rates change then,
#: which are means over about a second.
IDLE_DEMANDS_INTERVAL_S = 0.7


@dataclass(kw_only=True)
class SentDemands:
    """What was sent on a link about demand."""

    #: When reports were last due, in seconds on the monotonic clock.
    at: float = float("-inf")
    #: The sources whose last report on the link had demand, and whether each of them is
    #: a data centre.
    sources: frozenset[tuple[str, bool]] = frozenset()
    #: Whether requests of any of them waited.
    has_waiting: bool = False


class DemandEncoder:
    """Encodes the reports on demand, once for all links of a round."""

    def __init__(self, *, state: MeshState, encode: Callable[[object], bytes]) -> None:
        self._state = state
        self._encode = encode
        #: The reports of this round, each with its encoding.
        self._reports: dict[DemandScope, list[tuple[DemandReport, bytes]]] = {}

    def clear(self) -> None:
        """Discard the messages encoded for the previous round."""
        self._reports.clear()

    def encode_due(
        self, sent: SentDemands, scopes: Sequence[DemandScope], *, now: float
    ) -> list[bytes]:
        """Return the encoded reports that are due on a link, and note them in `sent`.

        A source is reported while it has demand, and once more when it has none.
        """
        if now - sent.at < DEMANDS_INTERVAL_S:
            return []
        due = [
            (report, data)
            for scope in scopes
            for report, data in self._encode_scope(scope)
            if report.demands or (report.source, report.is_data_centre) in sent.sources
        ]
        has_waiting = any(
            item.on_time_kv or item.late_kv
            for report, _ in due
            for item in report.demands
        )
        is_idle = not has_waiting and not sent.has_waiting
        if is_idle and now - sent.at < IDLE_DEMANDS_INTERVAL_S:
            return []
        if due:
            sent.at, sent.has_waiting = now, has_waiting
        sent.sources = frozenset(
            (report.source, report.is_data_centre)
            for report, _ in due
            if report.demands
        )
        return [data for _, data in due]

    def _encode_scope(self, scope: DemandScope) -> list[tuple[DemandReport, bytes]]:
        if scope not in self._reports:
            self._reports[scope] = [
                (report, self._encode(report))
                for report in self._state.make_demand_reports(scope)
            ]
        return self._reports[scope]
