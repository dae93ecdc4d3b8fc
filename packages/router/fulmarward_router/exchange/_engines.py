"""Serves requests to engine services: streams computed along a path of targets."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import aiohttp
from aiohttp import web

from fulmarward.observability import log_event
from fulmarward_core.attempts import may_run_again
from fulmarward_core.fleet import EngineModel
from fulmarward_core.paths import (
    KvCapacity,
    PathRequest,
)
from fulmarward_core.routes import RouteKind
from fulmarward_router.exchange._admission import (
    compute_resume_end,
)
from fulmarward_router.exchange._attempt import (
    Attempt,
    AttemptFailed,
    EndedBy,
    record_ended,
    record_run,
)
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._crash_monitor import CrashMonitor
from fulmarward_router.exchange._engine_paths import MAX_LOGGED_PARTS, EnginePaths
from fulmarward_router.exchange._events import Event
from fulmarward_router.exchange._failover import StreamSupervisor
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._forwarding import StreamForwarder, is_of_caller
from fulmarward_router.exchange._path_targets import PathTargets
from fulmarward_router.exchange._relay import PeerRelay, RelayedStream
from fulmarward_router.exchange._request_state import (
    RejectedRequest,
    RequestState,
    TruncatedResponse,
)
from fulmarward_router.exchange._resumption import StreamResumer, Successor
from fulmarward_router.exchange._send import (
    AnswerLost,
    NotSent,
    close_response,
    is_unsent,
)
from fulmarward_router.exchange._whole_responses import WholeResponses
from fulmarward_router.ports import TargetCall

#: Seconds before a stream whose resumption brought no event is sent again, after the
#: first such resumption and at most; doubled with each.
FRUITLESS_PAUSE_S = 0.02
MAX_FRUITLESS_PAUSE_S = 0.3


def _ignore_duration(service: str, estimated_s: float, actual_s: float) -> None:
    """Record nothing."""


class EngineService:
    """Serves requests to services whose targets hold layers of a model."""

    def __init__(
        self,
        *,
        context: ServiceContext,
        failure_detector: FailureDetector,
        forwarder: StreamForwarder,
        relay: PeerRelay,
        crash_monitor: CrashMonitor,
        count_broken_attempt: Callable[[str, str], None],
        count_denial: Callable[[str, int, str], None],
        observe_wait: Callable[[str, int, float], None],
        observe_duration: Callable[[str, float, float], None] = _ignore_duration,
        count_remote: Callable[[str, bool], None] = lambda service, overflows: None,
    ) -> None:
        #: Records the estimated and the actual seconds of a path, by service.
        self._observe_duration = observe_duration
        self._context = context
        self._forwarder = forwarder
        #: Counts an attempt that broke off, by service and progress.
        self._count_broken_attempt = count_broken_attempt
        self._relay = relay
        self._client = context.client
        self._dialect = context.dialect
        self._catalogue = context.catalogue
        self._suspicions = context.suspicions
        self._ledger = context.ledger
        self._read_clock = context.read_clock
        self._failure_detector = failure_detector
        self._crash_monitor = crash_monitor
        #: Finds and reserves paths, for which requests wait there.
        self._paths = paths = EnginePaths(
            context=context,
            failure_detector=failure_detector,
            list_active_targets=lambda: self.supervisor.list_active_targets(
                now=context.read_clock()
            ),
            count_open=lambda service: self.supervisor.count_open(service),
            count_denial=count_denial,
            observe_wait=observe_wait,
            count_remote=count_remote,
        )
        self._responses = WholeResponses(
            context=context,
            failure_detector=failure_detector,
            relay=relay,
            crash_monitor=crash_monitor,
        )
        self._teams = context.teams
        self._room_claims = paths.room_claims
        self._resumer = StreamResumer(
            context=context,
            admission=paths.admission,
            room_claims=paths.room_claims,
            crash_monitor=crash_monitor,
            forwarder=forwarder,
            relay=relay,
            limit_first_targets=paths.limit_first_targets,
            is_reachable=paths.is_reachable,
            open_response=self._open_response,
            release=self._release,
        )
        #: Monitors the open streams; its `run` is started by the daemon.
        self.supervisor = StreamSupervisor(
            context=context,
            failure_detector=failure_detector,
            finder=paths.finder,
            pipe=paths.pipe,
            room_claims=paths.room_claims,
            begin_resumption=self._resumer.begin,
            has_peers=relay.has_peers,
            check_ends=paths.check_ends,
        )

    def measure_capacity(self, service: str, engine: EngineModel) -> KvCapacity:
        """Return the KV cache of the usable targets of a service."""
        return self._paths.finder.measure_capacity(service, engine)

    async def serve(self, state: RequestState) -> web.StreamResponse:
        """Serve a request as its route demands: a stream, or a whole response.

        Raises `RejectedRequest` before the response starts, `TruncatedResponse`
        afterwards.
        """
        try:
            if state.route.kind is RouteKind.STREAM:
                return await self._serve_stream(state)
            return await self._responses.serve(state, self._choose_targets(state))
        finally:
            self._teams.record_ended(id(state))
            self._room_claims.end_search(state)

    def _choose_targets(self, state: RequestState) -> PathTargets:
        """Return the paths of a request, none of which has been tried."""
        return PathTargets(
            state=state,
            engine=state.configuration.services[state.service].engine,
            context=self._context,
            paths=self._paths,
            responses=self._responses,
        )

    async def _serve_stream(self, state: RequestState) -> web.StreamResponse:
        engine = state.configuration.services[state.service].engine
        wanted = self._paths.make_request(state, engine)
        await self._crash_monitor.admit(state)
        answer: web.StreamResponse | None = None
        successor: Successor | None = None
        while True:
            if isinstance(successor, RelayedStream):
                relayed = await self._relay.go_on(state, successor)
                if relayed is not None:
                    return relayed
                successor = None
            if successor is not None:
                attempt = successor
            else:
                if self._may_relay(state):
                    self._room_claims.end_search(state)
                    relayed = await self._relay.serve(state)
                    if relayed is not None:
                        return relayed
                    answer = state.request.get("answer")
                attempt = await self._begin_attempt(state, engine, wanted)
                if attempt is None:
                    continue
            state.targets = tuple(hop.target for hop in attempt.path)
            began_at = self._read_clock()
            is_complete = False
            try:
                answer = await self._run_guarded(state, attempt, answer)
                is_complete = True
                if answer.prepared:
                    await answer.write_eof()
                return answer
            except asyncio.CancelledError:
                # With a connection, it is under way, and may run.
                state.runs += not attempt.is_unsent
                record_ended(state, attempt, may_have_run=not attempt.is_unsent)
                raise
            except AttemptFailed as error:
                failure = error
                state.failed_at = self._read_clock()
                successor = await self._resumer.take_over(attempt, failure)
            finally:
                # A request that waits for a retry must not hold any resources.
                self._release(attempt)
                if is_complete:
                    record_ended(state, attempt, may_have_run=True)
                    self._paths.record_released(state, attempt.engine, attempt.wanted)
                    self._record_duration(state, self._read_clock() - began_at)
            if failure.is_not_run:
                state.sends -= 1
                record_ended(state, attempt, may_have_run=False)
            else:
                record_run(state, attempt)
            answer = state.request.get("answer")
            self._log_failure(state, attempt, failure)
            if successor is not None:
                self._crash_monitor.start_attempt_examination(state, attempt, failure)
                if isinstance(successor, Attempt):
                    wanted = successor.wanted
                state.resumes += 1
                continue
            if failure.is_not_sent and self._may_relay(state):
                # No target has received it, so that it takes no retry.
                continue
            await self._examine(state, attempt, failure)
            while not await self._is_cleared(state, wanted, failure, answer):
                continue
            if not failure.is_not_run or failure.is_not_sent:
                # A target that was unreachable or broke off its response is likely to
                # fail again.
                lost = failure.lost or {attempt.first.target}
                wanted = replace(wanted, avoided=wanted.avoided | lost)
            if state.last_event is not None and answer is not None:
                state.resumes += 1

    async def _is_cleared(
        self,
        state: RequestState,
        wanted: PathRequest,
        failure: AttemptFailed,
        answer: web.StreamResponse | None,
    ) -> bool:
        """Consume a retry for a request that crashes no target, waiting if need be.

        Returns `False` after a fault of this program, which is to be called again.
        Raises `RejectedRequest` or `TruncatedResponse`.
        """
        try:
            await self._await_clearance(state)
            await self._require_retry(state, wanted, failure, answer)
        except (RejectedRequest, TruncatedResponse):
            raise
        except (Exception, asyncio.CancelledError) as error:
            await self._handle_own_fault(state, error)
            return False
        return True

    async def _begin_attempt(
        self, state: RequestState, engine: EngineModel, wanted: PathRequest
    ) -> Attempt | None:
        """Return an attempt with a path; `None` if none was made and one may be later.

        Raises `RejectedRequest` or `TruncatedResponse`.
        """
        try:
            path, reservation = await self._paths.reserve(state, engine, wanted)
        except (RejectedRequest, TruncatedResponse):
            raise
        except (Exception, asyncio.CancelledError) as error:
            await self._handle_own_fault(state, error)
            return None
        try:
            # It may have waited, for capacity or for a retry.
            self._crash_monitor.check(state)
            self._context.check_may_begin(state)
        except RejectedRequest:
            self._ledger.release(reservation)
            raise
        except TruncatedResponse:
            self._ledger.release(reservation)
            self._teams.record_ended(id(state))
            await self._await_clearance(state)
            return None
        attempt = Attempt(
            state=state,
            engine=engine,
            wanted=wanted,
            path=path,
            reservation=reservation,
            records=self._catalogue.find_records(hop.target for hop in path),
            admission_key=id(state),
        )
        state.attempts += 1
        state.sends += 1
        self._paths.record_chosen(state, wanted, path)
        return attempt

    def _record_duration(self, state: RequestState, actual_s: float) -> None:
        """Record how long a path took that has served a whole answer."""
        is_whole = state.facts.last_event is None and not state.resumes
        if is_whole and not state.repaths and state.path_estimate_s is not None:
            self._observe_duration(state.service, state.path_estimate_s, actual_s)

    async def _handle_own_fault(
        self, state: RequestState, error: BaseException
    ) -> None:
        """Log a fault of this program; raise it unless a begun stream may go on.

        An error of the caller's connection is raised.
        """
        is_over = self._read_clock() >= compute_resume_end(state)
        if is_of_caller(error) or not state.has_begun or is_over:
            raise error
        _log_internal_error(state, error)
        await asyncio.sleep(MAX_FRUITLESS_PAUSE_S)

    def _may_relay(self, state: RequestState) -> bool:
        """Return whether to relay a request, for which its peer chooses the targets."""
        return not self._relay.is_bound(state) and self._relay.is_needed(state)

    async def _require_retry(
        self,
        state: RequestState,
        wanted: PathRequest,
        failure: AttemptFailed,
        answer: web.StreamResponse | None,
    ) -> None:
        """Consume a retry, or raise the exception that ends the request.

        A response that has started cannot be replaced by an error: it waits for a retry
        about as long as its caller stays connected.
        """
        if failure.has_retry:
            return
        if answer is not None:
            until = compute_resume_end(state)
            await self._paths.confirm_ends(state)
            await self._space_resumptions(state, failure, until)
            if await self._context.await_retry(state, until=until):
                return
            raise TruncatedResponse(
                self._context.find_cut_cause(state), detail=failure.cause
            )
        if self._paths.take_unstarted_retry(state):
            return
        engine = state.configuration.services[state.service].engine
        raise self._context.make_rejection(
            state,
            cause="no more attempts",
            detail=failure.cause,
            retry_after_s=self._paths.admission.find_retry_after_s(
                state, engine, wanted
            ),
        )

    async def _space_resumptions(
        self, state: RequestState, failure: AttemptFailed, until: float
    ) -> None:
        """Wait longer after each resumption without an event, until `until` at most.

        Guards against one stream that takes all retries while targets refuse it or
        break it off at once.
        """
        has_progressed = state.last_event != state.last_event_at_loss
        state.last_event_at_loss = state.last_event
        if has_progressed and not failure.is_not_run:
            state.fruitless_resumes = 0
            return
        pause_s = FRUITLESS_PAUSE_S * 2**state.fruitless_resumes
        left_s = max(0.0, until - self._read_clock())
        state.fruitless_resumes += 1
        await asyncio.sleep(min(pause_s, MAX_FRUITLESS_PAUSE_S, left_s))

    async def _await_clearance(self, state: RequestState) -> None:
        """Check whether the request crashes targets, while its caller waits."""
        until = compute_resume_end(state)
        await self._crash_monitor.await_clearance(state, until=until)

    async def _examine(
        self, state: RequestState, attempt: Attempt, failure: AttemptFailed
    ) -> None:
        """Examine a failed attempt; an error of that does not end the request."""
        try:
            await self._crash_monitor.examine_attempt(state, attempt, failure)
        except (Exception, asyncio.CancelledError) as error:
            if is_of_caller(error):
                raise
            _log_internal_error(state, error)

    async def _run_guarded(
        self, state: RequestState, attempt: Attempt, answer: web.StreamResponse | None
    ) -> web.StreamResponse:
        """Run one attempt as `_run_attempt` does; any other error is a failed attempt.

        One of the caller's connection ends the request.
        """
        try:
            return await self._run_attempt(state, attempt, answer)
        except (AttemptFailed, RejectedRequest, TruncatedResponse):
            raise
        except (Exception, asyncio.CancelledError) as error:
            if is_of_caller(error):
                raise
            _log_internal_error(state, error)
            raise AttemptFailed(
                cause=repr(error), is_not_run=False, ended_by=EndedBy.INSTANCE
            ) from error

    async def _run_attempt(
        self, state: RequestState, attempt: Attempt, answer: web.StreamResponse | None
    ) -> web.StreamResponse:
        """Run one attempt until the stream is complete.

        Raises `AttemptFailed` or `RejectedRequest`.
        """
        self.supervisor.add(attempt)
        now = self._read_clock()
        loop = asyncio.get_running_loop()
        attempt.deadline_timer = loop.call_later(
            state.deadline - now, attempt.abort, _make_deadline_failure()
        )
        if attempt.response is None:
            refusal = await self._open_response(state, attempt, answer)
            if refusal is not None:
                return refusal
        if answer is None:
            answer = await self._forwarder.begin_answer(state, attempt.response)
        await self._forward_stream(state, attempt, answer)
        for hop in attempt.path:
            self._suspicions.record_success(hop.target, now=self._read_clock())
        return answer

    async def _open_response(
        self, state: RequestState, attempt: Attempt, answer: web.StreamResponse | None
    ) -> web.Response | None:
        """Send an attempt and wait for the head of its response.

        Returns an error response to forward, `None` if a stream follows. Raises
        `AttemptFailed`.
        """
        call = self._make_call(state, attempt)
        attempt.head_task = asyncio.create_task(self._send(attempt, call))
        try:
            response = attempt.response = await attempt.head_task
        except asyncio.CancelledError as error:
            failure = attempt.failure
            if failure is None or is_of_caller(error):
                raise
            if attempt.is_unsent:
                failure.is_not_run = failure.is_not_sent = True
            raise failure from None
        except NotSent as error:
            await self._failure_detector.record_connect_failure(
                attempt.first.target, timeout_s=state.count_left(self._read_clock())
            )
            raise AttemptFailed(
                cause=repr(error), is_not_run=True, is_not_sent=True
            ) from error
        except AnswerLost as error:
            if attempt.first.target not in self._context.list_replaced(attempt):
                self._suspicions.record_error(
                    attempt.first.target, now=self._read_clock()
                )
            raise AttemptFailed(
                cause=repr(error), is_not_run=False, is_broken_off=True
            ) from error
        if attempt.failure is not None:
            # It was aborted in the turn of the event loop in which the head arrived.
            raise attempt.failure
        return await self._evaluate_head(state, attempt, response, answer)

    async def _send(self, attempt: Attempt, call: TargetCall) -> aiohttp.ClientResponse:
        """Send an attempt, and record if it is cancelled without a connection."""
        try:
            return await self._context.open(attempt.state, call)
        except asyncio.CancelledError as error:
            attempt.is_unsent = is_unsent(error)
            raise

    def _release(self, attempt: Attempt) -> None:
        """Release what an attempt holds; the closed connection stops the targets."""
        self.supervisor.remove(attempt)
        self._resumer.end(attempt)
        self._ledger.release(attempt.reservation)
        self._teams.record_ended(attempt.admission_key)
        if attempt.deadline_timer is not None:
            attempt.deadline_timer.cancel()
        if attempt.check_task is not None:
            attempt.check_task.cancel()
        if attempt.head_task is not None:
            attempt.head_task.cancel()
            attempt.head_task.add_done_callback(close_response)

    def _make_call(self, state: RequestState, attempt: Attempt) -> TargetCall:
        return TargetCall(
            target=attempt.first.target,
            address=attempt.first.address,
            team=None if state.team is None else state.team.name,
            deadline_s=state.deadline - self._read_clock(),
            urgency=state.urgency,
            path=attempt.path,
            last_event=state.last_event,
        )

    async def _evaluate_head(
        self,
        state: RequestState,
        attempt: Attempt,
        response: aiohttp.ClientResponse,
        answer: web.StreamResponse | None,
    ) -> web.Response | None:
        """Return an error response to forward, `None` if a stream follows."""
        facts = self._dialect.read_answer(response.status, response.headers)
        now = self._read_clock()
        if facts.is_not_run:
            await self._paths.record_refusal(
                attempt.path,
                attempt.engine,
                address_at_fault=facts.address_at_fault,
                status=response.status,
                sent_at=attempt.last_activity_at,
            )
            cause = f"not run, {response.status}, {facts.address_at_fault}"
            raise AttemptFailed(cause=cause, is_not_run=True)
        is_own = facts.request_id == state.facts.request_id and facts.is_plain
        if response.status == 200 and is_own and facts.is_signed:
            self._suspicions.refusals.record_accepted(
                hop.target for hop in attempt.path
            )
            return None
        is_own = is_own and facts.is_signed
        is_final = is_own and response.status < 500 and answer is None
        if not is_final:
            self._suspicions.record_error(attempt.first.target, now=now)
            may_retry = may_run_again(self._context.make_tally(state), now=now)
            if answer is not None or may_retry or not is_own:
                cause = f"failed, {response.status}"
                raise AttemptFailed(cause=cause, is_not_run=False)
        try:
            body = await self._client.read_body(response)
        except AnswerLost as error:
            raise AttemptFailed(cause=repr(error), is_not_run=False) from error
        headers = self._dialect.select_answer_headers(response.headers)
        return web.Response(status=response.status, body=body, headers=headers)

    async def _forward_stream(
        self, state: RequestState, attempt: Attempt, answer: web.StreamResponse
    ) -> None:
        """Forward complete events as they arrive, until the stream ends."""
        splitter = attempt.splitter
        if attempt.early_events:
            await self._forward_events(state, attempt, answer, attempt.early_events)
        while True:
            try:
                events = await self._forwarder.read_events(attempt.response, splitter)
            except (aiohttp.ClientError, OSError) as error:
                if attempt.failure is not None:
                    raise attempt.failure from error
                raise self._record_broken_response(attempt, repr(error)) from error
            if attempt.failure is not None:
                raise attempt.failure
            if events is None:
                break
            await self._forward_events(state, attempt, answer, events)
        if splitter.pending or _is_empty(attempt):
            raise self._record_broken_response(attempt, "ended inside an event")
        self._crash_monitor.record_proven(state)

    async def _forward_events(
        self,
        state: RequestState,
        attempt: Attempt,
        answer: web.StreamResponse,
        events: list[Event],
    ) -> None:
        self.supervisor.record_activity(attempt)
        if any(event.has_data for event in events):
            attempt.fruitless_resumptions = 0
            self._resumer.end(attempt)
        attempt.is_writing = True
        try:
            # Aborting the attempt does not end a write that its caller does not read.
            async with asyncio.timeout(state.count_left(self._read_clock())):
                await self._forwarder.forward_events(state, events, answer)
        except TimeoutError as error:
            raise _make_deadline_failure() from error
        finally:
            attempt.is_writing = False
        attempt.last_activity_at = self._read_clock()
        attempt.events = attempt.splitter.completed
        self._crash_monitor.record_events(state, attempt)

    def _record_broken_response(self, attempt: Attempt, cause: str) -> AttemptFailed:
        """Record that the first target closed the connection during its response."""
        lost = self._paths.charge_broken(
            attempt.path, self._context.list_replaced(attempt)
        )
        return AttemptFailed(
            cause=cause,
            is_not_run=False,
            is_broken_off=True,
            lost=lost,
        )

    def _log_failure(
        self, state: RequestState, attempt: Attempt, failure: AttemptFailed
    ) -> None:
        log_event(
            "attempt_failed",
            request=state.facts.request_id,
            target=attempt.first.target,
            outcome="not run" if failure.is_not_run else "may have run",
            cause=failure.cause,
            ended_by=failure.ended_by.value,
            lost=sorted(failure.lost),
            attempt=state.attempts,
            last_event=state.last_event,
            progress=attempt.progress.value,
            events=attempt.events,
            parts=state.facts.shared_parts[:MAX_LOGGED_PARTS],
        )
        if not failure.is_not_run:
            self._count_broken_attempt(state.service, attempt.progress.value)


def _make_deadline_failure() -> AttemptFailed:
    return AttemptFailed(cause="deadline", is_not_run=False, ended_by=EndedBy.DEADLINE)


def _log_internal_error(state: RequestState, error: BaseException) -> None:
    log_event("internal_error_caught", exc_info=error, request=state.facts.request_id)


def _is_empty(attempt: Attempt) -> bool:
    """Return whether a response that only its connection ends has no event.

    Nothing else tells it from one that was broken off.
    """
    headers = attempt.response.headers
    is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
    return not is_framed and not attempt.events
