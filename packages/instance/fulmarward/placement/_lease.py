"""The task that takes and keeps the lease of a pool."""

import asyncio
from dataclasses import asdict, dataclass

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.platform import (
    Committed,
    Condition,
    Conflict,
    PlatformOut,
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
    StoreOut,
    choose_step,
    may_order,
    note_asking,
    take_event,
)
from fulmarward_core.membership import MemberState

#: The table with a row for each pool's lease.
LEASE_TABLE = "leases"

#: Instances that would hold a pool's lease. Load: 330 instances and 4 pools; harm:
#: reads of the table by all of them; reason: five rarely all die within one term.
CANDIDATES = 5

#: Seconds between two looks at what is known here anyway.
LOOK_S = 0.5

#: Seconds before the platform is tried again after it was out.
OUT_S = 1.0


@dataclass(kw_only=True)
class LeaseKeeper:
    """One pool's lease as this instance knows it."""

    #: Name of the pool.
    pool: str
    #: How long leases last.
    terms: LeaseTerms
    #: Where this instance stands.
    state: LeaseState


def make_keeper(instance: Instance, pool: str) -> LeaseKeeper:
    """Return a keeper that has not looked yet."""
    own = instance.member
    return LeaseKeeper(
        pool=pool,
        terms=LeaseTerms(term_s=instance.settings.limits.lease_ms / 1000),
        state=LeaseState(own_name=own.name, own_boot=own.boot),
    )


def is_holder(instance: Instance, keeper: LeaseKeeper) -> bool:
    """Return whether orders may be sent now; ask right before each."""
    return may_order(keeper.state, now=instance.read_clock())


def _is_wanted(instance: Instance, keeper: LeaseKeeper) -> bool:
    """Return whether this instance shall hold the lease, or keep it."""
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
    return instance.member.name in choose_candidates(alive, keeper.pool, CANDIDATES)


def _read_lease(row: Row) -> LeaseRead:
    lease = ABSENT_LEASE if row.value is None else Lease(**row.value)
    return LeaseRead(lease=lease, version=row.version)


async def _read(instance: Instance, keeper: LeaseKeeper) -> LeaseEvent:
    row = await read_row(instance.platform, LEASE_TABLE, keeper.pool)
    return StoreOut() if isinstance(row, PlatformOut) else _read_lease(row)


async def _write(instance: Instance, keeper: LeaseKeeper, step: Step) -> LeaseEvent:
    keeper.state = note_asking(keeper.state, step, now=instance.read_clock())
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
    return StoreOut() if isinstance(outcome, PlatformOut) else ReplyLost()


def _take(instance: Instance, keeper: LeaseKeeper, event: LeaseEvent) -> None:
    before = keeper.state
    now = instance.read_clock()
    keeper.state = take_event(before, keeper.terms, event, now=now)
    is_new = keeper.state.phase is Phase.HOLDING and (
        before.phase is Phase.WATCHING or before.fencing != keeper.state.fencing
    )
    if is_new:
        fencing = keeper.state.fencing
        log_event("lease_taken", pool=keeper.pool, fencing=fencing)


async def step_lease(instance: Instance, keeper: LeaseKeeper) -> float:
    """Do what comes next about the lease; return the seconds until the next look."""
    now = instance.read_clock()
    wanted = _is_wanted(instance, keeper)
    if not wanted and not is_holder(instance, keeper):
        return LOOK_S
    token = f"{instance.member.boot:x}-{instance.generator.getrandbits(64):x}"
    step = choose_step(keeper.state, keeper.terms, token=token, wanted=wanted, now=now)
    if step.kind is StepKind.WAIT:
        return await _wait(instance, keeper, step.until - now)
    event = (
        await _read(instance, keeper)
        if step.kind is StepKind.READ
        else await _write(instance, keeper, step)
    )
    _take(instance, keeper, event)
    is_out = isinstance(event, StoreOut | ReplyLost)
    return OUT_S * instance.generator.uniform(0.5, 1.5) if is_out else 0.0


async def _wait(instance: Instance, keeper: LeaseKeeper, seconds: float) -> float:
    """Wait for a step's time; one who watches reads the row in between.

    Without that it would only learn of a renewal by a write that is refused.
    """
    if keeper.state.phase is Phase.HOLDING:
        return min(max(seconds, 0.0), LOOK_S)
    between = keeper.terms.term_s / 2 * instance.generator.uniform(0.8, 1.0)
    await asyncio.sleep(min(max(seconds, 0.0), between))
    _take(instance, keeper, await _read(instance, keeper))
    return 0.0


async def keep_lease(instance: Instance, keeper: LeaseKeeper) -> None:
    """Take the lease when it is free and this instance shall, and renew it."""
    while True:
        await asyncio.sleep(await step_lease(instance, keeper))
