"""Claims of keys that callers chose: rows that map them to issued keys."""

import hashlib
from dataclasses import dataclass
from typing import Any

#: Length of a row's key: 128 bits of the hash over team and key, in hex.
ROW_KEY_LENGTH = 32


@dataclass(frozen=True, kw_only=True)
class ClaimRow:
    """The content of a claim's row."""

    #: The key issued in place of the caller's; it names home and witness.
    issued_key: str
    #: Hash of the body of the claiming request.
    body_hash: str
    #: Time of the claim, in seconds since 1970.
    claimed_at: float


def make_row_key(team: str, key: str) -> str:
    """Return the row key of a team's key; hashing spreads rows and separates teams."""
    digest = hashlib.sha256(f"{team}\0{key}".encode())
    return digest.hexdigest()[:ROW_KEY_LENGTH]


def pack_claim(claim: ClaimRow) -> list[Any]:
    """Return the value of the claim's row."""
    return [claim.issued_key, claim.body_hash, claim.claimed_at]


def unpack_claim(value: Any) -> ClaimRow:  # noqa: ANN401
    """Return the claim from the value of its row."""
    issued_key, body_hash, claimed_at = value
    return ClaimRow(issued_key=issued_key, body_hash=body_hash, claimed_at=claimed_at)
