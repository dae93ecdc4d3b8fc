"""Keeping open streams alive: around lost targets, and off those that leave."""

import asyncio
from collections.abc import Coroutine
from dataclasses import replace

from fulmarward.observability import log_event
from fulmarward_core.paths import Hop, count_tokens_held
from fulmarward_core.stalls import (
    MIN_STALL_S,
    StreamView,
    compute_check_delay_s,
    compute_joint_stall_s,
    find_stalled_targets,
)
from fulmarward_router.exchange._attempt import Attempt, AttemptEnded, describe_path
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._path_finder import PathFinder
from fulmarward_router.exchange._pipe_limiter import PipeLimiter
from fulmarward_router.ports import OrderOutcome

#: Seconds without a first event, and between events, after which the first target is
#: asked what the request waits for.
FIRST_CHECK_S = 0.45
PAUSE_CHECK_S = 0.3

#: Seconds between two checks of open streams while one of them is stalled.
CHECK_INTERVAL_S = 0.012

#: Seconds between two readings of the clock while no stream is open: only whether the
#: loop is late is seen by them.
IDLE_CHECK_INTERVAL_S = 0.5

#: Seconds by which a check may be late; later, an instance that is short of processor
#: time would take its own lateness for a target's silence.
MAX_LATENESS_S = 0.03

#: Seconds of lateness from which on it is logged.
LOGGED_LATENESS_S = 0.1

#: Weight of the newest pause in the mean.
_PAUSE_WEIGHT = 0.02

#: Seconds between two reports that are read for the same stream.
RECHECK_INTERVAL_S = 0.25

#: Seconds between two streams that are rerouted off leaving targets: each makes other
#: targets read its whole prompt.
DRAIN_INTERVAL_S = 0.1

#: Paths around lost targets that are tried for a stream at once.
MAX_REROUTES = 3

#: Reports without a finding, after which a stream waits for what comes.
MAX_CHECKS = 4


class StreamSupervisor:
    """Looks at all open streams of an instance."""

    def __init__(
        self,
        *,
        context: ServiceContext,
        watch: FailureDetector,
        finder: PathFinder,
        pipe: PipeLimiter,
    ) -> None:
        self._context = context
        self._dialect = context.dialect
        self._catalogue = context.catalogue
        self._suspicions = context.suspicions
        self._ledger = context.ledger
        self._read_clock = context.read_clock
        self._watch = watch
        self._finder = finder
        self._pipe = pipe
        #: Names of the targets that are leaving, and the revision of the catalogue
        #: that this holds for.
        self._leaving: frozenset[str] = frozenset()
        self._leaving_revision = -1
        #: Attempts under way, by the id of their object.
        self._open: dict[int, Attempt] = {}
        self._added = asyncio.Event()
        #: When a stream was last led off a leaving target.
        self._drained_at = float("-inf")
        #: Mean pause between events lately, seconds.
        self._mean_pause_s = 0.035

    def add(self, attempt: Attempt) -> None:
        """Look after an attempt from now on."""
        attempt.heard_at = self._read_clock()
        self._open[id(attempt)] = attempt
        self._added.set()

    def remove(self, attempt: Attempt) -> None:
        """Look after an attempt no more."""
        self._open.pop(id(attempt), None)

    def note_heard(self, attempt: Attempt) -> None:
        """Note a sign of life."""
        now = self._read_clock()
        pause_s = now - attempt.heard_at
        if attempt.has_begun:
            self._mean_pause_s += _PAUSE_WEIGHT * (pause_s - self._mean_pause_s)
            attempt.signs.note_pause(pause_s)
        attempt.heard_at = attempt.served_at = now
        attempt.checks = 0
        attempt.has_begun = True

    def sees_slow_streams(self) -> bool:
        """Return whether a stream here looks as if a target on its path were slow."""
        now = self._read_clock()
        return any(
            attempt.signs.is_slow(
                silent_s=now - attempt.heard_at,
                has_begun=attempt.has_begun,
                objective_s=attempt.work.route.objective_s,
                pause_s=attempt.work.route.pause_s,
            )
            for attempt in self._open.values()
        )

    async def run(self) -> None:
        """Look at all open streams again and again, until cancelled.

        Guards against a target of a path that is lost: nothing comes any more, and the
        caller leaves after two seconds. The path is led around it, or the attempt is
        ended so that another can go on where this one stopped.
        """
        checked_at = self._read_clock()
        while True:
            if not self._open:
                await self._await_stream()
                checked_at = self._read_clock()
            delay_s = self._compute_delay_s(checked_at)
            await asyncio.sleep(delay_s)
            now = self._read_clock()
            late_s = now - checked_at - delay_s
            is_late = late_s > MAX_LATENESS_S
            checked_at = now
            self._log_lateness(late_s)
            if not is_late:
                self._probe_stalled(now)
            self._drain_leaving(now)
            for attempt in list(self._open.values()):
                is_silent = now - attempt.heard_at >= MIN_STALL_S
                if is_silent and attempt.checking is None and attempt.end is None:
                    self._probe_unsure(attempt, now)
                    self._start_check(attempt)

    def _compute_delay_s(self, now: float) -> float:
        """Return the seconds until the open streams are to be checked again.

        Guards against waking many times a second while all streams move.
        """
        return compute_check_delay_s(
            (attempt.heard_at for attempt in self._open.values()),
            mean_pause_s=self._mean_pause_s,
            interval_s=CHECK_INTERVAL_S,
            now=now,
        )

    async def _await_stream(self) -> None:
        """Return once a stream is open.

        Guards against waking each 12 ms for nothing: many instances that are idle take
        the processor time that busy ones need.
        """
        self._added.clear()
        while not self._added.is_set():
            began_at = self._read_clock()
            try:
                async with asyncio.timeout(IDLE_CHECK_INTERVAL_S):
                    await self._added.wait()
            except TimeoutError:
                self._log_lateness(
                    self._read_clock() - began_at - IDLE_CHECK_INTERVAL_S
                )

    def _log_lateness(self, late_s: float) -> None:
        if late_s > LOGGED_LATENESS_S:
            log_event("loop_late", late_s=round(late_s, 4), streams=len(self._open))

    def _drain_leaving(self, now: float) -> None:
        """Lead streams around targets that are about to leave, a few at a time.

        Guards against a planned leave that cuts streams: a leaving target serves on
        for two seconds or a little longer, and answers take up to seven.
        """
        if now - self._drained_at < DRAIN_INTERVAL_S:
            return
        leaving = self._list_leaving(now)
        if not leaving:
            return
        for attempt in list(self._open.values()):
            hops = [hop for hop in attempt.path[1:] if hop.target in leaving]
            is_free = attempt.has_begun and attempt.checking is None
            if not hops or not is_free or attempt.end is not None:
                continue
            self._drained_at = now
            self._start_task(attempt, self._repath(attempt, hops, must=False))
            return

    def _list_leaving(self, now: float) -> frozenset[str]:
        """Return the names of the targets that are leaving."""
        if self._leaving_revision != self._catalogue.revision:
            self._leaving_revision = self._catalogue.revision
            self._leaving = frozenset(
                record.name
                for record in self._catalogue.list_targets(now=now)
                if record.is_leaving
            )
        return self._leaving

    def _probe_stalled(self, now: float) -> None:
        """Ask the targets at which all streams stand still whether they live.

        A target that is lost silences every stream that passes through it; one through
        which any stream moves is sound. What is left is asked at once, all together:
        the one that does not answer is the lost one.
        """
        begun = [
            attempt
            for attempt in self._open.values()
            if attempt.has_begun and attempt.checking is None
        ]
        silent_at = now - compute_joint_stall_s(self._mean_pause_s)
        if all(attempt.heard_at > silent_at for attempt in begun):
            return
        views = [
            StreamView(
                targets=tuple(hop.target for hop in attempt.path),
                silent_s=now - attempt.heard_at,
            )
            for attempt in begun
        ]
        suspects = find_stalled_targets(views, mean_pause_s=self._mean_pause_s)
        if suspects:
            self._watch.probe(suspects)

    def _probe_unsure(self, attempt: Attempt, now: float) -> None:
        """Ask the targets of a silent stream whose loss is not sure for it.

        A peer's word is no reason to end a stream: its own link may be at fault, and
        streams pause for that long by themselves. Nor is a loss seen here after which
        the stream moved: its target served it. Where these events were only under way
        when the target was lost, nothing follows them, and the target is led around a
        probe later.
        """
        table, served_at = self._suspicions, attempt.served_at
        unsure = [
            hop.target
            for hop in attempt.path
            if table.is_indirect(hop.target, now=now)
            or table.record_progress(hop.target, served_at=served_at, now=now)
        ]
        if unsure:
            self._watch.probe(unsure)

    def _start_check(self, attempt: Attempt) -> None:
        if self._must_check(attempt):
            self._start_task(attempt, self._keep_alive(attempt))

    def _start_task(self, attempt: Attempt, task: Coroutine[None, None, None]) -> None:
        """Start the one task that checks or moves an attempt."""

        def note_end(task: asyncio.Task) -> None:
            attempt.checking = None
            if task.cancelled() or task.exception() is None:
                return
            error = task.exception()
            if not isinstance(error, AttemptEnded):
                log_event("request_error", exc_info=error, request=None)
                error = AttemptEnded(cause=repr(error), is_not_run=False)
            attempt.end_now(error)

        attempt.checking = asyncio.create_task(task)
        attempt.checking.add_done_callback(note_end)

    def _list_lost(self, attempt: Attempt) -> list[Hop]:
        """Return the part of a path that was lost here after it last served."""
        now, served_at, table = self._read_clock(), attempt.served_at, self._suspicions
        return [
            hop
            for hop in attempt.path
            if table.is_unreachable_since(hop.target, served_at=served_at, now=now)
        ]

    def _must_check(self, attempt: Attempt) -> bool:
        """Whether a stream is silent for too long, or on a path with a lost target."""
        if self._list_lost(attempt):
            return True
        silent_s = self._read_clock() - attempt.heard_at
        first_s = PAUSE_CHECK_S if attempt.has_begun else FIRST_CHECK_S
        due_s = first_s + attempt.checks * RECHECK_INTERVAL_S
        return silent_s >= due_s and attempt.checks < MAX_CHECKS

    async def _keep_alive(self, attempt: Attempt) -> None:
        """Find the lost target of a path, and lead the request around it."""
        lost = self._list_lost(attempt)
        if not lost:
            attempt.checks += 1
            record = self._catalogue.find_target(attempt.first.target)
            if record is None:
                return
            await self._watch.fetch_report(record)
            lost = self._list_lost(attempt)
            if not lost:
                return
        if attempt.first in lost:
            if not attempt.has_begun or attempt.work.route.is_resumable:
                raise AttemptEnded(cause="the first target is lost", is_not_run=False)
            return
        for _ in range(MAX_REROUTES):
            if await self._repath(attempt, lost):
                return
            lost = self._list_lost(attempt) or lost
        raise AttemptEnded(cause="no way around was taken", is_not_run=False)

    async def _repath(
        self, attempt: Attempt, lost: list[Hop], *, must: bool = True
    ) -> bool:
        """Lead a stream around targets; return whether the order was taken.

        If it `must` be led, the attempt ends where there is no good way.
        """
        work, engine, wanted = attempt.work, attempt.engine, attempt.wanted
        avoided = frozenset(hop.target for hop in lost)
        around = replace(wanted, first=attempt.first, avoided=avoided)
        path = self._finder.choose(work.service, engine, around)
        record = self._catalogue.find_target(attempt.first.target)
        if not must and (
            path is None
            or record is None
            or self._pipe.count_crossings(path, attempt.path)
        ):
            return False
        if path is None or record is None:
            raise AttemptEnded(cause="no way around a lost target", is_not_run=False)
        if (
            must
            and self._pipe.count_crossings(path, attempt.path)
            and self._context.take_retry_ahead(work)
        ):
            # Activations of the whole prompt would cross, those of all streams through
            # the lost target one after another: pauses of 0.35 to 0.6 s. Reading the
            # prompt again on a whole path elsewhere takes under 0.1 s. Where no retry
            # is left, a pause is better than an answer that is cut.
            raise AttemptEnded(
                cause="the way around a lost target crosses",
                is_not_run=False,
                has_retry=True,
            )
        result = await self._dialect.order_path(record, work.facts.request_id, path)
        log_event(
            "path_changed",
            request=work.facts.request_id,
            lost=[hop.target for hop in lost],
            path=describe_path(path),
            outcome=result.outcome.value,
            at_fault=result.address_at_fault,
            last_event=work.last_event,
        )
        if result.outcome is not OrderOutcome.TAKEN:
            if result.address_at_fault is not None:
                self._hold_against(path, result.address_at_fault)
                await self._watch.check([hop.target for hop in path])
            elif must:
                cause = f"no other path: {result.outcome.value}"
                raise AttemptEnded(cause=cause, is_not_run=False)
            return False
        work.repaths += 1
        reservation = self._ledger.reserve(path, count_tokens_held(wanted))
        self._ledger.release(attempt.reservation)
        attempt.reservation, attempt.path = reservation, path
        attempt.heard_at = self._read_clock()
        attempt.checks = 0
        work.targets = tuple(hop.target for hop in path)
        return True

    def _hold_against(self, path: tuple[Hop, ...], address: str) -> None:
        for hop in path:
            if hop.address == address:
                self._suspicions.record_saturated(hop.target, now=self._read_clock())
