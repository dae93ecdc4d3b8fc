"""The task that acquires and renews the lease of a pool."""

import asyncio
from dataclasses import asdict, dataclass

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.platform import (
    Committed,
    Condition,
    Conflict,
    PlatformUnavailable,
    Row,
    Write,
    read_row,
    transact,
)
from fulmarward_core.health import choose_candidates
from fulmarward_core.leases import (
    ABSENT_LEASE,
    Lease,
    LeaseEvent,
    LeaseRead,
    LeaseState,
    LeaseTerms,
    LeaseWritten,
    Phase,
    ReplyLost,
    Step,
    StepKind,
    StoreUnavailable,
    apply_event,
    choose_step,
    may_order,
    record_write,
)
from fulmarward_core.membership import MemberState

#: The table with a row for each pool's lease.
LEASE_TABLE = "leases"

#: Instances that compete for a pool's lease. With 330 instances and 4 pools, reads of
#: the table by all of them would be too many; five rarely all die within one term.
CANDIDATE_COUNT = 5

#: Seconds between two checks of local state that need no call to the platform.
CHECK_INTERVAL_S = 0.5

#: Mean delay in seconds before a retry when the platform is unavailable.
RETRY_DELAY_S = 1.0


@dataclass(kw_only=True)
class LeaseKeeper:
    """This instance's knowledge of one pool's lease."""

    #: Name of the pool.
    pool: str
    #: Duration of the lease.
    terms: LeaseTerms
    #: This instance's state in the lease protocol.
    state: LeaseState


def make_keeper(instance: Instance, pool: str) -> LeaseKeeper:
    """Return a keeper that has not read the lease yet."""
    own = instance.member
    return LeaseKeeper(
        pool=pool,
        terms=LeaseTerms(term_s=instance.settings.limits.lease_ms / 1000),
        state=LeaseState(own_name=own.name, own_boot=own.boot),
    )


def is_holder(instance: Instance, keeper: LeaseKeeper) -> bool:
    """Return whether orders may be sent now; call it right before each order."""
    return may_order(keeper.state, now=instance.read_clock())


def _should_hold(instance: Instance, keeper: LeaseKeeper) -> bool:
    """Return whether this instance should acquire the lease or keep it."""
    is_serving = instance.lifecycle.state == "serving"
    if not is_serving or instance.member.state is MemberState.LEAVING:
        return False
    if is_holder(instance, keeper):
        return True
    alive = [
        member.name
        for member in instance.members.members.values()
        if member.state is MemberState.ALIVE
    ]
    return instance.member.name in choose_candidates(
        alive, keeper.pool, CANDIDATE_COUNT
    )


def _read_lease(row: Row) -> LeaseRead:
    lease = ABSENT_LEASE if row.value is None else Lease(**row.value)
    return LeaseRead(lease=lease, version=row.version)


async def _read(instance: Instance, keeper: LeaseKeeper) -> LeaseEvent:
    row = await read_row(instance.platform, LEASE_TABLE, keeper.pool)
    return (
        StoreUnavailable() if isinstance(row, PlatformUnavailable) else _read_lease(row)
    )


async def _write(instance: Instance, keeper: LeaseKeeper, step: Step) -> LeaseEvent:
    keeper.state = record_write(keeper.state, step, now=instance.read_clock())
    pool = keeper.pool
    outcome = await transact(
        instance.platform,
        conditions=[Condition(table=LEASE_TABLE, key=pool, version=step.version)],
        writes=[Write(table=LEASE_TABLE, key=pool, value=asdict(step.lease))],
    )
    if isinstance(outcome, Committed):
        return LeaseWritten(lease=step.lease, version=outcome.versions[0])
    if isinstance(outcome, Conflict):
        return _read_lease(outcome.row)
    return (
        StoreUnavailable() if isinstance(outcome, PlatformUnavailable) else ReplyLost()
    )


def _apply_event(instance: Instance, keeper: LeaseKeeper, event: LeaseEvent) -> None:
    before = keeper.state
    now = instance.read_clock()
    keeper.state = apply_event(before, keeper.terms, event, now=now)
    is_acquired = keeper.state.phase is Phase.HOLDING and (
        before.phase is Phase.WATCHING or before.fencing != keeper.state.fencing
    )
    if is_acquired:
        fencing = keeper.state.fencing
        log_event("lease_acquired", pool=keeper.pool, fencing=fencing)


async def step_lease(instance: Instance, keeper: LeaseKeeper) -> float:
    """Perform the next step of the lease protocol; return the delay in seconds."""
    now = instance.read_clock()
    wanted = _should_hold(instance, keeper)
    if not wanted and not is_holder(instance, keeper):
        return CHECK_INTERVAL_S
    token = f"{instance.member.boot:x}-{instance.generator.getrandbits(64):x}"
    step = choose_step(keeper.state, keeper.terms, token=token, wanted=wanted, now=now)
    if step.kind is StepKind.WAIT:
        return await _wait(instance, keeper, step.until - now)
    event = (
        await _read(instance, keeper)
        if step.kind is StepKind.READ
        else await _write(instance, keeper, step)
    )
    _apply_event(instance, keeper, event)
    is_unavailable = isinstance(event, StoreUnavailable | ReplyLost)
    return (
        RETRY_DELAY_S * instance.generator.uniform(0.5, 1.5) if is_unavailable else 0.0
    )


async def _wait(instance: Instance, keeper: LeaseKeeper, seconds: float) -> float:
    """Wait until the next step is due; an instance without the lease reads the row.

    Without that read it would learn of a renewal only from a refused write.
    """
    if keeper.state.phase is Phase.HOLDING:
        return min(max(seconds, 0.0), CHECK_INTERVAL_S)
    read_delay = keeper.terms.term_s / 2 * instance.generator.uniform(0.8, 1.0)
    await asyncio.sleep(min(max(seconds, 0.0), read_delay))
    _apply_event(instance, keeper, await _read(instance, keeper))
    return 0.0


async def keep_lease(instance: Instance, keeper: LeaseKeeper) -> None:
    """Acquire the lease when it is free and this is a candidate, and renew it."""
    while True:
        await asyncio.sleep(await step_lease(instance, keeper))
