"""Measures which targets are slow, on one instance of each data centre."""

import asyncio
from collections.abc import Callable, Iterable, Iterator

from fulmarward.observability import log_event
from fulmarward_core.catalogue import NamedTargets
from fulmarward_core.evidence import EvidenceTable
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.paces import (
    POLL_INTERVAL_S,
    REPORT_DURATION_S,
    SLOW_READ_INTERVAL_S,
    PaceTable,
    choose_polled_targets,
)
from fulmarward_router.ports import TargetDialect

#: Seconds to wait for a report.
REPORT_TIMEOUT_S = 0.25

#: Reports requested concurrently; limited so that polling does not delay streams.
MAX_CONCURRENT = 8


class PaceMonitor:
    """Polls the reports of the targets in its data centre while streams are slow.

    Guards against targets that are slow but still answer probes: paths would keep using
    them, streams would stall there, and callers disconnect after 2 s without an event.
    One instance polls for its data centre and shares the results.

    In a small fleet, it polls all targets. In a large one, it reads paces that no other
    request has read within their interval, more often those of targets that may be
    slow. All instances share what their own requests have read.
    """

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        catalogue: NamedTargets,
        paces: PaceTable,
        data_centre: str,
        is_reader: Callable[[], bool],
        sees_slow_streams: Callable[[], bool],
        read_clock: Callable[[], float],
        notify_peers: Callable[[], None],
        evidence: EvidenceTable,
        is_large: Callable[[], bool],
        list_slow_targets: Callable[[], frozenset[str]],
    ) -> None:
        self._dialect = dialect
        self._catalogue = catalogue
        self._paces = paces
        self._data_centre = data_centre
        self._is_reader = is_reader
        self._sees_slow_streams = sees_slow_streams
        self._read_clock = read_clock
        self._notify_peers = notify_peers
        #: The paces that requests for any purpose have read.
        self._evidence = evidence
        self._is_large = is_large
        #: Returns the targets on the paths of slow streams of this instance.
        self._list_slow_targets = list_slow_targets
        #: When each target was last polled, in seconds on the monotonic clock. Bounded
        #: by the catalogue.
        self._polled_at: dict[str, float] = {}

    async def run(self) -> None:
        """Poll reports while streams or targets are slow, until cancelled."""
        while True:
            interval_s = POLL_INTERVAL_S if self._is_large() else SLOW_READ_INTERVAL_S
            await asyncio.sleep(interval_s)
            now = self._read_clock()
            if self._sees_slow_streams() or self._paces.list_slow(now=now):
                await self._poll(now)

    async def _poll(self, now: float) -> None:
        """Update the paces, and notify peers if any target became slow or normal."""
        engines = list_engines(self._catalogue, data_centre=self._data_centre, now=now)
        changes = 0
        if self._is_large():
            changes += self._note_readings(engines, now)
        if self._is_reader():
            due = self._choose_due(engines, now) if self._is_large() else engines
            changes += await self._read_reports(due)
        if changes:
            self._notify_peers()

    def _note_readings(self, engines: Iterable[TargetRecord], now: float) -> int:
        """Note what other requests have read; return how many paces have changed."""
        changes = 0
        for record in engines:
            reading = self._evidence.find_reading(record.name)
            if reading is not None and now - reading.asked_at < REPORT_DURATION_S:
                changes += self._note(record, reading.pace, at=reading.asked_at)
        return changes

    def _choose_due(
        self, engines: list[TargetRecord], now: float
    ) -> list[TargetRecord]:
        """Return the targets to poll now, in a large fleet."""
        records = {record.name: record for record in engines}
        polled_at = {n: at for n, at in self._polled_at.items() if n in records}

        def find_read_at(target: str) -> float:
            reading = self._evidence.find_reading(target)
            at = float("-inf") if reading is None else reading.asked_at
            return max(at, polled_at.get(target, at))

        due = choose_polled_targets(
            list(records),
            may_be_slow=self._list_slow_targets() | set(self._paces.list_slow(now=now)),
            read_at=find_read_at,
            now=now,
        )
        self._polled_at = polled_at | dict.fromkeys(due, now)
        return [records[name] for name in due]

    async def _read_reports(self, records: list[TargetRecord]) -> int:
        """Read the reports of targets; return how many paces have changed."""
        changes = 0
        for group in batch_records(records):
            readings = [self._read_report(record) for record in group]
            changes += sum(await asyncio.gather(*readings))
        return changes

    async def _read_report(self, record: TargetRecord) -> bool:
        """Read a target's report; return whether its pace has changed."""
        report = await self._dialect.read_report(record, REPORT_TIMEOUT_S)
        if report is None:
            return False
        return self._note(record, report.pace, at=self._read_clock())

    def _note(self, record: TargetRecord, pace: float, *, at: float) -> bool:
        """Note the pace of a target; return whether it became slow or normal."""
        if not self._paces.note(record.name, pace, at=at):
            return False
        log_event("pace_changed", target=record.name, pace=pace, source="own")
        return True


def list_engines(
    catalogue: NamedTargets, *, data_centre: str, now: float
) -> list[TargetRecord]:
    """Return the targets in a data centre that have layers of a model loaded."""
    return [
        record
        for record in catalogue.list_targets(now=now)
        if record.data_centre == data_centre and record.layers is not None
    ]


def batch_records(records: list[TargetRecord]) -> Iterator[list[TargetRecord]]:
    """Yield batches of targets whose reports are requested concurrently."""
    for start in range(0, len(records), MAX_CONCURRENT):
        yield records[start : start + MAX_CONCURRENT]
