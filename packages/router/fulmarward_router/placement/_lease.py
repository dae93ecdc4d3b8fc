"""The lease that allows one instance to send layer orders, kept in a store row."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import asdict

import orjson

from fulmarward.observability import log_event
from fulmarward_core.leases import (
    ABSENT_LEASE,
    UNKNOWN_LEASE,
    Lease,
    LeaseEvent,
    LeaseRead,
    LeaseState,
    LeaseTerms,
    LeaseWritten,
    Phase,
    ReplyLost as WriteLost,
    Step,
    StepKind,
    StoreUnavailable,
    abandon_lease,
    apply_event,
    choose_step,
    may_order,
    may_order_in_outage,
    read_lease,
    record_write,
    update_store_state,
)
from fulmarward_core.store_versions import find_era, make_store_version
from fulmarward_router.ports import (
    Committed,
    HistoryExpired,
    ReplyLost,
    Row,
    RowCondition,
    RowWrite,
    Store,
    StoreRefused,
)

LEASE_TABLE = "leases"
LEASE_KEY = "placement"

#: Duration of the lease. A shorter one costs more store calls for renewals; a longer
#: one leaves gaps open when the holder is killed while layers are missing. Three
#: seconds cost one call per second, and a successor takes over three seconds after it
#: first reads the row.
TERMS = LeaseTerms(term_s=3.0)

#: Seconds between two checks of local state, and before the next attempt after the
#: store did not respond.
CHECK_INTERVAL_S = 0.5
OUTAGE_RETRY_DELAY_S = 1.0


class LeaseKeeper:
    """Acquires the lease when it is free and wanted by this instance, and renews it."""

    def __init__(
        self,
        *,
        store: Store,
        name: str,
        boot: int,
        is_wanted: Callable[[], bool],
        is_store_out: Callable[[], bool],
        has_ended: Callable[[str, int], bool],
        read_clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._boot = boot
        self._is_wanted = is_wanted
        #: Returns whether the store is unreachable from every instance.
        self._is_store_out = is_store_out
        #: Returns whether the process of an instance that started at that time (`boot`)
        #: has ended.
        self._has_ended = has_ended
        #: Whether orders are sent under a lease that expired during a store outage.
        self._is_held_over = False
        self._read_clock = read_clock
        #: Version of the last row that holds no lease.
        self._refused_version: int | None = None
        self._state = LeaseState(own_name=name, own_boot=boot)

    @property
    def fencing(self) -> int:
        """The fencing number that orders carry."""
        return self._state.fencing

    @property
    def holder(self) -> str:
        """Name of the last known holder, empty when there is none."""
        return self._state.lease.holder

    def is_held(self) -> bool:
        """Return whether orders may be sent now. Call it right before each order."""
        now = self._read_clock()
        if may_order(self._state, now=now):
            self._is_held_over = False
            return True
        is_out = self._is_store_out()
        self._state = update_store_state(self._state, is_out=is_out, now=now)
        is_held_over = is_out and may_order_in_outage(self._state)
        if is_held_over and not self._is_held_over:
            log_event("lease_held_over", fencing=self.fencing)
        self._is_held_over = is_held_over
        return is_held_over

    def abandon(self) -> None:
        """Stop treating this instance as the holder, and read the row again."""
        self._state = abandon_lease(self._state)

    async def run(self) -> None:
        """Keep or watch the lease until cancelled."""
        try:
            while True:
                await asyncio.sleep(await self._step())
        except BaseException:
            # The outcome of a write may be unknown, and nothing renews the lease now.
            self.abandon()
            raise

    async def _step(self) -> float:
        now = self._read_clock()
        wanted = self._is_wanted()
        if not wanted and not self.is_held():
            return CHECK_INTERVAL_S
        token = f"{self._boot:x}-{random.getrandbits(64):x}"
        lease = self._state.lease
        step = choose_step(
            self._state,
            TERMS,
            token=token,
            wanted=wanted,
            now=now,
            is_holder_gone=self._has_ended(lease.holder, lease.boot),
        )
        if step.kind is StepKind.WAIT:
            return await self._wait(step.until - now)
        event = await (
            self._read() if step.kind is StepKind.READ else self._write(step)
        )
        self._apply_event(event)
        if isinstance(event, StoreUnavailable | WriteLost):
            return OUTAGE_RETRY_DELAY_S * random.uniform(0.5, 1.5)
        return 0.0

    async def _wait(self, seconds: float) -> float:
        """Wait until a step is due; without the lease, also read the row meanwhile."""
        if self._state.phase is Phase.HOLDING:
            return min(max(seconds, 0.0), CHECK_INTERVAL_S)
        await asyncio.sleep(min(max(seconds, 0.0), TERMS.term_s / 2))
        self._apply_event(await self._read())
        return 0.0

    def _apply_event(self, event: LeaseEvent) -> None:
        before = self._state
        self._state = apply_event(before, TERMS, event, now=self._read_clock())
        is_new = self._state.phase is Phase.HOLDING and (
            before.phase is Phase.WATCHING or before.fencing != self._state.fencing
        )
        if is_new:
            log_event("lease_acquired", fencing=self._state.fencing)

    async def _read(self) -> LeaseEvent:
        try:
            read = await self._store.read_table(LEASE_TABLE)
        except (StoreRefused, ReplyLost):
            return StoreUnavailable()
        return self._find_lease(read.rows, era=find_era(read.version))

    async def _write(self, step: Step) -> LeaseEvent:
        self._state = record_write(self._state, step, now=self._read_clock())
        condition = RowCondition(table=LEASE_TABLE, key=LEASE_KEY, version=step.version)
        value = orjson.dumps(asdict(step.lease))
        write = RowWrite(table=LEASE_TABLE, key=LEASE_KEY, value=value)
        try:
            outcome = await self._store.transact([condition], [write])
        except StoreRefused:
            return StoreUnavailable()
        except (ReplyLost, HistoryExpired):
            return WriteLost()
        if isinstance(outcome, Committed):
            return LeaseWritten(lease=step.lease, version=outcome.version)
        return self._find_lease(outcome.rows, era=find_era(step.version))

    def _find_lease(self, rows: tuple[Row, ...], *, era: int) -> LeaseRead:
        """Return the lease in `rows`, an unknown one for a row that holds none."""
        for row in rows:
            if row.key == LEASE_KEY and row.value is not None:
                return LeaseRead(lease=self._decode_lease(row), version=row.version)
        return LeaseRead(lease=ABSENT_LEASE, version=make_store_version(era, 0))

    def _decode_lease(self, row: Row) -> Lease:
        try:
            lease = read_lease(orjson.loads(row.value))
        except ValueError:
            lease = None
        if lease is not None:
            return lease
        if row.version != self._refused_version:
            self._refused_version = row.version
            log_event("lease_row_refused", key=row.key, store_version=row.version)
        return UNKNOWN_LEASE
