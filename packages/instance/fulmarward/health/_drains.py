"""Operators' drains: rows in the platform's table, spread between peers.

A row stays when its drain is undone, so that its version keeps rising and an older
record never replaces a newer one.
"""

import asyncio

from fulmarward._instance import Instance
from fulmarward.health._leaving import merge_records
from fulmarward.observability import log_event
from fulmarward.platform import (
    Committed,
    Condition,
    PlatformUnavailable,
    Row,
    Uncertain,
    Write,
    list_rows,
    read_row,
    transact,
)
from fulmarward_core.health import LeavingRecord, LeavingSource
from fulmarward_core.results import Failure, ResultCode, make_failure

#: The table with a row for each target that has ever been drained.
DRAIN_TABLE = "drains"

#: Seconds between two reads of the table. For 330 instances that is 22 of the two
#: thousand reads a second that the platform allows; gossip is faster than this.
POLL_INTERVAL_S = 15.0

#: Attempts of a write that conflicts with other operators' writes to the same row.
MAX_ATTEMPTS = 4

#: Milliseconds after which an operator may retry.
RETRY_AFTER_MS = 2_000


def _make_record(row: Row) -> LeavingRecord:
    return LeavingRecord(
        target=row.key,
        source=LeavingSource.OPERATOR,
        is_leaving=row.value["drained"],
        version=row.version,
    )


async def read_drains(instance: Instance) -> None:
    """Merge all drains in the platform's table."""
    rows = await list_rows(instance.platform, DRAIN_TABLE)
    if not isinstance(rows, PlatformUnavailable):
        merge_records(instance, [_make_record(row) for row in rows])


async def watch_drains(instance: Instance) -> None:
    """Poll the drains, for changes that gossip has not delivered."""
    while True:
        await asyncio.sleep(POLL_INTERVAL_S * instance.generator.uniform(0.8, 1.2))
        await read_drains(instance)


async def change_drain(
    instance: Instance, target: str, *, drained: bool, by: str
) -> LeavingRecord | Failure:
    """Drain a target or undo its drain; success means that the row is written."""
    if target not in instance.snapshot.declaration.targets:
        return make_failure(ResultCode.NOT_FOUND, f"No target {target[:64]!r}.")
    for _ in range(MAX_ATTEMPTS):
        outcome = await _try_change(instance, target, drained=drained, by=by)
        if isinstance(outcome, LeavingRecord):
            merge_records(instance, [outcome])
            log_event(
                "drain_changed",
                target=target,
                drained=drained,
                by=by,
                version=outcome.version,
            )
        if outcome is not None:
            return outcome
    return make_failure(ResultCode.DRAIN_UNKNOWN, retry_after_ms=RETRY_AFTER_MS)


async def _try_change(
    instance: Instance, target: str, *, drained: bool, by: str
) -> LeavingRecord | Failure | None:
    """Return the outcome of one attempt; `None` when the row has to be read again.

    This covers a lost reply: the next attempt reads the row, and if the write did take
    effect, the row is as wanted and nothing is written twice.
    """
    row = await read_row(instance.platform, DRAIN_TABLE, target)
    if isinstance(row, PlatformUnavailable):
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
    if isinstance(outcome, PlatformUnavailable):
        return make_failure(
            ResultCode.STORE_UNAVAILABLE, outcome.detail, retry_after_ms=RETRY_AFTER_MS
        )
    if isinstance(outcome, Uncertain):
        log_event("drain_reply_lost", target=target, detail=outcome.detail)
    return None
