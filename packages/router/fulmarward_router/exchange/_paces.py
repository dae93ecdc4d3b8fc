"""Measures which targets are slow, on one instance of each data centre."""

import asyncio
from collections.abc import Callable, Iterator

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.paces import PaceTable
from fulmarward_router.ports import TargetDialect

#: Seconds between two polls of all reports of a data centre while streams are slow.
READ_INTERVAL_S = 0.8

#: Seconds to wait for a report.
REPORT_TIMEOUT_S = 0.25

#: Reports requested concurrently; limited so that polling does not delay streams.
MAX_CONCURRENT = 8


class PaceMonitor:
    """Polls the reports of the targets in its data centre while streams are slow.

    Guards against targets that are slow but still answer probes: paths would keep using
    them, streams would stall there, and callers disconnect after 2 s without an event.
    One instance polls for its data centre and shares the results.
    """

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        catalogue: TargetCatalogue,
        paces: PaceTable,
        data_centre: str,
        is_reader: Callable[[], bool],
        sees_slow_streams: Callable[[], bool],
        read_clock: Callable[[], float],
        notify_peers: Callable[[], None],
    ) -> None:
        self._dialect = dialect
        self._catalogue = catalogue
        self._paces = paces
        self._data_centre = data_centre
        self._is_reader = is_reader
        self._sees_slow_streams = sees_slow_streams
        self._read_clock = read_clock
        self._notify_peers = notify_peers

    async def run(self) -> None:
        """Poll reports while streams or targets are slow, until cancelled."""
        while True:
            await asyncio.sleep(READ_INTERVAL_S)
            now = self._read_clock()
            has_reason = self._sees_slow_streams() or self._paces.list_slow(now=now)
            if has_reason and self._is_reader():
                await self._read_reports(now)

    async def _read_reports(self, now: float) -> None:
        changes = 0
        engines = list_engines(self._catalogue, data_centre=self._data_centre, now=now)
        for group in batch_records(engines):
            readings = [self._read_report(record) for record in group]
            changes += sum(await asyncio.gather(*readings))
        if changes:
            self._notify_peers()

    async def _read_report(self, record: TargetRecord) -> bool:
        """Read a target's report; return whether its pace has changed."""
        report = await self._dialect.read_report(record, REPORT_TIMEOUT_S)
        if report is None:
            return False
        at = self._read_clock()
        if not self._paces.note(record.name, report.pace, at=at):
            return False
        log_event("pace_changed", target=record.name, pace=report.pace, source="own")
        return True


def list_engines(
    catalogue: TargetCatalogue, *, data_centre: str, now: float
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
