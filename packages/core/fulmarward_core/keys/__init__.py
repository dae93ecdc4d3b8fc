"""Idempotency keys: at-most-once execution without a write to the platform."""

from fulmarward_core.keys._claims import (
    ClaimRow,
    make_row_key,
    pack_claim,
    unpack_claim,
)
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
    RecordVerdict,
    ResultCopy,
    WitnessRecord,
    WitnessTable,
)
from fulmarward_core.keys.decisions._conclusions import (
    Conclusion,
    conclude_closing,
    conclude_take,
    list_closable,
)
from fulmarward_core.keys.decisions._home import claim_key, end_key, forget_key
from fulmarward_core.keys.decisions._witness import (
    note_record,
    record_attempt,
    take_key,
)

__all__ = [
    "AttemptPlace",
    "Claim",
    "ClaimRow",
    "Conclusion",
    "HandedKey",
    "InventedKey",
    "KeyEntry",
    "KeyPrefix",
    "KeyState",
    "KeyTable",
    "RecordState",
    "RecordStep",
    "RecordVerdict",
    "ResultCopy",
    "WitnessRecord",
    "WitnessTable",
    "claim_key",
    "conclude_closing",
    "conclude_take",
    "end_key",
    "forget_key",
    "list_closable",
    "make_row_key",
    "note_record",
    "open_key",
    "pack_claim",
    "record_attempt",
    "seal_prefix",
    "take_key",
    "unpack_claim",
]
