"""Learning after a start what runs at engines for callers that nobody knows of.

Guards against a fleet that begins anew: engines go on with the streams of instances
that lost power, nobody knows of them, and requests are sent to engines that are full.
"""

import asyncio
from collections.abc import Callable

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.loads import LoadLedger, TargetLoad
from fulmarward_router.exchange._paces import (
    REPORT_TIMEOUT_S,
    list_engines,
    split_records,
)
from fulmarward_router.ports import TargetDialect

#: Seconds after the targets are known in which this instance hears of its peers, so
#: that one of them reads, and in which they report what they run.
READ_DELAY_S = 0.1
PEERS_DURATION_S = 0.5

#: Seconds between two checks whether the targets are known.
_CHECK_INTERVAL_S = 0.05

#: What the loads are filed under. They count as long as a peer's report.
_REPORTER = "engines"


class OccupancyReader:
    """Reads the reports of the engines nearby once, and files what is not accounted."""

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        catalogue: TargetCatalogue,
        ledger: LoadLedger,
        data_centre: str,
        is_reader: Callable[[], bool],
        read_clock: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._catalogue = catalogue
        self._ledger = ledger
        self._data_centre = data_centre
        self._is_reader = is_reader
        self._read_clock = read_clock

    async def run(self) -> None:
        """Read the reports as soon as the targets are known.

        All that the engines hold counts at first, and what no peer has reported until
        then later on.
        """
        while not self._catalogue.is_known:
            await asyncio.sleep(_CHECK_INTERVAL_S)
        await asyncio.sleep(READ_DELAY_S)
        if not self._is_reader():
            return
        used = await self._read_all()
        self._file(used)
        await asyncio.sleep(PEERS_DURATION_S)
        self._ledger.merge_report(_REPORTER, {}, now=self._read_clock())
        self._file(used)

    async def _read_all(self) -> dict[str, float]:
        """Return the KV cache that is held at each engine nearby."""
        engines = list_engines(
            self._catalogue, data_centre=self._data_centre, now=self._read_clock()
        )
        used: dict[str, float] = {}
        for group in split_records(engines):
            held = await asyncio.gather(*map(self._read_kv, group))
            names = [record.name for record in group]
            used |= zip(names, held, strict=True)
        return used

    async def _read_kv(self, record: TargetRecord) -> float:
        report = await self._dialect.read_report(record, REPORT_TIMEOUT_S)
        return 0.0 if report is None else report.kv_used

    def _file(self, used: dict[str, float]) -> None:
        now = self._read_clock()
        known = self._ledger.sum_loads(now=now)
        loads = {
            target: TargetLoad(kv=kv - (known[target].kv if target in known else 0.0))
            for target, kv in used.items()
        }
        unknown = {target: load for target, load in loads.items() if load.kv > 0}
        self._ledger.merge_report(_REPORTER, unknown, now=now)
        log_event(
            "occupancy_read",
            targets=len(used),
            unaccounted=len(unknown),
            kv=int(sum(load.kv for load in unknown.values())),
        )
