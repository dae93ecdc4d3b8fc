"""Idempotency keys: at-most-once execution without a write to the platform."""

from fulmarward_core.keys._claims import (
    ClaimRow,
    make_row_key,
    pack_claim,
    unpack_claim,
)
from fulmarward_core.keys._prefixes import (
    CallerKey,
    IssuedKey,
    KeyPrefix,
    open_key,
    seal_prefix,
)
from fulmarward_core.keys._types import (
    AttemptPlace,
    ClaimDecision,
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
    conclude_takeover,
    list_closable,
)
from fulmarward_core.keys.decisions._home import claim_key, end_key, remove_key
from fulmarward_core.keys.decisions._witness import (
    record_attempt,
    take_over_key,
    update_record,
)

__all__ = [
    "AttemptPlace",
    "ClaimDecision",
    "ClaimRow",
    "Conclusion",
    "IssuedKey",
    "CallerKey",
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
    "conclude_takeover",
    "end_key",
    "remove_key",
    "list_closable",
    "make_row_key",
    "update_record",
    "open_key",
    "pack_claim",
    "record_attempt",
    "seal_prefix",
    "take_over_key",
    "unpack_claim",
]
