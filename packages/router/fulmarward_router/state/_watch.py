"""The tasks that follow the store: the operator's configuration, and the targets."""

import asyncio
import random
from collections.abc import Callable

from fulmarward.observability import log_event
from fulmarward_core.catalogue import (
    KnownRow,
    TargetCatalogue,
    find_confirmed_at,
)
from fulmarward_router.ports import (
    HistoryGone,
    ReplyLost,
    Row,
    RowsRead,
    Store,
    StoreRefused,
)
from fulmarward_router.state._configuration import ConfigurationHolder

#: Seconds for which one call waits for a newer configuration. Short enough to notice a
#: silent connection before the configuration is to be in force.
CONFIGURATION_WAIT_S = 1.8

#: The same after a change: only a call that ends without one confirms that there is
#: nothing newer.
RECHECK_WAIT_S = 0.2

#: Seconds between two readings of the targets' changes; each call is paid for.
TARGETS_INTERVAL_S = 0.4

#: Seconds between two checks whether this instance is to read by itself, by whether
#: there are many instances.
_CHECK_INTERVAL_S = {False: 0.1, True: 0.3}

#: Seconds for which a reading of the targets waits when nothing changed.
TARGETS_WAIT_S = 0.6

#: Instances that read the targets for all; with two, one death delays nothing.
READERS = 2

#: Seconds without confirmed news after which an instance reads by itself, and the
#: heartbeats for which it waits besides: on the way from a reader, where all are linked
#: to all and where hubs pass news on.
STALE_S = 0.65
_STALE_HEARTBEATS = 1.5
_STALE_HEARTBEATS_BY_HUBS = 4.0

#: Instances that wait for the configuration at the store where there are many: each is
#: sent the row uncompressed.
CONFIGURATION_READERS = 4

#: Seconds before the store is tried again after it was out, growing to the maximum.
RETRY_S = 0.15
MAX_RETRY_INTERVAL_S = 0.6


class StoreWatch:
    """Follows the store's tables and notes whether the store answers."""

    def __init__(
        self,
        *,
        store: Store,
        configuration: ConfigurationHolder,
        catalogue: TargetCatalogue,
        read_clock: Callable[[], float],
        note_change: Callable[[], None],
        note_targets: Callable[[list[KnownRow]], None],
        is_among_first: Callable[[int], bool],
        is_large: Callable[[], bool],
        read_heartbeat_interval_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._catalogue = catalogue
        self._read_clock = read_clock
        self._note_change = note_change
        self._note_news = note_targets
        self._is_among_first = is_among_first
        self._is_large = is_large
        self._read_heartbeat_interval_s = read_heartbeat_interval_s
        self._is_out: dict[str, bool] = {}
        #: Since when the store does not answer, `None` while it does.
        self.out_since: float | None = None

    async def follow_configuration(self) -> None:
        """Keep the configuration in force as new as the store's, until cancelled."""
        table = self._store.configuration_table
        version: int | None = None
        pause_s = RETRY_S
        has_changes = False
        while True:
            if version is not None and not self._must_wait():
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
            except HistoryGone:
                log_event("history_gone", table=table, version=version)
                version = None
                continue
            except (StoreRefused, ReplyLost) as error:
                self._note_out(table, error)
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(MAX_RETRY_INTERVAL_S, pause_s * 2)
                continue
            pause_s = RETRY_S
            self._note_in(table)
            has_changes = version is None or bool(read.rows)
            version = read.version
            confirmed_at = find_confirmed_at(
                asked_at=asked_at,
                wait_s=wait_s,
                has_changes=has_changes,
                now=self._read_clock(),
            )
            self._merge_configuration(read, confirmed_at)

    def _merge_configuration(self, read: RowsRead, confirmed_at: float) -> None:
        now = self._read_clock()
        self._configuration.record_confirmation(at=confirmed_at)
        taken = [
            self._configuration.take_row(row, source="store", now=now)
            for row in read.rows
        ]
        if any(taken):
            self._note_change()

    async def follow_targets(self) -> None:
        """Keep the catalogue current, by reading or by waiting for peers' news."""
        pause_s = RETRY_S
        is_whole = False
        while True:
            if is_whole and not self._must_read():
                await asyncio.sleep(_CHECK_INTERVAL_S[self._is_large()])
                continue
            try:
                if is_whole:
                    await self._read_changes()
                else:
                    await self._read_all()
                is_whole = True
            except HistoryGone:
                log_event(
                    "history_gone",
                    table=self._store.targets_table,
                    version=self._catalogue.version,
                )
                is_whole = False
                continue
            except (StoreRefused, ReplyLost) as error:
                self._note_out(self._store.targets_table, error)
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(MAX_RETRY_INTERVAL_S, pause_s * 2)
                continue
            pause_s = RETRY_S
            self._note_in(self._store.targets_table)
            await asyncio.sleep(TARGETS_INTERVAL_S)

    def _must_read(self) -> bool:
        is_stale = self._is_stale(self._catalogue.confirmed_at)
        return is_stale or self._is_among_first(READERS)

    def _must_wait(self) -> bool:
        """Whether this instance waits at the store for the configuration itself."""
        if not self._is_large() or self._is_among_first(CONFIGURATION_READERS):
            return True
        # A reader confirms the configuration as often as its call ends.
        return self._is_stale(self._configuration.confirmed_at + CONFIGURATION_WAIT_S)

    def _is_stale(self, confirmed_at: float) -> bool:
        heartbeats = (
            _STALE_HEARTBEATS_BY_HUBS if self._is_large() else _STALE_HEARTBEATS
        )
        limit_s = STALE_S + heartbeats * self._read_heartbeat_interval_s()
        return self._read_clock() - confirmed_at > limit_s

    async def _read_all(self) -> None:
        read = await self._store.read_table(self._store.targets_table)
        now = self._read_clock()
        rows = [self.decode_row(row, now=now) for row in read.rows]
        self._catalogue.take_all(rows, read.version, now=now)
        log_event("targets_read", rows=len(rows), store_version=read.version)
        self._note_news(rows)

    async def _read_changes(self) -> None:
        read = await self._store.follow_table(
            self._store.targets_table, self._catalogue.version, TARGETS_WAIT_S
        )
        now = self._read_clock()
        rows = [self.decode_row(row, now=now) for row in read.rows]
        self._note_news(self._catalogue.take_changes(rows, read.version, now=now))

    def decode_row(self, row: Row, *, now: float) -> KnownRow:
        """Return a row of the targets' table as the catalogue keeps it."""
        return KnownRow(
            name=row.key,
            version=row.version,
            value=row.value,
            record=self._store.decode_target(row),
            heard_at=now,
        )

    def _note_out(self, table: str, error: Exception) -> None:
        now = self._read_clock()
        if not self._is_out.get(table):
            log_event("store_lost", table=table, cause=repr(error))
        self._is_out[table] = True
        if self.out_since is None:
            self.out_since = now

    def _note_in(self, table: str) -> None:
        if self._is_out.get(table):
            log_event("store_regained", table=table)
        self._is_out[table] = False
        if not any(self._is_out.values()):
            self.out_since = None
