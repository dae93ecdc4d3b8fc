"""Retention of entries and answers, and what a missing entry proves."""

from collections.abc import Mapping

from fulmarward_core.keys._types import (
    ClaimDecision,
    KeyEntry,
    StoredAnswers,
    WitnessRecord,
)

#: Maximum number of entries in a table, so that an instance stays within 256 MB of
#: memory. 24 requests/s for each of 330 instances, kept for 11 minutes, make 16,000
#: entries; three times that number at about 600 bytes each takes 30 MB.
MAX_ENTRIES = 50_000

#: Seconds for which an entry is retained after its key has expired. Afterwards nobody
#: can tell whether the request ran; callers give up long before.
RETAIN_S = 60.0

#: Maximum total size of the answers stored in a table: an eighth of the 256 MB of
#: memory for each of the two tables.
MAX_STORED_BYTES = 32_000_000

#: Entries checked for removal per call, which spreads the cost over calls.
MAX_CHECKS_PER_CALL = 4


def check_age(expires_at: float, now: float) -> ClaimDecision | None:
    """Return why a key without an entry cannot be new, `None` if it can be.

    Guards against a late repeat that runs again after its entry was removed. Entries
    are retained for `RETAIN_S` after the key expires. Until then a missing entry proves
    that nothing ran, and no request starts after the key has expired.
    """
    if now > expires_at + RETAIN_S:
        return ClaimDecision.TOO_OLD
    return ClaimDecision.EXPIRED if now > expires_at else None


def store_answer(stored: StoredAnswers, key: str, size: int, drop_at: float) -> None:
    stored.items.append((key, drop_at, size))
    stored.bytes += size


def drop_answers(
    stored: StoredAnswers, entries: Mapping[str, KeyEntry | WitnessRecord], now: float
) -> None:
    while stored.items and (
        stored.items[0][1] < now or stored.bytes > MAX_STORED_BYTES
    ):
        key, _, size = stored.items.popleft()
        stored.bytes -= size
        if key in entries:
            entries[key].answer = None
