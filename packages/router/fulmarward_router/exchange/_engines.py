"""Serves requests to engine services: streams computed along a path of targets."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import aiohttp
from aiohttp import web

from fulmarward.observability import log_event
from fulmarward_core.attempts import may_retry, may_run_again, must_reuse_targets
from fulmarward_core.fleet import EngineModel
from fulmarward_core.loads import Reservation
from fulmarward_core.paths import (
    Hop,
    KvCapacity,
    PathRequest,
    count_tokens_held,
)
from fulmarward_core.probing import PROBE_TIMEOUT_S
from fulmarward_core.routes import list_class_services, list_urgencies
from fulmarward_core.team_shares import TeamShares
from fulmarward_router.exchange._admission import (
    AdmissionQueue,
    compute_resume_end,
    round_estimate,
)
from fulmarward_router.exchange._attempt import (
    Attempt,
    AttemptFailed,
    EndedBy,
    describe_path,
    record_ended,
    record_run,
)
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._crash_monitor import CrashMonitor
from fulmarward_router.exchange._demand_recorder import DemandRecorder
from fulmarward_router.exchange._events import Event
from fulmarward_router.exchange._failover import FIRST_CHECK_S, StreamSupervisor
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._forwarding import StreamForwarder, is_of_caller
from fulmarward_router.exchange._overflow import OverflowPlanner
from fulmarward_router.exchange._path_finder import PathFinder
from fulmarward_router.exchange._pipe_limiter import PipeLimiter
from fulmarward_router.exchange._relay import PeerRelay, RelayedStream
from fulmarward_router.exchange._request_state import (
    RejectedRequest,
    RequestState,
    Run,
    TruncatedResponse,
)
from fulmarward_router.exchange._resumption import StreamResumer, Successor
from fulmarward_router.exchange._room_claims import RoomClaims
from fulmarward_router.exchange._send import (
    AnswerLost,
    NotSent,
    is_connection_refused,
)
from fulmarward_router.exchange._waiting import (
    ClassRequests,
    UniformRequests,
    WaitingRequests,
    compute_request_kv,
)
from fulmarward_router.ports import TargetCall

#: Paths that are probed in a row for a request that has run before.
MAX_PROBED_PATHS = 3

#: Seconds before a stream whose resumption brought no event is sent again, after the
#: first such resumption and at most; doubled with each.
FRUITLESS_PAUSE_S = 0.02
MAX_FRUITLESS_PAUSE_S = 0.3

#: Seconds to wait for the confirmation that a target has ended.
CONFIRM_END_TIMEOUT_S = 0.4

#: Factor by which a response is assumed to be longer than the caller's hint.
HINT_MARGIN = 1.25

#: Upper bound on the parts of a prompt in one log line.
MAX_LOGGED_PARTS = 16


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
        #: Counts a request that is sent to another data centre, by service and whether
        #: requests of the service overflow.
        self._count_remote = count_remote
        self._forwarder = forwarder
        #: Counts an attempt that broke off, by service and progress.
        self._count_broken_attempt = count_broken_attempt
        self._relay = relay
        self._client = context.client
        self._dialect = context.dialect
        self._catalogue = context.catalogue
        self._suspicions = context.suspicions
        self._limits = context.target_limits
        self._ledger = context.ledger
        self._read_clock = context.read_clock
        self._failure_detector = failure_detector
        self._crash_monitor = crash_monitor
        self._finder = finder = PathFinder(
            instance=context.instance,
            catalogue=context.catalogue,
            suspicions=context.suspicions,
            paces=context.paces,
            ledger=context.ledger,
            is_large=context.is_large,
            count_known_instances=context.count_known_instances,
            list_throttled=context.target_limits.list_throttled,
            list_backed_off=context.target_limits.list_backed_off,
            read_clock=context.read_clock,
            find_overflow=lambda service, engine: self._overflow.find_plan(
                service, engine
            ),
        )
        self._overflow = OverflowPlanner(
            data_centre=context.data_centre,
            demands=context.demands,
            measure_capacities=lambda service, engine: finder.measure_capacities(
                service, engine
            ),
            list_reached_centres=context.list_reached_centres,
            read_clock=context.read_clock,
        )
        pipe = PipeLimiter(
            catalogue=context.catalogue,
            find_share=context.find_share,
            read_clock=context.read_clock,
        )
        #: Silent streams of this instance that have found no room.
        self._room_claims = room_claims = RoomClaims()
        self._admission = AdmissionQueue(
            finder=finder,
            pipe=pipe,
            catalogue=context.catalogue,
            limits=context.target_limits,
            find_waiting=self._find_waiting,
            promised_returns=context.promised_returns,
            read_clock=context.read_clock,
            count_denial=count_denial,
            observe_wait=observe_wait,
            balances_data_centres=context.balances_data_centres,
            is_room_kept=lambda service: room_claims.has_any(
                service, now=context.read_clock()
            ),
        )
        #: Waiting requests by service, for services without and with classes.
        self._uniform_requests: dict[str, UniformRequests] = {}
        self._class_requests: dict[str, ClassRequests] = {}
        self._teams = context.teams
        self._team_shares: dict[str, TeamShares] = {}
        self._resumer = StreamResumer(
            context=context,
            admission=self._admission,
            room_claims=room_claims,
            crash_monitor=crash_monitor,
            forwarder=forwarder,
            relay=relay,
            limit_first_targets=self._limit_first_targets,
            is_reachable=self._is_reachable,
            open_response=self._open_response,
            release=self._release,
        )
        #: Monitors the open streams; its `run` is started by the daemon.
        self.supervisor = StreamSupervisor(
            context=context,
            failure_detector=failure_detector,
            finder=finder,
            pipe=pipe,
            room_claims=room_claims,
            begin_resumption=self._resumer.begin,
            has_peers=relay.has_peers,
        )

    def _find_waiting(
        self, state: RequestState, engine: EngineModel
    ) -> WaitingRequests:
        """Return the requests that wait for the service of a request.

        A request that seeks another path may have begun under an older configuration,
        so that only new ones apply theirs.
        """
        service, configuration = state.service, state.configuration
        team_shares = self._find_team_shares(service)
        if service not in list_class_services(configuration):
            uniform = self._uniform_requests.get(service)
            if uniform is None:
                recorder = DemandRecorder(
                    service=service,
                    demands=self._context.demands,
                    is_enabled=self._context.balances_data_centres,
                )
                uniform = UniformRequests(recorder=recorder, team_shares=team_shares)
                self._uniform_requests[service] = uniform
            uniform.configure(
                measure_capacity=lambda: self._finder.measure_capacity(service, engine)
            )
            return uniform
        waiting = self._class_requests.get(service)
        if waiting is not None and state.has_sought_path:
            return waiting
        settings = self._context.read_class_settings()
        if waiting is None:
            promised = self._context.promised_returns
            waiting = self._class_requests[service] = ClassRequests(
                service=service,
                demands=self._context.demands,
                sum_promised=lambda due_within_s: promised.sum_kv(
                    service, due_within_s=due_within_s
                ),
                settings=settings,
                team_shares=team_shares,
            )
        waiting.configure(
            settings=settings,
            lowest_urgency=max(list_urgencies(configuration, service)),
            measure_capacity=lambda: self._finder.measure_capacity(service, engine),
        )
        return waiting

    def _find_team_shares(self, service: str) -> TeamShares:
        """Return the shares of teams in a service, with the settings in force."""
        shares = self._team_shares.get(service)
        if shares is None:
            shares = TeamShares(service=service, table=self._teams)
            self._team_shares[service] = shares
        shares.configure(self._context.read_team_settings())
        return shares

    def measure_capacity(self, service: str, engine: EngineModel) -> KvCapacity:
        """Return the KV cache of the usable targets of a service."""
        return self._finder.measure_capacity(service, engine)

    async def serve(self, state: RequestState) -> web.StreamResponse:
        """Stream a complete response to the caller.

        Raises `RejectedRequest` before the response starts, `TruncatedResponse`
        afterwards.
        """
        try:
            return await self._serve(state)
        finally:
            self._teams.record_ended(id(state))
            self._room_claims.end_search(state)

    async def _serve(self, state: RequestState) -> web.StreamResponse:
        engine = state.configuration.services[state.service].engine
        wanted = self._make_path_request(state, engine)
        state.last_event = state.facts.last_event
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
                # It is under way, and may run.
                state.runs += 1
                record_ended(state, attempt, may_have_run=True)
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
                    self._record_released(attempt)
                    self._record_duration(state, self._read_clock() - began_at)
            if failure.is_not_run:
                record_ended(state, attempt, may_have_run=False)
            else:
                record_run(state, attempt, is_broken_off=failure.is_broken_off)
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
            path, reservation = await self._reserve_path(state, engine, wanted)
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
        if state.attempts == 1 and self._is_remote(path):
            is_overflowing = self._overflow.is_overflowing(state.service)
            self._count_remote(state.service, is_overflowing)
        now = self._read_clock()
        log_event(
            "path_chosen",
            request=state.facts.request_id,
            attempt=state.attempts,
            path=describe_path(path),
            targets_version=self._catalogue.version,
            targets_age_s=round(now - self._catalogue.confirmed_at, 3),
            load_scale=round(self._finder.find_load_scale(now=now), 2),
            left_s=round(state.deadline - now, 3),
            estimate_s=round_estimate(state.path_estimate_s),
            prompt=wanted.prompt,
            answer=wanted.answer,
            last_event=state.last_event,
            parts=state.facts.shared_parts[:MAX_LOGGED_PARTS],
        )
        return attempt

    def _record_duration(self, state: RequestState, actual_s: float) -> None:
        """Record how long a path took that has served a whole answer."""
        is_whole = state.facts.last_event is None and not state.resumes
        if is_whole and not state.repaths and state.path_estimate_s is not None:
            self._observe_duration(state.service, state.path_estimate_s, actual_s)

    def _is_remote(self, path: tuple[Hop, ...]) -> bool:
        """Return whether a path uses targets of another data centre."""
        records = [self._catalogue.find_target(hop.target) for hop in path]
        return any(
            record is not None and record.data_centre != self._context.data_centre
            for record in records
        )

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

    def _limit_first_targets(
        self, state: RequestState, engine: EngineModel, wanted: PathRequest
    ) -> PathRequest:
        """Have a path begin where a stream has run, if it may run nowhere else.

        It begins where the stream was last lost only if there is no other path.
        """
        if not must_reuse_targets(self._context.make_tally(state)):
            return wanted
        reusable = state.list_reusable_targets()
        bound = replace(
            wanted, avoided=wanted.avoided - reusable, first_targets=reusable
        )
        latest = frozenset({state.failed_runs[-1].target.name})
        others = reusable - (latest & wanted.avoided)
        elsewhere = replace(bound, first_targets=others)
        has_path = self._finder.choose(state.service, engine, elsewhere) is not None
        return elsewhere if has_path else bound

    async def _reserve_path(
        self, state: RequestState, engine: EngineModel, wanted: PathRequest
    ) -> tuple[tuple[Hop, ...], Reservation]:
        """Return a path and its reservation, waiting for capacity.

        Raises `RejectedRequest` or `TruncatedResponse`. Guards against several targets
        that fail together: a request that lost its first target would run on another
        failed one, and would have no attempt left.
        """
        for probed in range(MAX_PROBED_PATHS + 1):
            path = await self._admission.await_path(
                state, engine, lambda: self._limit_first_targets(state, engine, wanted)
            )
            reservation = self._ledger.reserve(path, count_tokens_held(wanted))
            self._room_claims.end_search(state)
            if state.runs == 0 or probed == MAX_PROBED_PATHS:
                break
            is_usable = False
            try:
                is_reachable = await self._is_reachable(path, since=state.failed_at)
                is_backed_off = path[0].target in self._limits.list_backed_off()
                is_usable = is_reachable and not is_backed_off
            finally:
                if not is_usable:
                    self._ledger.release(reservation)
                    self._teams.record_ended(id(state))
            if is_usable:
                break
            log_event(
                "path_unreachable",
                request=state.facts.request_id,
                path=describe_path(path),
                is_backed_off=is_backed_off,
                last_event=state.last_event,
            )
        return path, reservation

    async def _is_reachable(self, path: tuple[Hop, ...], *, since: float) -> bool:
        """Probe the targets of a path; return whether none is unreachable."""
        await self._probe_path(path, since=since)
        now = self._read_clock()
        return not any(
            self._suspicions.is_unreachable(hop.target, now=now) for hop in path
        )

    async def _probe_path(self, path: tuple[Hop, ...], *, since: float) -> None:
        """Find out which targets of a path are unreachable.

        In a large fleet, those that serve another stream right now are not probed, and
        neither are those that have answered a report request made at `since` or later.
        """
        names = [hop.target for hop in path]
        answered = []
        if self._context.is_large():
            active = self.supervisor.list_active_targets(now=self._read_clock())
            names = [name for name in names if name not in active]
            answered = [n for n in names if self._context.has_answered_since(n, since)]
        await self._failure_detector.probe_and_wait(names, answered=answered)

    def _make_path_request(
        self, state: RequestState, engine: EngineModel
    ) -> PathRequest:
        facts = state.facts
        expected = facts.max_answer_tokens or engine.mean_answer_tokens
        if facts.hinted_answer_tokens:
            expected = min(expected, int(facts.hinted_answer_tokens * HINT_MARGIN))
        is_bound_only = facts.max_answer_tokens and not facts.hinted_answer_tokens
        return PathRequest(
            prompt=facts.prompt_tokens or engine.mean_prompt_tokens,
            answer=expected,
            # The caller's limit is often far above the length of the answer.
            likely_answer=min(expected, engine.mean_answer_tokens)
            if is_bound_only
            else None,
            data_centre=self._context.data_centre,
        )

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
            await self._confirm_ends(state)
            await self._space_resumptions(state, failure, until)
            if await self._context.await_retry(state, until=until):
                return
            raise TruncatedResponse(
                self._context.find_cut_cause(state), detail=failure.cause
            )
        open_answers = self.supervisor.count_open(state.service)
        if self._context.take_retry(state, open_answers=open_answers):
            return
        engine = state.configuration.services[state.service].engine
        raise self._context.make_rejection(
            state,
            cause="no more attempts",
            detail=failure.cause,
            retry_after_s=self._admission.find_retry_after_s(state, engine, wanted),
        )

    async def _confirm_ends(self, state: RequestState) -> None:
        """Check the targets that broke off a stream that has no run left.

        Its runs do not count where the target has ended, which the list of targets
        shows only seconds later. One that is only silent accepts connections or leaves
        them pending; an isolated instance is refused by healthy targets.
        """
        tally = self._context.make_tally(state)
        if may_retry(tally, now=self._read_clock()) and not must_reuse_targets(tally):
            return
        timeout_s = min(CONFIRM_END_TIMEOUT_S, state.count_left(self._read_clock()))
        broken_off = [run for run in state.failed_runs if run.is_broken_off]
        await asyncio.gather(
            *(self._confirm_end(run, timeout_s=timeout_s) for run in broken_off)
        )

    async def _confirm_end(self, run: Run, *, timeout_s: float) -> None:
        """Record that a target has ended, if it refuses connections beside controls."""
        if run.has_ended and self._context.is_large():
            return
        target = run.target
        _, is_refused = await asyncio.gather(
            self._failure_detector.probe_again(target.name, timeout_s=timeout_s),
            is_connection_refused(target.address, timeout_s=timeout_s),
        )
        now = self._read_clock()
        is_unreachable = self._suspicions.is_unreachable(target.name, now=now)
        run.is_refused = run.is_refused or (is_refused and is_unreachable)

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
        failure = AttemptFailed(
            cause="deadline", is_not_run=False, ended_by=EndedBy.DEADLINE
        )
        loop = asyncio.get_running_loop()
        attempt.deadline_timer = loop.call_later(
            state.deadline - now, attempt.abort, failure
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
            attempt.is_unsent = getattr(error, "connections", None) == 0
            raise

    def _record_released(self, attempt: Attempt) -> None:
        """Record that a complete answer has released its KV cache.

        Waiting requests are woken by it, and would find no room before the release.
        What failed attempts release may be that of a target that is gone. The answer
        may have begun under an older configuration, in which its service had no classes
        or others.
        """
        state = attempt.state
        kv = compute_request_kv(attempt.wanted, attempt.engine)
        now = self._read_clock()
        if state.service not in self._class_requests:
            waiting = self._find_waiting(state, attempt.engine)
            if isinstance(waiting, UniformRequests):
                waiting.recorder.record_released(state.class_urgency, kv, now=now)
                return
        self._class_requests[state.service].record_released(
            state.class_urgency, kv, now=now
        )

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
            attempt.head_task.add_done_callback(_close_response)

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
            await self._record_refusal(attempt, facts.address_at_fault, response.status)
            cause = f"not run, {response.status}, {facts.address_at_fault}"
            raise AttemptFailed(cause=cause, is_not_run=True)
        is_own = facts.request_id == state.facts.request_id and facts.is_plain
        if response.status == 200 and is_own and facts.is_signed:
            self._suspicions.refusals.record_accepted(
                hop.target for hop in attempt.path
            )
            return None
        self._suspicions.record_error(attempt.first.target, now=now)
        may_retry = may_run_again(self._context.make_tally(state), now=now)
        if answer is not None or may_retry or not (is_own and facts.is_signed):
            cause = f"failed, {response.status}"
            raise AttemptFailed(cause=cause, is_not_run=False)
        try:
            body = await self._client.read_body(response)
        except AnswerLost as error:
            raise AttemptFailed(cause=repr(error), is_not_run=False) from error
        headers = self._dialect.select_answer_headers(response.headers)
        return web.Response(status=response.status, body=body, headers=headers)

    async def _record_refusal(
        self, attempt: Attempt, address: str | None, status: int
    ) -> None:
        """Record a refusal for the target that caused it, not for the first target."""
        at_fault = attempt.first.target
        for hop in attempt.path:
            if hop.address == address:
                at_fault = hop.target
        is_elsewhere = at_fault != attempt.first.target
        refused_at = self._read_clock()
        waited_s = refused_at - attempt.last_activity_at
        path = [hop.target for hop in attempt.path]
        # A refusal is late if a target is unreachable, but also if this instance's own
        # link delays it; probing the path tells them apart.
        is_stalled = is_elsewhere and status == 503 and waited_s > FIRST_CHECK_S
        if is_stalled:
            await self._failure_detector.probe_and_wait(path)
            if self._suspicions.is_unreachable(at_fault, now=self._read_clock()):
                return
        now = self._read_clock()
        if at_fault in self._limits.list_backed_off():
            return
        self._suspicions.record_saturated(at_fault, now=now)
        if self._finder.has_capacity(at_fault, attempt.engine):
            if self._suspicions.refusals.record_refusal(at_fault, now=now):
                log_event("target_refusal_recorded", target=at_fault, status=status)
        if is_elsewhere and status == 503 and not is_stalled:
            await self._probe_refused_path(attempt, at_fault, since=refused_at)

    async def _probe_refused_path(
        self, attempt: Attempt, at_fault: str, *, since: float
    ) -> None:
        """Find out which targets of a path are unreachable that was refused at once.

        In a large fleet, the target named as the cause is probed first. If it answers,
        it had no capacity, and the refusal is no sign that others are lost. Otherwise
        the others are probed once the first round for it has ended. Its first target
        has just answered.
        """
        path = attempt.path
        if self._context.is_large():
            await self._failure_detector.probe_and_wait(
                [at_fault], timeout_s=PROBE_TIMEOUT_S
            )
            if self._context.has_answered_since(at_fault, since):
                return
            path = path[1:]
        await self._probe_path(path, since=since)

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
            await self._forwarder.forward_events(state, events, answer)
        finally:
            attempt.is_writing = False
        attempt.last_activity_at = self._read_clock()
        attempt.events = attempt.splitter.completed
        self._crash_monitor.record_events(state, attempt)

    def _record_broken_response(self, attempt: Attempt, cause: str) -> AttemptFailed:
        """Record that the first target closed the connection during its response.

        It does so, too, once a later target of its path has been silent for long. It is
        charged to those that are unreachable or were replaced, and otherwise to the
        first. A new process is not charged for the old one.
        """
        now = self._read_clock()
        replaced = frozenset(self._context.list_replaced(attempt))
        lost = replaced | {
            hop.target
            for hop in attempt.path
            if self._suspicions.is_unreachable(hop.target, now=now)
        }
        is_first = not lost or attempt.first.target in lost
        if is_first and attempt.first.target not in replaced:
            self._suspicions.record_error(attempt.first.target, now=now)
        return AttemptFailed(
            cause=cause,
            is_not_run=False,
            is_broken_off=True,
            lost=frozenset() if is_first else lost,
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


def _close_response(head_task: asyncio.Task[aiohttp.ClientResponse]) -> None:
    """Close a response, also one whose head nobody has awaited."""
    if not head_task.cancelled() and head_task.exception() is None:
        head_task.result().close()


def _log_internal_error(state: RequestState, error: BaseException) -> None:
    log_event("internal_error_caught", exc_info=error, request=state.facts.request_id)


def _is_empty(attempt: Attempt) -> bool:
    """Return whether a response that only its connection ends has no event.

    Nothing else tells it from one that was broken off.
    """
    headers = attempt.response.headers
    is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
    return not is_framed and not attempt.events
