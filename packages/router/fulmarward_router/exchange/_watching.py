"""Finding the target at which a request stands still."""

import asyncio
from collections.abc import Callable

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.ports import TargetDialect, TargetReport


class LossWatch:
    """Asks first targets what their requests wait for, once for all that ask."""

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        catalogue: TargetCatalogue,
        suspicions: SuspicionTable,
        read_clock: Callable[[], float],
        note_change: Callable[[], None],
    ) -> None:
        self._dialect = dialect
        self._catalogue = catalogue
        self._suspicions = suspicions
        self._read_clock = read_clock
        self._note_change = note_change
        self._asking: dict[str, asyncio.Task] = {}

    def note_lost(self, target: str, *, cause: str) -> None:
        """A target does not answer."""
        if self._suspicions.note_lost(target, now=self._read_clock()):
            log_event("target_lost", target=target, source="own", cause=cause)
            self._note_change()

    def note_lost_address(self, address: str, *, cause: str) -> str | None:
        """The target at an address does not answer; return its name if it is known."""
        for record in self._catalogue.list_targets(now=self._read_clock()):
            if record.address == address:
                self.note_lost(record.name, cause=cause)
                return record.name
        return None

    async def ask(self, record: TargetRecord) -> TargetReport | None:
        """Return a target's report and take in whom its requests wait for."""
        task = self._asking.get(record.name)
        if task is None:
            task = asyncio.create_task(self._ask(record))
            self._asking[record.name] = task
            task.add_done_callback(lambda _: self._asking.pop(record.name, None))
        return await asyncio.shield(task)

    async def _ask(self, record: TargetRecord) -> TargetReport | None:
        report = await self._dialect.read_report(record)
        if report is None:
            self.note_lost(record.name, cause="no report")
            return None
        for address in {stalled.address for stalled in report.stalled}:
            self.note_lost_address(address, cause="stalled")
        return report
