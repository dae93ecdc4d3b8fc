"""Resumes a silent stream while its attempt stays open.

Whether another target takes the stream, and goes on with it, is known only from its
events. Until it has sent one, the silent attempt is not given up: its target may go on
at any time, and a resumption that is rejected, finds no path or has no retry leaves the
stream as it was.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial

import aiohttp
from aiohttp import web

from fulmarward.observability import log_event
from fulmarward_core.paths import PathRequest, count_tokens_held
from fulmarward_router.exchange._admission import (
    AdmissionQueue,
    compute_resume_end,
    compute_resume_start,
)
from fulmarward_router.exchange._attempt import (
    Attempt,
    AttemptFailed,
    EndedBy,
    describe_path,
    find_lost_state,
    record_ended,
    record_run,
)
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._crash_monitor import CrashMonitor
from fulmarward_router.exchange._events import is_next
from fulmarward_router.exchange._forwarding import StreamForwarder
from fulmarward_router.exchange._relay import NoPeerServes, PeerRelay, RelayedStream
from fulmarward_router.exchange._request_state import (
    RejectedRequest,
    RequestState,
    Shortage,
    TruncatedResponse,
)
from fulmarward_router.exchange._room_claims import RoomClaims

#: Seconds before another resumption of a stream after one that brought nothing, the
#: first time and at most; doubled with each.
FRUITLESS_PAUSE_S = 0.05
MAX_FRUITLESS_PAUSE_S = 0.4

#: Multiple of the objective for a first event within which a further attempt has to
#: bring one, and the seconds between two checks of its path.
EVENT_TIMEOUT_OBJECTIVES = 2
WATCH_INTERVAL_S = 0.05


class _Withheld(Exception):
    """A resumption was not sent; the message is the cause for the log."""

    def __init__(self, cause: str, *, shortage: Shortage | None = None) -> None:
        super().__init__(cause)
        #: What it lacked if no path was found.
        self.shortage = shortage


#: What goes on with a stream: an attempt along a path of targets, or a peer.
Successor = Attempt | RelayedStream


class Resumption:
    """A further attempt at a stream, beside its silent one."""

    def __init__(self, *, cause: str, lost: frozenset[str]) -> None:
        #: Why the silent attempt may be lost, and the later targets of its path that
        #: are avoided; empty if its first target is.
        self.cause = cause
        self.lost = lost
        #: Returns what goes on with the stream once it has brought an event, or `None`.
        self.task: asyncio.Task[Successor | None] | None = None
        #: Whether the silent attempt has ended, and its stream waits for this one.
        self.is_awaited = False

    def adopt(self) -> Successor | None:
        """Return what goes on with the stream, `None` if it has brought no event."""
        task = self.task
        if task is None or not task.done() or task.cancelled() or task.exception():
            return None
        return task.result()


class StreamResumer:
    """Tries further attempts beside silent ones."""

    def __init__(
        self,
        *,
        context: ServiceContext,
        admission: AdmissionQueue,
        room_claims: RoomClaims,
        crash_monitor: CrashMonitor,
        forwarder: StreamForwarder,
        relay: PeerRelay,
        limit_first_targets: Callable[..., PathRequest],
        is_reachable: Callable[..., Awaitable[bool]],
        open_response: Callable[..., Awaitable[web.Response | None]],
        release: Callable[[Attempt], None],
    ) -> None:
        self._context = context
        self._admission = admission
        self._room_claims = room_claims
        self._crash_monitor = crash_monitor
        self._forwarder = forwarder
        self._relay = relay
        #: Has a path begin where a stream may run.
        self._limit_first_targets = limit_first_targets
        #: Probes the targets of a path; returns whether none is unreachable.
        self._is_reachable = is_reachable
        #: Sends an attempt and evaluates the head of its response.
        self._open_response = open_response
        self._release = release
        self._read_clock = context.read_clock
        #: Number of resumptions under way by first target that has yet to respond.
        self._unanswered: Counter[str] = Counter()

    def begin(self, attempt: Attempt, cause: str, lost: frozenset[str]) -> None:
        """Try a further attempt beside one whose stream is silent.

        Once it has brought an event, the silent attempt is aborted.
        """
        resumption = attempt.resumption = Resumption(cause=cause, lost=lost)
        resumption.task = asyncio.create_task(self._resume(attempt, resumption))
        resumption.task.add_done_callback(
            partial(self._handle_end, attempt, resumption)
        )

    def _handle_end(
        self, attempt: Attempt, resumption: Resumption, task: asyncio.Task
    ) -> None:
        if not task.cancelled() and task.exception() is not None:
            log_event(
                "internal_error_caught",
                exc_info=task.exception(),
                request=attempt.state.facts.request_id,
            )
        if attempt.resumption is not resumption:
            # The silent attempt has gone on, or has ended.
            self._discard(attempt, resumption)
            return
        if resumption.adopt() is None:
            attempt.resumption = None
            return
        failure = AttemptFailed(
            cause=resumption.cause,
            is_not_run=False,
            has_retry=True,
            ended_by=EndedBy.INSTANCE,
            lost=resumption.lost,
        )
        attempt.abort(failure)

    def end(self, attempt: Attempt) -> None:
        """End the resumption of an attempt that goes on by itself, or has ended."""
        resumption, attempt.resumption = attempt.resumption, None
        if resumption is None or resumption.task is None:
            return
        if resumption.task.done():
            self._discard(attempt, resumption)
        else:
            resumption.task.cancel()

    def _discard(self, attempt: Attempt, resumption: Resumption) -> None:
        """Close what has brought an event and is not needed."""
        successor = resumption.adopt()
        resumption.task = None
        if isinstance(successor, RelayedStream):
            attempt.state.runs += 1
            successor.response.close()
        elif successor is not None:
            record_run(successor.state, successor)
            self._release(successor)

    async def take_over(
        self, attempt: Attempt, failure: AttemptFailed
    ) -> Successor | None:
        """Return what goes on with the stream in place of an attempt that has failed.

        It is awaited about as long as the caller waits for the next event.
        """
        resumption, state = attempt.resumption, attempt.state
        if resumption is None or failure.ended_by is EndedBy.DEADLINE:
            return None
        resumption.is_awaited = True
        left_s = compute_resume_end(state) - self._read_clock()
        await asyncio.wait([resumption.task], timeout=max(0.0, left_s))
        successor = resumption.adopt()
        if successor is not None:
            attempt.resumption = None
        return successor

    async def _resume(
        self, attempt: Attempt, resumption: Resumption
    ) -> Successor | None:
        """Return what goes on with a stream and has brought an event, or `None`."""
        try:
            if not self._context.contacts.is_reached(attempt.state.service):
                return await self._resume_at_peer(attempt)
            successor = await self._prepare(attempt, resumption)
        except _Withheld as error:
            attempt.resume_pause_until = self._find_pause_end(attempt)
            self._log_withheld(attempt, resumption, error)
            return None
        state = attempt.state
        is_ready = False
        is_run = True
        watch = asyncio.create_task(self._watch(successor))
        try:
            await self._await_event(attempt, successor)
            is_ready = True
            return successor
        except AttemptFailed as error:
            is_run = not error.is_not_run
            attempt.resume_pause_until = self._find_pause_end(attempt)
            self._log_failed(attempt, successor, error.cause, is_run=is_run)
            return None
        except asyncio.CancelledError:
            is_run = not successor.is_unsent
            self._log_failed(attempt, successor, "not needed", is_run=is_run)
            raise
        finally:
            watch.cancel()
            if not is_ready:
                if is_run:
                    record_run(state, successor)
                else:
                    record_ended(state, successor, may_have_run=False)
                self._release(successor)

    async def _watch(self, successor: Attempt) -> None:
        """Abort a further attempt whose path is lost, or that brings no event in time.

        The stream may then be resumed once more before its caller leaves.
        """
        began_at = self._read_clock()
        until = began_at + EVENT_TIMEOUT_OBJECTIVES * successor.state.route.objective_s
        cause = "no event in time"
        while (now := self._read_clock()) < until:
            if any(
                self._context.suspicions.is_unreachable_since(
                    hop.target, served_at=began_at, now=now
                )
                for hop in successor.path
            ) or self._context.list_replaced(successor):
                cause = "its path is lost"
                break
            await asyncio.sleep(WATCH_INTERVAL_S)
        successor.abort(
            AttemptFailed(cause=cause, is_not_run=False, ended_by=EndedBy.INSTANCE)
        )

    async def _resume_at_peer(self, attempt: Attempt) -> RelayedStream:
        """Return the stream of a peer that goes on with it; raises `_Withheld`.

        The retry is returned if no target has got the request.
        """
        await self._await_arrived(attempt)
        state = attempt.state
        self._check(state)
        lost_state = find_lost_state(attempt)
        self._take_retry(attempt, lost_state, may_borrow=False)
        timeout_s = EVENT_TIMEOUT_OBJECTIVES * state.route.objective_s
        try:
            async with asyncio.timeout(timeout_s):
                return await self._relay.open_stream(
                    state, open_runs=lost_state.runs - state.runs
                )
        except TimeoutError as error:
            raise _Withheld("no event in time") from error
        except NoPeerServes as error:
            if not error.is_sent:
                self._context.return_retry(state)
            raise _Withheld("no peer takes it") from error

    async def _await_arrived(self, attempt: Attempt) -> None:
        """Have events read that have arrived; raises `_Withheld` if there were any.

        The silence may be one of this instance's own event loop.
        """
        silent_since = attempt.last_event_at
        for _ in range(2):
            await asyncio.sleep(0)
        self._require_silence(attempt, silent_since)

    @staticmethod
    def _require_silence(attempt: Attempt, silent_since: float) -> None:
        if attempt.last_event_at > silent_since:
            raise _Withheld("its target goes on")

    def _take_retry(
        self, attempt: Attempt, lost_state: RequestState, *, may_borrow: bool = True
    ) -> None:
        """Consume a retry; raises `_Withheld` if there is none."""
        state = attempt.state
        is_due = self._read_clock() >= compute_resume_start(state)
        if not self._context.take_retry_early(
            state,
            lost_state=lost_state,
            is_last=is_due or self._is_gone(attempt),
            may_borrow=may_borrow,
        ):
            raise _Withheld("no retry")

    def _find_pause_end(self, attempt: Attempt) -> float:
        """Return when a stream may be resumed again after a fruitless resumption."""
        pause_s = FRUITLESS_PAUSE_S * 2**attempt.fruitless_resumptions
        attempt.fruitless_resumptions += 1
        return self._read_clock() + min(pause_s, MAX_FRUITLESS_PAUSE_S)

    async def _prepare(self, attempt: Attempt, resumption: Resumption) -> Attempt:
        """Return a further attempt with its path and a retry; raises `_Withheld`."""
        silent_since = attempt.last_event_at
        await self._await_arrived(attempt)
        state, wanted = attempt.state, self._make_wanted(attempt, resumption)
        search = self._avoid_unanswered(wanted)
        lost_state = find_lost_state(attempt)
        key = object()
        path = await self._admission.try_path(
            lost_state,
            attempt.engine,
            self._limit_first_targets(lost_state, attempt.engine, search),
            key=key,
        )
        if isinstance(path, Shortage):
            if path is Shortage.KV_CACHE:
                self._require_silence(attempt, silent_since)
                if self._may_claim(attempt, search):
                    self._room_claims.add(attempt)
                self._give_up_room(attempt, resumption, lost_state, search)
            raise _Withheld("no path now", shortage=path)
        self._room_claims.discard(attempt)
        reservation = self._context.ledger.reserve(path, count_tokens_held(wanted))
        successor = Attempt(
            state=state,
            engine=attempt.engine,
            wanted=wanted,
            path=path,
            reservation=reservation,
            records=self._context.catalogue.find_records(hop.target for hop in path),
            admission_key=key,
        )
        self._unanswered[successor.first.target] += 1
        is_ready = False
        try:
            self._check(state)
            if not await self._is_reachable(path, since=self._read_clock()):
                raise _Withheld("path unreachable")
            self._require_silence(attempt, silent_since)
            self._take_retry(attempt, lost_state)
            is_ready = True
            return successor
        finally:
            if not is_ready:
                self._record_answered(successor)
                self._release(successor)

    def _may_claim(self, attempt: Attempt, wanted: PathRequest) -> bool:
        """Return whether room is what a stream lacks, and others lack it too."""
        emptied = replace(wanted, ignores_load=True)
        others = replace(wanted, avoided=frozenset())
        state, engine = attempt.state, attempt.engine
        return self._admission.has_path(
            state, engine, emptied
        ) and not self._admission.has_path(state, engine, others)

    def _give_up_room(
        self,
        attempt: Attempt,
        resumption: Resumption,
        lost_state: RequestState,
        wanted: PathRequest,
    ) -> None:
        """End a silent attempt whose room is needed, with a retry taken before.

        That is the case if its process has ended, so that it holds room for nothing, or
        if its caller is about to leave and its own room is all that the stream lacks.
        Its stream then waits in the queue, as one that was broken off. Raises
        `_Withheld` without a retry.
        """
        if resumption.is_awaited:
            return
        state = attempt.state
        # An entry that has lapsed does not say that its process has ended.
        if not self._context.list_replaced(attempt):
            if self._read_clock() < compute_resume_start(state):
                return
            if self._room_claims.has_seeker():
                return
            spare = replace(wanted, released=attempt.reservation.loads)
            if not self._admission.has_path(state, attempt.engine, spare):
                return
        self._check(state)
        self._take_retry(attempt, lost_state)
        failure = AttemptFailed(
            cause="its room is needed",
            is_not_run=False,
            has_retry=True,
            ended_by=EndedBy.INSTANCE,
            lost=resumption.lost,
        )
        self._room_claims.begin_search(state)
        attempt.abort(failure)

    def _record_answered(self, successor: Attempt) -> None:
        """Record that a resumption waits for its first target no more."""
        target = successor.first.target
        self._unanswered[target] -= 1
        if not self._unanswered[target]:
            del self._unanswered[target]

    @staticmethod
    def _make_wanted(attempt: Attempt, resumption: Resumption) -> PathRequest:
        """Return what a stream is to be served by: a path without the lost targets."""
        lost = resumption.lost or {attempt.first.target}
        return replace(attempt.wanted, avoided=attempt.wanted.avoided | lost)

    def _avoid_unanswered(self, wanted: PathRequest) -> PathRequest:
        """Return what path to look for now.

        A target that has not responded to another resumption yet is avoided too. Guards
        against many streams of one silent target that are all sent to the same other
        one, which rejects most of them.
        """
        return replace(wanted, avoided=wanted.avoided | frozenset(self._unanswered))

    def _check(self, state: RequestState) -> None:
        """Raise `_Withheld` if the request is suspected to crash targets."""
        try:
            self._crash_monitor.check(state)
        except (RejectedRequest, TruncatedResponse) as error:
            raise _Withheld("targets crash under it") from error

    def _is_gone(self, attempt: Attempt) -> bool:
        """Return whether a process on its path is known to have ended."""
        return self._context.has_path_ended(attempt)

    async def _await_event(self, attempt: Attempt, successor: Attempt) -> None:
        """Send a further attempt and wait for its first event.

        Raises `AttemptFailed`.
        """
        state = attempt.state
        state.attempts += 1
        log_event(
            "resumption_begun",
            request=state.facts.request_id,
            attempt=state.attempts,
            silent=attempt.first.target,
            path=describe_path(successor.path),
            last_event=state.last_event,
            silent_s=round(self._read_clock() - attempt.last_activity_at, 3),
        )
        try:
            refusal = await self._open_response(
                state, successor, state.request.get("answer")
            )
        finally:
            self._record_answered(successor)
        if refusal is not None:
            raise AttemptFailed(cause="refused", is_not_run=False)
        while not successor.early_events:
            try:
                events = await self._forwarder.read_events(
                    successor.response, successor.splitter
                )
            except (aiohttp.ClientError, OSError) as error:
                if successor.failure is not None:
                    raise successor.failure from error
                raise AttemptFailed(cause=repr(error), is_not_run=False) from error
            if events is None:
                raise AttemptFailed(cause="ended without an event", is_not_run=False)
            if any(is_next(event, state.last_event) for event in events):
                successor.early_events = events

    def _log_withheld(
        self, attempt: Attempt, resumption: Resumption, withheld: _Withheld
    ) -> None:
        cause, shortage = str(withheld), withheld.shortage
        if cause in attempt.withheld_causes:
            return
        attempt.withheld_causes.add(cause)
        log_event(
            "resumption_withheld",
            request=attempt.state.facts.request_id,
            target=attempt.first.target,
            cause=resumption.cause,
            withheld_cause=cause,
            shortage=None if shortage is None else shortage.value,
            replaced=self._context.list_replaced(attempt),
            silent_s=round(self._read_clock() - attempt.last_activity_at, 3),
            last_event=attempt.state.last_event,
        )

    def _log_failed(
        self, attempt: Attempt, successor: Attempt, cause: str, *, is_run: bool
    ) -> None:
        log_event(
            "resumption_failed",
            request=attempt.state.facts.request_id,
            target=successor.first.target,
            outcome="may have run" if is_run else "not run",
            cause=cause,
            progress=successor.progress.value,
            last_event=attempt.state.last_event,
        )
