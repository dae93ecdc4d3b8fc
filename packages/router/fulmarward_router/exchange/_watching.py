"""Finding the target at which a request stands still."""

import asyncio
import random
from collections.abc import Callable, Iterable

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.silences import (
    CONFIRM_S,
    PROBE_S,
    AskedRound,
    choose_witnesses,
    count_witnesses,
    judge_round,
)
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.ports import TargetDialect, TargetReport

#: Seconds for the report of a first target. Load: targets that answer within 2 ms or
#: are gone; harm: a stalled stream waits for it; reason: a target that takes longer is
#: to be led around in any case.
ASK_S = 0.35

#: Seconds between two probes of the same target that answered. Harm: each is paid for.
PROBE_AGAIN_S = 0.8

#: Seconds for which nobody is asked after nobody was heard. Harm: each probe is paid
#: for, and one more on a link that is full; reason: a link is full for seconds, and a
#: stream through a lost target waits for two.
SILENCE_AGAIN_S = 0.25

#: Seconds before its suspicion ends at which a lost target is asked again, and between
#: two looks for such ones. Load: a target that stays away longer than the suspicion;
#: harm: all instances send to it again in the same moment, and each stream through it
#: stands still (1,367 losses were told and 160 streams refused within a second of it);
#: reason: longer than a heartbeat, so that peers hear of the longer suspicion in time.
RECHECK_AHEAD_S = 0.8
RECHECK_LOOK_S = 0.2

#: Seconds between two looks whether this instance stands still while it asks. Harm:
#: each is a turn of the loop; reason: several in the time of a short probe.
PAUSE_LOOK_S = 0.005


class _PauseMeter:
    """Adds up for how long the loop stands still, from its making until it is read."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._paused_s = 0.0
        self._look_later()

    def _look_later(self) -> None:
        self._due_at = self._loop.time() + PAUSE_LOOK_S
        self._timer = self._loop.call_at(self._due_at, self._look)

    def _look(self) -> None:
        self._add()
        self._look_later()

    def _add(self) -> None:
        self._paused_s += max(0.0, self._loop.time() - self._due_at)

    def stop(self) -> float:
        """Return the seconds of the pauses, and look no further."""
        self._timer.cancel()
        self._add()
        return self._paused_s


class LossWatch:
    """Asks targets whether they live, and first ones what their requests wait for.

    Guards against an instance that hears nobody, since its own link is full or cut: all
    targets look lost to it, it would end sound streams and tell its peers. A silence
    counts only beside an answer to what was asked in the same moment.
    """

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
        #: When nobody was heard, seconds on the steady clock.
        self._own_silence_at = float("-inf")
        #: Whose turn it is to be asked beside others; instances begin with others.
        self._turn = random.randrange(1 << 16)

    def note_lost(self, target: str, *, cause: str) -> None:
        """A target does not answer."""
        if self._suspicions.note_lost(target, now=self._read_clock()):
            log_event("target_lost", target=target, source="own", cause=cause)
            self._note_change()

    def note_not_sent(self, target: str, *, is_refused: bool, cause: str) -> None:
        """No connection to a target was made: it is lost if nobody listens there.

        Guards against an instance whose own link is full: no connection is made in
        time, and one to a sound target is no exception. Then the target is asked, also
        if it answered just now: the failure is later news than that answer. While a
        probe of it is under way that one's answer is enough.
        """
        if is_refused:
            self.note_lost(target, cause=cause)
            return
        if not self._is_probing(target):
            self._probed_at.pop(target, None)
        self.probe([target])

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

    def _is_probing(self, target: str) -> bool:
        """Return whether a probe of a target is under way."""
        return any(target in asked for asked in self._probing.values())

    def _list_due(self, targets: Iterable[str]) -> list[TargetRecord]:
        """Return those that are not known as lost and were not probed just now."""
        now = self._read_clock()
        if now - self._own_silence_at < SILENCE_AGAIN_S:
            return []
        records = []
        for name in targets:
            record = self._catalogue.find_target(name)
            is_due = now - self._probed_at.get(name, float("-inf")) >= PROBE_AGAIN_S
            if record is None or not is_due:
                continue
            if self._suspicions.may_be_asked(name, now=now):
                self._probed_at[name] = now
                records.append(record)
        return records

    async def _probe_all(self, records: list[TargetRecord]) -> None:
        """Ask until the answers, or their lack, say which targets are lost."""
        began_at = self._read_clock()
        asked_round = await self._ask_round(records, PROBE_S)
        first, finding = asked_round, judge_round(asked_round)
        heard = set(asked_round.answers)
        while finding.again_s is not None:
            known = [self._catalogue.find_target(name) for name in asked_round.silent]
            silent = [record for record in known if record is not None]
            asked_round = await self._ask_round(silent, finding.again_s, is_repeat=True)
            heard.update(asked_round.answers)
            finding = judge_round(asked_round)
        if first.silent or first.is_late:
            log_event(
                "targets_probed",
                asked=len(first.asked),
                silent=first.silent,
                lost=finding.lost,
                is_late=first.is_late,
                is_paused=first.is_paused,
                took_s=round(self._read_clock() - began_at, 4),
            )
        if finding.is_own_silence:
            self._note_own_silence(asked_round)
        for target in finding.lost:
            self.note_lost(target, cause="no answer to a probe")
        self._note_answered(heard.difference(finding.lost))

    async def _ask_round(
        self, records: list[TargetRecord], limit_s: float, *, is_repeat: bool = False
    ) -> AskedRound:
        """Ask targets and, in the same moment, others beside them."""
        count = count_witnesses(len(records), is_repeat=is_repeat)
        names = {record.name for record in records}
        asked = records + self._choose_witnesses(names, count)
        return await self._ask_all(asked, limit_s, is_repeat=is_repeat)

    async def _ask_all(
        self, asked: list[TargetRecord], limit_s: float, *, is_repeat: bool = False
    ) -> AskedRound:
        """Ask targets whether they live, all in one moment."""
        began_at = self._read_clock()
        meter = _PauseMeter()
        try:
            times = await asyncio.gather(
                *(self._time_answer(record, limit_s) for record in asked)
            )
        finally:
            paused_s = meter.stop()
        pairs = zip(asked, times, strict=True)
        return AskedRound(
            asked=tuple(record.name for record in asked),
            answers={r.name: took_s for r, took_s in pairs if took_s is not None},
            limit_s=limit_s,
            took_s=self._read_clock() - began_at,
            paused_s=paused_s,
            is_repeat=is_repeat,
        )

    async def _time_answer(self, record: TargetRecord, limit_s: float) -> float | None:
        """Return the seconds that a target's answer took, `None` without one."""
        began_at = self._read_clock()
        is_there = await self._dialect.is_there(record, limit_s)
        return self._read_clock() - began_at if is_there else None

    def _choose_witnesses(self, names: set[str], count: int) -> list[TargetRecord]:
        """Return others to ask beside targets, none that was seen here to be lost.

        Guards against a fleet of which all others are full or told of by peers: with
        nobody to ask, each silence looks like this instance's own, and a target that
        died is never led around. A full one has just answered, a told one may be sound.
        """
        if not count:
            return []
        now = self._read_clock()
        self._turn += 1
        records = self._catalogue.list_targets(now=now)
        all_names = {record.name for record in records}
        lost = {n for n in all_names if self._suspicions.is_lost(n, now=now)}
        suspects = {n for n in all_names if self._suspicions.is_suspect(n, now=now)}
        return choose_witnesses(
            records,
            barred=names | lost,
            doubted=suspects,
            count=count,
            turn=self._turn,
        )

    def _note_own_silence(self, asked_round: AskedRound) -> None:
        """Nobody is heard: nothing is believed, and all are asked again soon."""
        self._own_silence_at = self._read_clock()
        for name in asked_round.asked:
            self._probed_at.pop(name, None)
        log_event(
            "own_link_silent",
            asked=len(asked_round.asked),
            answered=len(asked_round.answers),
            took_s=round(asked_round.took_s, 4),
        )

    def _note_answered(self, targets: Iterable[str]) -> None:
        """Targets answered; peers' words that they are lost say nothing any more."""
        for target in targets:
            asked_at = self._probed_at.get(target, float("-inf"))
            if self._suspicions.note_answered(target, asked_at=asked_at):
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
        asked_round = await self._ask_round(records, CONFIRM_S)
        finding = judge_round(asked_round)
        if finding.is_own_silence:
            self._note_own_silence(asked_round)
        for name in finding.lost:
            now = self._read_clock()
            if self._suspicions.is_lost(name, now=now):
                self._suspicions.extend(name, now=now)
                log_event("target_still_lost", target=name, source="own")

    async def ask(self, record: TargetRecord) -> TargetReport | None:
        """Return a target's report and take in whom its requests wait for."""
        task = self._asking.get(record.name)
        if task is None:
            task = asyncio.create_task(self._ask(record))
            self._asking[record.name] = task
            task.add_done_callback(lambda _: self._asking.pop(record.name, None))
        return await asyncio.shield(task)

    async def _ask(self, record: TargetRecord) -> TargetReport | None:
        reading = asyncio.create_task(self._dialect.read_report(record, ASK_S))
        await asyncio.wait([reading], timeout=PROBE_S)
        if not reading.done() or reading.result() is None:
            await self._judge_reading(record, reading)
        report = await reading
        if report is None:
            return None
        for address in {stalled.address for stalled in report.stalled}:
            self.note_lost_address(address, cause="stalled")
        return report

    async def _judge_reading(self, record: TargetRecord, reading: asyncio.Task) -> None:
        """Ask the target and others while a report is late; it may be lost.

        Guards against a single call that comes to nothing, by a lost packet or an own
        pause: others that are asked later and answer say nothing of that moment.
        """
        limit_s = ASK_S - PROBE_S
        asked_round, report = await asyncio.gather(
            self._ask_round([record], limit_s), reading
        )
        if report is not None:
            return
        finding = judge_round(asked_round)
        if finding.is_own_silence:
            self._note_own_silence(asked_round)
        if record.name in finding.lost:
            self.note_lost(record.name, cause="no report")
