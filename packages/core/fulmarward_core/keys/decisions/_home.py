"""Decisions of a key's home: claims and ends of requests."""

from fulmarward_core.keys._types import (
    ClaimDecision,
    KeyEntry,
    KeyState,
    KeyTable,
)
from fulmarward_core.keys.decisions._ages import (
    MAX_CHECKS_PER_CALL,
    MAX_ENTRIES,
    RETAIN_S,
    check_age,
    drop_answers,
    store_answer,
)
from fulmarward_core.results import Failure, ResultCode, make_failure

_CLAIMS = {
    (KeyState.RUNNING, True): ClaimDecision.ATTACH,
    (KeyState.ENDED, True): ClaimDecision.ATTACH,
    (KeyState.ENDED, False): ClaimDecision.REPORT_OUTCOME,
}


def claim_key(
    table: KeyTable, key: str, *, body_hash: str, expires_at: float, now: float
) -> tuple[ClaimDecision, KeyEntry | None]:
    """Decide on a call with a key, and add an entry if the key is new."""
    table.latest_time = max(table.latest_time, now)
    drop_answers(table.stored_answers, table.entries, table.latest_time)
    _drop_entries(table)
    entry = table.entries.get(key)
    if entry is not None:
        if entry.body_hash != body_hash:
            return ClaimDecision.OTHER_BODY, None
        return _CLAIMS[entry.state, entry.answer is not None], entry
    refusal = check_age(expires_at, table.latest_time)
    if refusal is None and len(table.entries) >= MAX_ENTRIES:
        refusal = ClaimDecision.FULL
    if refusal is not None:
        return refusal, None
    entry = KeyEntry(
        body_hash=body_hash, state=KeyState.RUNNING, drop_at=expires_at + RETAIN_S
    )
    table.entries[key] = entry
    return ClaimDecision.START, entry


def end_key(
    table: KeyTable,
    key: str,
    *,
    failure: Failure | None,
    size: int,
    keep_s: float,
    now: float,
) -> None:
    """Record that a key's request ended; its answer is stored for `keep_s`."""
    table.latest_time = max(table.latest_time, now)
    entry = table.entries.get(key)
    if entry is None or entry.state is KeyState.ENDED:
        return
    entry.state = KeyState.ENDED
    entry.outcome = failure or make_failure(ResultCode.ALREADY_RAN)
    entry.drop_at = max(entry.drop_at, table.latest_time + RETAIN_S)
    store_answer(table.stored_answers, key, size, table.latest_time + keep_s)
    drop_answers(table.stored_answers, table.entries, table.latest_time)


def remove_key(table: KeyTable, key: str) -> None:
    """Remove a key whose request failed and may run again, as it is idempotent."""
    table.entries.pop(key, None)


def _drop_entries(table: KeyTable) -> None:
    entries = table.entries
    for _ in range(min(MAX_CHECKS_PER_CALL, len(entries))):
        key = next(iter(entries))
        if entries[key].drop_at >= table.latest_time:
            return
        entry = entries.pop(key)
        if entry.state is KeyState.RUNNING:
            entries[key] = entry
