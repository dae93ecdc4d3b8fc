"""Placement status for operators: a row for each pool, written by its holder."""

from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.placement._lease import LEASE_TABLE, LeaseKeeper
from fulmarward.platform import (
    Committed,
    Condition,
    PlatformUnavailable,
    Write,
    list_rows,
    read_row,
    transact,
)
from fulmarward_core.placement import Rollout, RolloutPhase
from fulmarward_core.results import Failure, ResultCode, make_failure

#: The table with a row for each pool.
STATUS_TABLE = "placement"

#: Milliseconds after which an operator may retry.
RETRY_AFTER_MS = 2_000


@dataclass(frozen=True, kw_only=True)
class PoolStatus:
    """Status of a pool as it is written to the platform's table."""

    #: The wanted version, the phase of its rollout, and why the rollout stopped.
    version: str
    phase: str
    reason: str
    #: Number of engines declared, answering, and in the wanted state.
    declared: int
    answering: int
    as_wanted: int
    #: Engines that get no new work because placement is changing them.
    draining: tuple[str, ...]


async def read_rollout(
    instance: Instance, pool: str, version: str
) -> Rollout | PlatformUnavailable:
    """Return the rollout of a version as an earlier holder recorded it.

    A stopped rollout stays stopped under every later holder.
    """
    row = await read_row(instance.platform, STATUS_TABLE, pool)
    if isinstance(row, PlatformUnavailable):
        return row
    now = instance.read_clock()
    stored = row.value or {}
    if stored.get("version") == version and stored.get("phase") == "stopped":
        return Rollout(
            version=version,
            phase=RolloutPhase.STOPPED,
            changed_at=now,
            reason=stored["reason"],
        )
    return Rollout(version=version, phase=RolloutPhase.RUNNING, changed_at=now)


async def write_status(
    instance: Instance, keeper: LeaseKeeper, status: PoolStatus
) -> bool:
    """Write a pool's row if the lease row still has the version known here."""
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
        log_event("placement_status_written", pool=keeper.pool, **vars(status))
    return is_written


async def read_placement(instance: Instance) -> list[dict[str, object]] | Failure:
    """Return the status rows of all declared pools."""
    rows = await list_rows(instance.platform, STATUS_TABLE)
    if isinstance(rows, PlatformUnavailable):
        return make_failure(
            ResultCode.STORE_UNAVAILABLE, rows.detail, retry_after_ms=RETRY_AFTER_MS
        )
    declared = instance.snapshot.declaration.models
    return [{"pool": row.key, **row.value} for row in rows if row.key in declared]
