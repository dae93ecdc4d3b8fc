"""Applies a declaration; a conditional write decides between concurrent operators."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.configuration._adopt import adopt_head
from fulmarward.configuration._bodies import Source
from fulmarward.configuration._heads import (
    HEAD_KEY,
    HEAD_TABLE,
    HISTORY_EPOCHS,
    HISTORY_TABLE,
    make_history_key,
    parse_head,
    render_head,
)
from fulmarward.observability import log_event
from fulmarward.platform import (
    Committed,
    Condition,
    Conflict,
    PlatformUnavailable,
    Row,
    Write,
    read_row,
    store_object,
    transact,
)
from fulmarward_core.checks import describe_faults
from fulmarward_core.configuration import (
    ApplyStep,
    Head,
    decide_apply,
    is_same_apply,
)
from fulmarward_core.declaration import parse_declaration, split_declaration
from fulmarward_core.results import Failure, ResultCode, make_failure

#: Milliseconds after which an operator may retry.
RETRY_AFTER_MS = 2_000

#: Tries of one apply: the first, and retries after its own or another's fencing write.
MAX_TRIES = 4

#: Tries to determine the outcome of a write whose reply was lost.
MAX_SETTLE_TRIES = 3

#: Seconds between two of these tries.
SETTLE_DELAY_S = 0.3

#: Limits concurrent stores of bodies, so that a burst does not delay other users of the
#: platform. A first file at the design size has some 90 parts; at 10 ms each, eight at
#: a time take about a tenth of a second.
MAX_CONCURRENT_STORES = 8


@dataclass(frozen=True, kw_only=True)
class ApplyRequest:
    """An operator's request to activate a declaration."""

    #: The declaration as JSON.
    declaration: object
    #: Id chosen by the client; it identifies this apply after a lost reply.
    apply_id: str
    #: Name of the operator.
    applied_by: str
    #: The epoch that the operator saw, `None` to replace any. A repeated apply can
    #: find its own epoch after a later one only if this is set.
    base_epoch: int | None


@dataclass(frozen=True, kw_only=True)
class Applied:
    """The declaration is committed; each instance activates it within seconds."""

    head: Head
    #: Whether the same content was already active.
    is_unchanged: bool


@dataclass(frozen=True, kw_only=True)
class _Fenced:
    """The write did not take effect and never will; it can be retried."""


async def apply_declaration(
    instance: Instance, wanted: ApplyRequest
) -> Applied | Failure:
    """Check and commit a declaration.

    A failure reports "not applied" only if the write can no longer take effect.
    """
    parsed = parse_declaration(wanted.declaration)
    if isinstance(parsed, tuple):
        return make_failure(ResultCode.DECLARATION_INVALID, describe_faults(parsed))
    split = split_declaration(wanted.declaration)
    for _ in range(MAX_TRIES):
        outcome = await _try_apply(instance, wanted, split.content_hash, split.bodies)
        if isinstance(outcome, Applied):
            await _adopt_own(instance, outcome.head, split.bodies)
        if not isinstance(outcome, _Fenced):
            return outcome
    return _make_outage_failure(
        "Other writes came first each time; nothing was applied."
    )


async def _adopt_own(
    instance: Instance, head: Head, bodies: Mapping[str, bytes]
) -> None:
    """Activate the applied declaration here, from the bodies in memory.

    If the platform fails right after the write, the new epoch is committed, and
    instances could not fetch its bodies anywhere until the outage ends.
    """

    async def fetch(content_hash: str) -> bytes | None:
        return bodies.get(content_hash)

    await adopt_head(instance, head, [Source(name="operator", fetch=fetch)])


async def _try_apply(
    instance: Instance,
    wanted: ApplyRequest,
    content_hash: str,
    bodies: Mapping[str, bytes],
) -> Applied | Failure | _Fenced:
    row = await read_row(instance.platform, HEAD_TABLE, HEAD_KEY)
    if isinstance(row, PlatformUnavailable):
        return _make_outage_failure(row.detail)
    current = parse_head(row)
    head = Head(
        epoch=current.epoch + 1,
        content_hash=content_hash,
        apply_id=wanted.apply_id,
        applied_by=wanted.applied_by,
        applied_at=round(instance.read_wall_clock(), 3),
    )
    step = decide_apply(current=current, wanted=head, base_epoch=wanted.base_epoch)
    log_event("apply_step_chosen", apply_id=wanted.apply_id, step=step.value)
    if step in (ApplyStep.DONE, ApplyStep.UNCHANGED):
        return Applied(head=current, is_unchanged=step is ApplyStep.UNCHANGED)
    if step is ApplyStep.SEARCH_HISTORY:
        return await _check_history(instance, head, wanted.base_epoch + 1)
    if not await _store_bodies(instance, current, bodies):
        return _make_outage_failure("The bodies could not be stored.")
    return await _commit(instance, head, row)


async def _store_bodies(
    instance: Instance, current: Head, bodies: Mapping[str, bytes]
) -> bool:
    """Store the bodies that the active declaration does not contain.

    They are stored before the head: a head without stored bodies would keep every
    new instance from becoming ready.
    """
    is_newest = instance.snapshot.head.content_hash == current.content_hash
    stored = instance.bodies if is_newest else {}
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_STORES)

    async def store(content_hash: str, body: bytes) -> bool:
        async with semaphore:
            outcome = await store_object(instance.platform, content_hash, body)
        return isinstance(outcome, Committed)

    missing = [item for item in bodies.items() if item[0] not in stored]
    return all(await asyncio.gather(*(store(*item) for item in missing)))


async def _commit(
    instance: Instance, head: Head, row: Row
) -> Applied | Failure | _Fenced:
    history = [
        Write(
            table=HISTORY_TABLE,
            key=make_history_key(head.epoch),
            value=render_head(head),
        )
    ]
    if head.epoch > HISTORY_EPOCHS:
        old_key = make_history_key(head.epoch - HISTORY_EPOCHS)
        history.append(Write(table=HISTORY_TABLE, key=old_key, value=None))
    outcome = await transact(
        instance.platform,
        conditions=[Condition(table=HEAD_TABLE, key=HEAD_KEY, version=row.version)],
        writes=[
            Write(table=HEAD_TABLE, key=HEAD_KEY, value=render_head(head)),
            *history,
        ],
    )
    if isinstance(outcome, Committed):
        return Applied(head=head, is_unchanged=False)
    if isinstance(outcome, PlatformUnavailable):
        return _make_outage_failure(outcome.detail)
    if isinstance(outcome, Conflict):
        return await _resolve_conflict(instance, head, parse_head(outcome.row))
    return await _settle(instance, head, row)


async def _resolve_conflict(
    instance: Instance, head: Head, found: Head
) -> Applied | Failure | _Fenced:
    """Return the outcome of the apply of `head` after a conflict on the head's row."""
    if found.epoch < head.epoch:
        return _Fenced()
    if found.epoch == head.epoch:
        return _compare_heads(head, found)
    return await _check_history(instance, head, head.epoch)


async def _settle(
    instance: Instance, head: Head, row: Row
) -> Applied | Failure | _Fenced:
    """Determine the outcome of a write whose reply was lost, and fence it off.

    The write may still be in flight and take effect after the operator was told "not
    applied". Therefore the head's row is rewritten with its old value under the same
    condition. If this succeeds, the row has a new version and the late write's
    condition can never hold; on a conflict, the row shows which write came first.
    """
    for _ in range(MAX_SETTLE_TRIES):
        fence = await transact(
            instance.platform,
            conditions=[Condition(table=HEAD_TABLE, key=HEAD_KEY, version=row.version)],
            writes=[
                Write(
                    table=HEAD_TABLE,
                    key=HEAD_KEY,
                    value=render_head(parse_head(row)),
                )
            ],
        )
        if isinstance(fence, Committed):
            log_event("apply_fenced", apply_id=head.apply_id, epoch=head.epoch)
            return _Fenced()
        if isinstance(fence, Conflict):
            return await _resolve_conflict(instance, head, parse_head(fence.row))
        await asyncio.sleep(SETTLE_DELAY_S)
    return make_failure(
        ResultCode.APPLY_UNKNOWN,
        f"The platform lost its reply: {fence.detail}.",
        retry_after_ms=RETRY_AFTER_MS,
    )


async def _check_history(
    instance: Instance, head: Head, epoch: int
) -> Applied | Failure:
    """Return whether the history's row of `epoch` is that of the apply of `head`.

    The history has a row for each epoch, written in the same transaction as the
    head, so this holds even if other files have been applied since.
    """
    key = make_history_key(epoch)
    row = await read_row(instance.platform, HISTORY_TABLE, key)
    if isinstance(row, PlatformUnavailable):
        return make_failure(
            ResultCode.APPLY_UNKNOWN, row.detail, retry_after_ms=RETRY_AFTER_MS
        )
    return _compare_heads(head, parse_head(row))


def _compare_heads(wanted: Head, found: Head) -> Applied | Failure:
    if is_same_apply(found, wanted):
        return Applied(head=found, is_unchanged=False)
    detail = f"Epoch {found.epoch} was applied by {found.applied_by}."
    return make_failure(ResultCode.APPLY_CONFLICT, detail)


def _make_outage_failure(detail: str) -> Failure:
    return make_failure(
        ResultCode.STORE_UNAVAILABLE, detail, retry_after_ms=RETRY_AFTER_MS
    )
