"""Finding the target at which a request stands still."""

import asyncio
from collections.abc import Callable, Iterable

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.ports import TargetDialect, TargetReport

#: Seconds for the report of a first target. Load: targets that answer within 2 ms or
#: are gone; harm: a stalled stream waits for it; reason: a target that takes longer is
#: to be led around in any case.
ASK_S = 0.35

#: Seconds in which a target answers a probe. Load: reports take a round trip of under
#: 1 ms and no slot; harm: a stream through a lost target stands still meanwhile.
PROBE_S = 0.035

#: Seconds between two probes of the same target that answered. Harm: each is paid for.
PROBE_AGAIN_S = 0.8

#: Seconds for a second probe, where most of those asked did not answer the first, or
#: this instance was late itself. Load: an instance that is cut off, or short of link
#: or processor, takes sound targets for lost; reason: longer than the first, and a
#: pause is too long by then. Where most answered, the second probe is as short as the
#: first: four targets that fail together were led around after 0.25 s, and a pause of
#: that is too long.
CONFIRM_S = 0.25

#: Seconds by which a probe's end may be late.
MOST_LATE_S = 0.015

#: Seconds before its suspicion ends at which a lost target is asked again, and between
#: two looks for such ones. Load: a target that stays away longer than the suspicion;
#: harm: all instances send to it again in the same moment, and each stream through it
#: stands still (1,367 losses were told and 160 streams refused within a second of it);
#: reason: longer than a heartbeat, so that peers hear of the longer suspicion in time.
RECHECK_AHEAD_S = 0.8
RECHECK_LOOK_S = 0.2


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
        self._probed_at: dict[str, float] = {}
        #: Probes under way, and whom each asks.
        self._probing: dict[asyncio.Task, frozenset[str]] = {}

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

    def probe(self, targets: Iterable[str]) -> None:
        """Find out, in a task of its own, which of the targets are lost."""
        records = self._list_due(targets)
        if not records:
            return
        task = asyncio.create_task(self._probe_all(records))
        self._probing[task] = frozenset(record.name for record in records)
        task.add_done_callback(lambda task: self._probing.pop(task, None))

    async def check(self, targets: Iterable[str]) -> None:
        """Find out which targets of a refused path are lost, before another is tried.

        Guards against targets that fail together: a path that avoids the one at fault
        leads through the next, and a request has three attempts. Targets that live
        answer within 2 ms, so that one which is only full delays nothing.
        """
        names = frozenset(targets)
        self.probe(names)
        tasks = [task for task, asked in self._probing.items() if asked & names]
        if tasks:
            await asyncio.wait(tasks)

    def _list_due(self, targets: Iterable[str]) -> list[TargetRecord]:
        """Return those that are not known as lost and were not probed just now."""
        now = self._read_clock()
        records = []
        for name in targets:
            record = self._catalogue.find_target(name)
            is_due = now - self._probed_at.get(name, float("-inf")) >= PROBE_AGAIN_S
            if record is None or not is_due:
                continue
            if not self._suspicions.is_lost(name, now=now):
                self._probed_at[name] = now
                records.append(record)
        return records

    async def _probe_all(self, records: list[TargetRecord]) -> None:
        began_at = self._read_clock()
        silent = first_silent = await self._find_silent(records, PROBE_S)
        is_late = self._read_clock() - began_at > PROBE_S + MOST_LATE_S
        if is_late or len(silent) > 1:
            is_doubtful = is_late or len(silent) * 2 > len(records)
            confirm_s = CONFIRM_S if is_doubtful else PROBE_S
            silent = await self._find_silent(silent, confirm_s)
        if first_silent or is_late:
            log_event(
                "targets_probed",
                asked=len(records),
                silent=[record.name for record in first_silent],
                lost=[record.name for record in silent],
                is_late=is_late,
                took_s=round(self._read_clock() - began_at, 4),
            )
        for record in silent:
            self.note_lost(record.name, cause="no answer to a probe")
        lost = {record.name for record in silent}
        self._note_answered(
            record.name for record in records if record.name not in lost
        )

    def _note_answered(self, targets: Iterable[str]) -> None:
        """Targets answered; peers' words that they are lost say nothing any more."""
        for target in targets:
            if self._suspicions.note_answered(target, now=self._read_clock()):
                log_event("target_answered", target=target)

    async def run(self) -> None:
        """Ask lost targets again before they are trusted again, until cancelled."""
        while True:
            await asyncio.sleep(RECHECK_LOOK_S)
            due = self._suspicions.list_ending(
                now=self._read_clock(), ahead_s=RECHECK_AHEAD_S
            )
            records = [self._catalogue.find_target(name) for name in due]
            known = [record for record in records if record is not None]
            if known:
                await self._recheck(known)

    async def _recheck(self, records: list[TargetRecord]) -> None:
        """Suspect those for longer that still do not answer."""
        for record in await self._find_silent(records, CONFIRM_S):
            now = self._read_clock()
            self._suspicions.extend(record.name, now=now)
            log_event("target_still_lost", target=record.name, source="own")

    async def _find_silent(
        self, records: list[TargetRecord], timeout_s: float
    ) -> list[TargetRecord]:
        reports = await asyncio.gather(
            *(self._dialect.read_report(record, timeout_s) for record in records)
        )
        pairs = zip(records, reports, strict=True)
        return [record for record, report in pairs if report is None]

    async def ask(self, record: TargetRecord) -> TargetReport | None:
        """Return a target's report and take in whom its requests wait for."""
        task = self._asking.get(record.name)
        if task is None:
            task = asyncio.create_task(self._ask(record))
            self._asking[record.name] = task
            task.add_done_callback(lambda _: self._asking.pop(record.name, None))
        return await asyncio.shield(task)

    async def _ask(self, record: TargetRecord) -> TargetReport | None:
        report = await self._dialect.read_report(record, ASK_S)
        if report is None:
            self.note_lost(record.name, cause="no report")
            return None
        for address in {stalled.address for stalled in report.stalled}:
            self.note_lost_address(address, cause="stalled")
        return report
