"""Applying a declaration: one conditional write decides between operators."""

import json
from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.configuration._heads import (
    HEAD_KEY,
    HEAD_TABLE,
    HISTORY_TABLE,
    make_history_key,
    parse_head,
    render_head,
)
from fulmarward.platform import (
    Committed,
    Condition,
    Conflict,
    PlatformOut,
    Row,
    Write,
    list_rows,
    read_row,
    store_object,
    transact,
)
from fulmarward_core.checks import describe_faults
from fulmarward_core.configuration import Head
from fulmarward_core.declaration import hash_declaration, parse_declaration
from fulmarward_core.results import Failure, ResultCode, make_failure

#: When an operator may try again, in milliseconds.
RETRY_AFTER_MS = 2_000


@dataclass(frozen=True, kw_only=True)
class ApplyRequest:
    """What an operator wants in force."""

    #: The declaration as JSON.
    declaration: object
    #: Id of this apply, made by the client: it tells a lost reply's outcome.
    apply_id: str
    #: The operator's name.
    applied_by: str
    #: The epoch that the operator saw, `None` to take whatever stands.
    base_epoch: int | None


@dataclass(frozen=True, kw_only=True)
class Applied:
    """The declaration is in force, or will be on each instance within seconds."""

    #: Its head.
    head: Head
    #: Whether the same content was in force before.
    is_unchanged: bool


async def apply_declaration(
    instance: Instance, wanted: ApplyRequest
) -> Applied | Failure:
    """Check and commit a declaration; the outcome is always the true one."""
    parsed = parse_declaration(wanted.declaration)
    if isinstance(parsed, tuple):
        return make_failure(ResultCode.DECLARATION_INVALID, describe_faults(parsed))
    row = await read_row(instance.platform, HEAD_TABLE, HEAD_KEY)
    if isinstance(row, PlatformOut):
        return _tell_outage(row)
    current = parse_head(row)
    content_hash = hash_declaration(wanted.declaration)
    if current.content_hash == content_hash:
        return Applied(head=current, is_unchanged=True)
    if wanted.base_epoch is not None and wanted.base_epoch != current.epoch:
        return _tell_conflict(current)
    head = Head(
        epoch=current.epoch + 1,
        content_hash=content_hash,
        apply_id=wanted.apply_id,
        applied_by=wanted.applied_by,
        applied_at=round(instance.read_wall_clock(), 3),
    )
    return await _commit(instance, wanted.declaration, head, row)


async def _commit(
    instance: Instance, declaration: object, head: Head, row: Row
) -> Applied | Failure:
    body = json.dumps(declaration, separators=(",", ":")).encode()
    stored = await store_object(instance.platform, head.content_hash, body)
    if not isinstance(stored, Committed):
        return make_failure(
            ResultCode.STORE_UNAVAILABLE, stored.detail, retry_after_ms=RETRY_AFTER_MS
        )
    outcome = await transact(
        instance.platform,
        conditions=[Condition(table=HEAD_TABLE, key=HEAD_KEY, version=row.version)],
        writes=[
            Write(table=HEAD_TABLE, key=HEAD_KEY, value=render_head(head)),
            Write(
                table=HISTORY_TABLE,
                key=make_history_key(head.epoch),
                value=render_head(head),
            ),
        ],
    )
    if isinstance(outcome, Committed):
        return Applied(head=head, is_unchanged=False)
    if isinstance(outcome, Conflict):
        return _judge(head, parse_head(outcome.row))
    if isinstance(outcome, PlatformOut):
        return _tell_outage(outcome)
    return await _read_back(instance, head)


async def _read_back(instance: Instance, head: Head) -> Applied | Failure:
    """Find out whether a write whose reply was lost took effect.

    The history has a row for each epoch, written in the same transaction, so the
    answer stays true when another file has been applied since.
    """
    key = make_history_key(head.epoch)
    row = await read_row(instance.platform, HISTORY_TABLE, key)
    if isinstance(row, PlatformOut):
        return make_failure(
            ResultCode.APPLY_UNKNOWN, row.detail, retry_after_ms=RETRY_AFTER_MS
        )
    if row.value is None:
        return make_failure(
            ResultCode.APPLY_UNKNOWN,
            "The write may still arrive.",
            retry_after_ms=RETRY_AFTER_MS,
        )
    return _judge(head, parse_head(row))


def _judge(wanted: Head, found: Head) -> Applied | Failure:
    if found.apply_id == wanted.apply_id:
        return Applied(head=found, is_unchanged=False)
    return _tell_conflict(found)


def _tell_conflict(winner: Head) -> Failure:
    detail = f"Epoch {winner.epoch} was applied by {winner.applied_by}."
    return make_failure(ResultCode.APPLY_CONFLICT, detail)


def _tell_outage(out: PlatformOut) -> Failure:
    return make_failure(
        ResultCode.STORE_UNAVAILABLE, out.detail, retry_after_ms=RETRY_AFTER_MS
    )


async def read_history(instance: Instance) -> tuple[Head, ...] | Failure:
    """Return all heads that ever were in force, oldest first."""
    rows = await list_rows(instance.platform, HISTORY_TABLE)
    if isinstance(rows, PlatformOut):
        return _tell_outage(rows)
    return tuple(parse_head(row) for row in rows)
