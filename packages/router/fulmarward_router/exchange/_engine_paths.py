"""Chooses and reserves the paths of requests to engine services."""

from collections.abc import Callable, Collection
from dataclasses import replace

from fulmarward.observability import log_event
from fulmarward_core.attempts import may_retry, must_reuse_targets
from fulmarward_core.fleet import EngineModel, TargetRecord
from fulmarward_core.loads import Reservation
from fulmarward_core.paths import (
    Hop,
    PathRequest,
    count_tokens_held,
)
from fulmarward_core.probing import PROBE_TIMEOUT_S
from fulmarward_core.routes import list_class_services, list_urgencies
from fulmarward_core.team_shares import TeamShares
from fulmarward_router.exchange._admission import AdmissionQueue, round_estimate
from fulmarward_router.exchange._attempt import describe_path
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._demand_recorder import DemandRecorder
from fulmarward_router.exchange._failover import FIRST_CHECK_S
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._overflow import OverflowPlanner
from fulmarward_router.exchange._path_finder import PathFinder
from fulmarward_router.exchange._pipe_limiter import PipeLimiter
from fulmarward_router.exchange._process_ends import (
    CHECK_TIMEOUT_S,
    ProcessEndChecker,
)
from fulmarward_router.exchange._request_state import RequestState
from fulmarward_router.exchange._room_claims import RoomClaims
from fulmarward_router.exchange._waiting import (
    ClassRequests,
    UniformRequests,
    WaitingRequests,
    compute_request_kv,
)

#: Paths that are probed in a row for a request that has run before.
MAX_PROBED_PATHS = 3

#: Factor by which a response is assumed to be longer than the caller's hint.
HINT_MARGIN = 1.25

#: Upper bound on the parts of a prompt in one log line.
MAX_LOGGED_PARTS = 16


class EnginePaths:
    """Finds paths through the targets that hold the layers of a model.

    Requests wait here for capacity, in the order of their classes and teams.
    """

    def __init__(
        self,
        *,
        context: ServiceContext,
        failure_detector: FailureDetector,
        list_active_targets: Callable[[], Collection[str]],
        count_open: Callable[[str], int],
        count_denial: Callable[[str, int, str], None],
        observe_wait: Callable[[str, int, float], None],
        count_remote: Callable[[str, bool], None],
    ) -> None:
        #: Returns the targets that serve a stream right now.
        self._list_active_targets = list_active_targets
        #: Returns how many streams of a service have begun.
        self._count_open = count_open
        #: Counts a request that is sent to another data centre, by service and whether
        #: requests of the service overflow.
        self._count_remote = count_remote
        self._context = context
        self._catalogue = context.catalogue
        self._suspicions = context.suspicions
        self._limits = context.target_limits
        self._ledger = context.ledger
        self._read_clock = context.read_clock
        self._failure_detector = failure_detector
        self.finder = finder = PathFinder(
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
            find_overflow=lambda service, engine: self.overflow.find_plan(
                service, engine
            ),
        )
        self.overflow = OverflowPlanner(
            data_centre=context.data_centre,
            demands=context.demands,
            measure_capacities=lambda service, engine: finder.measure_capacities(
                service, engine
            ),
            list_reached_centres=context.list_reached_centres,
            read_clock=context.read_clock,
        )
        self.pipe = PipeLimiter(
            catalogue=context.catalogue,
            find_share=context.find_share,
            read_clock=context.read_clock,
        )
        #: Silent streams of this instance that have found no room.
        self.room_claims = room_claims = RoomClaims()
        self.admission = AdmissionQueue(
            finder=finder,
            pipe=self.pipe,
            catalogue=context.catalogue,
            limits=context.target_limits,
            find_waiting=self.find_waiting,
            promised_returns=context.promised_returns,
            read_clock=context.read_clock,
            count_denial=count_denial,
            observe_wait=observe_wait,
            balances_data_centres=context.balances_data_centres,
            is_room_kept=lambda service: room_claims.has_any(
                service, now=context.read_clock()
            ),
        )
        self._end_checker = ProcessEndChecker(
            ends=context.process_ends,
            failure_detector=failure_detector,
            read_clock=context.read_clock,
        )
        #: Waiting requests by service, for services without and with classes.
        self._uniform_requests: dict[str, UniformRequests] = {}
        self._class_requests: dict[str, ClassRequests] = {}
        self._teams = context.teams
        self._team_shares: dict[str, TeamShares] = {}

    def find_waiting(self, state: RequestState, engine: EngineModel) -> WaitingRequests:
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
                measure_capacity=lambda: self.finder.measure_capacity(service, engine)
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
            measure_capacity=lambda: self.finder.measure_capacity(service, engine),
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

    def make_request(self, state: RequestState, engine: EngineModel) -> PathRequest:
        """Return what path a request needs, with the means of the model if unknown."""
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

    def limit_first_targets(
        self, state: RequestState, engine: EngineModel, wanted: PathRequest
    ) -> PathRequest:
        """Have a path begin where a stream has run, if it may run nowhere else.

        It begins where the stream was last lost only if there is no other path.
        """
        if not must_reuse_targets(self._context.make_tally(state)):
            return wanted
        # It is asked again until there is a path; ends that are found lift the limit.
        self.check_ends(state)
        reusable = state.list_reusable_targets()
        bound = replace(
            wanted, avoided=wanted.avoided - reusable, first_targets=reusable
        )
        latest = frozenset({state.failed_runs[-1].target.name})
        others = reusable - (latest & wanted.avoided)
        elsewhere = replace(bound, first_targets=others)
        has_path = self.finder.choose(state.service, engine, elsewhere) is not None
        return elsewhere if has_path else bound

    async def reserve(
        self, state: RequestState, engine: EngineModel, wanted: PathRequest
    ) -> tuple[tuple[Hop, ...], Reservation]:
        """Return a path and its reservation, waiting for capacity.

        Raises `RejectedRequest` or `TruncatedResponse`. Guards against several targets
        that fail together: a request that lost its first target would run on another
        failed one, and would have no attempt left.
        """
        for probed in range(MAX_PROBED_PATHS + 1):
            path = await self.admission.await_path(
                state, engine, lambda: self.limit_first_targets(state, engine, wanted)
            )
            reservation = self._ledger.reserve(path, count_tokens_held(wanted))
            self.room_claims.end_search(state)
            if state.runs == 0 or probed == MAX_PROBED_PATHS:
                break
            is_usable = False
            try:
                is_reachable = await self.is_reachable(path, since=state.failed_at)
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

    def check_ends(self, state: RequestState) -> None:
        """Start to check the targets of a stream that may run nowhere else."""
        if must_reuse_targets(self._context.make_tally(state)):
            self._end_checker.start(_list_running(state))

    async def confirm_ends(self, state: RequestState) -> None:
        """Check the targets of a stream that has no run left.

        Its runs do not count where the target has ended, which the list of targets
        shows only seconds later.
        """
        tally, now = self._context.make_tally(state), self._read_clock()
        if may_retry(tally, now=now) and not must_reuse_targets(tally):
            return
        timeout_s = min(CHECK_TIMEOUT_S, state.count_left(now))
        await self._end_checker.check(_list_running(state), timeout_s=timeout_s)

    async def is_reachable(self, path: tuple[Hop, ...], *, since: float) -> bool:
        """Probe the targets of a path; return whether none is unreachable."""
        await self.probe(path, since=since)
        now = self._read_clock()
        return not any(
            self._suspicions.is_unreachable(hop.target, now=now) for hop in path
        )

    async def probe(self, path: tuple[Hop, ...], *, since: float) -> None:
        """Find out which targets of a path are unreachable.

        In a large fleet, those that serve another stream right now are not probed, and
        neither are those that have answered a report request made at `since` or later.
        """
        names = [hop.target for hop in path]
        answered = []
        if self._context.is_large():
            active = self._list_active_targets()
            names = [name for name in names if name not in active]
            answered = [n for n in names if self._context.has_answered_since(n, since)]
        await self._failure_detector.probe_and_wait(names, answered=answered)

    async def record_refusal(
        self,
        path: tuple[Hop, ...],
        engine: EngineModel,
        *,
        address_at_fault: str | None,
        status: int,
        sent_at: float,
    ) -> None:
        """Record a refusal for the target that caused it, not for the first target."""
        first = path[0].target
        at_fault = first
        for hop in path:
            if hop.address == address_at_fault:
                at_fault = hop.target
        is_elsewhere = at_fault != first
        refused_at = self._read_clock()
        waited_s = refused_at - sent_at
        # A refusal is late if a target is unreachable, but also if this instance's own
        # link delays it; probing the path tells them apart.
        is_stalled = is_elsewhere and status == 503 and waited_s > FIRST_CHECK_S
        if is_stalled:
            await self._failure_detector.probe_and_wait([hop.target for hop in path])
            if self._suspicions.is_unreachable(at_fault, now=self._read_clock()):
                return
        now = self._read_clock()
        if at_fault in self._limits.list_backed_off():
            return
        self._suspicions.record_saturated(at_fault, now=now)
        if self.finder.has_capacity(at_fault, engine):
            if self._suspicions.refusals.record_refusal(at_fault, now=now):
                log_event("target_refusal_recorded", target=at_fault, status=status)
        if is_elsewhere and status == 503 and not is_stalled:
            await self._probe_refused_path(path, at_fault, since=refused_at)

    async def _probe_refused_path(
        self, path: tuple[Hop, ...], at_fault: str, *, since: float
    ) -> None:
        """Find out which targets of a path are unreachable that was refused at once.

        In a large fleet, the target named as the cause is probed first. If it answers,
        it had no capacity, and the refusal is no sign that others are lost. Otherwise
        the others are probed once the first round for it has ended. Its first target
        has just answered.
        """
        if self._context.is_large():
            await self._failure_detector.probe_and_wait(
                [at_fault], timeout_s=PROBE_TIMEOUT_S
            )
            if self._context.has_answered_since(at_fault, since):
                return
            path = path[1:]
        await self.probe(path, since=since)

    def charge_broken(
        self, path: tuple[Hop, ...], replaced: Collection[str]
    ) -> frozenset[str]:
        """Charge what broke off a response; return the later targets that did.

        A first target also does so once a later one of its path has been silent for
        long. It is charged to those that are unreachable or were `replaced`, and
        otherwise to the first. A new process is not charged for the old one.
        """
        now = self._read_clock()
        first = path[0].target
        unreachable = {
            hop.target
            for hop in path
            if self._suspicions.is_unreachable(hop.target, now=now)
        }
        lost = frozenset(replaced) | unreachable
        if lost and first not in lost:
            return lost
        if first not in replaced:
            self._suspicions.record_error(first, now=now)
        return frozenset()

    def take_unstarted_retry(self, state: RequestState) -> bool:
        """Consume a retry for a request whose answer has not begun.

        Streams that have begun are left a part of the budget.
        """
        open_answers = self._count_open(state.service)
        return self._context.take_retry(state, open_answers=open_answers)

    def record_chosen(
        self, state: RequestState, wanted: PathRequest, path: tuple[Hop, ...]
    ) -> None:
        """Count and log the path of an attempt that begins."""
        if state.attempts == 1 and self._is_remote(path):
            is_overflowing = self.overflow.is_overflowing(state.service)
            self._count_remote(state.service, is_overflowing)
        now = self._read_clock()
        log_event(
            "path_chosen",
            request=state.facts.request_id,
            attempt=state.attempts,
            path=describe_path(path),
            targets_version=self._catalogue.version,
            targets_age_s=round(now - self._catalogue.confirmed_at, 3),
            load_scale=round(self.finder.find_load_scale(now=now), 2),
            left_s=round(state.deadline - now, 3),
            estimate_s=round_estimate(state.path_estimate_s),
            prompt=wanted.prompt,
            answer=wanted.answer,
            last_event=state.last_event,
            parts=state.facts.shared_parts[:MAX_LOGGED_PARTS],
        )

    def _is_remote(self, path: tuple[Hop, ...]) -> bool:
        """Return whether a path uses targets of another data centre."""
        records = [self._catalogue.find_target(hop.target) for hop in path]
        return any(
            record is not None and record.data_centre != self._context.data_centre
            for record in records
        )

    def record_released(
        self, state: RequestState, engine: EngineModel, wanted: PathRequest
    ) -> None:
        """Record that a complete answer has released its KV cache.

        Waiting requests are woken by it, and would find no room before the release.
        What failed attempts release may be that of a target that is gone. The answer
        may have begun under an older configuration, in which its service had no classes
        or others.
        """
        kv = compute_request_kv(wanted, engine)
        now = self._read_clock()
        if state.service not in self._class_requests:
            waiting = self.find_waiting(state, engine)
            if isinstance(waiting, UniformRequests):
                waiting.recorder.record_released(state.class_urgency, kv, now=now)
                return
        self._class_requests[state.service].record_released(
            state.class_urgency, kv, now=now
        )


def _list_running(state: RequestState) -> list[TargetRecord]:
    """Return the targets that may still run a request, as far as is known."""
    return [run.target for run in state.failed_runs if not run.has_ended]
