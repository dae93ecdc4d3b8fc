"""At-most-once execution of requests that carry an idempotency key."""

from fulmarward.keys._calls import answer_forwarded_call, execute_call, make_call_end
from fulmarward.keys._claims import PendingClaim, claim_caller_key, sweep_claims
from fulmarward.keys._home import open_at_home
from fulmarward.keys._prefixes import (
    hash_body,
    is_home,
    issue_key,
    issue_prefix,
    make_local_key,
    read_key,
)
from fulmarward.keys._relay import answer_forwarded_completion, open_relayed
from fulmarward.keys._witness import answer_record, answer_takeover, answer_update

__all__ = [
    "PendingClaim",
    "answer_update",
    "answer_record",
    "answer_takeover",
    "claim_caller_key",
    "execute_call",
    "answer_forwarded_completion",
    "answer_forwarded_call",
    "hash_body",
    "make_local_key",
    "is_home",
    "make_call_end",
    "issue_key",
    "issue_prefix",
    "open_at_home",
    "open_relayed",
    "read_key",
    "sweep_claims",
]
