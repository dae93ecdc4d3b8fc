"""Keeps blocked patterns in the store, for when all instances stop at once."""

import asyncio
import random
from collections.abc import Callable, Sequence

import cbor2

from fulmarward.observability import log_event
from fulmarward_core.poison import BLOCK_RETENTION_S, is_block_row
from fulmarward_core.store_versions import find_era, make_store_version
from fulmarward_router.mesh import CrashReport, PatternReport
from fulmarward_router.ports import (
    Conflict,
    HistoryExpired,
    ReplyLost,
    Row,
    RowCondition,
    RowsRead,
    RowWrite,
    Store,
    StoreRefused,
)
from fulmarward_router.state._poison import PoisonKnowledge

#: The store's table with a row for each blocked pattern.
POISON_TABLE = "poison"

#: Seconds before a failed call to the store is retried.
RETRY_INTERVAL_S = 1.0

#: Maximum characters of the key of a refused row in a log line.
MAX_LOGGED_KEY = 200

#: Milliseconds between the crashes of a pattern that is read, whose times are not kept.
_CRASH_SPACING_MS = 1000


class PoisonRows:
    """Reads the rows once and writes those of patterns whose block changes.

    Writes those again that the store lost as it came back from a copy.
    """

    def __init__(
        self,
        *,
        store: Store,
        poison: PoisonKnowledge,
        read_wall_clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._poison = poison
        #: Returns seconds since 1970, which outlast the process.
        self._read_wall_clock = read_wall_clock
        self._changed = asyncio.Queue[str]()

    def record_changed(self, patterns: Sequence[str]) -> None:
        """Write the rows of patterns soon that this instance blocked or accepted."""
        for pattern in patterns:
            self._changed.put_nowait(pattern)

    async def run(self) -> None:
        """Read all rows, then write those that change, until cancelled."""
        while not await self._read():
            await asyncio.sleep(RETRY_INTERVAL_S)
        era = self._store.era
        while True:
            try:
                async with asyncio.timeout(RETRY_INTERVAL_S):
                    pattern = await self._changed.get()
            except TimeoutError:
                if era != self._store.era and await self._write_lost():
                    era = self._store.era
                continue
            await self._write_until_stored(pattern)

    async def _write_until_stored(self, pattern: str) -> None:
        """Write the row of a pattern; after an error, the other patterns come first."""
        try:
            while not await self._write(pattern):
                await asyncio.sleep(RETRY_INTERVAL_S)
        except BaseException:
            self._changed.put_nowait(pattern)
            raise

    async def _write_lost(self) -> bool:
        """Correct the rows of a restored store; return whether it answered.

        All instances do so. Conditions leave the rows that another has just written.
        """
        blocked = {
            pattern
            for finding in self._poison.findings
            for pattern in finding.patterns
            if self._poison.is_blocked(pattern)
        }
        if not blocked:
            return True
        await asyncio.sleep(random.uniform(0.0, RETRY_INTERVAL_S / 2))
        try:
            read = await self._store.read_table(POISON_TABLE)
            for pattern in sorted(blocked - {row.key for row in read.rows}):
                await self._write_if_absent(pattern, read)
        except (StoreRefused, ReplyLost, HistoryExpired) as error:
            log_event("poison_rows_read_failed", cause=repr(error))
            return False
        return True

    async def _write_if_absent(self, pattern: str, read: RowsRead) -> None:
        condition = RowCondition(
            table=POISON_TABLE,
            key=pattern,
            version=make_store_version(find_era(read.version), 0),
        )
        write = RowWrite(
            table=POISON_TABLE, key=pattern, value=self._encode_block(pattern)
        )
        outcome = await self._store.transact([condition], [write])
        if not isinstance(outcome, Conflict):
            log_event("poison_row_written", pattern=pattern, is_blocked=True)

    def _encode_block(self, pattern: str) -> bytes:
        [report] = self._poison.make_reports([pattern])
        return _encode_row(report, now=self._read_wall_clock())

    async def _read(self) -> bool:
        """Merge all rows; return whether the store answered."""
        try:
            read = await self._store.read_table(POISON_TABLE)
        except (StoreRefused, ReplyLost) as error:
            log_event("poison_rows_read_failed", cause=repr(error))
            return False
        now = self._read_wall_clock()
        reports = [_decode_row(row, now=now) for row in read.rows]
        known = [report for report in reports if report is not None]
        self._poison.merge(known, source="store", delay_s=0.0)
        # All that is blocked is known now, also if all instances start together and
        # none has records for the others.
        self._poison.record_current()
        return True

    async def _write(self, pattern: str) -> bool:
        """Write or remove the row of a pattern; return whether the store answered."""
        value = None
        if self._poison.is_blocked(pattern):
            value = self._encode_block(pattern)
        write = RowWrite(table=POISON_TABLE, key=pattern, value=value)
        try:
            await self._store.transact([], [write])
        except (StoreRefused, ReplyLost) as error:
            log_event("poison_row_write_failed", pattern=pattern, cause=repr(error))
            return False
        log_event("poison_row_written", pattern=pattern, is_blocked=value is not None)
        return True


def _encode_row(report: PatternReport, *, now: float) -> bytes:
    crashes = [
        [crash.target, crash.team, crash.is_strong, crash.is_trusted]
        for crash in report.crashes
        if not crash.is_cleared
    ]
    return cbor2.dumps([now, crashes])


def _decode_row(row: Row, *, now: float) -> PatternReport | None:
    """Return the records in a row, `None` if it is malformed or too old."""
    try:
        fields = cbor2.loads(row.value)
    except Exception as error:
        return _refuse(row, cause=repr(error))
    if not is_block_row(row.key, fields):
        return _refuse(row, cause="expected a time and crashes")
    written_at, items = fields
    age_s = max(0, now - written_at)
    if age_s > BLOCK_RETENTION_S:
        return None
    crashes = tuple(
        CrashReport(
            target=target,
            team=team,
            age_ms=int(age_s * 1000) + number * _CRASH_SPACING_MS,
            is_strong=is_strong,
            is_trusted=is_trusted,
            is_cleared=False,
        )
        for number, (target, team, is_strong, is_trusted) in enumerate(items)
    )
    return PatternReport(
        pattern=row.key, seen_age_ms=int(age_s * 1000), crashes=crashes
    )


def _refuse(row: Row, *, cause: str) -> None:
    log_event("poison_row_refused", pattern=row.key[:MAX_LOGGED_KEY], cause=cause)
