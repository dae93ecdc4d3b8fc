"""Claiming keys that callers invented, in the platform's table, many at a time.

A claim gives an invented key one that is handed out: from then on it is kept by a home
and a witness like any other, and the platform is asked no more.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.keys._home import end_refused
from fulmarward.keys._prefixes import mint_key, read_key
from fulmarward.observability import log_event
from fulmarward.platform import (
    Committed,
    Condition,
    Conflict,
    PlatformOut,
    Uncertain,
    Write,
    list_rows,
    read_row,
    transact,
)
from fulmarward_core.keys import (
    ClaimRow,
    HandedKey,
    InventedKey,
    make_row_key,
    pack_claim,
    unpack_claim,
)
from fulmarward_core.results import Failure, ResultCode, make_failure

#: The table of claims.
TABLE = "claims"

#: Seconds in which claims gather for one transaction. Load: 24 requests/s for each of
#: 330 instances, a part of them with invented keys; harm: a write for each is past
#: what the platform takes; reason: far below a first token's 1.6 s. While a
#: transaction is under way or waits for the instance's share, more gather.
WINDOW_S = 0.01

#: Claims of one transaction. Harm: one that is too large for the platform; reason:
#: about 400 bytes each make 40 KB.
MOST_AT_ONCE = 100

#: Claims that wait. Harm: memory and callers held up while the platform is slow;
#: reason: ten transactions are a few seconds, and a caller that hears "not run" at
#: once can take a handed key.
MOST_WAITING = 1_000

#: Claims that an instance remembers. Harm: memory; reason: about 500 bytes each make
#: 5 MB, and one that is forgotten is read from the platform.
MOST_KNOWN = 10_000

#: Seconds that a claim's row is kept. After it an invented key is new again.
KEEP_S = 3_600.0

#: Seconds between two sweeps of an instance, each of one of 256 parts of the table.
#: Load: 78 claims a second, one in a hundred requests, make 1,100 rows a part; harm:
#: rows that nobody deletes fill the table; reason: 330 instances visit each part
#: every eight minutes, 8 instances every five hours.
SWEEP_S = 600.0

#: When a caller may come back while the platform is out, in milliseconds.
RETRY_AFTER_MS = 2_000


@dataclass(kw_only=True)
class PendingClaim:
    """One claim that waits for its transaction."""

    #: Its row.
    row_key: str
    claim: ClaimRow
    #: The key handed out for it.
    key: HandedKey
    #: The claim that stands in the table in the end, or why there is none.
    outcome: asyncio.Future[ClaimRow | Failure]


async def claim_invented(
    instance: Instance, team: str, key: InventedKey, body_hash: str
) -> HandedKey | Failure:
    """Return the handed key that stands for an invented one, claiming it if new."""
    row_key = make_row_key(team, key.text)
    outcome = _find_known(instance, row_key)
    if outcome is None:
        outcome = await _claim(instance, team, row_key, body_hash)
    if isinstance(outcome, Failure):
        return outcome
    _remember(instance, row_key, outcome)
    found = read_key(instance, team, outcome.handed)
    if not isinstance(found, HandedKey):
        detail = "The key's row was sealed with a secret that is gone."
        return make_failure(ResultCode.OUTCOME_UNKNOWN, detail)
    return found


def _find_known(instance: Instance, row_key: str) -> ClaimRow | None:
    """Return a claim met before, so that a repeat here does not need the platform."""
    claim = instance.known_claims.get(row_key)
    horizon = instance.read_wall_clock() - KEEP_S
    return claim if claim is not None and claim.claimed_at > horizon else None


def _remember(instance: Instance, row_key: str, claim: ClaimRow) -> None:
    known = instance.known_claims
    known[row_key] = claim
    while len(known) > MOST_KNOWN:
        del known[next(iter(known))]


async def _claim(
    instance: Instance, team: str, row_key: str, body_hash: str
) -> ClaimRow | Failure:
    pending = _make_pending(instance, team, row_key, body_hash)
    if len(instance.waiting_claims) >= MOST_WAITING:
        return _refuse(instance, pending, "too many claims wait")
    instance.waiting_claims.append(pending)
    if instance.claim_writer is None or instance.claim_writer.done():
        instance.claim_writer = asyncio.create_task(_write_waiting(instance))
        instance.keep_task(instance.claim_writer)
    return await asyncio.shield(pending.outcome)


def _make_pending(
    instance: Instance, team: str, row_key: str, body_hash: str
) -> PendingClaim:
    handed = mint_key(instance, team)
    claim = ClaimRow(
        handed=handed.text,
        body_hash=body_hash,
        claimed_at=round(instance.read_wall_clock(), 3),
    )
    return PendingClaim(
        row_key=row_key,
        claim=claim,
        key=handed,
        outcome=asyncio.get_running_loop().create_future(),
    )


def _refuse(instance: Instance, pending: PendingClaim, reason: str) -> Failure:
    """Close the handed key, then say that nothing ran.

    Guards against a claim whose write takes effect later: its row names the handed
    key, and a repeat that finds the row is told the same, by the home or, once that
    is gone, by the witness, which has no record.
    """
    failure = make_failure(
        ResultCode.STORE_UNAVAILABLE, reason, retry_after_ms=RETRY_AFTER_MS
    )
    end_refused(instance, pending.key, pending.claim.body_hash, failure)
    log_event("claim_refused", row=pending.row_key, reason=reason)
    return failure


async def _write_waiting(instance: Instance) -> None:
    while instance.waiting_claims:
        await asyncio.sleep(WINDOW_S)
        claims = _take_distinct(instance)
        try:
            await _write(instance, claims)
        finally:
            for pending in claims:
                if not pending.outcome.done():
                    failure = _refuse(instance, pending, "no word from the platform")
                    pending.outcome.set_result(failure)


def _take_distinct(instance: Instance) -> list[PendingClaim]:
    """Take the next claims out, no two of one row: the second finds the first's."""
    taken: dict[str, PendingClaim] = {}
    left = []
    for pending in instance.waiting_claims:
        if pending.row_key in taken or len(taken) == MOST_AT_ONCE:
            left.append(pending)
        else:
            taken[pending.row_key] = pending
    instance.waiting_claims = left
    return list(taken.values())


async def _write(instance: Instance, claims: Sequence[PendingClaim]) -> None:
    """Write claims in one transaction, and again without those that others made."""
    open_claims = list(claims)
    while open_claims:
        result = await transact(
            instance.platform,
            conditions=[
                Condition(table=TABLE, key=pending.row_key, version=0)
                for pending in open_claims
            ],
            writes=[
                Write(table=TABLE, key=pending.row_key, value=pack_claim(pending.claim))
                for pending in open_claims
            ],
        )
        if isinstance(result, Conflict):
            for pending in open_claims:
                if pending.row_key == result.row.key:
                    pending.outcome.set_result(unpack_claim(result.row.value))
            open_claims = [item for item in open_claims if not item.outcome.done()]
            continue
        await _END_WRITE[type(result)](instance, open_claims)
        return


async def _end_committed(instance: Instance, claims: Sequence[PendingClaim]) -> None:
    for pending in claims:
        pending.outcome.set_result(pending.claim)


async def _end_out(instance: Instance, claims: Sequence[PendingClaim]) -> None:
    """Leave the claims without an outcome; they are refused."""


async def _end_uncertain(instance: Instance, claims: Sequence[PendingClaim]) -> None:
    """Read back what stands after a reply was lost; what cannot be read is refused."""
    for pending in claims:
        row = await read_row(instance.platform, TABLE, pending.row_key)
        if isinstance(row, PlatformOut):
            return
        if row.version:
            pending.outcome.set_result(unpack_claim(row.value))


_END_WRITE = {
    Committed: _end_committed,
    PlatformOut: _end_out,
    Uncertain: _end_uncertain,
}


async def sweep_claims(instance: Instance) -> None:
    """Delete old claims, a part of the table at a time, for as long as it runs."""
    while True:
        await asyncio.sleep(SWEEP_S * instance.generator.uniform(0.5, 1.5))
        await sweep_part(instance, f"{instance.generator.randrange(256):02x}")


async def sweep_part(instance: Instance, prefix: str) -> int:
    """Delete the old claims of one part of the table; return how many."""
    rows = await list_rows(instance.platform, TABLE, prefix)
    if isinstance(rows, PlatformOut):
        return 0
    horizon = instance.read_wall_clock() - KEEP_S
    old = [row for row in rows if unpack_claim(row.value).claimed_at < horizon]
    old = old[:MOST_AT_ONCE]
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
