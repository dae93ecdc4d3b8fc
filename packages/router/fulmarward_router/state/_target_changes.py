"""Handles changes of targets."""

from collections.abc import Callable

from fulmarward.observability import log_event
from fulmarward_core.catalogue import KnownRow
from fulmarward_core.fleet import MAX_TEXT_BYTES, RowFault, TargetRecord
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router._supervision import log_failure

#: Maximum characters of the name of a target in a log line about an error.
MAX_LOGGED_NAME = 200


class TargetChangeHandler:
    """Logs changes of targets and forgets what is believed of a restarted one."""

    def __init__(
        self,
        *,
        suspicions: SuspicionTable,
        notify_peers: Callable[[], None],
        record_process: Callable[[TargetRecord], None],
        forget_answers: Callable[[str], None] = lambda target: None,
        count_refused: Callable[[RowFault], None] = lambda fault: None,
        record_failure: Callable[..., object] = log_failure,
        list_misfits: Callable[[], dict[str, RowFault]] = dict,
    ) -> None:
        self._count_refused = count_refused
        #: Records an unforeseen error in a duty.
        self._record_failure = record_failure
        #: Returns why listed targets cannot be used by the configured services.
        self._list_misfits = list_misfits
        self._misfits: dict[str, RowFault] = {}
        self._suspicions = suspicions
        #: Called with a target that has started, or is known again.
        self._record_process = record_process
        #: Called with a target that has left, or whose answers were those of another
        #: process.
        self._forget_answers = forget_answers
        self._notify_peers = notify_peers
        #: Start time of each known target, in ms since 1970, and the names of those
        #: that are leaving.
        self._started_ms: dict[str, int] = {}
        self._leaving: set[str] = set()

    def handle_changes(self, rows: list[KnownRow]) -> None:
        """Handle rows that have changed; an error in one leaves the others alone."""
        if any(self._is_loss(row) for row in rows):
            # Peers must stop sending requests there too.
            self._notify_peers()
        for row in rows:
            try:
                self._handle_change(row)
            except Exception as error:
                name = row.name[:MAX_LOGGED_NAME]
                self._record_failure("targets", error, target=name)
        self._handle_misfits()

    def _handle_change(self, row: KnownRow) -> None:
        if row.superseded_by is not None:
            self._handle_superseded(row)
        elif row.fault is not None:
            self._handle_refused(row)
        elif row.record is None:
            self._handle_removal(row)
        else:
            self._handle_record(row)

    def _handle_misfits(self) -> None:
        """Log which targets cannot be used, if that is new or for another reason."""
        before, self._misfits = self._misfits, self._list_misfits()
        for name, fault in self._misfits.items():
            if before.get(name) is not fault:
                self._count_refused(fault)
                log_event("target_misfit", target=name, reason=fault.value)

    def _is_loss(self, row: KnownRow) -> bool:
        """Return whether a row means that a target gets no more requests."""
        if row.fault is not None:
            return row.name in self._started_ms
        return row.record is None or row.record.is_leaving

    def _handle_refused(self, row: KnownRow) -> None:
        """Log a row that describes no usable target, once for each content."""
        self._leaving.discard(row.name)
        self._forget_answers(row.name)
        self._count_refused(row.fault)
        log_event(
            "target_row_refused",
            target=row.name[:MAX_TEXT_BYTES],
            reason=row.fault.value,
            store_version=row.version,
            was_used=self._started_ms.pop(row.name, None) is not None,
        )

    def _handle_removal(self, row: KnownRow) -> None:
        self._leaving.discard(row.name)
        self._forget_answers(row.name)
        if self._started_ms.pop(row.name, None) is not None:
            log_event("target_removed", target=row.name, store_version=row.version)

    def _handle_superseded(self, row: KnownRow) -> None:
        """Have the streams through a target rerouted whose address is another's."""
        self._leaving.discard(row.name)
        self._started_ms.pop(row.name, None)
        self._forget_answers(row.name)
        self._suspicions.record_failure(row.name, now=row.heard_at, reason="address")
        log_event(
            "target_superseded",
            target=row.name,
            successor=row.superseded_by,
            store_version=row.version,
        )

    def _handle_record(self, row: KnownRow) -> None:
        record = row.record
        known = self._started_ms.get(row.name)
        self._started_ms[row.name] = record.started_ms
        if known is None or known != record.started_ms:
            self._suspicions.record_restart(row.name)
            self._forget_answers(row.name)
            self._record_process(record)
            log_event(
                "target_started",
                target=row.name,
                address=record.address,
                service=record.service,
                started_ms=record.started_ms,
                store_version=row.version,
            )
        if record.is_leaving and row.name not in self._leaving:
            self._leaving.add(row.name)
            log_event(
                "target_leave_announced",
                target=row.name,
                source="store",
                store_version=row.version,
            )
