"""Assembles an instance and runs it until it is stopped."""

import asyncio
import signal
import time
from collections import Counter, defaultdict, deque
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, Protocol

import aiohttp
from aiohttp import web
from websockets.asyncio.server import Server

from fulmarward.http import (
    BoundedServer,
    ConnectionBudget,
    ResponseGuard,
    ResponseLimits,
    start_bounded,
)
from fulmarward.observability import log_event, start_logging, stop_logging
from fulmarward_core.catalogue import NamedTargets, TargetCatalogue
from fulmarward_core.demand import DemandTable
from fulmarward_core.evidence import EvidenceTable
from fulmarward_core.fleet import ServiceSpec, TargetRecord, find_misfit
from fulmarward_core.isolation import ContactTable
from fulmarward_core.loads import LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.quotas import RetryBudget
from fulmarward_core.shutdown import ClosingLoad, StopSchedule
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_core.team_shares import TeamTable
from fulmarward_router._life import Life
from fulmarward_router._listing import CallerListing
from fulmarward_router._lookup import (
    make_lookup_handler,
    make_operator_handler,
    make_ready_handler,
)
from fulmarward_router._metrics import (
    count_denial,
    count_remote,
    make_router_metrics,
    observe_admission_wait,
    observe_path_duration,
    observe_request,
    refresh_metrics,
)
from fulmarward_router._processor import (
    LOG_INTERVAL_S,
    ProcessorMeter,
    get_subsystem,
    start_in_subsystem,
)
from fulmarward_router._status import describe_status
from fulmarward_router._supervision import TaskSupervisor
from fulmarward_router.exchange import (
    CallerHandler,
    CallerServer,
    CrashMonitor,
    EngineService,
    FailureDetector,
    OccupancyReader,
    PaceMonitor,
    PeerRelay,
    PlainService,
    ServiceContext,
    StopGate,
    StreamForwarder,
    TargetClient,
    make_target_session,
)
from fulmarward_router.mesh import (
    InstanceIdentity,
    MemberTable,
    Mesh,
    RegainedTargetReport,
    decode_message,
    encode_message,
    name_process,
)
from fulmarward_router.placement import LeaseKeeper, Placer
from fulmarward_router.ports import (
    RouterSettings,
    SettingsError,
    Store,
    TargetDialect,
)
from fulmarward_router.state import (
    ConfigurationHolder,
    InstanceRows,
    InstanceState,
    LeavingTargets,
    PoisonKnowledge,
    PoisonRows,
    PromisedReturns,
    RecentDenials,
    RetryLoans,
    StoreWatch,
    TargetChangeHandler,
    TargetLimits,
)

#: Minimum seconds for which an idle instance runs after SIGTERM, since callers cache
#: lookups for one to three seconds.
MIN_DRAIN_DURATION_S = 3.5

#: Seconds after its start before an instance lends retries.
LENDING_DELAY_S = 5.0

#: Maximum bytes of one header that the parser accepts. It is above any limit of a
#: configuration, which is checked after the request is read.
MAX_HEADER_BYTES = 1 << 16

#: Limits of the store's responses, of which the largest is a whole table or a
#: configuration. Joining a response needs its size once more.
STORE_LIMITS = ResponseLimits(whole_bytes=8 << 20, held_bytes=10 << 20)

#: Seconds between two checks for open requests while stopping.
_DRAIN_POLL_INTERVAL_S = 0.05

#: How many of these checks the lateness of the event loop is taken from.
_LATENESS_CHECKS = 20

#: Seconds between two attempts to end the requests that are open at the end of a stop.
_END_POLL_INTERVAL_S = 0.02

#: Share of the closing time for which a server waits for a handler, twice at most.
_HANDLER_WAIT_SHARE = 0.25

#: Lower bound on that wait, in seconds: the HTTP library takes 0 for no limit.
_MIN_HANDLER_WAIT_S = 0.01

#: Seconds between two reads of the settings file without a SIGHUP.
_SETTINGS_POLL_INTERVAL_S = 5.0


class PlatformAdapter(Protocol):
    """What the platform's adapter provides to an instance."""

    def make_store(
        self, session: aiohttp.ClientSession, address: str, count: Callable
    ) -> Store:
        """Return the client of the store."""

    def make_dialect(
        self,
        session: aiohttp.ClientSession,
        count: Callable,
        evidence: EvidenceTable,
    ) -> TargetDialect:
        """Return the codec and client for the formats of callers and targets.

        It records the answers to report requests in `evidence`.
        """

    def load_settings(self) -> RouterSettings:
        """Reload the settings; raises `SettingsError`."""


@dataclass(kw_only=True)
class _Signals:
    """Events that are set by signals."""

    stop: asyncio.Event
    reload: asyncio.Event


async def run_router(settings: RouterSettings, adapter: PlatformAdapter) -> None:
    """Run an instance until SIGTERM."""
    start_logging(instance=settings.name, level=settings.log_level)
    signals = _watch_signals()
    guard = ResponseGuard(limits=settings.response_limits)
    store_guard = ResponseGuard(limits=STORE_LIMITS)
    target_session = make_target_session(guard)
    store_session = store_guard.make_session(
        connector_options={"limit": 0, "keepalive_timeout": 10.0},
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    async with target_session, store_session:
        instance = _Instance(
            settings=settings,
            adapter=adapter,
            target_session=target_session,
            store_session=store_session,
            guard=guard,
            store_guard=store_guard,
            signals=signals,
        )
        await instance.run()
    stop_logging()


class _Instance:
    """One instance; the only place that wires its parts together."""

    def __init__(
        self,
        *,
        settings: RouterSettings,
        adapter: PlatformAdapter,
        target_session: aiohttp.ClientSession,
        store_session: aiohttp.ClientSession,
        guard: ResponseGuard,
        store_guard: ResponseGuard,
        signals: _Signals,
    ) -> None:
        self.settings = settings
        self._guard = guard
        self._store_guard = store_guard
        self._adapter = adapter
        self._signals = signals
        self._clock = clock = time.monotonic
        self._started_at = clock()
        #: Bytes exchanged with peers by direction; the metric is set when it is read.
        self._peer_bytes: Counter[str] = Counter()
        #: Messages received from peers by type.
        self._peer_messages: Counter[str] = Counter()
        #: Calls to the store and to targets, by kind, and by the subsystem that made
        #: them.
        self._calls: Counter[str] = Counter()
        self._calls_by_subsystem: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.life = Life()
        self.stop_gate = StopGate(
            has_peers=lambda: bool(self.listing.list_relay_peers()),
            count_read=lambda: self.caller_server.count_read(),
        )
        self.metrics = make_router_metrics()
        self.meter = ProcessorMeter(read_clock=time.perf_counter)
        self.supervisor = TaskSupervisor(
            read_clock=clock,
            count_failure=lambda duty: self.metrics.task_failures.inc({"duty": duty}),
        )
        self.own = InstanceIdentity(
            name=settings.name,
            boot=int(time.time() * 1000),
            data_centre=settings.data_centre,
            peer_address=settings.peer_address,
            caller_address=settings.caller_address,
        )
        self.members = MemberTable(own=self.own)
        self.catalogue = TargetCatalogue(may_be_used=self._may_be_used)
        self._named_targets = NamedTargets(
            catalogue=self.catalogue, get_services=self._get_services
        )
        self.suspicions = SuspicionTable()
        self.contacts = ContactTable()
        self.evidence = EvidenceTable(
            is_known=lambda name: self.catalogue.find_target(name) is not None
        )
        self.target_change_handler = TargetChangeHandler(
            suspicions=self.suspicions,
            notify_peers=self._notify_peers,
            record_process=lambda record: self.target_limits.record_process(record),
            forget_answers=self.evidence.forget,
            list_misfits=lambda: self._named_targets.list_misfits(now=clock()),
            count_refused=lambda fault: self.metrics.refused_rows.inc(
                {"reason": fault.value}
            ),
            record_failure=self.supervisor.record_failure,
        )
        self.poison = PoisonKnowledge(
            read_clock=clock,
            notify_peers=lambda patterns: self.mesh.notify_poison(patterns),
            fetch_from_peers=lambda: self.mesh.fetch_poison(),
            record_block_changed=lambda patterns: self.poison_rows.record_changed(
                patterns
            ),
        )
        self.target_limits = TargetLimits(
            own=self.own.name,
            read_clock=clock,
            list_targets=lambda: {
                record.name for record in self.catalogue.list_targets(now=clock())
            },
            list_owner_candidates=lambda: self.members.list_owner_candidates(
                is_own_staying=not self.life.is_stopping, now=clock()
            ),
            find_reachable_share=lambda: self.members.find_reachable_share(now=clock()),
            get_links=lambda: self.mesh,
            count_sent=lambda: self.metrics.limited_requests.inc({}),
            count_throttled=lambda: self.metrics.throttled_requests.inc({}),
        )
        self.leaving_targets = LeavingTargets(
            catalogue=self.catalogue,
            read_clock=clock,
            get_links=lambda: self.mesh,
        )
        self.promised_returns = PromisedReturns(
            source=name_process(self.own.name, self.own.boot),
            read_clock=clock,
            notify_peers=lambda: self.mesh.notify_promises(),
        )
        #: Tasks that adopt configurations which peers sent.
        self._adoptions: set[asyncio.Task] = set()
        self.retry_loans = RetryLoans(
            own=self.own.name,
            boot=self.own.boot,
            read_clock=clock,
            find_budget=self._find_budget,
            find_share=lambda: self.listing.find_share(),
            count_open=lambda service: self.engines.supervisor.count_open(service),
            may_lend=self._may_lend,
            list_listed=lambda: self.listing.list_peer_addresses(),
            is_large=lambda: self.members.is_large,
            get_links=lambda: self.mesh,
            count_loans=self._count_loans,
        )
        self.denials = RecentDenials(since=self._started_at)
        self.paces = PaceTable()
        self.ledger = LoadLedger(note_changed=lambda: self.mesh.notify_loads())
        self.demands = DemandTable(own=self.own.name, data_centre=self.own.data_centre)
        self.teams = TeamTable(own=self.own.name, data_centre=self.own.data_centre)
        self._budgets: dict[str, RetryBudget] = {}
        self.listing = CallerListing(
            own=self.own,
            members=self.members,
            catalogue=self.catalogue,
            ledger=self.ledger,
            is_ready=self.is_ready,
            is_isolated=lambda: self.contacts.is_isolated,
            read_clock=clock,
            leaves_out_lost=lambda: (
                self.settings.balances_data_centres
                or bool(self.instance_state.list_class_services())
            ),
        )
        self.store = adapter.make_store(
            store_session, settings.store_address, self._count_call
        )
        self.dialect = adapter.make_dialect(
            target_session, self._count_call, self.evidence
        )
        self.configuration = ConfigurationHolder(
            decode=self.meter.measure_steps(
                "configuration_decoding", self.store.decode_configuration
            ),
            handle_services_changed=self._handle_services_changed,
        )
        self.watch = StoreWatch(
            store=self.store,
            configuration=self.configuration,
            catalogue=self.catalogue,
            read_clock=clock,
            notify_peers=self._notify_peers,
            handle_target_changes=self.target_change_handler.handle_changes,
            is_among_first=lambda count: self.instance_state.is_among_first(count),
            is_large=lambda: self.members.is_large,
            read_heartbeat_interval_s=lambda: self.members.heartbeat_interval_s,
            handle_restored=self._report_restored,
            record_failure=self.supervisor.record_failure,
        )
        self.instance_state = InstanceState(
            own=self.own,
            members=self.members,
            configuration=self.configuration,
            catalogue=self.catalogue,
            suspicions=self.suspicions,
            paces=self.paces,
            ledger=self.ledger,
            demands=self.demands,
            teams=self.teams,
            read_team_settings=lambda: self.settings.team_settings,
            balances_data_centres=lambda: self.settings.balances_data_centres,
            sees_slow_streams=self._sees_own_slow_streams,
            decode_row=self.watch.decode_row,
            read_clock=clock,
            is_ready=self.takes_callers,
            is_leaving=lambda: self.life.is_stopping,
            is_store_reachable=lambda: self.watch.unreachable_since is None,
            reaches_service=self.contacts.is_reached,
            notify_peers=self._notify_peers,
            probe_targets=lambda targets: self.failure_detector.probe(targets),
            handle_target_changes=self.target_change_handler.handle_changes,
            start_task=self._start_adoption,
            notify_kept=lambda: self.mesh.notify_kept(),
            is_observer=self.listing.is_observer,
            link_bytes_per_s=settings.link_bytes_per_s,
        )
        self.mesh = Mesh(
            own=self.own,
            members=self.members,
            state=self.instance_state,
            poison=self.poison,
            limits=self.target_limits,
            leaving=self.leaving_targets,
            promises=self.promised_returns,
            loans=self.retry_loans,
            read_clock=clock,
            count_bytes=self._count_bytes,
            count_message=self._count_message,
            decode=self.meter.measure("message_decoding", decode_message),
            encode=self.meter.measure("message_encoding", encode_message),
            supervise=self.supervisor.run,
            record_failure=self.supervisor.record_failure,
        )
        self.poison_rows = PoisonRows(
            store=self.store, poison=self.poison, read_wall_clock=time.time
        )
        self.rows = InstanceRows(
            store=self.store,
            own=self.own,
            members=self.members,
            read_clock=clock,
        )
        self.lease = LeaseKeeper(
            store=self.store,
            name=settings.name,
            boot=self.own.boot,
            is_wanted=self._wants_lease,
            is_store_out=self.instance_state.is_store_out,
            has_ended=self.members.has_ended,
            read_clock=clock,
        )
        self.placer = Placer(
            dialect=self.dialect,
            lease=self.lease,
            configuration=self.configuration,
            catalogue=self.catalogue,
            suspicions=self.suspicions,
            contacts=self.contacts,
            probe_targets=lambda targets: self.failure_detector.probe(targets),
            count_routing_instances=self.listing.count_listed,
            read_clock=clock,
        )
        self.caller_handler = self._make_caller_handler(
            TargetClient(session=target_session, dialect=self.dialect)
        )
        #: What callers make this instance hold, at all of its HTTP ports.
        self.connection_budget = ConnectionBudget(
            limits=settings.connection_limits,
            read_clock=clock,
            read_request_limits=self.caller_handler.read_request_limits,
        )
        self.caller_server = CallerServer(
            self.caller_handler.handle,
            budget=self.connection_budget,
            read_idle_timeout_s=self.caller_handler.read_idle_timeout_s,
            max_header_bytes=MAX_HEADER_BYTES,
        )

    def _make_caller_handler(self, client: TargetClient) -> CallerHandler:
        context = ServiceContext(
            client=client,
            stop_gate=self.stop_gate,
            dialect=self.dialect,
            catalogue=self.catalogue,
            suspicions=self.suspicions,
            contacts=self.contacts,
            paces=self.paces,
            evidence=self.evidence,
            poison=self.poison,
            target_limits=self.target_limits,
            leaving_targets=self.leaving_targets,
            ledger=self.ledger,
            find_budget=self._find_budget,
            find_share=self.listing.find_share,
            is_large=lambda: self.members.is_large,
            count_known_instances=self.members.count_known,
            promised_returns=self.promised_returns,
            request_loan=self.retry_loans.request,
            read_class_settings=lambda: self.settings.class_settings,
            instance=self.own.name,
            data_centre=self.settings.data_centre,
            read_clock=self._clock,
            demands=self.demands,
            teams=self.teams,
            read_team_settings=lambda: self.settings.team_settings,
            list_class_services=self.instance_state.list_class_services,
            balances_data_centres=lambda: self.settings.balances_data_centres,
            list_reached_centres=lambda: self.members.list_fresh_data_centres(
                now=self._clock()
            ),
        )
        self.failure_detector = FailureDetector(
            dialect=self.dialect,
            catalogue=self._named_targets,
            suspicions=self.suspicions,
            contacts=self.contacts,
            read_clock=self._clock,
            notify_peers=self._notify_peers,
            is_large=lambda: self.members.is_large,
            notify_lost=lambda target: self.mesh.notify_lost(target),
            notify_regained=self._notify_regained,
            is_observer=self.listing.is_observer,
            is_listed=self.listing.is_own_listed,
        )
        crash_monitor = CrashMonitor(
            context=context,
            failure_detector=self.failure_detector,
            count_crash=self._count_crash,
        )
        forwarder = StreamForwarder(
            dialect=self.dialect,
            read_clock=self._clock,
            read_limits=lambda: self._guard.limits,
        )
        relay = PeerRelay(
            context=context,
            contact_monitor=self.failure_detector.contact_monitor,
            forwarder=forwarder,
            crash_monitor=crash_monitor,
            list_peers=self.listing.list_relay_peers,
            count_relay=self._count_relay,
        )
        self.engines = EngineService(
            context=context,
            failure_detector=self.failure_detector,
            forwarder=forwarder,
            relay=relay,
            crash_monitor=crash_monitor,
            count_broken_attempt=self._count_broken_attempt,
            count_denial=partial(count_denial, self.metrics),
            observe_wait=partial(observe_admission_wait, self.metrics),
            observe_duration=partial(observe_path_duration, self.metrics),
            count_remote=partial(count_remote, self.metrics),
        )
        return CallerHandler(
            dialect=self.dialect,
            configuration=self.configuration,
            engines=self.engines,
            plain=PlainService(
                context=context,
                failure_detector=self.failure_detector,
                forwarder=forwarder,
                relay=relay,
                crash_monitor=crash_monitor,
            ),
            find_budget=self._find_budget,
            read_clock=self._clock,
            is_stopping=lambda: self.life.is_stopping,
            observe=lambda state, outcome, took_s: observe_request(
                self.metrics, state, outcome, took_s
            ),
            stop_gate=self.stop_gate,
            record_denial=self.denials.record,
            configuration_s=self.settings.configuration_s,
            describe_conditions=self._describe_conditions,
        )

    def _describe_conditions(self, service: str) -> dict[str, Any]:
        """Return what may end a request to a service at this instance, for the log."""
        return {"is_reached": self.contacts.is_reached(service)}

    def _get_services(self) -> Mapping[str, ServiceSpec] | None:
        """Return the services that the configuration names, `None` without one."""
        current = self.configuration.current
        return None if current is None else current.services

    def _may_be_used(self, record: TargetRecord) -> bool:
        """Return whether the services can use a target, false while none are known."""
        services = self._get_services()
        return services is not None and find_misfit(record, services) is None

    def _handle_services_changed(self) -> None:
        """Judge the known targets by the services of a configuration."""
        changed = self.catalogue.update_addresses(now=self._clock())
        self.target_change_handler.handle_changes(changed)

    def _make_pace_monitor(self) -> PaceMonitor:
        return PaceMonitor(
            dialect=self.dialect,
            catalogue=self._named_targets,
            paces=self.paces,
            data_centre=self.own.data_centre,
            is_reader=self._is_pace_reader,
            sees_slow_streams=self._sees_slow_streams,
            read_clock=self._clock,
            notify_peers=self._notify_peers,
            evidence=self.evidence,
            is_large=lambda: self.members.is_large,
            list_slow_targets=self.engines.supervisor.list_slow_targets,
        )

    async def _read_occupancy(self) -> None:
        reader = OccupancyReader(
            dialect=self.dialect,
            catalogue=self._named_targets,
            ledger=self.ledger,
            data_centre=self.own.data_centre,
            is_reader=self._is_occupancy_reader,
            read_clock=self._clock,
        )
        await reader.run()

    def _is_occupancy_reader(self) -> bool:
        """Return whether no hub reads the occupancy on this instance's behalf."""
        now = self._clock()
        return not self.members.has_hubs or self.members.is_first_in_data_centre(
            now=now
        )

    def _sees_own_slow_streams(self) -> bool:
        """Return whether streams here are slow for another reason than isolation."""
        is_isolated = self.contacts.is_isolated
        return not is_isolated and self.engines.supervisor.sees_slow_streams()

    def _is_pace_reader(self) -> bool:
        """Return whether this instance reads the paces of its data centre."""
        is_first = self.members.is_first_ready_in_data_centre(now=self._clock())
        return is_first and not self.contacts.is_isolated

    def _sees_slow_streams(self) -> bool:
        """Return whether this instance or a peer nearby observes slow streams."""
        is_own = self._sees_own_slow_streams()
        return is_own or self.members.sees_slow_streams(now=self._clock())

    def is_ready(self) -> bool:
        """Return whether this instance serves requests."""
        return self.life.state == "serving"

    def takes_callers(self) -> bool:
        """Return whether callers may be sent to this instance.

        An isolated one serves requests through its peers, which reach the targets.
        """
        return self.is_ready() and not self.contacts.is_isolated

    def _find_budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                ratio=self.settings.retry_ratio,
                slack=self.settings.retry_slack,
                window_s=self.settings.retry_window_s,
            )
        return self._budgets[service]

    def _may_lend(self, service: str) -> bool:
        """Return whether retries of a service are lent to other instances.

        An instance that has just started may not know all others yet, and takes its
        share for larger than it is.
        """
        configuration = self.configuration.current
        return (
            self.is_ready()
            and self._clock() - self._started_at >= LENDING_DELAY_S
            and configuration is not None
            and service in configuration.services
        )

    def _wants_lease(self) -> bool:
        """Return whether this instance holds the lease or is the first candidate."""
        if self.life.is_stopping or not self.configuration.available.is_set():
            return False
        if self.contacts.is_isolated and self._has_successor():
            return False
        if self.lease.is_held():
            return True
        return self.instance_state.is_among_first(1, needs_targets=True)

    def _has_successor(self) -> bool:
        """Return whether a peer reaches the targets and the store."""
        ready = self.members.list_ready(now=self._clock())
        return any(member.state.is_store_reachable for member in ready)

    def _notify_regained(self, targets: Sequence[str], asked_at: float) -> None:
        """Notify all instances that targets answer again."""
        age_ms = int((self._clock() - asked_at) * 1000)
        self.mesh.notify_regained(
            [RegainedTargetReport(target=name, age_ms=age_ms) for name in targets]
        )

    def _notify_peers(self) -> None:
        self.mesh.notify()

    def _report_restored(self) -> None:
        """Send to peers what binds although the restored store does not have it."""
        self.mesh.notify_kept()
        self.leaving_targets.notify_all()
        self._notify_peers()

    def _count_call(self, call: str, status: str) -> None:
        self._calls[call] += 1
        subsystem = get_subsystem()
        self._calls_by_subsystem[subsystem][call] += 1
        labels = {"call": call, "status": status, "subsystem": subsystem}
        self.metrics.calls.inc(labels)

    def _count_broken_attempt(self, service: str, progress: str) -> None:
        self.metrics.broken_attempts.inc({"service": service, "progress": progress})

    def _count_relay(self, service: str, outcome: str) -> None:
        self.metrics.relays.inc({"service": service, "outcome": outcome})

    def _count_loans(self, service: str, outcome: str, count: int) -> None:
        self.metrics.retry_loans.add({"service": service, "outcome": outcome}, count)

    def _count_crash(self, service: str, progress: str) -> None:
        self.metrics.crashes.inc({"service": service, "progress": progress})

    def _count_message(self, kind: str) -> None:
        self._peer_messages[kind] += 1

    def _count_bytes(self, direction: str, size: int) -> None:
        self._peer_bytes[direction] += size

    async def run(self) -> None:
        """Serve until a stop is requested."""
        settings = self.settings
        log_event("instance_started", boot=self.own.boot, first=settings.is_first_start)
        loop = asyncio.get_running_loop()
        self.meter.install(loop)
        loop.set_exception_handler(self._handle_loop_error)
        servers = await self._listen()
        peer_server = None
        if settings.peer_address:
            peer_server = await start_in_subsystem(
                "mesh", self.mesh.listen(settings.peer_address)
            )
        background_tasks = [
            self._start("configuration", self.watch.follow_configuration),
            self._start("targets", self.watch.follow_targets),
            self._start("mesh", lambda: self.mesh.run(settings.seeds)),
            self._start("instances", self.rows.follow),
            self._start("poison", self.poison.run),
            self._start("poison_rows", self.poison_rows.run),
            self._start("lease", self.lease.run),
            self._start("placement", self.placer.run),
            self._start("streams", self.engines.supervisor.run),
            self._start("paces", lambda: self._make_pace_monitor().run()),
            self._start("occupancy", self._read_occupancy),
            self._start("losses", self.failure_detector.run),
            self._start("contacts", self.failure_detector.contact_monitor.run),
            self._start("readiness", self._become_ready),
            self._start("settings", self._follow_settings),
            self._start("metrics", self._log_resources),
            self._start("connections", self.connection_budget.run),
        ]
        await self._signals.stop.wait()
        schedule = StopSchedule(began_at=self._clock(), grace_s=self.settings.grace_s)
        schedule = await self._stop(schedule)
        for task in background_tasks:
            task.cancel()
        await self._close(schedule, servers, peer_server)
        log_event("instance_stopped")

    async def _close(
        self,
        schedule: StopSchedule,
        servers: Sequence[web.ServerRunner],
        peer_server: Server | None,
    ) -> None:
        """Close all connections, for as long as the schedule allows."""
        closing = [runner.cleanup() for runner in servers]
        closing.append(self.mesh.close())
        if peer_server is not None:
            peer_server.close()
            closing.append(peer_server.wait_closed())
        try:
            async with asyncio.timeout(schedule.waits_end_at - self._clock()):
                await asyncio.gather(*closing)
        except TimeoutError:
            log_event("closing_abandoned")

    async def _listen(self) -> list[web.ServerRunner]:
        settings = self.settings
        lookup = make_lookup_handler(
            list_instances=self.listing.list_addresses,
            max_duration_s=settings.max_lookup_duration_s,
        )
        operator = make_operator_handler(
            metrics=self.metrics,
            refresh=lambda: refresh_metrics(
                self.metrics,
                meter=self.meter,
                peer_bytes=self._peer_bytes,
                peer_messages=self._peer_messages,
                version=self.configuration.version,
                is_configuration_refused=self.configuration.refused_row is not None,
                targets=len(self.catalogue.list_targets(now=self._clock())),
                store_era=self.watch.era,
                store_restores=self.watch.restores,
                contacts=self.contacts,
                excluded_targets=self.suspicions.count_reasons(now=self._clock()),
                poison_findings=self.poison.findings,
                limits=self.target_limits.table,
                backed_off_targets=len(self.target_limits.list_backed_off()),
                promises=self.promised_returns.counts,
                rejected_responses=self._guard.excesses + self._store_guard.excesses,
                closed_connections=self.connection_budget.closed,
                connection_bytes=self.connection_budget.held_bytes,
            ),
            describe=lambda: describe_status(self, now=self._clock()),
            describe_denials=self._describe_denials,
            lift_crash_pattern=self.poison.lift,
        )
        ready = make_ready_handler(is_ready=self.is_ready)
        handlers = [
            ("requests", settings.caller_address, self.caller_server),
            ("readiness", settings.ready_address, ready),
            ("lookup", settings.lookup_address, lookup),
            ("metrics", settings.metrics_address, operator),
        ]
        return [
            await start_in_subsystem(
                subsystem,
                _serve(
                    address,
                    handler,
                    budget=self.connection_budget,
                    grace_s=settings.grace_s,
                ),
            )
            for subsystem, address, handler in handlers
            if address
        ]

    def _describe_denials(self, request_id: str) -> dict[str, Any]:
        """Return the recorded rejections of a request, and the seconds they cover."""
        now = self._clock()
        return {
            "instance": self.own.name,
            "running_s": round(now - self._started_at, 3),
            "covered_s": round(self.denials.measure_coverage_s(now=now), 3),
            "denials": self.denials.describe(request_id, now=now),
        }

    async def _become_ready(self) -> None:
        """Become ready once the configuration and the targets are known."""
        await self.configuration.available.wait()
        while not self.catalogue.is_known:
            await asyncio.sleep(0.02)
        try:
            await self.failure_detector.contact_monitor.check_all()
        except Exception as error:
            # An instance that does not know which targets it reaches serves callers
            # better than none.
            self.supervisor.record_failure("readiness", error)
        if self.life.state == "starting":
            self.life.become_ready()
            log_event("serving_started", configuration=self.configuration.version)
            self._notify_peers()

    async def _follow_settings(self) -> None:
        """Reload the settings on SIGHUP, and at a fixed interval without one."""
        while True:
            try:
                async with asyncio.timeout(_SETTINGS_POLL_INTERVAL_S):
                    await self._signals.reload.wait()
                is_signalled = True
            except TimeoutError:
                is_signalled = False
            self._signals.reload.clear()
            try:
                settings = self._adapter.load_settings()
            except SettingsError as error:
                log_event("settings_refused", cause=str(error))
                continue
            if is_signalled or settings != self.settings:
                log_event("settings_read", is_told=is_signalled)
            self.settings = settings
            self._guard.limits = settings.response_limits

    async def _log_resources(self) -> None:
        """Log the resource usage of this instance periodically, until cancelled."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_S)
            log_event(
                "resources_measured",
                subsystems=_round_values(self.meter.subsystems),
                activities=_round_values(self.meter.activities),
                calls=self._calls,
                calls_by_subsystem=self._calls_by_subsystem,
                peer_bytes=self._peer_bytes,
                peer_messages=self._peer_messages,
            )

    async def _stop(self, schedule: StopSchedule) -> StopSchedule:
        """Leave the lookup, serve what can be ended in time, and end what is open.

        Returns the schedule for what closing takes, as known at the end of the answers.
        """
        self.life.begin_stop()
        self.stop_gate.begin(schedule)
        self._notify_peers()
        log_event(
            "shutdown_started",
            open_requests=self.stop_gate.count_open(),
            grace_s=schedule.grace_s,
        )
        withdrawal = asyncio.create_task(self.rows.withdraw())
        idle_s = min(MIN_DRAIN_DURATION_S, schedule.grace_s / 2)
        lateness_s: deque[float] = deque([0.0], maxlen=_LATENESS_CHECKS)
        while (left_s := schedule.answers_end_at - self._clock()) > 0:
            due_at = self._clock() + min(_DRAIN_POLL_INTERVAL_S, left_s)
            await asyncio.sleep(due_at - self._clock())
            lateness_s.append(max(0.0, self._clock() - due_at))
            load = ClosingLoad(
                open_requests=self.stop_gate.count_open(), lateness_s=max(lateness_s)
            )
            schedule = replace(schedule, load=load)
            self.stop_gate.begin(schedule)
            now = self._clock()
            is_idle = self.stop_gate.count_open() == 0
            is_idle = is_idle and not self.stop_gate.has_unread(now=now)
            if is_idle and now - schedule.began_at >= idle_s:
                break
        withdrawal.cancel()
        self.life.end_requests()
        open_requests = self.stop_gate.count_open()
        self.caller_server.end_counting()
        while True:
            self.stop_gate.end_all()
            await asyncio.sleep(_END_POLL_INTERVAL_S)
            is_over = self._clock() >= schedule.waits_end_at
            if is_over or self.stop_gate.count_open() == 0:
                break
        self.life.finish_stop()
        ended = self.caller_handler.ended
        log_event(
            "grace_period_ended",
            open_requests=open_requests,
            lateness_s=round(schedule.load.lateness_s, 4),
            closing_s=round(schedule.closing_s, 4),
            refused=ended["refused"],
            unknown=ended["unknown"],
            cut=ended["cut"],
        )
        return schedule

    def _handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Record an error of a callback, or of a task that nobody awaits."""
        error = context.get("exception")
        if error is None:
            loop.default_exception_handler(context)
            return
        self.supervisor.record_failure("callbacks", error, source=context["message"])

    def _start(
        self, duty: str, begin: Callable[[], Coroutine[Any, Any, None]]
    ) -> asyncio.Task:
        """Start a background task that goes on after an error."""
        return start_in_subsystem(duty, self.supervisor.run(duty, begin), name=duty)

    def _start_adoption(self, coroutine: Coroutine[None, None, None]) -> None:
        """Start a task that adopts a configuration; if it fails, another is fetched."""

        def handle_end(task: asyncio.Task) -> None:
            self._adoptions.discard(task)
            if not task.cancelled() and task.exception() is not None:
                log_event("internal_error_caught", exc_info=task.exception())

        task = start_in_subsystem("configuration", coroutine)
        self._adoptions.add(task)
        task.add_done_callback(handle_end)


def _round_values(seconds: Mapping[str, float]) -> dict[str, float]:
    return {name: round(value, 4) for name, value in seconds.items()}


async def _serve(
    address: str,
    handler: web.Server | Callable[[web.BaseRequest], Awaitable],
    *,
    budget: ConnectionBudget,
    grace_s: float,
) -> web.ServerRunner:
    """Start an HTTP server at `IP:PORT`, whose connections the budget bounds.

    Once it is closed it waits for its handlers, for a share of the grace time.
    """
    if not isinstance(handler, web.Server):
        handler = BoundedServer(handler, budget=budget)
    closing_s = StopSchedule(began_at=0.0, grace_s=grace_s).closing_s
    timeout_s = max(_MIN_HANDLER_WAIT_S, closing_s * _HANDLER_WAIT_SHARE)
    runner = web.ServerRunner(handler, shutdown_timeout=timeout_s)
    await runner.setup()
    await start_bounded(runner, address)
    return runner


def _watch_signals() -> _Signals:
    """Handle signals from now on, also a SIGHUP that was blocked since the start."""
    signals = _Signals(stop=asyncio.Event(), reload=asyncio.Event())
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, signals.stop.set)
    loop.add_signal_handler(signal.SIGHUP, signals.reload.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    return signals
