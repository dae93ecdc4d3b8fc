"""Reads at startup the load of engines that no instance accounts for.

Guards against overload after all instances restart: engines go on with the streams of
instances that lost power, no instance has a record of these, and requests would be sent
to engines that are full.
"""

import asyncio
from collections.abc import Callable

from fulmarward.observability import log_event
from fulmarward_core.catalogue import NamedTargets
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.loads import LoadLedger, TargetLoad
from fulmarward_router.exchange._paces import (
    REPORT_TIMEOUT_S,
    batch_records,
    list_engines,
)
from fulmarward_router.ports import TargetDialect

#: Seconds after the targets are known for discovering peers, so that only one of them
#: reads, and then for receiving the loads that they report.
READ_DELAY_S = 0.1
PEER_REPORTS_DELAY_S = 0.5

#: Seconds between two checks whether the catalogue is loaded.
_CHECK_INTERVAL_S = 0.05

#: Reporter name of these loads in the ledger. They expire like a peer's report.
_REPORTER = "engines"


class OccupancyReader:
    """Reads the reports of the data centre's engines once and records excess load."""

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        catalogue: NamedTargets,
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

        At first all load beyond that in the ledger is recorded, then only what peers
        have not reported in the meantime.
        """
        while not self._catalogue.is_known:
            await asyncio.sleep(_CHECK_INTERVAL_S)
        await asyncio.sleep(READ_DELAY_S)
        if not self._is_reader():
            return
        kv_used = await self._read_kv_used()
        self._record_unaccounted(kv_used)
        await asyncio.sleep(PEER_REPORTS_DELAY_S)
        self._ledger.merge_report(_REPORTER, {}, now=self._read_clock())
        self._record_unaccounted(kv_used)

    async def _read_kv_used(self) -> dict[str, float]:
        """Return the KV cache in use on each engine of the data centre."""
        engines = list_engines(
            self._catalogue, data_centre=self._data_centre, now=self._read_clock()
        )
        kv_used: dict[str, float] = {}
        for group in batch_records(engines):
            values = await asyncio.gather(*map(self._read_engine, group))
            names = [record.name for record in group]
            kv_used |= zip(names, values, strict=True)
        return kv_used

    async def _read_engine(self, record: TargetRecord) -> float:
        report = await self._dialect.read_report(record, REPORT_TIMEOUT_S)
        return 0.0 if report is None else report.kv_used

    def _record_unaccounted(self, kv_used: dict[str, float]) -> None:
        now = self._read_clock()
        reported = self._ledger.sum_loads(now=now)
        loads = {
            target: TargetLoad(
                kv=kv - (reported[target].kv if target in reported else 0.0)
            )
            for target, kv in kv_used.items()
        }
        unaccounted = {target: load for target, load in loads.items() if load.kv > 0}
        self._ledger.merge_report(_REPORTER, unaccounted, now=now)
        log_event(
            "occupancy_read",
            targets=len(kv_used),
            unaccounted=len(unaccounted),
            kv=int(sum(load.kv for load in unaccounted.values())),
        )
