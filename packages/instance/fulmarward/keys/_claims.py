"""Claims caller-generated keys in the platform's table, in batches.

A claim maps a caller-generated key to an issued one. From then on a home and a witness
keep it like any other key, and the platform is not queried again.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.keys._home import end_refused
from fulmarward.keys._prefixes import issue_key, read_key
from fulmarward.observability import log_event
from fulmarward.platform import (
    Committed,
    Condition,
    Conflict,
    PlatformUnavailable,
    Uncertain,
    Write,
    list_rows,
    read_row,
    transact,
)
from fulmarward_core.keys import (
    CallerKey,
    ClaimRow,
    IssuedKey,
    make_row_key,
    pack_claim,
    unpack_claim,
)
from fulmarward_core.results import Failure, ResultCode, make_failure

#: The table of claims.
TABLE = "claims"

#: Seconds for which claims are collected into one transaction. Each of 330 instances
#: serves 24 requests/s, part of them with caller-generated keys; one write per claim
#: would exceed the platform's capacity. The delay is small against the 1.6 s to a first
#: token. Claims also accumulate while a transaction is in progress or waits for the
#: instance's share.
BATCH_WINDOW_S = 0.01

#: Bounds the size of a transaction: claims of about 400 bytes make 40 KB, which the
#: platform accepts.
MAX_CLAIMS_PER_TRANSACTION = 100

#: Bounds memory and the delay of callers while the platform is slow: ten transactions
#: take a few seconds. A caller that is told "not run" at once can use an issued key.
MAX_WAITING_CLAIMS = 1_000

#: Bounds the memory of the cache: claims of about 500 bytes make 5 MB. An evicted claim
#: is read from the platform again.
MAX_CACHED_CLAIMS = 10_000

#: Seconds for which a claim's row is kept. After that, a repeat of a caller-generated
#: key counts as a new request.
CLAIM_RETENTION_S = 3_600.0

#: Seconds between two sweeps by an instance, each over one of 256 parts of the table.
#: Without sweeps, expired rows would fill the table: 78 claims a second (one in a
#: hundred requests) make 1,100 rows per part. 330 instances together sweep each part
#: every eight minutes, 8 instances every five hours.
SWEEP_INTERVAL_S = 600.0

#: Milliseconds after which a caller may retry while the platform is unavailable.
RETRY_AFTER_MS = 2_000


@dataclass(kw_only=True)
class PendingClaim:
    """A claim that has not been written yet."""

    #: Key of its row in the claims table.
    row_key: str
    claim: ClaimRow
    #: The key issued for it.
    key: IssuedKey
    #: The claim that the table holds in the end, or the failure if there is none.
    outcome: asyncio.Future[ClaimRow | Failure]


async def claim_caller_key(
    instance: Instance, team: str, key: CallerKey, body_hash: str
) -> IssuedKey | Failure:
    """Return the issued key of a caller-generated one, claiming it if it is new."""
    row_key = make_row_key(team, key.text)
    outcome = _find_cached(instance, row_key)
    if outcome is None:
        outcome = await _claim(instance, team, row_key, body_hash)
    if isinstance(outcome, Failure):
        return outcome
    _cache_claim(instance, row_key, outcome)
    found = read_key(instance, team, outcome.issued_key)
    if not isinstance(found, IssuedKey):
        detail = "The key's row was sealed with a secret that is gone."
        return make_failure(ResultCode.OUTCOME_UNKNOWN, detail)
    return found


def _find_cached(instance: Instance, row_key: str) -> ClaimRow | None:
    """Return a cached claim, so that a repeat here does not need the platform."""
    claim = instance.known_claims.get(row_key)
    cutoff = instance.read_wall_clock() - CLAIM_RETENTION_S
    return claim if claim is not None and claim.claimed_at > cutoff else None


def _cache_claim(instance: Instance, row_key: str, claim: ClaimRow) -> None:
    cache = instance.known_claims
    cache[row_key] = claim
    while len(cache) > MAX_CACHED_CLAIMS:
        del cache[next(iter(cache))]


async def _claim(
    instance: Instance, team: str, row_key: str, body_hash: str
) -> ClaimRow | Failure:
    pending = _make_pending(instance, team, row_key, body_hash)
    if len(instance.waiting_claims) >= MAX_WAITING_CLAIMS:
        return _refuse(instance, pending, "too many claims wait")
    instance.waiting_claims.append(pending)
    if instance.claim_writer is None or instance.claim_writer.done():
        instance.claim_writer = asyncio.create_task(_write_waiting(instance))
        instance.keep_task(instance.claim_writer)
    return await asyncio.shield(pending.outcome)


def _make_pending(
    instance: Instance, team: str, row_key: str, body_hash: str
) -> PendingClaim:
    key = issue_key(instance, team)
    claim = ClaimRow(
        issued_key=key.text,
        body_hash=body_hash,
        claimed_at=round(instance.read_wall_clock(), 3),
    )
    return PendingClaim(
        row_key=row_key,
        claim=claim,
        key=key,
        outcome=asyncio.get_running_loop().create_future(),
    )


def _refuse(instance: Instance, pending: PendingClaim, reason: str) -> Failure:
    """Close the issued key and return a failure that says "not run".

    The claim's write may still take effect later. Its row then names the closed key,
    so a repeat that finds the row gets the same result from the home or, if the home is
    gone, from the witness, which has no record.
    """
    failure = make_failure(
        ResultCode.STORE_UNAVAILABLE, reason, retry_after_ms=RETRY_AFTER_MS
    )
    end_refused(instance, pending.key, pending.claim.body_hash, failure)
    log_event("claim_refused", row=pending.row_key, reason=reason)
    return failure


async def _write_waiting(instance: Instance) -> None:
    while instance.waiting_claims:
        await asyncio.sleep(BATCH_WINDOW_S)
        claims = _dequeue_distinct(instance)
        try:
            await _write(instance, claims)
        finally:
            for pending in claims:
                if not pending.outcome.done():
                    failure = _refuse(instance, pending, "no word from the platform")
                    pending.outcome.set_result(failure)


def _dequeue_distinct(instance: Instance) -> list[PendingClaim]:
    """Dequeue the next claims, at most one per row: a later one finds the first's."""
    batch: dict[str, PendingClaim] = {}
    remaining = []
    for pending in instance.waiting_claims:
        if pending.row_key in batch or len(batch) == MAX_CLAIMS_PER_TRANSACTION:
            remaining.append(pending)
        else:
            batch[pending.row_key] = pending
    instance.waiting_claims = remaining
    return list(batch.values())


async def _write(instance: Instance, claims: Sequence[PendingClaim]) -> None:
    """Write claims in one transaction; retry without those already in the table."""
    remaining = list(claims)
    while remaining:
        result = await transact(
            instance.platform,
            conditions=[
                Condition(table=TABLE, key=pending.row_key, version=0)
                for pending in remaining
            ],
            writes=[
                Write(table=TABLE, key=pending.row_key, value=pack_claim(pending.claim))
                for pending in remaining
            ],
        )
        if isinstance(result, Conflict):
            for pending in remaining:
                if pending.row_key == result.row.key:
                    pending.outcome.set_result(unpack_claim(result.row.value))
            remaining = [item for item in remaining if not item.outcome.done()]
            continue
        await _RESULT_HANDLERS[type(result)](instance, remaining)
        return


async def _handle_committed(instance: Instance, claims: Sequence[PendingClaim]) -> None:
    for pending in claims:
        pending.outcome.set_result(pending.claim)


async def _handle_unavailable(
    instance: Instance, claims: Sequence[PendingClaim]
) -> None:
    """Leave the claims without an outcome, so that the caller refuses them."""


async def _handle_uncertain(instance: Instance, claims: Sequence[PendingClaim]) -> None:
    """Read the rows back after a lost reply; claims that cannot be read are refused."""
    for pending in claims:
        row = await read_row(instance.platform, TABLE, pending.row_key)
        if isinstance(row, PlatformUnavailable):
            return
        if row.version:
            pending.outcome.set_result(unpack_claim(row.value))


_RESULT_HANDLERS = {
    Committed: _handle_committed,
    PlatformUnavailable: _handle_unavailable,
    Uncertain: _handle_uncertain,
}


async def sweep_claims(instance: Instance) -> None:
    """Delete expired claims periodically, one part of the table at a time."""
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S * instance.generator.uniform(0.5, 1.5))
        await sweep_part(instance, f"{instance.generator.randrange(256):02x}")


async def sweep_part(instance: Instance, prefix: str) -> int:
    """Delete the expired claims of one part of the table; return their number."""
    rows = await list_rows(instance.platform, TABLE, prefix)
    if isinstance(rows, PlatformUnavailable):
        return 0
    cutoff = instance.read_wall_clock() - CLAIM_RETENTION_S
    old = [row for row in rows if unpack_claim(row.value).claimed_at < cutoff]
    old = old[:MAX_CLAIMS_PER_TRANSACTION]
    if not old:
        return 0
    result = await transact(
        instance.platform,
        conditions=[
            Condition(table=TABLE, key=row.key, version=row.version) for row in old
        ],
        writes=[Write(table=TABLE, key=row.key, value=None) for row in old],
    )
    return len(old) if isinstance(result, Committed) else 0
