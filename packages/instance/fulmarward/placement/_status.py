"""What operators see of placement: a row for each pool, written by its holder."""

from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.placement._lease import LEASE_TABLE, LeaseKeeper
from fulmarward.platform import (
    Committed,
    Condition,
    PlatformOut,
    Write,
    list_rows,
    read_row,
    transact,
)
from fulmarward_core.placement import Rollout, RolloutPhase
from fulmarward_core.results import Failure, ResultCode, make_failure

#: The table with a row for each pool.
STATUS_TABLE = "placement"

#: When an operator may try again, in milliseconds.
RETRY_AFTER_MS = 2_000


@dataclass(frozen=True, kw_only=True)
class PoolStatus:
    """Where a pool stands."""

    #: The version wanted, where its rollout stands, and why it stopped.
    version: str
    phase: str
    reason: str
    #: Engines declared, those that answer, and those that hold what they shall.
    declared: int
    answering: int
    as_wanted: int
    #: Engines that take no new work because placement changes them.
    draining: tuple[str, ...]


async def read_rollout(
    instance: Instance, pool: str, version: str
) -> Rollout | PlatformOut:
    """Return where an earlier holder left the rollout of a version.

    A rollout that was stopped stays so under every later holder.
    """
    row = await read_row(instance.platform, STATUS_TABLE, pool)
    if isinstance(row, PlatformOut):
        return row
    now = instance.read_clock()
    found = row.value or {}
    if found.get("version") == version and found.get("phase") == "stopped":
        return Rollout(
            version=version,
            phase=RolloutPhase.STOPPED,
            changed_at=now,
            reason=found["reason"],
        )
    return Rollout(version=version, phase=RolloutPhase.RUNNING, changed_at=now)


async def write_status(
    instance: Instance, keeper: LeaseKeeper, status: PoolStatus
) -> bool:
    """Write a pool's row, if this instance holds the lease as the table has it."""
    state = keeper.state
    value = {
        "holder": state.own_name,
        "fencing": state.fencing,
        **vars(status),
        "draining": list(status.draining),
        "at": round(instance.read_wall_clock(), 1),
    }
    outcome = await transact(
        instance.platform,
        conditions=[
            Condition(table=LEASE_TABLE, key=keeper.pool, version=state.version)
        ],
        writes=[Write(table=STATUS_TABLE, key=keeper.pool, value=value)],
    )
    is_written = isinstance(outcome, Committed)
    if is_written:
        log_event("placement_status", pool=keeper.pool, **vars(status))
    return is_written


async def read_placement(instance: Instance) -> list[dict[str, object]] | Failure:
    """Return the rows of all pools that are declared."""
    rows = await list_rows(instance.platform, STATUS_TABLE)
    if isinstance(rows, PlatformOut):
        return make_failure(
            ResultCode.STORE_UNAVAILABLE, rows.detail, retry_after_ms=RETRY_AFTER_MS
        )
    declared = instance.snapshot.declaration.models
    return [{"pool": row.key, **row.value} for row in rows if row.key in declared]
