"""Idempotency keys that the system hands out.

A key is a sealed prefix, which ends with a dot, and a suffix of the caller's own
choice. The prefix names the instances that keep the key, so any instance finds them
from the key alone, and it is bound to one team.
"""

import base64
import hashlib
import hmac
import json
import re
from collections.abc import Sequence
from dataclasses import dataclass

from fulmarward_core.membership import Incarnation

#: First characters of every prefix. A key that begins so and does not open is
#: refused, so that another team's key is never taken for one the caller invented.
PREFIX_MARK = "fk1."

#: Bytes of the seal. It guards nothing but the names inside; 12 are past guessing.
SEAL_BYTES = 12

#: Longest key taken, in characters. Harm: keys are kept in tables of other
#: instances; reason: a prefix has about 150 and a random suffix 36.
MOST_KEY_CHARACTERS = 400

#: A suffix may begin with a dot: callers join the parts with one of their own.
_SUFFIX = re.compile(r"[A-Za-z0-9._-]{1,128}")
_INVENTED = re.compile(r"[\x21-\x7e]{1,255}")


@dataclass(frozen=True, kw_only=True)
class KeyPrefix:
    """What a prefix says."""

    #: The instance that alone may dispatch requests of its keys.
    home: Incarnation
    #: The instance that must acknowledge each dispatch, if there is another one.
    witness: Incarnation | None
    #: When keys are last taken for new requests, seconds since 1970.
    expires_at: float


@dataclass(frozen=True, kw_only=True)
class HandedKey:
    """A key whose prefix the system handed out to this team."""

    #: The whole key, as the caller sent it.
    text: str
    #: What its prefix says.
    prefix: KeyPrefix


@dataclass(frozen=True, kw_only=True)
class InventedKey:
    """A key that the caller made up."""

    #: The key.
    text: str


def seal_prefix(prefix: KeyPrefix, *, team: str, secret: bytes) -> str:
    """Return `prefix` in a form that only `team` can use and nobody can change.

    It ends with the dot, so that a caller only appends its suffix.
    """
    witness = prefix.witness
    items = [
        prefix.home.name,
        prefix.home.boot,
        witness.name if witness else "",
        witness.boot if witness else 0,
        prefix.expires_at,
    ]
    body = json.dumps(items, separators=(",", ":")).encode()
    sealed = _compute_seal(body, team, secret) + body
    return PREFIX_MARK + base64.urlsafe_b64encode(sealed).decode().rstrip("=") + "."


def open_key(
    text: str, *, team: str, secrets: Sequence[bytes]
) -> HandedKey | InventedKey | None:
    """Return what a key is, or `None` for one that cannot be used by this team.

    All of `secrets` are tried: a key handed out before the fleet's secret was
    changed must still be found, or its request might be taken for another one.
    """
    if not text.startswith(PREFIX_MARK):
        return InventedKey(text=text) if _INVENTED.fullmatch(text) else None
    sealed, _, suffix = text[len(PREFIX_MARK) :].partition(".")
    if len(text) > MOST_KEY_CHARACTERS or not _SUFFIX.fullmatch(suffix):
        return None
    prefix = _open_prefix(sealed, team, secrets)
    return HandedKey(text=text, prefix=prefix) if prefix else None


def _open_prefix(sealed: str, team: str, secrets: Sequence[bytes]) -> KeyPrefix | None:
    try:
        raw = base64.urlsafe_b64decode(sealed.encode() + b"=" * (-len(sealed) % 4))
    except ValueError:
        return None
    seal, body = raw[:SEAL_BYTES], raw[SEAL_BYTES:]
    if not any(
        hmac.compare_digest(seal, _compute_seal(body, team, secret))
        for secret in secrets
    ):
        return None
    home, home_boot, witness, witness_boot, expires_at = json.loads(body)
    return KeyPrefix(
        home=Incarnation(name=home, boot=home_boot),
        witness=Incarnation(name=witness, boot=witness_boot) if witness else None,
        expires_at=expires_at,
    )


def _compute_seal(body: bytes, team: str, secret: bytes) -> bytes:
    message = team.encode() + b"\0" + body
    return hmac.new(secret, message, hashlib.sha256).digest()[:SEAL_BYTES]
