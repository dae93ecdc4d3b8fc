"""Builds the reports of an instance to its peers and merges theirs."""

import bisect
import math
from collections.abc import Callable, Coroutine, Iterable, Mapping

from msgspec.structs import replace

from fulmarward.observability import log_event
from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.demand import DemandTable
from fulmarward_core.loads import HubReport, Load, LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.routes import list_class_services
from fulmarward_core.store_versions import (
    find_era,
    find_number,
    make_store_version,
)
from fulmarward_core.suspicion import FailureKind, SuspicionTable
from fulmarward_core.team_shares import TeamSettings, TeamTable
from fulmarward_router.mesh import (
    Answer,
    CompressedConfiguration,
    ConfigurationDeferred,
    ConfigurationReceived,
    ConfigurationSnapshot,
    DataCentreReport,
    DemandReport,
    DemandScope,
    FailureReport,
    Fetch,
    FetchCompressedConfiguration,
    FetchConfiguration,
    FetchTargets,
    FleetLoads,
    FleetReport,
    Heartbeat,
    IncludedUpdate,
    InstanceIdentity,
    InstanceReport,
    LoadReport,
    LoadUpdate,
    LostTargetReport,
    MemberTable,
    PaceReport,
    RegainedTargetReport,
    Revisions,
    RowSnapshot,
    Snapshot,
    SupportsCompression,
    TargetChanges,
    TeamReport,
)
from fulmarward_router.ports import Row
from fulmarward_router.state._configuration import ConfigurationHolder
from fulmarward_router.state._configuration_exchange import ConfigurationExchange
from fulmarward_router.state._demand_reports import make_demand_report, read_demands
from fulmarward_router.state._team_reports import make_team_report, read_team_uses

#: Minimum seconds between two fetches of the same changes of targets.
FETCH_INTERVAL_S = 0.2

#: Minimum seconds between two log lines on reports that confirm no targets.
UNCONFIRMED_LOG_INTERVAL_S = 1.0

#: Seconds after its start in which an instance may not have heard all live ones yet.
START_DURATION_S = 2.0

#: The age in ms that stands for "never".
_NEVER_MS = -1

#: The age in ms of changes of targets that were never confirmed here: too old to
#: confirm anything.
_UNKNOWN_AGE_MS = 86_400_000


class InstanceState:
    """Implements `mesh.MeshState` on the tables of this instance."""

    def __init__(
        self,
        *,
        own: InstanceIdentity,
        members: MemberTable,
        configuration: ConfigurationHolder,
        catalogue: TargetCatalogue,
        suspicions: SuspicionTable,
        paces: PaceTable,
        ledger: LoadLedger,
        demands: DemandTable,
        teams: TeamTable,
        read_team_settings: Callable[[], TeamSettings],
        balances_data_centres: Callable[[], bool] = lambda: False,
        sees_slow_streams: Callable[[], bool],
        decode_row: Callable[..., KnownRow],
        read_clock: Callable[[], float],
        is_ready: Callable[[], bool],
        is_leaving: Callable[[], bool],
        is_store_reachable: Callable[[], bool],
        reaches_service: Callable[[str], bool],
        notify_peers: Callable[[], None],
        probe_targets: Callable[[Iterable[str]], None],
        handle_target_changes: Callable[[list[KnownRow]], None],
        start_task: Callable[[Coroutine[None, None, None]], object],
        notify_kept: Callable[[], None] = lambda: None,
        is_observer: Callable[[str], bool] = lambda target: True,
        link_bytes_per_s: float | None = None,
    ) -> None:
        #: Returns whether this instance verifies what peers report of a target.
        self._is_observer = is_observer
        self._own = own
        self._members = members
        self._configuration = configuration
        self._catalogue = catalogue
        self._suspicions = suspicions
        self._paces = paces
        self._ledger = ledger
        self._demands = demands
        self._teams = teams
        self._read_team_settings = read_team_settings
        #: Returns whether the demand of services without classes is reported too.
        self._balances_data_centres = balances_data_centres
        self._sees_slow_streams = sees_slow_streams
        self._decode_row = decode_row
        self._read_clock = read_clock
        self._is_ready = is_ready
        self._is_leaving = is_leaving
        self._is_store_reachable = is_store_reachable
        self._reaches_service = reaches_service
        self._notify_peers = notify_peers
        #: Sends peers the targets that stay as known although the store's copy differs.
        self._notify_kept = notify_kept
        #: Starts probes that determine which of the given targets are unreachable.
        self._probe_targets = probe_targets
        self._handle_target_changes = handle_target_changes
        self._started_at = read_clock()
        #: When changes of targets were last requested, and after which version.
        self._targets_fetched_at = float("-inf")
        self._unconfirmed_logged_at = float("-inf")
        self._targets_fetched_after: int | None = None
        #: Newest version of the targets that any peer has reported.
        self._max_reported_version = 0
        self._exchange = ConfigurationExchange(
            name=own.name,
            configuration=configuration,
            link_bytes_per_s=link_bytes_per_s,
            read_clock=read_clock,
            notify_peers=notify_peers,
            start_task=start_task,
        )
        #: Makes the reports on demand of each scope, for the services with classes.
        self._demand_reports = {
            DemandScope.INSTANCE: self._report_own_demand,
            DemandScope.OWN_DATA_CENTRE: self._report_own_centre,
            DemandScope.OTHER_DATA_CENTRES: self._report_other_centres,
        }
        #: Makes the reports on teams of each scope.
        self._team_reports = {
            DemandScope.INSTANCE: self._report_own_teams,
            DemandScope.OWN_DATA_CENTRE: self._report_teams_of_own_centre,
            DemandScope.OTHER_DATA_CENTRES: self._report_teams_of_other_centres,
        }
        #: Sequence number of the newest load update of each instance.
        self._updates: dict[str, int] = {}

    def make_heartbeat(self, *, has_loads: bool = True) -> Heartbeat:
        """Return this instance's heartbeat, with or without its loads."""
        now = self._read_clock()
        loads = _make_load_reports(self._ledger.list_own() if has_loads else {})
        losses = tuple(
            FailureReport(target=item.target, for_ms=int((item.until - now) * 1000))
            for item in self._suspicions.list_direct_failures(now=now)
            if self._is_reportable(item.target)
        )
        return Heartbeat(
            sender=self._own,
            is_ready=self._is_ready(),
            is_leaving=self._is_leaving(),
            configuration_version=self._configuration.version,
            configuration_age_ms=_compute_age_ms(self._configuration.confirmed_at, now),
            targets_version=self._catalogue.content_version,
            targets_age_ms=_compute_age_ms(self._catalogue.confirmed_at, now),
            is_store_reachable=self._is_store_reachable(),
            loads=loads,
            losses=losses,
            refusing=tuple(self._suspicions.refusals.list_observed(now=now)),
            sees_slow_streams=self._sees_slow_streams(),
            paces=self._make_pace_reports(now),
        )

    def _is_reportable(self, target: str) -> bool:
        """Return whether to report the failure of a target to peers.

        What looks like failures may be the isolation of this instance from a service.
        """
        record = self._catalogue.find_target(target)
        return record is None or self._reaches_service(record.service)

    def _make_pace_reports(self, now: float) -> tuple[PaceReport, ...]:
        return tuple(
            PaceReport(
                target=name,
                percent=int(pace.factor * 100),
                age_ms=max(0, _compute_age_ms(pace.at, now)),
            )
            for name, pace in self._paces.list_slow(now=now).items()
        )

    def _merge_paces(self, reports: Iterable[PaceReport], sent_at: float) -> None:
        if sent_at == float("-inf"):
            return
        for report in reports:
            at = sent_at - report.age_ms / 1000
            if self._paces.note(report.target, report.percent / 100, at=at):
                log_event(
                    "pace_changed",
                    target=report.target,
                    pace=report.percent / 100,
                    source="peer",
                )

    def is_among_first(self, count: int, *, needs_targets: bool = False) -> bool:
        """Return whether this instance is one of the `count` that act for the fleet.

        These are the first by name of the fresh instances that are not leaving and
        reach the store. An instance that the store refuses is left out, as it could not
        perform the duty; so are those that are not ready, such as isolated ones, for a
        duty that `needs_targets`. For a while after its start, an instance also counts
        those it has not heard yet as alive, so that not all of them start with the same
        duties.
        """
        if self._is_leaving() or not self._is_store_reachable():
            return False
        now = self._read_clock()
        is_starting = now - self._started_at < START_DURATION_S
        others = (
            self._members.list_presumed_candidates(now=now)
            if is_starting
            else self._members.list_duty_candidates(now=now)
        )
        if needs_targets and not is_starting:
            ready = {m.identity.name for m in self._members.list_ready(now=now)}
            others = [name for name in others if name in ready]
        before = bisect.bisect_left(others, self._own.name)
        return before < count

    def is_store_out(self) -> bool:
        """Return whether no instance is known to reach the store.

        More than half of the instances must be fresh: an instance that is partitioned
        from the others would otherwise mistake its own outage for the store's.
        """
        if self._is_store_reachable():
            return False
        fresh = self._members.list_fresh(now=self._read_clock())
        if (len(fresh) + 1) * 2 <= len(self._members.list_all()) + 1:
            return False
        return not any(member.state.is_store_reachable for member in fresh)

    def merge_heartbeat(
        self, heartbeat: Heartbeat, *, delay_s: float = 0.0
    ) -> list[Fetch]:
        """Merge a peer's heartbeat; return the fetches to send to the peer.

        `delay_s` is for how long it was delayed in transit. Guards against a
        confirmation that counts as recent although a saturated link delayed it.
        """
        now = self._read_clock()
        sent_at = now - delay_s
        if heartbeat.loads or heartbeat.sender.name not in self._updates:
            loads = _index_loads(heartbeat.loads)
            self._ledger.merge_report(heartbeat.sender.name, loads, now=now)
        if heartbeat.is_leaving:
            self._demands.remove(heartbeat.sender.name)
            self._teams.remove(heartbeat.sender.name)
        self._merge_losses(heartbeat.losses, heartbeat.sender.name, sent_at)
        self._suspicions.refusals.merge_reports(heartbeat.refusing, now=sent_at)
        self._merge_paces(heartbeat.paces, sent_at)
        # What a peer confirms that follows a lost history may have been replaced.
        is_of_era = find_era(heartbeat.targets_version) >= find_era(
            self._catalogue.version
        )
        fetch = self._exchange.merge_heartbeat(
            heartbeat, sent_at=sent_at, is_confirming=is_of_era
        )
        fetches = [] if fetch is None else [fetch]
        if not heartbeat.is_store_reachable:
            self._catalogue.record_store_out(at=sent_at)
        if heartbeat.targets_age_ms >= 0:
            at = sent_at - heartbeat.targets_age_ms / 1000
            self._catalogue.confirm(heartbeat.targets_version, at=at)
            self._log_unconfirmed(heartbeat, now)
        if self._must_fetch_targets(heartbeat, now):
            fetches.append(FetchTargets(after=self._catalogue.version))
        return fetches

    def _log_unconfirmed(self, heartbeat: Heartbeat, now: float) -> None:
        """Log that a report cannot confirm the targets known here, once a second.

        Its sender knows of a newer version. Unless the changes up to it arrive, targets
        may leave unnoticed until this instance reads the store itself.
        """
        if (
            heartbeat.targets_version <= self._catalogue.version
            or not self._catalogue.may_miss_leaving(now=now)
            or now - self._unconfirmed_logged_at < UNCONFIRMED_LOG_INTERVAL_S
        ):
            return
        self._unconfirmed_logged_at = now
        age_s = now - self._catalogue.confirmed_at
        log_event(
            "targets_unconfirmed",
            peer=heartbeat.sender.name,
            peer_version=heartbeat.targets_version,
            peer_age_s=heartbeat.targets_age_ms / 1000,
            version=self._catalogue.version,
            age_s=round(age_s, 3) if math.isfinite(age_s) else None,
        )

    def _must_fetch_targets(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether to fetch changes of targets from the sender.

        A sender that reports a newer version is asked. One that has just started may
        not know the changes before its version and cannot answer; then any peer is
        asked.
        """
        own = self._catalogue.version
        self._max_reported_version = max(
            self._max_reported_version, heartbeat.targets_version
        )
        if self._max_reported_version <= own:
            return False
        # A fetch after this version was sent before and has had no answer yet.
        is_pending = self._targets_fetched_after == own
        if is_pending and now - self._targets_fetched_at < FETCH_INTERVAL_S:
            return False
        if heartbeat.targets_version <= own and not is_pending:
            return False
        self._targets_fetched_at, self._targets_fetched_after = now, own
        return True

    def record_supports_compression(self, message: SupportsCompression) -> None:
        """Record that a peer answers fetches of the compressed configuration."""
        self._exchange.record_supports_compression(message)

    def make_data_centre_report(self, data_centre: str) -> DataCentreReport:
        """Return this instance's report, as a hub, on a data centre."""
        now = self._read_clock()
        instances = self._members.report_members(data_centre, now=now)
        loads = self._ledger.find_data_centre_load(data_centre)
        if data_centre == self._own.data_centre:
            instances = (*instances, self._make_own_report())
            loads = self._ledger.sum_linked(now=now)
        return DataCentreReport(
            data_centre=data_centre,
            instances=instances,
            loads=_make_load_reports(loads),
            paces=self._make_pace_reports(now),
        )

    def _make_own_report(self) -> InstanceReport:
        return InstanceReport(
            name=self._own.name,
            boot=self._own.boot,
            age_ms=0,
            is_alive=True,
            is_ready=self._is_ready(),
            is_leaving=self._is_leaving(),
            is_store_reachable=self._is_store_reachable(),
        )

    def merge_data_centre(
        self, report: DataCentreReport, *, delay_s: float = 0.0
    ) -> None:
        """Merge the loads in a hub's report on its data centre."""
        if report.data_centre == self._own.data_centre:
            return
        now = self._read_clock()
        loads = _index_loads(report.loads)
        self._ledger.merge_data_centre(report.data_centre, loads, now=now)
        self._merge_paces(report.paces, now - delay_s)

    def has_loads(self) -> bool:
        """Return whether this instance has requests in flight."""
        return self._ledger.has_own()

    def get_loads_revision(self) -> int:
        """Return the revision of the last change of this instance's loads."""
        return self._ledger.own_revision

    def make_fleet_loads(self, after: int) -> tuple[FleetLoads | None, int]:
        """Return the loads changed after a revision, `None` if there are none, and the
        current revision.
        """
        revision = self._ledger.revision
        changes = self._ledger.list_changes(after=after, now=self._read_clock())
        if not changes:
            return None, revision
        report = FleetLoads(
            sender=self._own.name,
            loads=_make_load_reports(changes),
            included=self._list_included(),
        )
        return report, self._ledger.revision

    def merge_fleet_loads(self, report: FleetLoads) -> bool:
        """Merge the changed loads of a hub; return whether that was possible without a
        full report first.
        """
        return self._merge_loads(
            report.sender, report.loads, report.included, is_full=False
        )

    def _merge_loads(
        self,
        hub: str,
        loads: Iterable[LoadReport],
        included: Iterable[IncludedUpdate],
        *,
        is_full: bool,
    ) -> bool:
        own = [item for item in included if item.instance == self._own.name]
        report = HubReport(
            hub=hub,
            is_full=is_full,
            loads=_index_loads(loads),
            included=own[0].sequence if own else None,
        )
        return self._ledger.merge_hub_report(report, now=self._read_clock())

    def _list_included(self) -> tuple[IncludedUpdate, ...]:
        return tuple(
            IncludedUpdate(instance=name, sequence=self._updates[name])
            for name in self._ledger.list_reporters()
            if name in self._updates
        )

    def make_load_update(self) -> LoadUpdate:
        """Return this instance's loads, for the hubs that it subscribes to."""
        snapshot = self._ledger.take_snapshot(self._own.boot)
        return LoadUpdate(
            sender=self._own.name,
            sequence=snapshot.sequence,
            loads=_make_load_reports(snapshot.loads),
        )

    def merge_load_update(self, update: LoadUpdate) -> None:
        """Merge the loads of a subscriber."""
        self._updates[update.sender] = update.sequence
        loads = _index_loads(update.loads)
        self._ledger.merge_report(update.sender, loads, now=self._read_clock())

    def list_class_services(self) -> frozenset[str]:
        """Return the services with classes by the configuration in force."""
        current = self._configuration.current
        return frozenset() if current is None else list_class_services(current)

    def _list_reported_services(self) -> frozenset[str]:
        """Return the services whose demand is reported to other instances."""
        current = self._configuration.current
        if current is None or not self._balances_data_centres():
            return self.list_class_services()
        return frozenset(
            name
            for name, service in current.services.items()
            if service.engine is not None
        )

    def make_demand_reports(self, scope: DemandScope) -> tuple[DemandReport, ...]:
        """Return the reports on demand, also on none; empty if no service has any.

        Without balanced data centres, these are the services with classes.
        """
        services = self._list_reported_services()
        return self._demand_reports[scope](services) if services else ()

    def _report_own_demand(self, services: frozenset[str]) -> tuple[DemandReport, ...]:
        """Return the report of this instance, which has no demand while it leaves."""
        now = self._read_clock()
        demands = {} if self._is_leaving() else self._demands.list_own(now=now)
        report = make_demand_report(
            self._own.name, demands, services=services, boot=self._own.boot
        )
        return (report,)

    def _report_own_centre(self, services: frozenset[str]) -> tuple[DemandReport, ...]:
        """Return the sum of the data centre, as made now.

        The reports in it may be older. Those of an instance that is gone stay in it
        until they expire here.
        """
        demands = self._demands.sum_data_centre(now=self._read_clock())
        return (make_demand_report(self._own.data_centre, demands, services=services),)

    def _report_other_centres(
        self, services: frozenset[str]
    ) -> tuple[DemandReport, ...]:
        now = self._read_clock()
        return tuple(
            make_demand_report(
                name, known.entries, services=services, age_s=now - known.at
            )
            for name, known in self._demands.list_data_centres(now=now).items()
        )

    def merge_demands(self, report: DemandReport, *, delay_s: float = 0.0) -> None:
        """Merge the demand of an instance or data centre, delayed in transit."""
        now = self._read_clock()
        try:
            demands = read_demands(report)
        except (ValueError, OverflowError) as error:
            log_event("demand_refused", source=report.source, cause=str(error))
            return
        at = now - delay_s - report.age_ms / 1000
        if report.is_data_centre:
            self._demands.merge_data_centre(report.source, demands, at=at, now=now)
        elif not self._members.has_ended(report.source, report.boot):
            self._demands.merge_report(
                report.source, demands, boot=report.boot, at=at, now=now
            )

    def make_team_reports(self, scope: DemandScope) -> tuple[TeamReport, ...]:
        """Return the reports on teams, also on none; empty without their shares."""
        if not self._read_team_settings().is_enabled:
            return ()
        return self._team_reports[scope](self._read_clock())

    def _report_own_teams(self, now: float) -> tuple[TeamReport, ...]:
        """Return the report of this instance, which has no uses while it leaves."""
        uses = {} if self._is_leaving() else self._teams.list_own(now=now)
        return (make_team_report(self._own.name, uses, boot=self._own.boot),)

    def _report_teams_of_own_centre(self, now: float) -> tuple[TeamReport, ...]:
        """Return the sum of the data centre, as made now, like that of the demand."""
        uses = self._teams.sum_data_centre(now=now)
        return (make_team_report(self._own.data_centre, uses),)

    def _report_teams_of_other_centres(self, now: float) -> tuple[TeamReport, ...]:
        return tuple(
            make_team_report(name, known.entries, age_s=now - known.at)
            for name, known in self._teams.list_data_centres(now=now).items()
        )

    def merge_teams(self, report: TeamReport, *, delay_s: float = 0.0) -> None:
        """Merge the uses at an instance or data centre, delayed in transit.

        Without shares of teams here, reports of instances that have them are ignored.
        """
        if not self._read_team_settings().is_enabled:
            return
        now = self._read_clock()
        try:
            uses = read_team_uses(report)
        except (ValueError, OverflowError) as error:
            log_event("team_report_refused", source=report.source, cause=str(error))
            return
        at = now - delay_s - report.age_ms / 1000
        if report.is_data_centre:
            self._teams.merge_data_centre(report.source, uses, at=at, now=now)
        elif not self._members.has_ended(report.source, report.boot):
            self._teams.merge_report(
                report.source, uses, boot=report.boot, at=at, now=now
            )

    def make_fleet_report(self, known: Revisions) -> tuple[FleetReport, Revisions]:
        """Return the changes of the fleet since the revisions that a subscriber has,
        and the revisions that it has after this report.
        """
        now = self._read_clock()
        heartbeat = self.make_heartbeat(has_loads=False)
        has_slow_streams = self._members.sees_slow_streams(now=now)
        members = self._members.report_changes(after=known.members, now=now)
        loads = self._ledger.list_changes(after=known.loads, now=now)
        report = FleetReport(
            heartbeat=replace(
                heartbeat,
                sees_slow_streams=heartbeat.sees_slow_streams or has_slow_streams,
            ),
            is_full=known.loads < 0,
            members=members,
            ages=self._members.report_ages(now=now),
            loads=_make_load_reports(loads),
            included=self._list_included(),
            losses=tuple(
                FailureReport(target=item.target, for_ms=int((item.until - now) * 1000))
                for item in self._suspicions.list_indirect_failures(now=now)
            ),
            refusing=tuple(self._suspicions.refusals.list_all(now=now)),
        )
        revisions = Revisions(
            members=self._members.revision,
            loads=self._ledger.revision,
            targets=self._catalogue.content_version,
        )
        return report, revisions

    def make_target_changes(self, after: int) -> TargetChanges | None:
        """Return the changes of targets after a version, `None` if none are known."""
        is_known = self._catalogue.knows_changes(after=after)
        if not is_known or self._catalogue.content_version <= after:
            return None
        return self._build_target_changes(after)

    def merge_fleet_report(self, report: FleetReport, *, delay_s: float = 0.0) -> bool:
        """Merge a hub's report; return whether that was possible without a full report.

        The heartbeat in it and the instances that it lists are merged elsewhere.
        """
        now, hub = self._read_clock(), report.heartbeat.sender.name
        self._merge_losses(report.losses, hub, now - delay_s)
        self._suspicions.refusals.merge_reports(report.refusing, now=now - delay_s)
        return self._merge_loads(
            hub, report.loads, report.included, is_full=report.is_full
        )

    def _merge_losses(
        self, losses: Iterable[FailureReport], source: str, sent_at: float
    ) -> None:
        now = self._read_clock()
        self._exclude_reported(
            [(loss.target, sent_at + loss.for_ms / 1000 - now, now) for loss in losses],
            source,
        )

    def make_loss_reports(self, targets: Iterable[str]) -> list[LostTargetReport]:
        """Return which of the targets this instance itself finds unreachable."""
        now = self._read_clock()
        names = set(targets)
        return [
            LostTargetReport(
                target=item.target,
                for_ms=int((item.until - now) * 1000),
                age_ms=int((now - item.since) * 1000),
                is_closed=item.kind is FailureKind.CLOSED,
            )
            for item in self._suspicions.list_direct_failures(now=now)
            if item.target in names and self._is_reportable(item.target)
        ]

    def merge_losses(
        self, losses: Iterable[LostTargetReport], *, source: str, delay_s: float
    ) -> None:
        """Merge which targets an instance found unreachable, delayed in transit."""
        now = self._read_clock()
        sent_at = now - delay_s
        self._exclude_reported(
            [
                (
                    loss.target,
                    sent_at + loss.for_ms / 1000 - now,
                    sent_at - max(0, loss.age_ms) / 1000,
                )
                for loss in losses
            ],
            source,
        )

    def _exclude_reported(
        self, losses: Iterable[tuple[str, float, float]], source: str
    ) -> None:
        """Exclude targets that a peer reported, and verify those observed here.

        Each loss is a target, the seconds for which to exclude it, and when the failure
        was observed, in seconds on the monotonic clock.
        """
        now = self._read_clock()
        reported = []
        for target, duration_s, observed_at in losses:
            if duration_s > 0 and self._suspicions.record_indirect_failure(
                target, duration_s=duration_s, now=now, observed_at=observed_at
            ):
                log_event("target_unreachable", target=target, source=source)
                reported.append(target)
        to_verify = [target for target in reported if self._is_observer(target)]
        if to_verify:
            self._probe_targets(to_verify)

    def merge_regained(
        self, reports: Iterable[RegainedTargetReport], *, source: str, delay_s: float
    ) -> None:
        """Merge which targets answer an instance again, delayed in transit."""
        now = self._read_clock()
        for report in reports:
            excluded_s = self._suspicions.merge_regained(
                report.target,
                answered_at=now - delay_s - report.age_ms / 1000,
                now=now,
            )
            if excluded_s is not None:
                log_event(
                    "target_regained",
                    target=report.target,
                    source=source,
                    for_s=round(excluded_s, 3),
                )

    def answer(self, fetch: Fetch) -> Answer | None:
        """Return the answer to a peer's fetch, `None` if there is none."""
        if isinstance(fetch, FetchCompressedConfiguration):
            return self._exchange.answer_compressed(fetch)
        if isinstance(fetch, FetchConfiguration):
            return self._exchange.answer_plain(fetch)
        if not self._catalogue.knows_changes(after=fetch.after):
            return None
        return self._build_target_changes(fetch.after)

    def answer_without_eras(self, fetch: FetchTargets) -> Answer | None:
        """Return the answer to a fetch whose versions are the store's own numbers."""
        if fetch.after > 0:
            era = find_era(self._catalogue.version)
            after = make_store_version(era, find_number(fetch.after))
            fetch = FetchTargets(after=after)
        return self.answer(fetch)

    def make_kept_changes(self) -> TargetChanges | None:
        """Return the targets that stay as known although the store's copy differs.

        They name no version up to which changes are known, so that a peer merges just
        these rows. `None` if there are none.
        """
        rows = self._catalogue.list_kept_rows()
        if not rows:
            return None
        return TargetChanges(
            after=self._catalogue.version,
            version=0,
            age_ms=_UNKNOWN_AGE_MS,
            rows=tuple(map(_make_snapshot, rows)),
        )

    def _build_target_changes(self, after: int) -> TargetChanges:
        rows = tuple(map(_make_snapshot, self._catalogue.list_rows(after=after)))
        age_ms = _compute_age_ms(self._catalogue.confirmed_at, self._read_clock())
        return TargetChanges(
            after=after,
            version=self._catalogue.version,
            age_ms=_UNKNOWN_AGE_MS if age_ms == _NEVER_MS else age_ms,
            rows=rows,
        )

    def record_deferred(self, message: ConfigurationDeferred) -> None:
        """Record that a peer cannot answer yet, as it is sending to other peers."""
        self._exchange.record_deferred(message)

    def repeat_fetch(self, peer: str) -> Fetch | None:
        """Return the fetch to repeat at a peer that deferred it, if still needed."""
        return self._exchange.repeat_fetch(peer)

    def record_received(self, message: ConfigurationReceived) -> None:
        """Record that a peer has received the configuration sent to it."""
        self._exchange.record_received(message)

    def handle_link_closed(self, peer: str) -> None:
        """End the transfer to a peer, and a fetch from it: its link has closed."""
        self._exchange.handle_link_closed(peer)

    def merge_snapshot(self, snapshot: Snapshot, *, delay_s: float = 0.0) -> None:
        """Merge the answer of a peer to a fetch, delayed in transit by `delay_s`."""
        if isinstance(snapshot, CompressedConfiguration):
            self._exchange.merge_compressed(snapshot)
            return
        if isinstance(snapshot, ConfigurationSnapshot):
            self._exchange.merge_plain(snapshot)
            return
        now = self._read_clock()
        rows = [
            self._decode_row(
                Row(key=item.key, value=item.value, version=item.version), now=now
            )
            for item in snapshot.rows
        ]
        if snapshot.version == 0 and snapshot.after > 0:
            changed = self._catalogue.apply_kept_rows(rows, now=now)
            self._handle_target_changes(changed)
            if changed:
                # The store's version does not show peers that something has changed.
                self._notify_kept()
            return
        at = now - delay_s - snapshot.age_ms / 1000
        if snapshot.after == 0:
            # The whole table, in which removed targets are missing.
            self._handle_target_changes(
                self._catalogue.apply_full_read(
                    rows, snapshot.version, now=now, confirmed_at=at
                )
            )
            return
        # If this instance is behind `after`, changes before it are missing: the rows
        # are merged, but not the version.
        is_contiguous = snapshot.after <= self._catalogue.version
        version = snapshot.version if is_contiguous else 0
        self._handle_target_changes(
            self._catalogue.apply_changes(rows, version, now=now, confirmed_at=at)
        )


def _make_snapshot(row: KnownRow) -> RowSnapshot:
    return RowSnapshot(key=row.name, version=row.version, value=row.value)


def _make_load_reports(loads: Mapping[str, Load]) -> tuple[LoadReport, ...]:
    return tuple(
        LoadReport(
            target=target,
            kv=int(load.kv),
            running=load.running,
            first_running=load.first_running,
        )
        for target, load in loads.items()
    )


def _index_loads(reports: Iterable[LoadReport]) -> dict[str, LoadReport]:
    """Return reports by target; they are used as loads without a copy."""
    return {report.target: report for report in reports}


def _compute_age_ms(at: float, now: float) -> int:
    """Return the age of `at` in ms, `_NEVER_MS` if it is minus infinity."""
    return _NEVER_MS if at == float("-inf") else int((now - at) * 1000)
