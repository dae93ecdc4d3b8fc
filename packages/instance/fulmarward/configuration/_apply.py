"""Applying a declaration: one conditional write decides between operators."""

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
    PlatformOut,
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

#: When an operator may try again, in milliseconds.
RETRY_AFTER_MS = 2_000

#: Tries of one apply: the first, and those after a fence or another's fence.
MOST_TRIES = 4

#: Tries to settle what became of a write whose reply was lost.
MOST_SETTLING = 3

#: Seconds between those.
SETTLE_PAUSE_S = 0.3

#: Bodies stored at the same time. Load: a first file at the design size has some 90
#: parts; harm: a burst of writes takes the platform from the other duties; reason:
#: eight at 10 ms each are done in a tenth of a second.
STORED_AT_ONCE = 8


@dataclass(frozen=True, kw_only=True)
class ApplyRequest:
    """What an operator wants in force."""

    #: The declaration as JSON.
    declaration: object
    #: Id of this apply, made by the client: it tells a lost reply's outcome.
    apply_id: str
    #: The operator's name.
    applied_by: str
    #: The epoch that the operator saw, `None` to take whatever stands. Only with it
    #: can an apply that is sent again find its own epoch after a later one.
    base_epoch: int | None


@dataclass(frozen=True, kw_only=True)
class Applied:
    """The declaration is in force, or will be on each instance within seconds."""

    #: Its head.
    head: Head
    #: Whether the same content was in force before.
    is_unchanged: bool


@dataclass(frozen=True, kw_only=True)
class _ShutOut:
    """The write did not take effect and never will; it can be tried anew."""


async def apply_declaration(
    instance: Instance, wanted: ApplyRequest
) -> Applied | Failure:
    """Check and commit a declaration; the outcome is always the true one."""
    parsed = parse_declaration(wanted.declaration)
    if isinstance(parsed, tuple):
        return make_failure(ResultCode.DECLARATION_INVALID, describe_faults(parsed))
    split = split_declaration(wanted.declaration)
    for _ in range(MOST_TRIES):
        outcome = await _try_apply(instance, wanted, split.content_hash, split.bodies)
        if isinstance(outcome, Applied):
            await _adopt_own(instance, outcome.head, split.bodies)
        if not isinstance(outcome, _ShutOut):
            return outcome
    return _tell_outage("Other writes came first each time; nothing was applied.")


async def _adopt_own(
    instance: Instance, head: Head, bodies: Mapping[str, bytes]
) -> None:
    """Put what was just applied in force here, from the bodies in hand.

    Guards against an outage that begins right after the write: the new epoch stands,
    and without this nobody could fetch it until the outage ends.
    """

    async def fetch(content_hash: str) -> bytes | None:
        return bodies.get(content_hash)

    await adopt_head(instance, head, [Source(name="operator", fetch=fetch)])


async def _try_apply(
    instance: Instance,
    wanted: ApplyRequest,
    content_hash: str,
    bodies: Mapping[str, bytes],
) -> Applied | Failure | _ShutOut:
    row = await read_row(instance.platform, HEAD_TABLE, HEAD_KEY)
    if isinstance(row, PlatformOut):
        return _tell_outage(row.detail)
    current = parse_head(row)
    head = Head(
        epoch=current.epoch + 1,
        content_hash=content_hash,
        apply_id=wanted.apply_id,
        applied_by=wanted.applied_by,
        applied_at=round(instance.read_wall_clock(), 3),
    )
    step = decide_apply(current=current, wanted=head, base_epoch=wanted.base_epoch)
    log_event("apply_step", apply_id=wanted.apply_id, step=step.value)
    if step in (ApplyStep.DONE, ApplyStep.UNCHANGED):
        return Applied(head=current, is_unchanged=step is ApplyStep.UNCHANGED)
    if step is ApplyStep.LOOK_BACK:
        return await _look_back(instance, head, wanted.base_epoch + 1)
    if not await _store_bodies(instance, current, bodies):
        return _tell_outage("The bodies could not be stored.")
    return await _commit(instance, head, row)


async def _store_bodies(
    instance: Instance, current: Head, bodies: Mapping[str, bytes]
) -> bool:
    """Store the bodies that the declaration in force does not have.

    They come before the head: a head whose bodies are nowhere would leave every
    new instance unready.
    """
    is_newest = instance.snapshot.head.content_hash == current.content_hash
    stored = instance.bodies if is_newest else {}
    gate = asyncio.Semaphore(STORED_AT_ONCE)

    async def store(content_hash: str, body: bytes) -> bool:
        async with gate:
            outcome = await store_object(instance.platform, content_hash, body)
        return isinstance(outcome, Committed)

    missing = [item for item in bodies.items() if item[0] not in stored]
    return all(await asyncio.gather(*(store(*item) for item in missing)))


async def _commit(
    instance: Instance, head: Head, row: Row
) -> Applied | Failure | _ShutOut:
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
    if isinstance(outcome, PlatformOut):
        return _tell_outage(outcome.detail)
    if isinstance(outcome, Conflict):
        return await _judge_conflict(instance, head, parse_head(outcome.row))
    return await _settle(instance, head, row)


async def _judge_conflict(
    instance: Instance, head: Head, found: Head
) -> Applied | Failure | _ShutOut:
    """Return what a conflict on the head's row means for the apply of `head`."""
    if found.epoch < head.epoch:
        return _ShutOut()
    if found.epoch == head.epoch:
        return _judge(head, found)
    return await _look_back(instance, head, head.epoch)


async def _settle(
    instance: Instance, head: Head, row: Row
) -> Applied | Failure | _ShutOut:
    """Find out what became of a write whose reply was lost, and make it certain.

    Guards against a write that is still on its way: the operator is told "not
    applied" and it lands later. The head's row is written anew with its old value
    under the same condition. If that succeeds, the row has another version and the
    late write's condition can never hold; if it conflicts, the row says who was first.
    """
    for _ in range(MOST_SETTLING):
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
            return _ShutOut()
        if isinstance(fence, Conflict):
            return await _judge_conflict(instance, head, parse_head(fence.row))
        await asyncio.sleep(SETTLE_PAUSE_S)
    return make_failure(
        ResultCode.APPLY_UNKNOWN,
        f"The platform lost its reply: {fence.detail}.",
        retry_after_ms=RETRY_AFTER_MS,
    )


async def _look_back(instance: Instance, head: Head, epoch: int) -> Applied | Failure:
    """Return whose the row of `epoch` is.

    The history has a row for each epoch, written in the same transaction as the
    head, so the answer stays true when other files have been applied since.
    """
    key = make_history_key(epoch)
    row = await read_row(instance.platform, HISTORY_TABLE, key)
    if isinstance(row, PlatformOut):
        return make_failure(
            ResultCode.APPLY_UNKNOWN, row.detail, retry_after_ms=RETRY_AFTER_MS
        )
    return _judge(head, parse_head(row))


def _judge(wanted: Head, found: Head) -> Applied | Failure:
    if is_same_apply(found, wanted):
        return Applied(head=found, is_unchanged=False)
    detail = f"Epoch {found.epoch} was applied by {found.applied_by}."
    return make_failure(ResultCode.APPLY_CONFLICT, detail)


def _tell_outage(detail: str) -> Failure:
    return make_failure(
        ResultCode.STORE_UNAVAILABLE, detail, retry_after_ms=RETRY_AFTER_MS
    )
