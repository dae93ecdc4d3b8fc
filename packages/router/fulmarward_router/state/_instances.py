"""Registers this instance in the store and reads the rows of the others."""

import asyncio
import random
from collections.abc import Callable, Iterable

import cbor2

from fulmarward.observability import log_event
from fulmarward_core.identities import MAX_NAME_BYTES, find_fault
from fulmarward_router.mesh import InstanceIdentity, MemberTable
from fulmarward_router.ports import ReplyLost, Row, RowWrite, Store, StoreRefused

#: The store's table with a row for each instance.
INSTANCE_TABLE = "instances"

#: Seconds between two reads of the other instances' rows. New instances dial the others
#: themselves, so a read only finds those that were missed on both sides.
READ_INTERVAL_S = 12.0

#: Seconds before a failed call to the store is retried.
RETRY_INTERVAL_S = 1.0

#: Fraction by which pauses vary, as all instances may start at the same moment.
_JITTER = 0.2


class InstanceRows:
    """Writes this instance's row and discovers the others by theirs."""

    def __init__(
        self,
        *,
        store: Store,
        own: InstanceIdentity,
        members: MemberTable,
        read_clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._own = own
        self._members = members
        self._read_clock = read_clock
        self._started_at = read_clock()
        self._is_withdrawn = False
        #: Versions of the rows that describe no instance, by key.
        self._refused: dict[str, int] = {}

    async def follow(self) -> None:
        """Write the row, and read the others' periodically, until cancelled.

        The row is written again if the store came back from a copy, which may lack it.
        """
        value = _encode_instance(self._own)
        write = RowWrite(table=INSTANCE_TABLE, key=self._own.name, value=value)
        # The era of the store in which the row was written.
        written_era: int | None = None
        is_written, read_at = False, self._read_clock()
        while True:
            has_row = is_written and self._store.era == written_era
            is_written = has_row or self._is_withdrawn
            if is_written and self._members.follows_hubs(now=self._read_clock()):
                # The hubs read the rows and report the instances.
                await _sleep_with_jitter(RETRY_INTERVAL_S)
                continue
            if is_written and self._read_clock() < read_at:
                await _sleep_with_jitter(RETRY_INTERVAL_S)
                continue
            try:
                if not is_written:
                    await self._store.transact([], [write])
                    _log_rewritten(written_era, self._store.era)
                    is_written, written_era = True, self._store.era
                read = await self._store.read_table(INSTANCE_TABLE)
            except (StoreRefused, ReplyLost) as error:
                log_event("instances_read_failed", cause=repr(error))
                await _sleep_with_jitter(RETRY_INTERVAL_S)
                continue
            now = self._read_clock()
            self._members.merge_members(self._decode(read.rows), now=now)
            read_at = now + _vary(READ_INTERVAL_S)

    def _decode(self, rows: Iterable[Row]) -> list[InstanceIdentity]:
        """Return the instances in rows; log each version that describes none once."""
        running_ms = (self._read_clock() - self._started_at) * 1000
        now_ms = self._own.boot + running_ms
        decoded = [(row, _decode_instance(row, now_ms=now_ms)) for row in rows]
        refused = {row.key: row.version for row, item in decoded if _is_fault(item)}
        for row, item in decoded:
            if _is_fault(item) and self._refused.get(row.key) != row.version:
                log_event(
                    "instance_row_refused",
                    key=row.key[:MAX_NAME_BYTES],
                    store_version=row.version,
                    cause=item,
                )
        self._refused = refused
        return [item for _, item in decoded if not _is_fault(item)]

    async def withdraw(self) -> None:
        """Delete this instance's row; a failure of the store is only logged."""
        self._is_withdrawn = True
        write = RowWrite(table=INSTANCE_TABLE, key=self._own.name, value=None)
        try:
            await self._store.transact([], [write])
        except (StoreRefused, ReplyLost) as error:
            log_event("withdrawal_failed", cause=repr(error))


async def _sleep_with_jitter(seconds: float) -> None:
    await asyncio.sleep(_vary(seconds))


def _vary(seconds: float) -> float:
    return seconds * random.uniform(1 - _JITTER, 1 + _JITTER)


def _log_rewritten(before: int | None, era: int | None) -> None:
    if before is not None:
        log_event("instance_row_rewritten", era=era, before=before)


def _is_fault(item: InstanceIdentity | str) -> bool:
    return isinstance(item, str)


def _encode_instance(own: InstanceIdentity) -> bytes:
    fields = [
        own.name,
        own.boot,
        own.data_centre,
        own.peer_address,
        own.caller_address,
    ]
    return cbor2.dumps(fields)


def _decode_instance(row: Row, *, now_ms: float) -> InstanceIdentity | str:
    """Return the instance in a row, or why it describes none."""
    try:
        fields = cbor2.loads(row.value)
    except Exception as error:
        return repr(error)
    fault = find_fault(row.key, fields, now_ms=now_ms)
    if fault is not None:
        return fault.value
    name, boot, data_centre, peer_address, caller_address = fields
    return InstanceIdentity(
        name=name,
        boot=boot,
        data_centre=data_centre,
        peer_address=peer_address,
        caller_address=caller_address,
    )
