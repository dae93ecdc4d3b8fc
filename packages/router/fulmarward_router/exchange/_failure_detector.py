"""Which targets are unreachable: probes, and reports of what requests wait for."""

import asyncio
import random
from collections.abc import Callable, Iterable

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.probing import (
    CONFIRM_TIMEOUT_S,
    PROBE_CALLS,
    PROBE_TIMEOUT_S,
    ProbeRound,
    ProbeVerdict,
    choose_controls,
    count_controls,
    evaluate_round,
)
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.ports import TargetDialect, TargetReport

#: Seconds for the report of a first target; a stalled stream waits for it.
REPORT_TIMEOUT_S = 0.35

#: Seconds between two probes of the same target that answered.
PROBE_INTERVAL_S = 0.8

#: Seconds without probes after no control answered: more of them would only add to a
#: saturated link.
ISOLATED_HOLD_S = 0.25

#: Seconds before its suspicion ends at which an unreachable target is probed again, and
#: between two checks for such ones. Longer than a heartbeat, so that peers are notified
#: of the longer suspicion before theirs ends.
RECHECK_AHEAD_S = 0.8
RECHECK_INTERVAL_S = 0.4

#: Seconds between two checks whether the event loop is blocked during a round.
PAUSE_CHECK_INTERVAL_S = 0.005


class _PauseMeter:
    """Adds up for how long the event loop is blocked, until it is stopped."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._paused_s = 0.0
        self._schedule()

    def _schedule(self) -> None:
        self._due_at = self._loop.time() + PAUSE_CHECK_INTERVAL_S
        self._timer = self._loop.call_at(self._due_at, self._check)

    def _check(self) -> None:
        self._add()
        self._schedule()

    def _add(self) -> None:
        self._paused_s += max(0.0, self._loop.time() - self._due_at)

    def stop(self) -> float:
        """Return the seconds of the pauses, and measure no more."""
        self._timer.cancel()
        self._add()
        return self._paused_s


async def _find_first_answer(calls: Iterable[asyncio.Task]) -> float | None:
    """Return what the first call that is answered took, `None` if none is."""
    for call in asyncio.as_completed(calls):
        took_s = await call
        if took_s is not None:
            return took_s
    return None


class FailureDetector:
    """Probes targets, and reads from first targets what their requests wait for.

    Guards against an isolated instance, whose own link is saturated or cut: all targets
    look unreachable to it, it would abort healthy streams and notify its peers. A
    missing answer counts only beside that of a control.
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
        self._fetching: dict[str, asyncio.Task] = {}
        self._probed_at: dict[str, float] = {}
        #: Rounds of probes under way, and the targets of each.
        self._probing: dict[asyncio.Task, frozenset[str]] = {}
        #: When no control answered, seconds on the steady clock.
        self._isolated_at = float("-inf")
        #: Rotates the controls; instances begin at different ones.
        self._offset = random.randrange(1 << 16)

    def record_failure(self, target: str, *, cause: str) -> None:
        """Record that a target does not answer."""
        if self._suspicions.record_failure(target, now=self._read_clock()):
            log_event("target_unreachable", target=target, source="own", cause=cause)
            self._note_change()

    def record_connect_failure(
        self, target: str, *, is_refused: bool, cause: str
    ) -> None:
        """Record that no connection to a target was made.

        A refused connection shows that the target is gone. After a timeout, which may
        be due to this instance's own link, the target is probed, even if it answered
        just before; a probe that is under way is enough.
        """
        if is_refused:
            self.record_failure(target, cause=cause)
            return
        if not self._is_probing(target):
            self._probed_at.pop(target, None)
        self.probe([target])

    def record_failed_address(self, address: str, *, cause: str) -> str | None:
        """Record that the target at an address does not answer.

        Returns its name if it is known.
        """
        for record in self._catalogue.list_targets(now=self._read_clock()):
            if record.address == address:
                self.record_failure(record.name, cause=cause)
                return record.name
        return None

    def probe(self, targets: Iterable[str]) -> None:
        """Find out, in a task of its own, which of the targets are unreachable."""
        records = self._list_due(targets)
        if not records:
            return
        task = asyncio.create_task(self._probe_all(records))
        self._probing[task] = frozenset(record.name for record in records)
        task.add_done_callback(lambda task: self._probing.pop(task, None))

    async def check(self, targets: Iterable[str]) -> None:
        """Find out which targets of a rejected path are unreachable.

        Guards against targets that fail together: a path that avoids the one at fault
        leads through the next, until the request has no attempts left.
        """
        names = frozenset(targets)
        self.probe(names)
        tasks = [task for task, probed in self._probing.items() if probed & names]
        if tasks:
            await asyncio.wait(tasks)

    def _is_probing(self, target: str) -> bool:
        """Return whether a probe of a target is under way."""
        return any(target in probed for probed in self._probing.values())

    def _list_due(self, targets: Iterable[str]) -> list[TargetRecord]:
        """Return those that a probe can say something about, and is due for."""
        now = self._read_clock()
        if now - self._isolated_at < ISOLATED_HOLD_S:
            return []
        records = []
        for name in targets:
            record = self._catalogue.find_target(name)
            is_due = now - self._probed_at.get(name, float("-inf")) >= PROBE_INTERVAL_S
            if record is None or not is_due:
                continue
            if self._suspicions.may_probe(name, now=now):
                self._probed_at[name] = now
                records.append(record)
        return records

    async def _probe_all(self, records: list[TargetRecord]) -> None:
        """Probe until the answers, or their lack, show which are unreachable."""
        began_at = self._read_clock()
        probe_round = await self._run_round(records, PROBE_TIMEOUT_S)
        first, verdict = probe_round, evaluate_round(probe_round)
        heard = set(probe_round.answers)
        while verdict.retry_timeout_s is not None:
            known = [self._catalogue.find_target(name) for name in probe_round.missing]
            missing = [record for record in known if record is not None]
            probe_round = await self._run_round(
                missing, verdict.retry_timeout_s, is_repeat=True
            )
            heard.update(probe_round.answers)
            verdict = evaluate_round(probe_round)
        if first.missing or first.is_late:
            log_event(
                "targets_probed",
                probed=len(first.probed),
                missing=first.missing,
                unreachable=verdict.unreachable,
                suspects=verdict.suspects,
                is_late=first.is_late,
                is_paused=first.is_paused,
                paused_s=round(first.paused_s, 4),
                took_s=round(self._read_clock() - began_at, 4),
            )
        self._take_verdict(probe_round, verdict)
        for target in verdict.unreachable:
            self.record_failure(target, cause="no answer to a probe")
        self._note_answered(heard.difference(verdict.unreachable))

    async def _run_round(
        self, records: list[TargetRecord], timeout_s: float, *, is_repeat: bool = False
    ) -> ProbeRound:
        """Probe targets and, in the same moment, controls."""
        count = count_controls(len(records), is_repeat=is_repeat)
        names = {record.name for record in records}
        controls = self._choose_controls(names, count)
        asked = records + controls
        began_at = self._read_clock()
        meter = _PauseMeter()
        try:
            times = await asyncio.gather(
                *(self._time_answer(record, timeout_s) for record in asked)
            )
        finally:
            paused_s = meter.stop()
        pairs = zip(asked, times, strict=True)
        return ProbeRound(
            probed=tuple(record.name for record in asked),
            answers={r.name: took_s for r, took_s in pairs if took_s is not None},
            timeout_s=timeout_s,
            took_s=self._read_clock() - began_at,
            paused_s=paused_s,
            is_repeat=is_repeat,
            controls=frozenset(record.name for record in controls),
        )

    async def _time_answer(
        self, record: TargetRecord, timeout_s: float
    ) -> float | None:
        """Return the seconds that a target's answer took, `None` without one.

        Guards against a lost packet: the call that it belongs to is not answered in
        time, however healthy the target is. Further calls follow until one is answered.
        """
        interval_s = timeout_s / PROBE_CALLS
        calls: list[asyncio.Task] = []
        try:
            for number in range(PROBE_CALLS):
                left_s = timeout_s - number * interval_s
                calls.append(asyncio.create_task(self._time_call(record, left_s)))
                done, _ = await asyncio.wait(
                    calls, timeout=interval_s, return_when=asyncio.FIRST_COMPLETED
                )
                if done:
                    break
            return await _find_first_answer(calls)
        finally:
            for call in calls:
                call.cancel()

    async def _time_call(self, record: TargetRecord, timeout_s: float) -> float | None:
        """Return the seconds that the answer to one call took, `None` without one."""
        began_at = self._read_clock()
        is_there = await self._dialect.is_there(record, timeout_s)
        return self._read_clock() - began_at if is_there else None

    def _choose_controls(self, names: set[str], count: int) -> list[TargetRecord]:
        """Return controls for targets, none that is unreachable from here.

        Guards against a fleet of which all others are saturated or reported by peers:
        without a control every missing answer looks like this instance's own isolation.
        A saturated target has just answered, a reported one may be healthy.
        """
        if not count:
            return []
        now = self._read_clock()
        self._offset += 1
        records = self._catalogue.list_targets(now=now)
        all_names = {record.name for record in records}
        unreachable = {
            n for n in all_names if self._suspicions.is_unreachable(n, now=now)
        }
        suspects = {n for n in all_names if self._suspicions.is_suspect(n, now=now)}
        return choose_controls(
            records,
            excluded=names | unreachable,
            suspected=suspects,
            count=count,
            offset=self._offset,
        )

    def _take_verdict(self, probe_round: ProbeRound, verdict: ProbeVerdict) -> None:
        """Take in what a round says of this instance and of the controls."""
        if verdict.is_isolated:
            self._record_isolated(probe_round)
        if verdict.suspects:
            self.probe(verdict.suspects)

    def _record_isolated(self, probe_round: ProbeRound) -> None:
        """Record that no control answered: the round shows nothing of the targets."""
        self._isolated_at = self._read_clock()
        for name in probe_round.probed:
            self._probed_at.pop(name, None)
        log_event(
            "observer_isolated",
            probed=len(probe_round.probed),
            answered=len(probe_round.answers),
            took_s=round(probe_round.took_s, 4),
        )

    def _note_answered(self, targets: Iterable[str]) -> None:
        """Record that targets answered, which overrules reports of peers."""
        for target in targets:
            asked_at = self._probed_at.get(target, float("-inf"))
            if self._suspicions.record_answer(target, asked_at=asked_at):
                log_event("target_answered", target=target)

    async def run(self) -> None:
        """Probe unreachable targets before they are used again, until cancelled."""
        while True:
            await asyncio.sleep(RECHECK_INTERVAL_S)
            due = self._suspicions.list_ending(
                now=self._read_clock(), ahead_s=RECHECK_AHEAD_S
            )
            records = [self._catalogue.find_target(name) for name in due]
            known = [record for record in records if record is not None]
            if known:
                await self._recheck(known)

    async def _recheck(self, records: list[TargetRecord]) -> None:
        """Exclude those for longer that still do not answer."""
        probe_round = await self._run_round(records, CONFIRM_TIMEOUT_S)
        verdict = evaluate_round(probe_round)
        self._take_verdict(probe_round, verdict)
        for name in verdict.unreachable:
            now = self._read_clock()
            if self._suspicions.is_unreachable(name, now=now):
                self._suspicions.extend(name, now=now)
                log_event("target_still_unreachable", target=name, source="own")

    async def fetch_report(self, record: TargetRecord) -> TargetReport | None:
        """Return a target's report, and record whom its requests wait for."""
        task = self._fetching.get(record.name)
        if task is None:
            task = asyncio.create_task(self._fetch_report(record))
            self._fetching[record.name] = task
            task.add_done_callback(lambda _: self._fetching.pop(record.name, None))
        return await asyncio.shield(task)

    async def _fetch_report(self, record: TargetRecord) -> TargetReport | None:
        reading = asyncio.create_task(
            self._dialect.read_report(record, REPORT_TIMEOUT_S)
        )
        await asyncio.wait([reading], timeout=PROBE_TIMEOUT_S)
        if not reading.done() or reading.result() is None:
            await self._evaluate_missing_report(record, reading)
        report = await reading
        if report is None:
            return None
        for address in {stalled.address for stalled in report.stalled}:
            self.record_failed_address(address, cause="stalled")
        return report

    async def _evaluate_missing_report(
        self, record: TargetRecord, reading: asyncio.Task
    ) -> None:
        """Probe the target and controls while its report is late.

        Guards against a single call that fails, by a lost packet or an own pause:
        controls that are probed later show nothing of that moment.
        """
        timeout_s = REPORT_TIMEOUT_S - PROBE_TIMEOUT_S
        probe_round, report = await asyncio.gather(
            self._run_round([record], timeout_s), reading
        )
        if report is not None:
            return
        verdict = evaluate_round(probe_round)
        self._take_verdict(probe_round, verdict)
        if record.name in verdict.unreachable:
            self.record_failure(record.name, cause="no report")
