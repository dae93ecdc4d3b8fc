"""Helpers for tests that choose the home and witness of a key."""

import hashlib
import hmac

from fulmarward_core.keys import open_key
from fulmarward_standins.harness import PEER_SECRET, wait_until


def open_prefix(prefix, team="folha"):
    secret = hmac.new(
        PEER_SECRET.encode(), b"idempotency-keys", hashlib.sha256
    ).digest()
    return open_key(f"{prefix}a", team=team, secrets=[secret]).prefix


async def get_key(fleet, home, witness, suffix):
    """Request prefixes from `home` until one names `witness`."""

    async def ask():
        prefix = (await fleet.call(home, "/discovery")).body["idempotency_key_prefix"]
        return prefix if open_prefix(prefix).witness.name == witness else None

    return f"{await wait_until(ask, f'a prefix of {home} and {witness}')}{suffix}"
