"""Reroutes open streams around unreachable targets and off leaving ones."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Iterator
from dataclasses import replace
from functools import partial

from fulmarward.observability import log_event
from fulmarward_core.attempts import may_retry, must_reuse_targets
from fulmarward_core.paths import Hop, count_tokens_held
from fulmarward_core.stalls import (
    MIN_JOINT_STALL_S,
    MIN_STALL_S,
    SilenceCause,
    StallThresholds,
    StreamView,
    compute_check_delay_s,
    compute_stall_thresholds,
    decay_longest_pause_s,
    find_silence_cause,
    find_stalled_targets,
)
from fulmarward_router.exchange._admission import compute_resume_start
from fulmarward_router.exchange._attempt import (
    Attempt,
    AttemptFailed,
    EndedBy,
    describe_path,
    find_lost_state,
)
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._path_finder import PathFinder
from fulmarward_router.exchange._pipe_limiter import PipeLimiter
from fulmarward_router.exchange._request_state import RequestState
from fulmarward_router.exchange._room_claims import RoomClaims
from fulmarward_router.ports import OrderOutcome

#: Seconds without a first event, and without a further event, after which the first
#: target's report is fetched to learn which target the request waits for.
FIRST_CHECK_S = 0.45
PAUSE_CHECK_S = 0.3

#: Seconds between two checks of open streams while one of them is stalled.
CHECK_INTERVAL_S = 0.012

#: Seconds between two checks while no stream is open; these only measure how late the
#: event loop is.
IDLE_CHECK_INTERVAL_S = 0.5

#: Seconds by which a check may be late. Beyond that, an instance that is short of
#: processor time would mistake its own delay for a target's silence.
MAX_LATENESS_S = 0.03

#: Seconds of lateness beyond which it is logged.
LOGGED_LATENESS_S = 0.1

#: Weight of the newest pause in the moving average.
_PAUSE_WEIGHT = 0.02

#: Seconds between two report fetches for the same stream.
RECHECK_INTERVAL_S = 0.25

#: Seconds between rerouting two streams off leaving targets: each makes other targets
#: recompute its whole prompt.
DRAIN_INTERVAL_S = 0.1

#: Seconds before a stream without a retry is checked again.
NO_RETRY_PAUSE_S = 0.1

#: Seconds before a stream is checked again after an error of a check.
ERROR_PAUSE_S = 0.5

#: Seconds without an event after which a stream is resumed through a peer if its
#: service is unreached. Callers wait for at least twice as long.
UNREACHED_RESUME_S = 1.0

#: Paths that are tried in a row when a stream is rerouted around unreachable targets.
MAX_REROUTES = 3

#: Checks without a finding after which a silent stream is not checked any more.
MAX_CHECKS = 4


class StreamSupervisor:
    """Monitors all open streams of an instance and reroutes or aborts them."""

    def __init__(
        self,
        *,
        context: ServiceContext,
        failure_detector: FailureDetector,
        finder: PathFinder,
        pipe: PipeLimiter,
        room_claims: RoomClaims,
        begin_resumption: Callable[[Attempt, str, frozenset[str]], None],
        has_peers: Callable[[], bool] = lambda: False,
        check_ends: Callable[[RequestState], None] = lambda state: None,
    ) -> None:
        self._context = context
        #: Finds out whether targets have ended that leave a stream no other one.
        self._check_ends = check_ends
        #: Tries a further attempt beside a silent one, which stays open.
        self._begin_resumption = begin_resumption
        #: Returns whether there is a peer through which a stream may be resumed.
        self._has_peers = has_peers
        self._dialect = context.dialect
        self._catalogue = context.catalogue
        self._suspicions = context.suspicions
        self._ledger = context.ledger
        self._read_clock = context.read_clock
        self._failure_detector = failure_detector
        self._finder = finder
        self._pipe = pipe
        self._room_claims = room_claims
        #: Names of the leaving targets, cached for one revision of the catalogue.
        self._leaving: frozenset[str] = frozenset()
        self._leaving_revision = -1
        #: Running attempts by `id()`.
        self._attempts: dict[int, Attempt] = {}
        self._stream_added = asyncio.Event()
        #: When a stream was last rerouted off a leaving target.
        self._last_drain_at = float("-inf")
        #: Moving average of the pause between events, in seconds.
        self._mean_pause_s = 0.035
        #: Longest recent pause that an event has ended, in seconds.
        self._longest_pause_s = 0.0

    def add(self, attempt: Attempt) -> None:
        """Start monitoring an attempt."""
        attempt.last_activity_at = self._read_clock()
        self._attempts[id(attempt)] = attempt
        self._stream_added.set()

    def remove(self, attempt: Attempt) -> None:
        """Stop monitoring an attempt."""
        self._attempts.pop(id(attempt), None)
        self._room_claims.discard(attempt)

    def record_activity(self, attempt: Attempt) -> None:
        """Record that data arrived from the target."""
        now = self._read_clock()
        pause_s = now - attempt.last_activity_at
        if attempt.has_begun:
            self._mean_pause_s += _PAUSE_WEIGHT * (pause_s - self._mean_pause_s)
            self._longest_pause_s = decay_longest_pause_s(
                self._longest_pause_s,
                pause_s=pause_s,
                mean_pause_s=self._mean_pause_s,
            )
            attempt.slow_signs.note_pause(pause_s)
        if attempt.is_rerouted:
            log_event(
                "changed_path_confirmed",
                request=attempt.state.facts.request_id,
                after_s=round(pause_s, 3),
                last_event=attempt.state.last_event,
            )
        attempt.last_activity_at = attempt.last_event_at = now
        attempt.checks = 0
        attempt.withheld_causes.clear()
        self._room_claims.discard(attempt)
        attempt.is_rerouted = False
        attempt.has_begun = True

    def count_open(self, service: str) -> int:
        """Return how many answers of a service are open, started or not."""
        return sum(a.state.service == service for a in self._attempts.values())

    def sees_slow_streams(self) -> bool:
        """Return whether any stream here shows signs of a slow target on its path."""
        return any(True for _ in self._iterate_slow())

    def list_slow_targets(self) -> frozenset[str]:
        """Return the targets on the paths of streams that show signs of a slow one."""
        return frozenset(
            hop.target for attempt in self._iterate_slow() for hop in attempt.path
        )

    def _iterate_slow(self) -> Iterator[Attempt]:
        """Yield the streams that show signs of a slow target on their paths."""
        now = self._read_clock()
        for attempt in self._attempts.values():
            if attempt.slow_signs.is_slow(
                silent_s=now - attempt.last_activity_at,
                has_begun=attempt.has_begun,
                objective_s=attempt.state.route.objective_s,
                pause_s=attempt.state.route.pause_s,
            ):
                yield attempt

    async def run(self) -> None:
        """Check all open streams repeatedly, until cancelled.

        Guards against a target of a path that fails: no more events arrive, and the
        caller disconnects after 2 s. The stream is rerouted around the target, or its
        attempt is aborted so that another can resume after the last event.
        """
        checked_at = self._read_clock()
        while True:
            if not self._attempts:
                await self._await_stream()
                checked_at = self._read_clock()
            delay_s = self._compute_delay_s(checked_at)
            await asyncio.sleep(delay_s)
            now = self._read_clock()
            late_s = now - checked_at - delay_s
            is_late = late_s > MAX_LATENESS_S
            checked_at = now
            self._log_lateness(late_s)
            self._check_all(now, is_late=is_late)

    def _check_all(self, now: float, *, is_late: bool) -> None:
        """Check all streams; raises the first error once all are checked."""
        steps = [] if is_late else [self._probe_stalled]
        steps.append(self._drain_leaving_targets)
        steps.extend(
            partial(self._check_silent, attempt)
            for attempt in self._attempts.values()
            if now - attempt.last_activity_at >= MIN_STALL_S
        )
        errors = []
        for step in steps:
            try:
                step(now)
            except Exception as error:
                errors.append(error)
        if errors:
            raise errors[0]

    def _check_silent(self, attempt: Attempt, now: float) -> None:
        if attempt.is_writing:
            return
        if attempt.failure is not None:
            return
        if attempt.check_task is None:
            self._probe_unconfirmed(attempt, now)
            self._start_check(attempt)
        else:
            self._resume_last(attempt, now)

    def _resume_last(self, attempt: Attempt, now: float) -> None:
        """Resume a stream whose caller leaves soon, beside the check that is running.

        An order of another path that is not answered takes longer than is left.
        """
        state = attempt.state
        if not state.has_begun or not state.route.is_resumable:
            return
        if now < max(compute_resume_start(state), attempt.resume_pause_until):
            return
        unreachable = self._list_lost(attempt)
        lost = [] if attempt.first in unreachable else unreachable
        if not self._resume_elsewhere(attempt, SilenceCause.CALLER_LEAVES.value, lost):
            attempt.resume_pause_until = now + NO_RETRY_PAUSE_S

    def _compute_delay_s(self, now: float) -> float:
        """Return the seconds until the next check of the open streams.

        Guards against waking many times a second while all streams make progress.
        """
        return compute_check_delay_s(
            (attempt.last_activity_at for attempt in self._attempts.values()),
            mean_pause_s=self._mean_pause_s,
            interval_s=CHECK_INTERVAL_S,
            now=now,
        )

    async def _await_stream(self) -> None:
        """Return once a stream is open.

        Guards against idle instances that wake every 12 ms: many of them take the
        processor time that busy ones need.
        """
        self._stream_added.clear()
        while not self._stream_added.is_set():
            began_at = self._read_clock()
            try:
                async with asyncio.timeout(IDLE_CHECK_INTERVAL_S):
                    await self._stream_added.wait()
            except TimeoutError:
                self._log_lateness(
                    self._read_clock() - began_at - IDLE_CHECK_INTERVAL_S
                )

    def _log_lateness(self, late_s: float) -> None:
        if late_s > LOGGED_LATENESS_S:
            log_event(
                "event_loop_delayed",
                late_s=round(late_s, 4),
                streams=len(self._attempts),
            )

    def _drain_leaving_targets(self, now: float) -> None:
        """Reroute one stream around the leaving targets, if any passes through them.

        Guards against truncating streams on a planned shutdown: a leaving target keeps
        serving for 2 s or slightly longer, and responses take up to 7 s.
        """
        if now - self._last_drain_at < DRAIN_INTERVAL_S:
            return
        leaving = self._list_leaving(now)
        if not leaving:
            return
        for attempt in list(self._attempts.values()):
            hops = [hop for hop in attempt.path[1:] if hop.target in leaving]
            is_free = attempt.has_begun and attempt.check_task is None
            if not hops or not is_free or attempt.failure is not None:
                continue
            self._last_drain_at = now
            self._start_task(attempt, self._reroute(attempt, hops, is_required=False))
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
        """Probe the targets on which all streams are stalled.

        A failed target stalls every stream that passes through it; a target through
        which any stream makes progress is healthy. All others are probed concurrently
        to find the one that does not answer. In a large fleet, targets that a peer
        reported are probed first, and the rest of their paths only if they answer or
        the silence lasts: most failures are found by some instance before all others.
        """
        begun = [
            attempt
            for attempt in self._attempts.values()
            if attempt.has_begun and attempt.check_task is None
        ]
        if not begun:
            return
        thresholds = self._compute_stall_thresholds(begun)
        silent_since = now - thresholds.joint_s
        if all(attempt.last_activity_at > silent_since for attempt in begun):
            return
        views = [
            StreamView(
                targets=tuple(hop.target for hop in attempt.path),
                silent_s=now - attempt.last_activity_at,
                reported=self._list_reported(attempt, now),
                slowdown=self._find_slowdown(attempt, now),
            )
            for attempt in begun
        ]
        suspects = find_stalled_targets(views, thresholds=thresholds)
        if suspects:
            self._failure_detector.probe_stalled(suspects)

    def _find_slowdown(self, attempt: Attempt, now: float) -> float:
        """Return by which factor the pauses of a stream are likely to be longer.

        Always 1 in a small fleet. Guards against a large one in which each instance
        probes the paths of all streams while some targets are slow.
        """
        if not self._context.is_large():
            return 1.0
        paces = (self._context.paces.find(h.target, now=now) for h in attempt.path)
        return max(1.0, *paces)

    def _list_reported(self, attempt: Attempt, now: float) -> frozenset[str]:
        """Return the targets whose reported failure may explain a stream's silence.

        None in a small fleet.
        """
        if not self._context.is_large():
            return frozenset()
        table, last_event_at = self._suspicions, attempt.last_event_at
        return frozenset(
            hop.target
            for hop in attempt.path
            if table.is_reported_since(hop.target, served_at=last_event_at, now=now)
        )

    def _compute_stall_thresholds(self, begun: Iterable[Attempt]) -> StallThresholds:
        """Return when streams count as stalled.

        In a large fleet, streams that pause as long as others did are no reason for
        probes: hundreds of instances would probe most targets all the time. The limit
        leaves callers the time to be rerouted.
        """
        if not self._context.is_large():
            return compute_stall_thresholds(mean_pause_s=self._mean_pause_s)
        return compute_stall_thresholds(
            mean_pause_s=self._mean_pause_s,
            longest_pause_s=self._longest_pause_s,
            accepted_pause_s=min(attempt.state.route.pause_s for attempt in begun),
        )

    def list_active_targets(self, *, now: float) -> frozenset[str]:
        """Return the targets through which a stream has made progress just now."""
        active_since = now - MIN_JOINT_STALL_S
        return frozenset(
            hop.target
            for attempt in self._attempts.values()
            if attempt.last_event_at >= active_since
            for hop in attempt.path
        )

    def _probe_unconfirmed(self, attempt: Attempt, now: float) -> None:
        """Probe the targets of a silent stream whose failure is not confirmed for it.

        A peer's report is not enough to reroute a stream: the peer's own link may be at
        fault, and healthy streams pause for that long too. Neither is a failure
        observed here if the stream made progress afterwards, since the target served
        it. If those events were merely in transit when the target failed, none follow,
        and the stream is rerouted after the next probe.
        """
        table, last_event_at = self._suspicions, attempt.last_event_at
        unconfirmed = [
            hop.target
            for hop in attempt.path
            if table.is_indirect(hop.target, now=now)
            or table.record_progress(hop.target, served_at=last_event_at, now=now)
        ]
        if unconfirmed:
            self._failure_detector.probe(unconfirmed)

    def _start_check(self, attempt: Attempt) -> None:
        if self._is_check_due(attempt):
            self._start_task(attempt, self._recover(attempt))

    def _start_task(self, attempt: Attempt, task: Coroutine[None, None, None]) -> None:
        """Start the attempt's only check or reroute task.

        `AttemptFailed` aborts the attempt; any other error leaves it alone.
        """

        def allow_next() -> None:
            attempt.check_task = None

        def handle_end(task: asyncio.Task) -> None:
            error = None if task.cancelled() else task.exception()
            if error is None or isinstance(error, AttemptFailed):
                allow_next()
                if error is not None:
                    attempt.abort(error)
                return
            log_event(
                "internal_error_caught",
                exc_info=error,
                request=attempt.state.facts.request_id,
            )
            asyncio.get_running_loop().call_later(ERROR_PAUSE_S, allow_next)

        attempt.check_task = asyncio.create_task(task)
        attempt.check_task.add_done_callback(handle_end)

    def _list_lost(self, attempt: Attempt) -> list[Hop]:
        """Return the hops that are lost to this stream.

        They were found unreachable since they last served it, or another process has
        their name or address, which answers probes and does not hold the stream.
        """
        now, last_event_at, table = (
            self._read_clock(),
            attempt.last_event_at,
            self._suspicions,
        )
        replaced = self._context.list_replaced(attempt)
        return [
            hop
            for hop in attempt.path
            if table.is_unreachable_since(hop.target, served_at=last_event_at, now=now)
            or hop.target in replaced
        ]

    def _is_check_due(self, attempt: Attempt) -> bool:
        """Whether a stream is silent for too long or has an unreachable target."""
        if self._list_lost(attempt) or self._is_cut_off(attempt):
            return True
        if self._find_silence_cause(attempt) is not None:
            return True
        silent_s = self._read_clock() - attempt.last_activity_at
        first_s = PAUSE_CHECK_S if attempt.has_begun else FIRST_CHECK_S
        due_s = first_s + attempt.checks * RECHECK_INTERVAL_S
        return silent_s >= due_s and attempt.checks < MAX_CHECKS

    def _find_silence_cause(self, attempt: Attempt) -> SilenceCause | None:
        """Return why a begun stream is to be resumed although its targets answer."""
        state = attempt.state
        if not state.has_begun or not state.route.is_resumable:
            return None
        now = self._read_clock()
        return find_silence_cause(
            silent_s=now - attempt.last_activity_at,
            is_rerouted=attempt.is_rerouted,
            left_s=compute_resume_start(state) - now,
            pause_s=state.route.pause_s,
        )

    def _is_cut_off(self, attempt: Attempt) -> bool:
        """Return whether a stream is silent since this instance lost its targets.

        Streams go on while only new connections are refused.
        """
        state = attempt.state
        silent_s = self._read_clock() - attempt.last_activity_at
        return (
            silent_s >= UNREACHED_RESUME_S
            and state.route.is_resumable
            and not self._context.contacts.is_reached(state.service)
            and self._has_peers()
        )

    async def _recover(self, attempt: Attempt) -> None:
        """Find the unreachable targets of a path, and reroute the stream around them.

        Raises `AttemptFailed` if that is impossible.
        """
        if self._is_cut_off(attempt):
            self._resume_elsewhere(attempt, "no target answers")
            await asyncio.sleep(NO_RETRY_PAUSE_S)
            return
        unreachable = self._list_lost(attempt)
        silence_cause = self._find_silence_cause(attempt)
        if not unreachable and silence_cause is not None:
            self._resume_elsewhere(attempt, silence_cause.value)
            await asyncio.sleep(NO_RETRY_PAUSE_S)
            return
        if not unreachable:
            attempt.checks += 1
            record = self._catalogue.find_target(attempt.first.target)
            if record is None:
                return
            await self._failure_detector.fetch_report(record)
            unreachable = self._list_lost(attempt)
            if not unreachable:
                self._log_withheld(attempt, "silent", "all targets answer")
                return
        if attempt.first in unreachable:
            if not attempt.has_begun or attempt.state.route.is_resumable:
                self._resume_elsewhere(attempt, "the first target is lost")
                await asyncio.sleep(NO_RETRY_PAUSE_S)
            return
        began_at = self._read_clock()
        for _ in range(MAX_REROUTES):
            is_rerouted = await self._reroute(attempt, unreachable)
            # An order may have been accepted although its answer was lost.
            if is_rerouted or attempt.last_event_at > began_at:
                return
            unreachable = self._list_lost(attempt) or unreachable
        self._resume_elsewhere(attempt, "no way around was taken", unreachable)
        # The next orders may be answered; the stream may also go on by itself.
        await asyncio.sleep(NO_RETRY_PAUSE_S)

    def _resume_elsewhere(
        self, attempt: Attempt, cause: str, lost_hops: Iterable[Hop] = ()
    ) -> bool:
        """Resume a stream that is silent, and return whether that has begun.

        The `lost_hops` are avoided, in place of the first target. A stream without an
        event has nothing to lose: raises `AttemptFailed`, so that it is sent again.

        One that has begun stays open, and another attempt is tried beside it if there
        are a run, a path and a retry for it.
        """
        state = attempt.state
        lost = frozenset(hop.target for hop in lost_hops)
        if not state.has_begun:
            raise self._make_failure(cause, lost, has_retry=False)
        if attempt.resumption is not None:
            return True
        now, lost_state = self._read_clock(), find_lost_state(attempt)
        if now < attempt.resume_pause_until:
            return False
        if not may_retry(self._context.make_tally(lost_state), now=now):
            self._log_withheld(attempt, cause, "no run")
            return False
        self._check_ends(lost_state)
        is_gone = self._context.has_path_ended(attempt)
        is_last = is_gone or now >= compute_resume_start(state)
        if not self._has_other_path(attempt, lost):
            lacks_room = self._lacks_room(attempt, lost)
            may_claim = lacks_room and self._context.has_retry(state)
            if may_claim and not self._has_path_for_others(attempt):
                self._room_claims.add(attempt)
            else:
                self._room_claims.discard(attempt)
            if not (lacks_room and is_last):
                self._log_withheld(attempt, cause, "no other path")
                return False
        if not self._context.has_early_retry(state, is_last=is_last):
            self._log_withheld(attempt, cause, "no retry")
            return False
        self._begin_resumption(attempt, cause, lost)
        return True

    def _lacks_room(self, attempt: Attempt, lost: frozenset[str]) -> bool:
        """Return whether a stream without another path would have one with more room.

        That is not so if the link or a target is what it lacks, or if it may begin at
        certain targets only, so that room anywhere else does not help.
        """
        state = attempt.state
        tally = self._context.make_tally(find_lost_state(attempt))
        return (
            self._context.contacts.is_reached(state.service)
            and not must_reuse_targets(tally)
            and not (
                self._pipe.is_full()
                and self._has_other_path(attempt, lost, may_cross=True)
            )
            and self._has_other_path(attempt, lost, may_cross=True, ignores_load=True)
        )

    def _has_path_for_others(self, attempt: Attempt) -> bool:
        """Return whether there is a path for requests that avoid no target.

        They would wait beside room that the stream does not use.
        """
        wanted = replace(attempt.wanted, avoided=frozenset())
        path = self._finder.choose(attempt.state.service, attempt.engine, wanted)
        return path is not None

    @staticmethod
    def _make_failure(
        cause: str, lost: frozenset[str], *, has_retry: bool
    ) -> AttemptFailed:
        return AttemptFailed(
            cause=cause,
            is_not_run=False,
            has_retry=has_retry,
            ended_by=EndedBy.INSTANCE,
            lost=lost,
        )

    def _log_withheld(self, attempt: Attempt, cause: str, withheld_cause: str) -> None:
        """Log once for each cause that a silent stream is not resumed elsewhere."""
        if withheld_cause in attempt.withheld_causes:
            return
        attempt.withheld_causes.add(withheld_cause)
        state, now = attempt.state, self._read_clock()
        budget = self._context.find_budget(state.service)
        usage = budget.count(share=self._context.find_share(), now=now)
        tally = self._context.make_tally(state)
        log_event(
            "resumption_withheld",
            request=state.facts.request_id,
            target=attempt.first.target,
            cause=cause,
            withheld_cause=withheld_cause,
            replaced=self._context.list_replaced(attempt),
            link_queued_s=round(self._pipe.find_queued_s(), 3),
            silent_s=round(now - attempt.last_activity_at, 3),
            last_event=state.last_event,
            used=usage.used,
            allowed=round(usage.allowed, 2),
            runs=tally.runs,
            uncounted_runs=tally.uncounted_runs,
            most_attempts=tally.most_attempts,
        )

    def _has_other_path(
        self,
        attempt: Attempt,
        lost: frozenset[str],
        *,
        may_cross: bool | None = None,
        ignores_load: bool = False,
    ) -> bool:
        """Return whether a stream can be resumed without the targets that are lost.

        By default, its path may cross data centres unless their link is full.
        """
        state = attempt.state
        lost_state = find_lost_state(attempt)
        is_bound = must_reuse_targets(self._context.make_tally(lost_state))
        if not self._context.contacts.is_reached(state.service):
            # It is resumed through a peer, which does not know where it has run.
            return not is_bound
        first = attempt.first.target
        avoided = attempt.wanted.avoided | (lost or {first})
        if may_cross is None:
            # A path that crosses is refused while the link is full.
            may_cross = not self._pipe.is_full()
        wanted = replace(
            attempt.wanted,
            avoided=avoided,
            may_cross=may_cross,
            ignores_load=ignores_load,
        )
        if is_bound:
            reusable = lost_state.list_reusable_targets()
            wanted = replace(wanted, avoided=avoided - reusable, first_targets=reusable)
        path = self._finder.choose(
            state.service, attempt.engine, wanted, may_use_reported=True
        )
        return path is not None

    async def _reroute(
        self, attempt: Attempt, avoided_hops: list[Hop], *, is_required: bool = True
    ) -> bool:
        """Reroute a stream around targets; return whether the new path was accepted.

        If it `is_required`, raises `AttemptFailed` where there is no suitable path.
        """
        state, wanted = attempt.state, attempt.wanted
        avoided = frozenset(hop.target for hop in avoided_hops)
        path = self._choose_way_around(attempt, avoided)
        record = self._catalogue.find_target(attempt.first.target)
        if not is_required and (
            path is None
            or record is None
            or self._pipe.count_crossings(path, attempt.path)
        ):
            return False
        if path is None or record is None:
            self._resume_elsewhere(attempt, "no way around a lost target", avoided_hops)
            return False
        if is_required and self._pipe.count_crossings(path, attempt.path):
            # The activations of the whole prompt would cross data centres, one after
            # another for all streams through the failed target: pauses of 0.35 to
            # 0.6 s. Recomputing the prompt within a data centre takes under 0.1 s. If
            # it cannot be resumed, a pause is better than a truncated response.
            cause = "the way around a lost target crosses"
            if state.has_begun:
                if self._resume_elsewhere(attempt, cause, avoided_hops):
                    return False
            elif self._context.take_retry_early(state):
                raise self._make_failure(cause, avoided, has_retry=True)
        link_queued_s = self._pipe.find_queued_s()
        replaced = self._context.list_replaced(attempt)
        # A process that replaces a target during the order does not hold the stream.
        records = self._catalogue.find_records(hop.target for hop in path)
        ordered_at = self._read_clock()
        result = await self._dialect.order_path(record, state.facts.request_id, path)
        log_event(
            "path_changed",
            request=state.facts.request_id,
            lost=[hop.target for hop in avoided_hops],
            path=describe_path(path),
            outcome=result.outcome.value,
            at_fault=result.address_at_fault,
            last_event=state.last_event,
            link_queued_s=round(link_queued_s, 3),
            replaced=replaced,
        )
        if result.outcome is not OrderOutcome.TAKEN:
            if result.address_at_fault is not None:
                self._record_saturated(path, result.address_at_fault)
                await self._failure_detector.probe_and_wait(
                    [hop.target for hop in path]
                )
            elif is_required and attempt.last_event_at <= ordered_at:
                cause = f"no other path: {result.outcome.value}"
                self._resume_elsewhere(attempt, cause, avoided_hops)
            return False
        state.repaths += 1
        reservation = self._ledger.reserve(path, count_tokens_held(wanted))
        self._ledger.release(attempt.reservation)
        self._room_claims.discard(attempt)
        attempt.change_path(path, reservation=reservation, records=records)
        attempt.last_activity_at = self._read_clock()
        attempt.checks = 0
        attempt.is_rerouted = True
        state.targets = tuple(hop.target for hop in path)
        return True

    def _choose_way_around(
        self, attempt: Attempt, avoided: frozenset[str]
    ) -> tuple[Hop, ...] | None:
        """Return another path for a running attempt, `None` if there is none.

        Guards against a new process at the address of a lost one with the same layers:
        the first target takes that path for the one that it has, and changes nothing.
        """
        targets = {(hop.address, hop.layers): hop.target for hop in attempt.path}
        wanted = replace(
            attempt.wanted, first=attempt.first, kept=frozenset(attempt.path)
        )
        while True:
            wanted = replace(wanted, avoided=avoided)
            path = self._finder.choose(attempt.state.service, attempt.engine, wanted)
            successors = {
                hop.target
                for hop in path or ()
                if targets.get((hop.address, hop.layers), hop.target) != hop.target
            }
            if not successors:
                return path
            avoided |= successors

    def _record_saturated(self, path: tuple[Hop, ...], address: str) -> None:
        for hop in path:
            if hop.address == address:
                self._suspicions.record_saturated(hop.target, now=self._read_clock())
