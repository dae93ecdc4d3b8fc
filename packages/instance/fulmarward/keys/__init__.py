"""At-most-once execution of requests that carry an idempotency key."""

from fulmarward.keys._calls import execute_call, forward_call, make_call_end
from fulmarward.keys._claims import PendingClaim, claim_invented, sweep_claims
from fulmarward.keys._home import open_at_home
from fulmarward.keys._prefixes import (
    hash_body,
    hold_here,
    is_home,
    mint_key,
    mint_prefix,
    read_key,
)
from fulmarward.keys._relay import forward_answer, open_relayed
from fulmarward.keys._witness import answer_note, answer_record, answer_take

__all__ = [
    "PendingClaim",
    "answer_note",
    "answer_record",
    "answer_take",
    "claim_invented",
    "execute_call",
    "forward_answer",
    "forward_call",
    "hash_body",
    "hold_here",
    "is_home",
    "make_call_end",
    "mint_key",
    "mint_prefix",
    "open_at_home",
    "open_relayed",
    "read_key",
    "sweep_claims",
]
