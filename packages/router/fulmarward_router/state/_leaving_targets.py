"""Targets that have said in an answer that they leave."""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import TargetRecord
from fulmarward_router.mesh import LeavingTargetReport


class PeerLinks(Protocol):
    """Sends to all instances which targets leave."""

    def notify_leaving(self, reports: Sequence[LeavingTargetReport]) -> None:
        """Send which targets have said here that they leave."""


class LeavingTargets:
    """Has targets that said that they leave count as leaving, whatever their rows say.

    A row may be older than the answer, or not be read while the store is out.
    """

    def __init__(
        self,
        *,
        catalogue: TargetCatalogue,
        read_clock: Callable[[], float],
        get_links: Callable[[], PeerLinks],
    ) -> None:
        self._catalogue = catalogue
        self._read_clock = read_clock
        self._get_links = get_links

    def record_answer(self, record: TargetRecord, *, request_id: str) -> None:
        """Record that a target has said in an answer to a request that it leaves."""
        if not self._catalogue.announce_leaving(
            record.name, process=record.process_name, at=self._read_clock()
        ):
            return
        log_event(
            "target_leave_announced",
            request=request_id,
            target=record.name,
            source="answer",
        )
        self._get_links().notify_leaving(self.make_reports([record.name]))

    def notify_all(self) -> None:
        """Send to all instances which targets are known here to leave."""
        reports = self.make_reports()
        if reports:
            self._get_links().notify_leaving(reports)

    def make_reports(
        self, targets: Iterable[str] | None = None
    ) -> tuple[LeavingTargetReport, ...]:
        """Return which of the given targets, by default all, said that they leave."""
        now = self._read_clock()
        announced = self._catalogue.list_announced()
        names = list(announced) if targets is None else targets
        return tuple(
            LeavingTargetReport(
                target=name,
                process=announced[name].process,
                age_ms=max(0, int((now - announced[name].at) * 1000)),
            )
            for name in names
            if name in announced
        )

    def merge(
        self, reports: Iterable[LeavingTargetReport], *, source: str, delay_s: float
    ) -> None:
        """Merge what targets have said to a peer, delayed in transit."""
        sent_at = self._read_clock() - delay_s
        for report in reports:
            is_new = self._catalogue.announce_leaving(
                report.target,
                process=report.process,
                at=sent_at - report.age_ms / 1000,
            )
            if is_new:
                log_event("target_leave_announced", target=report.target, source=source)
