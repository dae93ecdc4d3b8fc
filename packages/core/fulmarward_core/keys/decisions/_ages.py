"""How long entries and answers are kept, and what their absence proves."""

from collections.abc import Mapping

from fulmarward_core.keys._types import (
    Claim,
    KeptAnswers,
    KeyEntry,
    WitnessRecord,
)

#: Entries of one table. Load: 24 requests/s for each of 330 instances, kept for 11
#: minutes, make 16,000; harm: memory past 256 MB; reason: three times that load at
#: about 600 bytes each is 30 MB.
MOST_ENTRIES = 50_000

#: Seconds that a key's entry outlives the key's time. Harm: after it nobody can say
#: whether the request ran; reason: callers give up long before.
RETAIN_S = 60.0

#: Bytes of kept answers in one table. Harm: memory past 256 MB; reason: an eighth of
#: it for each of the two tables.
MOST_KEPT_BYTES = 32_000_000

#: Entries looked at for dropping at each call, so that no call pays for all.
DROPS_AT_ONCE = 4


def judge_age(expires_at: float, now: float) -> Claim | None:
    """Return why a key without an entry is not new, by its age.

    Guards against a late repeat running again after its entry was dropped. Entries
    outlive the key's time by `RETAIN_S`: until then a missing one proves that
    nothing ran, and after the key's time nothing begins.
    """
    if now > expires_at + RETAIN_S:
        return Claim.TOO_OLD
    return Claim.EXPIRED if now > expires_at else None


def keep_answer(kept: KeptAnswers, key: str, size: int, drop_at: float) -> None:
    kept.items.append((key, drop_at, size))
    kept.bytes += size


def forget_answers(
    kept: KeptAnswers, entries: Mapping[str, KeyEntry | WitnessRecord], now: float
) -> None:
    while kept.items and (kept.items[0][1] < now or kept.bytes > MOST_KEPT_BYTES):
        key, _, size = kept.items.popleft()
        kept.bytes -= size
        if key in entries:
            entries[key].answer = None
