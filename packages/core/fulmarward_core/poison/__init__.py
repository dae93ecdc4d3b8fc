"""Requests, and parts of prompts, that crash the targets that run them."""

from fulmarward_core.poison._fingerprint import (
    compute_fingerprint,
    compute_head_fingerprint,
    find_head_fingerprint,
)
from fulmarward_core.poison._rows import is_block_row
from fulmarward_core.poison._table import (
    BLOCK_RETENTION_S,
    MAX_PATTERNS,
    PoisonTable,
    SeenPattern,
)
from fulmarward_core.poison.decisions import (
    MIN_PROVEN_EVENTS,
    SUSPENSION_S,
    CrashRecord,
    PoisonFinding,
    Verdict,
    find_poison,
)

__all__ = [
    "BLOCK_RETENTION_S",
    "MAX_PATTERNS",
    "MIN_PROVEN_EVENTS",
    "SUSPENSION_S",
    "CrashRecord",
    "PoisonFinding",
    "PoisonTable",
    "SeenPattern",
    "Verdict",
    "compute_fingerprint",
    "compute_head_fingerprint",
    "find_head_fingerprint",
    "find_poison",
    "is_block_row",
]
