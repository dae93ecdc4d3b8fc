"""Detects unreachable targets by probes and by the reports of first targets."""

import asyncio
import random
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

from fulmarward.observability import log_event
from fulmarward_core.catalogue import NamedTargets
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.isolation import ContactTable
from fulmarward_core.probing import (
    CONFIRM_TIMEOUT_S,
    PROBE_TIMEOUT_S,
    ProbeRound,
    ProbeVerdict,
    choose_controls,
    count_calls,
    count_controls,
    evaluate_round,
)
from fulmarward_core.suspicion import FailureKind, SuspicionTable
from fulmarward_router.exchange._contact_monitor import ContactMonitor
from fulmarward_router.exchange._pause_meter import PauseMeter
from fulmarward_router.ports import TargetDialect, TargetReport

#: Number of other targets that are connected to beside one that may have ended.
CONNECT_CONTROLS = 2

#: Seconds to wait for a first target's report; a stalled stream waits for it.
REPORT_TIMEOUT_S = 0.35

#: Seconds between two probes of the same target that answered.
PROBE_INTERVAL_S = 0.8

#: Seconds between two probes for stalled streams of a target that answers them, in a
#: large fleet: doubled after each answer, up to the maximum. Slow targets stall streams
#: of many instances again and again, and each instance probes at another time.
MAX_STALL_PROBE_INTERVAL_S = 3.2

#: Seconds without a probe after which that interval is the shortest one again.
STALL_RESET_S = 6.0

#: Seconds without probes after a round in which no control answered: further probes
#: would only add to a saturated link.
ISOLATED_HOLD_S = 0.25

#: Seconds before a suspicion expires at which the target is probed again. Longer than a
#: heartbeat, so that peers learn of the extended suspicion before theirs expires.
RECHECK_AHEAD_S = 0.8

#: Seconds between two checks whether targets are to be probed again, without and with
#: any that this instance found unreachable.
RECHECK_INTERVAL_S = 0.4
BUSY_RECHECK_INTERVAL_S = 0.1

#: Share of its timeout before which a call that fails was refused or broke off.
_CLOSED_SHARE = 0.9


@dataclass(frozen=True, kw_only=True)
class _CallResult:
    """How a probe's call ended."""

    #: Seconds until the answer, `None` without one.
    answered_s: float | None
    #: Whether the connection was refused or broke off.
    is_closed: bool = False


async def _find_result(calls: Iterable[asyncio.Task]) -> _CallResult:
    """Return the first answered call; without one, whether all were closed."""
    results = []
    for call in asyncio.as_completed(calls):
        result = await call
        if result.answered_s is not None:
            return result
        results.append(result)
    are_closed = all(result.is_closed for result in results)
    return _CallResult(answered_s=None, is_closed=are_closed)


def _ignore_lost(target: str) -> None:
    """Notify no peers."""


def _ignore_regained(targets: Sequence[str], asked_at: float) -> None:
    """Notify no peers."""


class FailureDetector:
    """Probes targets, and fetches reports on the targets that requests wait for.

    Guards against an isolated instance, whose own link is saturated or down: all
    targets look unreachable to it, so it would abort healthy streams and mislead its
    peers. A missing answer counts only if a control answered in the same round.
    """

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        catalogue: NamedTargets,
        suspicions: SuspicionTable,
        contacts: ContactTable,
        read_clock: Callable[[], float],
        notify_peers: Callable[[], None],
        is_large: Callable[[], bool] = lambda: False,
        notify_lost: Callable[[str], None] = _ignore_lost,
        notify_regained: Callable[[Sequence[str], float], None] = _ignore_regained,
        is_observer: Callable[[str], bool] = lambda target: True,
        is_listed: Callable[[], bool] = lambda: True,
    ) -> None:
        #: Notifies all peers at once, sooner than heartbeats, that a target was found
        #: unreachable. Called in large fleets only.
        self._notify_lost = notify_lost
        #: Notifies peers which targets have answered, and when they were probed.
        self._notify_regained = notify_regained
        #: Returns whether this instance probes a target on behalf of others.
        self._is_observer = is_observer
        self._is_large = is_large
        self._dialect = dialect
        self._catalogue = catalogue
        self._suspicions = suspicions
        self._read_clock = read_clock
        self._notify_peers = notify_peers
        self._report_tasks: dict[str, asyncio.Task] = {}
        self._probed_at: dict[str, float] = {}
        #: Seconds between two probes for stalled streams, by target. One entry for each
        #: target that was ever probed for them.
        self._stall_intervals_s: dict[str, float] = {}
        #: Running probe rounds, with the targets of each.
        self._probe_tasks: dict[asyncio.Task, frozenset[str]] = {}
        #: When no control answered, in seconds on the monotonic clock.
        self._isolated_at = float("-inf")
        #: Finds out whether a service without an answer is reached at all; its `run` is
        #: started by the daemon.
        self.contact_monitor = ContactMonitor(
            dialect=dialect,
            catalogue=catalogue,
            suspicions=suspicions,
            contacts=contacts,
            read_clock=read_clock,
            notify_peers=notify_peers,
            is_large=is_large,
            is_listed=is_listed,
        )
        #: Rotates the controls; instances start at different offsets.
        self._offset = random.randrange(1 << 16)

    def record_failure(self, target: str, *, cause: str, kind: FailureKind) -> None:
        """Record that a target is unreachable."""
        now = self._read_clock()
        self._stall_intervals_s.pop(target, None)
        # Reports reach other data centres without the heartbeats that repeat them.
        # Observers there repeat them, so that the exclusion does not end too early.
        takes_over = self._is_large() and self._is_observer(target)
        if self._suspicions.record_failure(
            target, now=now, kind=kind, takes_over=takes_over
        ):
            log_event(
                "target_unreachable",
                target=target,
                source="own",
                cause=cause,
                kind=kind.value,
            )
            self._notify_peers()
            if self._is_large():
                self._notify_lost(target)
            self._verify_service(target)

    def _verify_service(self, target: str) -> None:
        """Sample the service of a target if none of its targets counts as reachable."""
        now = self._read_clock()
        failed = self._catalogue.find_target(target)
        if failed is None:
            return
        is_any_left = any(
            not self._suspicions.is_unreachable(record.name, now=now)
            for record in self._catalogue.list_targets(now=now)
            if record.service == failed.service and not record.is_leaving
        )
        if not is_any_left:
            self.contact_monitor.verify([failed.service])

    async def record_connect_failure(self, target: str, *, timeout_s: float) -> None:
        """Probe a target to which no connection was made, beside controls.

        It is probed even if it answered just before; a probe that is already running is
        enough. Returns after `timeout_s` at the latest. Guards against an isolated
        instance: all targets refuse its connections, as a stopped target does.
        """
        ends_at = self._read_clock() + timeout_s
        await self.probe_again(target, timeout_s=timeout_s)
        record = self._catalogue.find_target(target)
        if record is not None:
            left_s = max(0.0, ends_at - self._read_clock())
            await self.contact_monitor.wait(record.service, timeout_s=left_s)

    async def probe_again(self, target: str, *, timeout_s: float) -> None:
        """Probe a target even if it has just answered; wait at most `timeout_s`."""
        if not self._is_probing(target):
            self._probed_at.pop(target, None)
        await self.probe_and_wait([target], timeout_s=timeout_s)

    def record_stalled_address(self, address: str) -> str | None:
        """Record that another target waits for the target at an address.

        Returns its name if it is known.
        """
        for record in self._catalogue.list_targets(now=self._read_clock()):
            if record.address == address:
                self.record_failure(
                    record.name, cause="stalled", kind=FailureKind.STALLED
                )
                return record.name
        return None

    def probe_stalled(self, targets: Iterable[str]) -> None:
        """Start a task that finds out which targets of stalled streams are unreachable.

        In a large fleet, targets that have answered such probes are probed less often.
        """
        if not self._is_large():
            self.probe(targets)
            return
        now = self._read_clock()
        due = []
        for target in targets:
            elapsed_s = now - self._probed_at.get(target, float("-inf"))
            interval_s = PROBE_INTERVAL_S
            if elapsed_s < STALL_RESET_S:
                interval_s = self._stall_intervals_s.get(target, PROBE_INTERVAL_S)
            if elapsed_s >= interval_s:
                self._stall_intervals_s[target] = min(
                    MAX_STALL_PROBE_INTERVAL_S, 2 * interval_s
                )
                due.append(target)
        self.probe(due)

    def probe(self, targets: Iterable[str]) -> None:
        """Start a task that finds out which of the targets are unreachable."""
        records = self._list_due(targets)
        if not records:
            return
        task = asyncio.create_task(self._probe_all(records))
        self._probe_tasks[task] = frozenset(record.name for record in records)
        task.add_done_callback(lambda task: self._probe_tasks.pop(task, None))

    async def probe_and_wait(
        self,
        targets: Iterable[str],
        *,
        timeout_s: float | None = None,
        answered: Iterable[str] = (),
    ) -> None:
        """Find out which targets of a rejected path are unreachable.

        For those that have `answered` another request, only running probes are awaited.

        Guards against several targets that fail together: a path that avoids the one
        reported would use the next, until the request has no attempts left.
        """
        names = frozenset(targets)
        self.probe(names.difference(answered))
        tasks = [task for task, probed in self._probe_tasks.items() if probed & names]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def _is_probing(self, target: str) -> bool:
        """Return whether a probe of a target is running."""
        return any(target in probed for probed in self._probe_tasks.values())

    def _list_due(self, targets: Iterable[str]) -> list[TargetRecord]:
        """Return the targets that are due for a probe which can change their state."""
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
        """Repeat probe rounds until it is clear which targets are unreachable."""
        began_at = self._read_clock()
        probe_round = await self._run_round(records, PROBE_TIMEOUT_S)
        first, verdict = probe_round, evaluate_round(probe_round)
        answered = set(probe_round.answers)
        while verdict.retry_timeout_s is not None:
            known = [self._catalogue.find_target(name) for name in probe_round.missing]
            missing = [record for record in known if record is not None]
            probe_round = await self._run_round(
                missing, verdict.retry_timeout_s, is_repeat=True, answered=answered
            )
            answered.update(probe_round.answers)
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
        self._apply_verdict(probe_round, verdict)
        for target in verdict.unreachable:
            self.record_failure(
                target,
                cause="no answer to a probe",
                kind=_find_kind(probe_round, target),
            )
        self._record_answers(answered.difference(verdict.unreachable))

    async def _run_round(
        self,
        records: list[TargetRecord],
        timeout_s: float,
        *,
        is_repeat: bool = False,
        answered: Collection[str] = (),
    ) -> ProbeRound:
        """Probe targets and controls concurrently.

        `answered` holds those that answered in earlier rounds.
        """
        count = count_controls(len(records), is_repeat=is_repeat)
        names = {record.name for record in records}
        controls = self._choose_controls(names, count, answered=answered)
        participants = records + controls
        began_at = self._read_clock()
        meter = PauseMeter()
        try:
            results = await asyncio.gather(
                *(self._time_answer(record, timeout_s) for record in participants)
            )
        finally:
            paused_s = meter.stop()
        by_name = {
            record.name: result
            for record, result in zip(participants, results, strict=True)
        }
        probe_round = ProbeRound(
            probed=tuple(record.name for record in participants),
            answers={
                name: result.answered_s
                for name, result in by_name.items()
                if result.answered_s is not None
            },
            timeout_s=timeout_s,
            took_s=self._read_clock() - began_at,
            paused_s=paused_s,
            is_repeat=is_repeat,
            controls=frozenset(record.name for record in controls),
            closed=frozenset(n for n, result in by_name.items() if result.is_closed),
        )
        answered = [r for r in participants if r.name in probe_round.answers]
        self.contact_monitor.record_answers(answered)
        if not answered:
            self.contact_monitor.verify({record.service for record in participants})
        return probe_round

    async def _time_answer(self, record: TargetRecord, timeout_s: float) -> _CallResult:
        """Return how soon a target answered, or how it did not.

        Guards against a lost packet, which delays the answer of even a healthy target
        beyond the timeout: further calls follow until one is answered.
        """
        count = count_calls(timeout_s, is_large=self._is_large())
        interval_s = timeout_s / count
        calls: list[asyncio.Task] = []
        try:
            for number in range(count):
                left_s = timeout_s - number * interval_s
                calls.append(asyncio.create_task(self._time_call(record, left_s)))
                done, _ = await asyncio.wait(
                    calls, timeout=interval_s, return_when=asyncio.FIRST_COMPLETED
                )
                if done:
                    break
            return await _find_result(calls)
        finally:
            for call in calls:
                call.cancel()

    async def _time_call(self, record: TargetRecord, timeout_s: float) -> _CallResult:
        """Return how soon one call was answered, or how it was not."""
        began_at = self._read_clock()
        is_responding = await self._dialect.is_responding(record, timeout_s)
        took_s = self._read_clock() - began_at
        if is_responding:
            return _CallResult(answered_s=took_s)
        is_closed = took_s < timeout_s * _CLOSED_SHARE
        return _CallResult(answered_s=None, is_closed=is_closed)

    def _choose_controls(
        self, names: set[str], count: int, *, answered: Collection[str]
    ) -> list[TargetRecord]:
        """Choose controls for a round, none of them unreachable from this instance.

        Suspected targets may serve as controls: a saturated one has just answered, and
        one reported by a peer may be healthy. Guards against a fleet where all other
        targets are suspected: without a control, every missing answer looks like this
        instance's own isolation. A repeated round keeps a control that has answered:
        otherwise, it may draw unreachable ones only.
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
            answered=answered,
            count=count,
            offset=self._offset,
        )

    async def is_control_reached(self, target: str, *, timeout_s: float) -> bool:
        """Return whether another target than this accepts a connection in time."""
        controls = self._choose_controls({target}, CONNECT_CONTROLS, answered=())
        accepted = await asyncio.gather(
            *(self._dialect.is_accepting(record, timeout_s) for record in controls)
        )
        return any(accepted)

    def _apply_verdict(self, probe_round: ProbeRound, verdict: ProbeVerdict) -> None:
        """Apply what a round shows about this instance and the controls."""
        if verdict.is_isolated:
            self._record_isolated(probe_round)
        if verdict.suspects:
            self.probe(verdict.suspects)

    def _record_isolated(self, probe_round: ProbeRound) -> None:
        """Record that no control answered, so the round says nothing about targets."""
        self._isolated_at = self._read_clock()
        for name in probe_round.probed:
            self._probed_at.pop(name, None)
        log_event(
            "observer_isolated",
            probed=len(probe_round.probed),
            answered=len(probe_round.answers),
            took_s=round(probe_round.took_s, 4),
        )

    def _record_answers(self, targets: Iterable[str]) -> None:
        """Record that targets answered, which overrides peers' reports and silence."""
        for target in targets:
            asked_at = self._probed_at.get(target, float("-inf"))
            if self._suspicions.record_answer(target, asked_at=asked_at):
                log_event("target_answered", target=target)
                if self._is_large() and self._is_observer(target):
                    # Others do not verify the report, which this answer refutes.
                    self._notify_regained([target], asked_at)
            self._record_regained([target], asked_at)

    def _record_regained(self, targets: Iterable[str], asked_at: float) -> None:
        """Record that targets answered that may have been silent, and notify peers."""
        regained = []
        for target in targets:
            excluded_s = self._suspicions.record_regained(
                target, asked_at=asked_at, now=self._read_clock()
            )
            if excluded_s is not None:
                regained.append(target)
                log_event(
                    "target_regained",
                    target=target,
                    source="own",
                    for_s=round(excluded_s, 3),
                )
        if regained:
            self._notify_regained(regained, asked_at)

    async def run(self) -> None:
        """Probe unreachable targets again, until cancelled.

        Those that were silent may go on at any time; only observers probe them, and
        notify the others. All others are probed before their suspicion expires.
        """
        while True:
            is_busy = bool(
                self._suspicions.list_direct_failures(now=self._read_clock())
            )
            interval_s = BUSY_RECHECK_INTERVAL_S if is_busy else RECHECK_INTERVAL_S
            await asyncio.sleep(interval_s)
            now = self._read_clock()
            if now - self._isolated_at < RECHECK_INTERVAL_S:
                continue
            silent = self._suspicions.list_due_probes(now=now)
            due = {
                *filter(self._must_recheck, silent),
                *self._suspicions.list_expiring(now=now, ahead_s=RECHECK_AHEAD_S),
            }
            records = [self._catalogue.find_target(name) for name in sorted(due)]
            known = [record for record in records if record is not None]
            if known:
                await self._recheck(known)

    def _must_recheck(self, target: str) -> bool:
        """Return whether to probe a silent target again before its suspicion ends.

        One that has answered a peer is probed by each instance: only the link between
        them may have failed.
        """
        return self._is_observer(target) or self._suspicions.has_answered_peer(target)

    async def _recheck(self, records: list[TargetRecord]) -> None:
        """Extend the suspicion of targets that still do not answer.

        There are controls however many targets are in question: if all of them are
        unreachable, they cannot serve as controls for each other.
        """
        asked_at = self._read_clock()
        probe_round = await self._run_round(records, CONFIRM_TIMEOUT_S, is_repeat=True)
        verdict = evaluate_round(probe_round)
        self._apply_verdict(probe_round, verdict)
        for name in verdict.unreachable:
            now = self._read_clock()
            if self._suspicions.is_unreachable(name, now=now):
                kind = _find_kind(probe_round, name)
                self._suspicions.extend(name, now=now, kind=kind)
                log_event(
                    "target_still_unreachable",
                    target=name,
                    source="own",
                    kind=kind.value,
                )
        self._record_regained(probe_round.answers, asked_at)

    async def fetch_report(self, record: TargetRecord) -> TargetReport | None:
        """Return a target's report, and record the stalled targets it names."""
        task = self._report_tasks.get(record.name)
        if task is None:
            task = asyncio.create_task(self._fetch_report(record))
            self._report_tasks[record.name] = task
            task.add_done_callback(lambda _: self._report_tasks.pop(record.name, None))
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
            self.record_stalled_address(address)
        return report

    async def _evaluate_missing_report(
        self, record: TargetRecord, reading: asyncio.Task
    ) -> None:
        """Probe the target and controls while its report is late.

        Guards against a single call that fails because of a lost packet or a pause of
        this instance: controls probed later would not show what happened at that time.
        """
        timeout_s = REPORT_TIMEOUT_S - PROBE_TIMEOUT_S
        probe_round, report = await asyncio.gather(
            self._run_round([record], timeout_s), reading
        )
        if report is not None:
            return
        verdict = evaluate_round(probe_round)
        self._apply_verdict(probe_round, verdict)
        if record.name in verdict.unreachable:
            kind = _find_kind(probe_round, record.name)
            self.record_failure(record.name, cause="no report", kind=kind)


def _find_kind(probe_round: ProbeRound, target: str) -> FailureKind:
    """Return how a target without an answer failed in a round."""
    is_closed = target in probe_round.closed
    return FailureKind.CLOSED if is_closed else FailureKind.SILENT
