"""Claims of keys that callers invented: rows that name a key handed out for them."""

import hashlib
from dataclasses import dataclass
from typing import Any

#: Letters of a row's key, 128 bits of the hash over team and key.
ROW_KEY_LETTERS = 32


@dataclass(frozen=True, kw_only=True)
class ClaimRow:
    """What a claim's row says."""

    #: The key handed out in place of the invented one; it names home and witness.
    handed: str
    #: Hash of the body that it was claimed with.
    body_hash: str
    #: When it was claimed, seconds since 1970.
    claimed_at: float


def make_row_key(team: str, key: str) -> str:
    """Return the row's key of a team's invented key: spread evenly, one team's own."""
    digest = hashlib.sha256(f"{team}\0{key}".encode())
    return digest.hexdigest()[:ROW_KEY_LETTERS]


def pack_claim(claim: ClaimRow) -> list[Any]:
    """Return the row's value."""
    return [claim.handed, claim.body_hash, claim.claimed_at]


def unpack_claim(value: Any) -> ClaimRow:  # noqa: ANN401
    """Return the claim in a row's value."""
    handed, body_hash, claimed_at = value
    return ClaimRow(handed=handed, body_hash=body_hash, claimed_at=claimed_at)
