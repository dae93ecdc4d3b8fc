"""Tasks that follow the store's tables of the configuration and of the targets."""

import asyncio
import random
from collections.abc import Callable

from fulmarward.observability import log_event
from fulmarward_core.catalogue import (
    KnownRow,
    TargetCatalogue,
    find_confirmed_at,
)
from fulmarward_core.fleet import RowFault
from fulmarward_core.store_versions import find_era
from fulmarward_router._supervision import log_failure
from fulmarward_router.ports import (
    HistoryExpired,
    ReplyLost,
    Row,
    RowsRead,
    Store,
    StoreRefused,
)
from fulmarward_router.state._configuration import ConfigurationHolder

#: Seconds for which one call waits for a newer configuration. It is short enough to
#: detect a silent connection before a new configuration must be in force.
CONFIGURATION_WAIT_S = 1.8

#: The same for the call after a change: only a call that returns no change confirms
#: that there is nothing newer.
RECHECK_WAIT_S = 0.2

#: Seconds between two reads of the targets' changes, as each call to the store is paid
#: for.
TARGETS_INTERVAL_S = 0.4

#: Seconds between two checks whether this instance must read the store itself, by
#: whether the fleet is large.
_CHECK_INTERVAL_S = {False: 0.1, True: 0.3}

#: Seconds for which a read of the targets waits for a change.
TARGETS_WAIT_S = 0.6

#: Instances that read the targets for the whole fleet. With two, the failure of one
#: delays nothing.
READERS = 2

#: Seconds without a confirmation after which an instance reads the store itself, plus
#: the heartbeats that a confirmation takes to arrive from a reader: in a full mesh, and
#: through hubs.
STALE_S = 0.65
_STALE_HEARTBEATS = 1.5
_STALE_HEARTBEATS_BY_HUBS = 4.0

#: Instances that follow the configuration at the store in a large fleet. Their number
#: is limited because the store sends the row uncompressed to each.
CONFIGURATION_READERS = 4

#: Seconds before a failed call to the store is retried; doubled up to the maximum.
RETRY_S = 0.15
MAX_RETRY_INTERVAL_S = 0.6

#: The same for an instance of a large fleet that is no reader. The readers notice first
#: that the store answers again, and confirm what it knows before its next call.
MAX_FOLLOWER_RETRY_INTERVAL_S = 2.4

#: Maximum characters of the key of a row in a log line.
MAX_LOGGED_KEY = 200


class StoreWatch:
    """Follows the store's tables and tracks whether the store is reachable."""

    def __init__(
        self,
        *,
        store: Store,
        configuration: ConfigurationHolder,
        catalogue: TargetCatalogue,
        read_clock: Callable[[], float],
        notify_peers: Callable[[], None],
        handle_target_changes: Callable[[list[KnownRow]], None],
        is_among_first: Callable[[int], bool],
        is_large: Callable[[], bool],
        read_heartbeat_interval_s: Callable[[], float],
        handle_restored: Callable[[], None] = lambda: None,
        record_failure: Callable[..., object] = log_failure,
    ) -> None:
        #: Records an unforeseen error in a duty.
        self._record_failure = record_failure
        self._store = store
        self._configuration = configuration
        self._catalogue = catalogue
        self._read_clock = read_clock
        self._notify_peers = notify_peers
        self._handle_target_changes = handle_target_changes
        self._is_among_first = is_among_first
        self._is_large = is_large
        self._read_heartbeat_interval_s = read_heartbeat_interval_s
        #: Called when the targets were read anew from a restored store.
        self._handle_restored = handle_restored
        self._has_outage: dict[str, bool] = {}
        #: Since when the store has been unreachable, `None` while it answers.
        self.unreachable_since: float | None = None
        #: The store's era, `None` before the first, and since when it is known.
        self.era: int | None = None
        self.era_since = float("-inf")
        #: How often the era has risen.
        self.restores = 0

    async def follow_configuration(self) -> None:
        """Keep the configuration up to date with the store, until cancelled."""
        table = self._store.configuration_table
        version: int | None = None
        pause_s = RETRY_S
        has_changes = False
        has_expired = False
        while True:
            self._note_known_era()
            if version is not None and not self._must_follow_configuration():
                await asyncio.sleep(_CHECK_INTERVAL_S[self._is_large()])
                continue
            asked_at = self._read_clock()
            wait_s = 0.0
            try:
                if version is None:
                    read = await self._store.read_table(table)
                else:
                    wait_s = RECHECK_WAIT_S if has_changes else CONFIGURATION_WAIT_S
                    read = await self._store.follow_table(table, version, wait_s)
            except HistoryExpired:
                self._record_era()
                log_event("history_expired", table=table, version=version, era=self.era)
                version = None
                if has_expired:
                    await asyncio.sleep(RETRY_S)
                has_expired = True
                continue
            except (StoreRefused, ReplyLost) as error:
                self._record_outage(table, error)
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = self._lengthen_pause(
                    pause_s, readers=CONFIGURATION_READERS, is_known=version is not None
                )
                continue
            pause_s = RETRY_S
            has_expired = wait_s == 0.0 and has_expired
            self._record_success(table)
            has_changes = version is None or bool(read.rows)
            version = read.version
            confirmed_at = find_confirmed_at(
                asked_at=asked_at,
                wait_s=wait_s,
                has_changes=has_changes,
                now=self._read_clock(),
            )
            await self._merge_configuration(read, confirmed_at)

    async def _merge_configuration(self, read: RowsRead, confirmed_at: float) -> None:
        """Apply the rows of a read, also those after one that fails.

        Raises the first error, after which the whole table is read again.
        """
        errors = []
        has_adopted = False
        for row in read.rows:
            try:
                has_adopted |= await self._configuration.apply_row(row, source="store")
            except Exception as error:
                errors.append(error)
        if has_adopted:
            self._notify_peers()
        if errors:
            raise errors[0]
        # What was read is in force only now.
        self._configuration.record_confirmation(at=confirmed_at)

    async def follow_targets(self) -> None:
        """Keep the catalogue up to date, by reads or by peers' reports."""
        pause_s = RETRY_S
        is_complete = has_expired = False
        while True:
            self._note_known_era()
            if is_complete and not self._must_read_targets():
                await asyncio.sleep(_CHECK_INTERVAL_S[self._is_large()])
                continue
            try:
                if is_complete:
                    await self._read_changes()
                    has_expired = False
                else:
                    await self._read_all()
                is_complete = True
            except HistoryExpired:
                self._record_era()
                log_event(
                    "history_expired",
                    table=self._store.targets_table,
                    version=self._catalogue.version,
                    era=self.era,
                )
                is_complete = False
                if has_expired:
                    await asyncio.sleep(RETRY_S)
                has_expired = True
                continue
            except (StoreRefused, ReplyLost) as error:
                self._record_outage(self._store.targets_table, error)
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = self._lengthen_pause(
                    pause_s, readers=READERS, is_known=is_complete
                )
                continue
            pause_s = RETRY_S
            self._record_success(self._store.targets_table)
            # An answer that was delayed may already be outdated.
            is_stale = self._is_stale(self._catalogue.confirmed_at)
            await asyncio.sleep(RETRY_S if is_stale else TARGETS_INTERVAL_S)

    def _lengthen_pause(self, pause_s: float, *, readers: int, is_known: bool) -> float:
        """Return the pause after the next failed call to the store.

        Without a table, an instance cannot serve, and reads as often as a reader.
        """
        is_follower = (
            is_known and self._is_large() and not self._is_among_first(readers)
        )
        limit_s = MAX_FOLLOWER_RETRY_INTERVAL_S if is_follower else MAX_RETRY_INTERVAL_S
        return min(limit_s, pause_s * 2)

    def _must_read_targets(self) -> bool:
        is_stale = self._is_stale(self._catalogue.confirmed_at)
        return is_stale or self._is_among_first(READERS)

    def _must_follow_configuration(self) -> bool:
        """Return whether this instance follows the configuration at the store."""
        if not self._is_large() or self._is_among_first(CONFIGURATION_READERS):
            return True
        # A reader confirms the configuration only when its call returns.
        return self._is_stale(self._configuration.confirmed_at + CONFIGURATION_WAIT_S)

    def _is_stale(self, confirmed_at: float) -> bool:
        heartbeats = (
            _STALE_HEARTBEATS_BY_HUBS if self._is_large() else _STALE_HEARTBEATS
        )
        limit_s = STALE_S + heartbeats * self._read_heartbeat_interval_s()
        return self._read_clock() - confirmed_at > limit_s

    async def _read_all(self) -> None:
        asked_at = self._read_clock()
        before = self._catalogue.version
        read = await self._store.read_table(self._store.targets_table)
        now = self._read_clock()
        rows = [self._try_decode(row, now=now) for row in read.rows]
        changed = self._catalogue.apply_full_read(
            rows, read.version, now=now, confirmed_at=asked_at
        )
        self._record_era()
        log_event(
            "targets_read",
            rows=len(rows),
            store_version=read.version,
            era=self.era,
            changed=len(changed),
            is_applied=self._catalogue.version == read.version,
        )
        self._handle_target_changes(changed)
        if 0 < before and find_era(before) < find_era(self._catalogue.version):
            self._log_kept(read)
            self._handle_restored()

    def _log_kept(self, read: RowsRead) -> None:
        """Log which targets stay as known although a copy says otherwise."""
        kept = self._catalogue.list_kept_rows()
        if kept:
            log_event(
                "targets_kept",
                store_version=read.version,
                targets=[row.name for row in kept],
            )

    async def _read_changes(self) -> None:
        # An outdated catalogue needs the changes so far, not the next one.
        is_stale = self._is_stale(self._catalogue.confirmed_at)
        wait_s = 0.0 if is_stale else TARGETS_WAIT_S
        asked_at = self._read_clock()
        read = await self._store.follow_table(
            self._store.targets_table, self._catalogue.version, wait_s
        )
        now = self._read_clock()
        confirmed_at = find_confirmed_at(
            asked_at=asked_at,
            wait_s=wait_s,
            has_changes=bool(read.rows),
            now=now,
        )
        rows = [self._try_decode(row, now=now) for row in read.rows]
        self._handle_target_changes(
            self._catalogue.apply_changes(
                rows, read.version, now=now, confirmed_at=confirmed_at
            )
        )

    def _try_decode(self, row: Row, *, now: float) -> KnownRow:
        """Decode a row; one that leads to an unforeseen error describes no target."""
        try:
            return self.decode_row(row, now=now)
        except Exception as error:
            self._record_failure("targets", error, key=row.key[:MAX_LOGGED_KEY])
        return KnownRow(
            name=row.key,
            version=row.version,
            value=row.value,
            record=None,
            heard_at=now,
        )

    def decode_row(self, row: Row, *, now: float) -> KnownRow:
        """Return a row of the targets' table in the form that the catalogue stores."""
        decoded = self._store.decode_target(row)
        is_fault = isinstance(decoded, RowFault)
        return KnownRow(
            name=row.key,
            version=row.version,
            value=row.value,
            record=None if is_fault else decoded,
            heard_at=now,
            fault=decoded if is_fault else None,
        )

    def _record_outage(self, table: str, error: Exception) -> None:
        now = self._read_clock()
        self._catalogue.record_store_out(at=now)
        if not self._has_outage.get(table):
            log_event("store_lost", table=table, cause=repr(error))
        self._has_outage[table] = True
        if self.unreachable_since is None:
            self.unreachable_since = now

    def _note_known_era(self) -> None:
        """Record an era that this instance has learned from a peer."""
        self._store.note_era(find_era(self._catalogue.version))
        self._record_era()

    def _record_era(self) -> None:
        """Record the era that the store's last answers have named."""
        before, self.era = self.era, self._store.era
        if self.era == before:
            return
        self.era_since = self._read_clock()
        if before is None:
            log_event("store_era_known", era=self.era)
            return
        self.restores += 1
        log_event(
            "store_restored",
            era=self.era,
            before=before,
            configuration=self._configuration.version,
            targets_version=self._catalogue.version,
        )

    def _record_success(self, table: str) -> None:
        self._record_era()
        if self._has_outage.get(table):
            log_event("store_regained", table=table)
        self._has_outage[table] = False
        if not any(self._has_outage.values()):
            self.unreachable_since = None
