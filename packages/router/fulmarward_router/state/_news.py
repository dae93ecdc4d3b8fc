"""What an instance tells its peers, and what it takes from them."""

import bisect
from collections.abc import Callable, Iterable, Mapping

from fulmarward.observability import log_event
from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.loads import Load, LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.spread import (
    FetchTimeout,
    PendingFetch,
    TransferLimiter,
    pack_value,
    unpack_value,
)
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
    Heartbeat,
    InstanceIdentity,
    InstanceReport,
    LoadReport,
    MemberTable,
    PaceReport,
    RowSnapshot,
    Snapshot,
    SupportsCompression,
    TargetChanges,
)
from fulmarward_router.ports import Row
from fulmarward_router.state._configuration import ConfigurationHolder

#: Seconds between two fetches of targets' changes.
FETCH_INTERVAL_S = 0.2

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
        self._fetched_at = float("-inf")
        #: Newest version of the targets that a peer stated.
        self._stated_version = 0
        self._fetch = PendingFetch()
        self._transfers = TransferLimiter()
        #: Start time (ms since 1970) of each peer that accepts compressed ones.
        self._supports_compression: dict[str, int] = {}
        #: Plain rows sent to peers that have not said who they are.
        self._plain_transfers = 0
        #: The row in force as it travels, once a peer has asked for it.
        self._packed: tuple[Row, bytes | None] | None = None

    def make_heartbeat(self, *, has_loads: bool = True) -> Heartbeat:
        """Return this instance's heartbeat, with its load or without."""
        now = self._read_clock()
        loads = _report_loads(self._ledger.list_own() if has_loads else {})
        losses = tuple(
            FailureReport(target=item.target, for_ms=int((item.until - now) * 1000))
            for item in self._suspicions.list_lost(now=now)
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
        hold a duty that it cannot do.
        """
        if self._is_leaving() or not self._is_store_reachable():
            return False
        others = self._members.list_acting(now=self._read_clock())
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
        self._ledger.merge_report(
            heartbeat.sender.name, _read_loads(heartbeat.loads), now=now
        )
        for loss in heartbeat.losses:
            if self._suspicions.note_told(
                loss.target, for_s=loss.for_ms / 1000, now=now
            ):
                log_event(
                    "target_lost", target=loss.target, source=heartbeat.sender.name
                )
        self._suspicions.refusals.merge_reports(heartbeat.refusing, now=now)
        self._merge_paces(heartbeat.paces, now)
        fetches: list[Fetch] = []
        own = self._configuration.version
        if heartbeat.configuration_version > own:
            if self._must_fetch(heartbeat, now):
                fetches.append(self._make_fetch(heartbeat.sender, own))
        elif (
            heartbeat.configuration_version == own
            and heartbeat.configuration_age_ms >= 0
        ):
            at = now - heartbeat.configuration_age_ms / 1000
            holder = self._configuration
            holder.confirmed_at = max(holder.confirmed_at, at)
        if heartbeat.targets_age_ms >= 0:
            at = now - heartbeat.targets_age_ms / 1000
            self._catalogue.confirm(heartbeat.targets_version, at=at)
        if self._must_fetch_targets(heartbeat, now):
            fetches.append(FetchTargets(after=self._catalogue.version))
        return fetches

    def _must_fetch_targets(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether to ask the sender for changes of targets.

        Whoever states the newest version may be unable to tell what led to it, having
        just started: any peer is asked until all changes up to it are known.
        """
        self._stated_version = max(self._stated_version, heartbeat.targets_version)
        if self._stated_version <= self._catalogue.version:
            return False
        if now - self._fetched_at < FETCH_INTERVAL_S:
            return False
        self._fetched_at = now
        return True

    def _make_fetch(self, peer: InstanceIdentity, version: int) -> Fetch:
        """Return the fetch of the configuration that a peer understands."""
        if self._supports_compression.get(peer.name) == peer.boot:
            return FetchCompressedConfiguration(sender=self._own.name, version=version)
        return FetchConfiguration(version=version)

    def note_supports_compression(self, message: SupportsCompression) -> None:
        """Take in that a peer may be asked for the packed configuration."""
        self._supports_compression[message.sender] = message.boot

    def _must_fetch(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether to fetch the newer version that the sender reports."""
        peer, own = heartbeat.sender.name, self._configuration.version
        _log_fetch_timeout(
            self._fetch.give_up(known=own, now=now), cause="no newer version came"
        )
        if not self._fetch.ask(peer, known=own, now=now):
            return False
        log_event(
            "configuration_requested",
            peer=peer,
            version=heartbeat.configuration_version,
            known=own,
        )
        return True

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

    def answer(self, fetch: Fetch) -> Answer | None:
        """Return the answer to a peer's fetch, `None` if there is none."""
        if isinstance(fetch, FetchCompressedConfiguration):
            return self._send_compressed(fetch)
        if isinstance(fetch, FetchConfiguration):
            return self._send_plain(fetch)
        if not self._catalogue.knows_changes(after=fetch.after):
            return None
        rows = tuple(
            RowSnapshot(key=row.name, version=row.version, value=row.value)
            for row in self._catalogue.list_rows(after=fetch.after)
        )
        now = self._read_clock()
        return TargetChanges(
            after=fetch.after,
            version=self._catalogue.version,
            age_ms=max(0, _count_ms(self._catalogue.confirmed_at, now)),
            rows=rows,
        )

    def _send_compressed(self, fetch: FetchCompressedConfiguration) -> Answer | None:
        row = self._find_newer(fetch.version)
        if row is None:
            return None
        packed = self._pack(row)
        size = len(packed or b"")
        if not self._transfers.begin(fetch.sender, size, now=self._read_clock()):
            return ConfigurationDeferred(sender=self._own.name)
        self._log_transfer(row, fetch.sender, known=fetch.version, packed=size)
        return CompressedConfiguration(key=row.key, version=row.version, packed=packed)

    def _send_plain(self, fetch: FetchConfiguration) -> Answer | None:
        """Return the row as code reads it that understands no packed one.

        Such a peer says neither who it is nor that the row has come, and asks again
        when it has no answer. Guards against a link that is full with such rows.
        """
        row = self._find_newer(fetch.version)
        if row is None:
            return None
        size = len(row.value or b"")
        self._plain_transfers += 1
        peer = f"unpacked {self._plain_transfers}"
        if not self._transfers.begin(peer, size, now=self._read_clock()):
            return None
        self._log_transfer(row, "", known=fetch.version, packed=size)
        return ConfigurationSnapshot(
            row=RowSnapshot(key=row.key, version=row.version, value=row.value)
        )

    def _find_newer(self, version: int) -> Row | None:
        """Return the row in force if it is newer than a version."""
        return (
            self._configuration.row if self._configuration.version > version else None
        )

    def _log_transfer(self, row: Row, peer: str, *, known: int, packed: int) -> None:
        log_event(
            "configuration_sent",
            peer=peer,
            version=self._configuration.version,
            known=known,
            size=len(row.value or b""),
            packed=packed,
        )

    def _pack(self, row: Row) -> bytes | None:
        """Return the bytes of the row in force as they travel, packed once."""
        if self._packed is None or self._packed[0] is not row:
            packed = None if row.value is None else pack_value(row.value)
            self._packed = (row, packed)
        return self._packed[1]

    def note_deferred(self, message: ConfigurationDeferred) -> None:
        """Take in that a peer sends to others first."""
        self._fetch.note_deferred(message.sender, now=self._read_clock())
        log_event("configuration_deferred", peer=message.sender)

    def note_received(self, message: ConfigurationReceived) -> None:
        """Take in that a snapshot was received by a peer."""
        self._transfers.end(message.sender)

    def note_link_lost(self, peer: str) -> None:
        """The link that a peer dialled has ended, and what was asked on it."""
        self._transfers.end(peer)
        given_up = self._fetch.note_lost(
            peer, known=self._configuration.version, now=self._read_clock()
        )
        _log_fetch_timeout(given_up, cause="its link ended")

    def merge_snapshot(self, news: Snapshot) -> None:
        """Take in what a peer answered."""
        now = self._read_clock()
        if isinstance(news, CompressedConfiguration):
            self._merge_compressed(news, now)
            return
        if isinstance(news, ConfigurationSnapshot):
            snapshot = news.row
            row = Row(key=snapshot.key, value=snapshot.value, version=snapshot.version)
            self._merge_configuration(row, now)
            return
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

    def _merge_compressed(self, news: CompressedConfiguration, now: float) -> None:
        """Put what a peer sent in force; wrong bytes change nothing."""
        try:
            value = None if news.packed is None else unpack_value(news.packed)
        except ValueError as error:
            log_event(
                "configuration_refused",
                store_version=news.version,
                source="peer",
                cause=str(error),
            )
            return
        row = Row(key=news.key, value=value, version=news.version)
        self._merge_configuration(row, now)

    def _merge_configuration(self, row: Row, now: float) -> None:
        if self._configuration.take_row(row, source="peer", now=now):
            self._note_change()


def _log_fetch_timeout(given_up: FetchTimeout | None, *, cause: str) -> None:
    if given_up is not None:
        log_event(
            "configuration_fetch_timed_out",
            peer=given_up.peer,
            after_s=round(given_up.after_s, 3),
            cause=cause,
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
