"""Reads the load of engines for the first requests after a start.

When all instances start at once, each of them is alone for as long as it takes to find
its peers, and engines still run the streams of the callers before. All would send to
the same engines, which are full.
"""

import asyncio
from collections.abc import Callable, Iterable

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.loads import LoadLedger
from fulmarward_core.paths import Hop
from fulmarward_router.exchange._paces import list_engines
from fulmarward_router.ports import TargetDialect

#: Seconds after the start in which engines are read. Peers are known well before.
READ_DURATION_S = 3.0

#: Seconds to wait for the report of an engine, which delays a request.
READ_TIMEOUT_S = 0.05


class FirstLoads:
    """Reads the engines of paths after a start, until a hub reports all loads."""

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        catalogue: TargetCatalogue,
        ledger: LoadLedger,
        read_clock: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._catalogue = catalogue
        self._ledger = ledger
        self._read_clock = read_clock
        self._until = read_clock() + READ_DURATION_S

    async def read(self, path: Iterable[Hop], *, request_id: str) -> bool:
        """Read the engines around a path; return whether the load of any is news.

        With an engine that was not read for a second all of its data centre are read,
        as the path that is chosen next may need any of them.
        """
        now = self._read_clock()
        if now >= self._until or self._ledger.follows_hub(now=now):
            return False
        unread = [
            self._catalogue.find_target(hop.target)
            for hop in path
            if not self._ledger.has_reading(hop.target, now=now)
        ]
        centres = {record.data_centre for record in unread if record is not None}
        if not centres:
            return False
        records = [
            record
            for centre in centres
            for record in list_engines(self._catalogue, data_centre=centre, now=now)
        ]
        kv_used = await asyncio.gather(*map(self._read_engine, records))
        now = self._read_clock()
        for record, kv in zip(records, kv_used, strict=True):
            self._ledger.record_reading(record.name, kv=kv, now=now)
        log_event(
            "first_loads_read",
            request=request_id,
            targets=len(records),
            kv=int(sum(kv_used)),
        )
        return any(kv_used)

    async def _read_engine(self, record: TargetRecord) -> float:
        report = await self._dialect.read_report(record, READ_TIMEOUT_S)
        return 0.0 if report is None else report.kv_used
