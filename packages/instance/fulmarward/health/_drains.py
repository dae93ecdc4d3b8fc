"""Operators' drains: rows in the platform's table, spread between peers.

A row stays when its drain is taken back, so that its version goes on rising and an
older word can never win over a newer one.
"""

import asyncio

from fulmarward._instance import Instance
from fulmarward.health._leaving import hear_records
from fulmarward.observability import log_event
from fulmarward.platform import (
    Committed,
    Condition,
    PlatformOut,
    Row,
    Uncertain,
    Write,
    list_rows,
    read_row,
    transact,
)
from fulmarward_core.health import LeavingRecord, LeavingSource
from fulmarward_core.results import Failure, ResultCode, make_failure

#: The table with a row for each target that was ever drained.
DRAIN_TABLE = "drains"

#: Seconds between two reads of the table. Load: 330 instances; harm: the platform's
#: two thousand reads a second; reason: 22 a second in all, and peers tell sooner.
DRAINS_S = 15.0

#: Times that a write is tried against other operators who write the same row.
MOST_TRIES = 4

#: When an operator may try again, in milliseconds.
RETRY_AFTER_MS = 2_000


def _make_record(row: Row) -> LeavingRecord:
    return LeavingRecord(
        target=row.key,
        source=LeavingSource.OPERATOR,
        is_leaving=row.value["drained"],
        version=row.version,
    )


async def read_drains(instance: Instance) -> None:
    """Take in all drains that stand in the platform's table."""
    rows = await list_rows(instance.platform, DRAIN_TABLE)
    if not isinstance(rows, PlatformOut):
        hear_records(instance, [_make_record(row) for row in rows])


async def watch_drains(instance: Instance) -> None:
    """Read the drains now and then, for what no peer told."""
    while True:
        await asyncio.sleep(DRAINS_S * instance.generator.uniform(0.8, 1.2))
        await read_drains(instance)


async def change_drain(
    instance: Instance, target: str, *, drained: bool, by: str
) -> LeavingRecord | Failure:
    """Drain a target or take its drain back; the outcome is always the true one."""
    if target not in instance.snapshot.declaration.targets:
        return make_failure(ResultCode.NOT_FOUND, f"No target {target[:64]!r}.")
    for _ in range(MOST_TRIES):
        outcome = await _try_change(instance, target, drained=drained, by=by)
        if isinstance(outcome, LeavingRecord):
            hear_records(instance, [outcome])
            log_event(
                "drain", target=target, drained=drained, by=by, version=outcome.version
            )
        if outcome is not None:
            return outcome
    return make_failure(ResultCode.DRAIN_UNKNOWN, retry_after_ms=RETRY_AFTER_MS)


async def _try_change(
    instance: Instance, target: str, *, drained: bool, by: str
) -> LeavingRecord | Failure | None:
    """Return what came of one try; `None` when the row has to be read again.

    Guards against a lost reply: the next try reads the row, and when the write did
    take effect the row is as wanted and nothing is written twice.
    """
    row = await read_row(instance.platform, DRAIN_TABLE, target)
    if isinstance(row, PlatformOut):
        return make_failure(
            ResultCode.STORE_UNAVAILABLE, row.detail, retry_after_ms=RETRY_AFTER_MS
        )
    if row.value is not None and row.value["drained"] == drained:
        return _make_record(row)
    value = {"drained": drained, "by": by}
    outcome = await transact(
        instance.platform,
        conditions=[Condition(table=DRAIN_TABLE, key=target, version=row.version)],
        writes=[Write(table=DRAIN_TABLE, key=target, value=value)],
    )
    if isinstance(outcome, Committed):
        return _make_record(Row(key=target, version=outcome.versions[0], value=value))
    if isinstance(outcome, PlatformOut):
        return make_failure(
            ResultCode.STORE_UNAVAILABLE, outcome.detail, retry_after_ms=RETRY_AFTER_MS
        )
    if isinstance(outcome, Uncertain):
        log_event("drain_reply_lost", target=target, detail=outcome.detail)
    return None
