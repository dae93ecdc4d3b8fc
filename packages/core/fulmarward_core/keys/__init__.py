"""Idempotency keys: at-most-once execution without a write to the platform."""

from fulmarward_core.keys._prefixes import (
    HandedKey,
    InventedKey,
    KeyPrefix,
    open_key,
    seal_prefix,
)
from fulmarward_core.keys._types import (
    AttemptPlace,
    Claim,
    KeyEntry,
    KeyState,
    KeyTable,
    RecordState,
    RecordStep,
    ResultCopy,
    WitnessRecord,
    WitnessTable,
)
from fulmarward_core.keys.decisions import (
    Conclusion,
    claim_key,
    conclude_closing,
    conclude_take,
    end_key,
    list_closable,
    note_record,
    record_attempt,
    take_key,
)

__all__ = [
    "AttemptPlace",
    "Claim",
    "Conclusion",
    "HandedKey",
    "InventedKey",
    "KeyEntry",
    "KeyPrefix",
    "KeyState",
    "KeyTable",
    "RecordState",
    "RecordStep",
    "ResultCopy",
    "WitnessRecord",
    "WitnessTable",
    "claim_key",
    "conclude_closing",
    "conclude_take",
    "end_key",
    "list_closable",
    "note_record",
    "open_key",
    "record_attempt",
    "seal_prefix",
    "take_key",
]
