"""What an instance reports to its peers, and what it takes in of their reports."""

import bisect
from collections.abc import Callable, Iterable, Mapping

from msgspec.structs import replace

from fulmarward.observability import log_event
from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.loads import HubLoads, Load, LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.mesh import (
    Answer,
    CompressedConfiguration,
    ConfigurationDeferred,
    ConfigurationReceived,
    ConfigurationSnapshot,
    DataCentreReport,
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
    MemberTable,
    PaceReport,
    Revisions,
    RowSnapshot,
    Snapshot,
    SupportsCompression,
    TargetChanges,
)
from fulmarward_router.ports import Row
from fulmarward_router.state._configuration import ConfigurationHolder
from fulmarward_router.state._configuration_exchange import ConfigurationExchange

#: Seconds between two fetches of targets' changes.
FETCH_INTERVAL_S = 0.2

#: Seconds after its start for which an instance may not have heard others that live.
START_DURATION_S = 2.0

#: Age in ms that says "never".
_NEVER_MS = -1


class Knowledge:
    """Implements `mesh.MeshState` on what this instance believes."""

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
        sees_slow_streams: Callable[[], bool],
        decode_row: Callable[..., KnownRow],
        read_clock: Callable[[], float],
        is_ready: Callable[[], bool],
        is_leaving: Callable[[], bool],
        is_store_reachable: Callable[[], bool],
        note_change: Callable[[], None],
        note_targets: Callable[[list[KnownRow]], None],
        link_bytes_per_s: float | None = None,
    ) -> None:
        self._own = own
        self._members = members
        self._configuration = configuration
        self._catalogue = catalogue
        self._suspicions = suspicions
        self._paces = paces
        self._ledger = ledger
        self._sees_slow_streams = sees_slow_streams
        self._decode_row = decode_row
        self._read_clock = read_clock
        self._is_ready = is_ready
        self._is_leaving = is_leaving
        self._is_store_reachable = is_store_reachable
        self._note_change = note_change
        self._note_targets = note_targets
        self._began_at = read_clock()
        #: When changes of targets were last fetched, and after which version.
        self._fetched_at = float("-inf")
        self._fetched_after: int | None = None
        #: Newest version of the targets that a peer stated.
        self._stated_version = 0
        self._exchange = ConfigurationExchange(
            name=own.name,
            configuration=configuration,
            link_bytes_per_s=link_bytes_per_s,
            read_clock=read_clock,
            note_change=note_change,
        )
        #: The newest load update that each instance sent.
        self._updates: dict[str, int] = {}

    def make_heartbeat(self, *, has_loads: bool = True) -> Heartbeat:
        """Return this instance's heartbeat, with its load or without."""
        now = self._read_clock()
        loads = _report_loads(self._ledger.list_own() if has_loads else {})
        losses = tuple(
            FailureReport(target=item.target, for_ms=int((item.until - now) * 1000))
            for item in self._suspicions.list_direct_failures(now=now)
        )
        return Heartbeat(
            sender=self._own,
            is_ready=self._is_ready(),
            is_leaving=self._is_leaving(),
            configuration_version=self._configuration.version,
            configuration_age_ms=_count_ms(self._configuration.confirmed_at, now),
            targets_version=self._catalogue.stated_version,
            targets_age_ms=_count_ms(self._catalogue.confirmed_at, now),
            is_store_reachable=self._is_store_reachable(),
            loads=loads,
            losses=losses,
            refusing=tuple(self._suspicions.refusals.list_own(now=now)),
            sees_slow_streams=self._sees_slow_streams(),
            paces=self._report_paces(now),
        )

    def _report_paces(self, now: float) -> tuple[PaceReport, ...]:
        return tuple(
            PaceReport(
                target=name,
                percent=int(pace.factor * 100),
                age_ms=max(0, _count_ms(pace.at, now)),
            )
            for name, pace in self._paces.list_slow(now=now).items()
        )

    def _merge_paces(self, paces: Iterable[PaceReport], now: float) -> None:
        for report in paces:
            at = now - report.age_ms / 1000
            if self._paces.note(report.target, report.percent / 100, at=at):
                log_event(
                    "pace_changed",
                    target=report.target,
                    pace=report.percent / 100,
                    source="peer",
                )

    def is_among_first(self, count: int) -> bool:
        """Return whether this instance is one of those that act for all.

        They are the first by name of those that were heard lately, are not leaving
        and reach the store. Guards against one that the store turns away: it would
        hold a duty that it cannot do. One that has just started presumes that others
        live which it has not heard yet, so that not all begin with the same duties.
        """
        if self._is_leaving() or not self._is_store_reachable():
            return False
        now = self._read_clock()
        is_starting = now - self._began_at < START_DURATION_S
        others = (
            self._members.list_presumed(now=now)
            if is_starting
            else self._members.list_acting(now=now)
        )
        before = bisect.bisect_left(others, self._own.name)
        return before < count

    def is_store_out(self) -> bool:
        """Return whether no instance reaches the store, as far as known here.

        Over half of the instances must be heard. Guards against one that is cut off
        from everybody: it would take its own trouble for the store's.
        """
        if self._is_store_reachable():
            return False
        fresh = self._members.list_fresh(now=self._read_clock())
        if (len(fresh) + 1) * 2 <= len(self._members.list_all()) + 1:
            return False
        return not any(member.state.is_store_reachable for member in fresh)

    def merge_heartbeat(self, heartbeat: Heartbeat) -> list[Fetch]:
        """Take in a peer's heartbeat; return what to ask it for."""
        now = self._read_clock()
        if heartbeat.loads or heartbeat.sender.name not in self._updates:
            loads = _read_loads(heartbeat.loads)
            self._ledger.merge_report(heartbeat.sender.name, loads, now=now)
        self._merge_losses(heartbeat.losses, heartbeat.sender.name, now)
        self._suspicions.refusals.merge_reports(heartbeat.refusing, now=now)
        self._merge_paces(heartbeat.paces, now)
        fetch = self._exchange.merge_heartbeat(heartbeat)
        fetches = [] if fetch is None else [fetch]
        if heartbeat.targets_age_ms >= 0:
            at = now - heartbeat.targets_age_ms / 1000
            self._catalogue.confirm(heartbeat.targets_version, at=at)
        if self._must_fetch_targets(heartbeat, now):
            fetches.append(FetchTargets(after=self._catalogue.version))
        return fetches

    def _must_fetch_targets(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether to ask the sender for changes of targets.

        Who states a newer version than the own one is asked. One that has just started
        may be unable to tell what led to it: then any peer is asked.
        """
        own = self._catalogue.version
        self._stated_version = max(self._stated_version, heartbeat.targets_version)
        if self._stated_version <= own:
            return False
        # Asked before, and not answered yet or in vain.
        is_pending = self._fetched_after == own
        if is_pending and now - self._fetched_at < FETCH_INTERVAL_S:
            return False
        if heartbeat.targets_version <= own and not is_pending:
            return False
        self._fetched_at, self._fetched_after = now, own
        return True

    def note_supports_compression(self, message: SupportsCompression) -> None:
        """Take in that a peer may be asked for the packed configuration."""
        self._exchange.note_supports_compression(message)

    def make_data_centre_report(self, data_centre: str) -> DataCentreReport:
        """Return what this instance, as a hub, tells of a data centre."""
        now = self._read_clock()
        instances = self._members.report_members(data_centre, now=now)
        loads = self._ledger.find_centre_load(data_centre)
        if data_centre == self._own.data_centre:
            instances = (*instances, self._report_own())
            loads = self._ledger.sum_nearby(now=now)
        return DataCentreReport(
            data_centre=data_centre,
            instances=instances,
            loads=_report_loads(loads),
            paces=self._report_paces(now),
        )

    def _report_own(self) -> InstanceReport:
        return InstanceReport(
            name=self._own.name,
            boot=self._own.boot,
            age_ms=0,
            is_alive=True,
            is_ready=self._is_ready(),
            is_leaving=self._is_leaving(),
            is_store_reachable=self._is_store_reachable(),
        )

    def merge_data_centre(self, news: DataCentreReport) -> None:
        """Take in the loads that a hub tells of."""
        if news.data_centre == self._own.data_centre:
            return
        now = self._read_clock()
        loads = _read_loads(news.loads)
        self._ledger.merge_centre(news.data_centre, loads, now=now)
        self._merge_paces(news.paces, now)

    def has_loads(self) -> bool:
        """Return whether requests run here."""
        return self._ledger.has_own()

    def get_loads_revision(self) -> int:
        """Return the number of the last change of the own loads."""
        return self._ledger.own_revision

    def make_fleet_loads(self, after: int) -> tuple[FleetLoads | None, int]:
        """Return the loads that changed after a revision, `None` if none did, and the
        revision now.
        """
        revision = self._ledger.revision
        changes = self._ledger.list_changes(after=after, now=self._read_clock())
        if not changes:
            return None, revision
        report = FleetLoads(
            sender=self._own.name,
            loads=_report_loads(changes),
            included=self._list_included(),
        )
        return report, self._ledger.revision

    def merge_fleet_loads(self, report: FleetLoads) -> bool:
        """Take in a hub's loads; return whether that was possible without all others
        first.
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
        report = HubLoads(
            hub=hub,
            is_full=is_full,
            loads=_read_loads(loads),
            included=own[0].sequence if own else None,
        )
        return self._ledger.merge_fleet(report, now=self._read_clock())

    def _list_included(self) -> tuple[IncludedUpdate, ...]:
        return tuple(
            IncludedUpdate(instance=name, sequence=self._updates[name])
            for name in self._ledger.list_reporters()
            if name in self._updates
        )

    def make_load_update(self) -> LoadUpdate:
        """Return this instance's loads, for the hubs that it follows."""
        snapshot = self._ledger.take_snapshot(self._own.boot)
        return LoadUpdate(
            sender=self._own.name,
            sequence=snapshot.sequence,
            loads=_report_loads(snapshot.loads),
        )

    def merge_load_update(self, update: LoadUpdate) -> None:
        """Take in the loads of a subscriber."""
        self._updates[update.sender] = update.sequence
        loads = _read_loads(update.loads)
        self._ledger.merge_report(update.sender, loads, now=self._read_clock())

    def make_fleet_report(self, told: Revisions) -> tuple[FleetReport, Revisions]:
        """Return what changed of the fleet since a subscriber was told, and up to where
        it is told by that.
        """
        now = self._read_clock()
        heartbeat = self.make_heartbeat(has_loads=False)
        slow = self._members.sees_slow_streams(now=now)
        members = self._members.report_changes(after=told.members, now=now)
        loads = self._ledger.list_changes(after=told.loads, now=now)
        report = FleetReport(
            heartbeat=replace(
                heartbeat, sees_slow_streams=heartbeat.sees_slow_streams or slow
            ),
            is_full=told.loads < 0,
            members=members,
            ages=self._members.report_ages(now=now),
            loads=_report_loads(loads),
            included=self._list_included(),
            losses=tuple(
                FailureReport(target=item.target, for_ms=int((item.until - now) * 1000))
                for item in self._suspicions.list_indirect_failures(now=now)
            ),
            refusing=tuple(self._suspicions.refusals.list_all(now=now)),
        )
        now_told = Revisions(
            members=self._members.revision,
            loads=self._ledger.revision,
            targets=self._catalogue.stated_version,
        )
        return report, now_told

    def make_target_changes(self, after: int) -> TargetChanges | None:
        """Return the changes of targets since a version, `None` if there are none."""
        is_known = self._catalogue.knows_changes(after=after)
        if not is_known or self._catalogue.stated_version <= after:
            return None
        return self._find_target_changes(after)

    def merge_fleet_report(self, report: FleetReport) -> bool:
        """Take in a hub's report; return whether that was possible without a full one.

        Its heartbeat and the instances that it lists are not taken in by that.
        """
        now, hub = self._read_clock(), report.heartbeat.sender.name
        self._merge_losses(report.losses, hub, now)
        self._suspicions.refusals.merge_reports(report.refusing, now=now)
        return self._merge_loads(
            hub, report.loads, report.included, is_full=report.is_full
        )

    def _merge_losses(
        self, losses: Iterable[FailureReport], source: str, now: float
    ) -> None:
        for loss in losses:
            if self._suspicions.record_indirect_failure(
                loss.target, duration_s=loss.for_ms / 1000, now=now
            ):
                log_event("target_unreachable", target=loss.target, source=source)

    def answer(self, fetch: Fetch) -> Answer | None:
        """Return the answer to a peer's fetch, `None` if there is none."""
        if isinstance(fetch, FetchCompressedConfiguration):
            return self._exchange.send_compressed(fetch)
        if isinstance(fetch, FetchConfiguration):
            return self._exchange.send_plain(fetch)
        if not self._catalogue.knows_changes(after=fetch.after):
            return None
        return self._find_target_changes(fetch.after)

    def _find_target_changes(self, after: int) -> TargetChanges:
        rows = tuple(
            RowSnapshot(key=row.name, version=row.version, value=row.value)
            for row in self._catalogue.list_rows(after=after)
        )
        now = self._read_clock()
        return TargetChanges(
            after=after,
            version=self._catalogue.version,
            age_ms=max(0, _count_ms(self._catalogue.confirmed_at, now)),
            rows=rows,
        )

    def note_deferred(self, message: ConfigurationDeferred) -> None:
        """Take in that a peer sends to others first."""
        self._exchange.note_deferred(message)

    def note_received(self, message: ConfigurationReceived) -> None:
        """Take in that a snapshot was received by a peer."""
        self._exchange.note_received(message)

    def note_link_lost(self, peer: str) -> None:
        """The link that a peer dialled has ended, and what was asked on it."""
        self._exchange.note_link_lost(peer)

    def merge_snapshot(self, news: Snapshot) -> None:
        """Take in what a peer answered."""
        if isinstance(news, CompressedConfiguration):
            self._exchange.merge_compressed(news)
            return
        if isinstance(news, ConfigurationSnapshot):
            self._exchange.merge_plain(news)
            return
        now = self._read_clock()
        rows = [
            self._decode_row(
                Row(key=item.key, value=item.value, version=item.version), now=now
            )
            for item in news.rows
        ]
        # Rows changed before `after` may be missing here if this instance has since
        # fallen behind that version; then only the rows themselves are taken.
        is_whole = news.after <= self._catalogue.version
        version = news.version if is_whole else 0
        at = now - news.age_ms / 1000
        self._note_targets(
            self._catalogue.take_changes(rows, version, now=now, confirmed_at=at)
        )


def _report_loads(loads: Mapping[str, Load]) -> tuple[LoadReport, ...]:
    return tuple(
        LoadReport(
            target=target,
            kv=int(load.kv),
            running=load.running,
            first_running=load.first_running,
        )
        for target, load in loads.items()
    )


def _read_loads(reports: Iterable[LoadReport]) -> dict[str, LoadReport]:
    """Return reports by target; no other object is made of each."""
    return {report.target: report for report in reports}


def _count_ms(at: float, now: float) -> int:
    """Return how many ms ago `at` was; `_NEVER_MS` when it never was."""
    return _NEVER_MS if at == float("-inf") else int((now - at) * 1000)
