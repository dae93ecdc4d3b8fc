"""Idempotency keys with a prefix that the system issues.

A key consists of a sealed prefix, which ends with a dot, and a suffix that the caller
chooses. The prefix names the instances that store the key, so that any instance finds
them from the key alone, and is bound to one team.
"""

import base64
import hashlib
import hmac
import json
import re
from collections.abc import Sequence
from dataclasses import dataclass

from fulmarward_core.membership import Incarnation

#: First characters of every prefix. A key that starts with them and fails verification
#: is refused, so that another team's key is never taken for one that the caller chose.
PREFIX_MARK = "fk1."

#: Bytes of the truncated HMAC. It protects only the names inside, and 12 bytes cannot
#: be guessed.
MAC_BYTES = 12

#: Maximum length of a key, which bounds the tables of other instances that store it. A
#: prefix has about 150 characters and a random suffix 36.
MAX_KEY_LENGTH = 400

#: A suffix may start with a dot, since callers join the parts with a dot of their own.
_SUFFIX = re.compile(r"[A-Za-z0-9._-]{1,128}")
_CALLER_CHOSEN = re.compile(r"[\x21-\x7e]{1,255}")


@dataclass(frozen=True, kw_only=True)
class KeyPrefix:
    """The content of a prefix."""

    #: The only instance that may dispatch requests with these keys.
    home: Incarnation
    #: The instance that must acknowledge each dispatch; `None` without other instances.
    witness: Incarnation | None
    #: Time until which keys are accepted for new requests, in seconds since 1970.
    expires_at: float


@dataclass(frozen=True, kw_only=True)
class IssuedKey:
    """A key whose prefix the system issued to this team."""

    #: The whole key as the caller sent it.
    text: str
    prefix: KeyPrefix


@dataclass(frozen=True, kw_only=True)
class CallerKey:
    """A key that the caller chose, without an issued prefix."""

    text: str


def seal_prefix(prefix: KeyPrefix, *, team: str, secret: bytes) -> str:
    """Return `prefix` with an HMAC that binds it to `team` and prevents changes.

    The result ends with the dot, so that a caller only appends its suffix.
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
    sealed = _compute_mac(body, team, secret) + body
    return PREFIX_MARK + base64.urlsafe_b64encode(sealed).decode().rstrip("=") + "."


def open_key(
    text: str, *, team: str, secrets: Sequence[bytes]
) -> IssuedKey | CallerKey | None:
    """Return the parsed key, or `None` if this team cannot use it.

    All of `secrets` are tried: a key issued before the fleet's secret was changed must
    still be recognised, otherwise its request might be taken for a different one.
    """
    if not text.startswith(PREFIX_MARK):
        return CallerKey(text=text) if _CALLER_CHOSEN.fullmatch(text) else None
    sealed, _, suffix = text[len(PREFIX_MARK) :].partition(".")
    if len(text) > MAX_KEY_LENGTH or not _SUFFIX.fullmatch(suffix):
        return None
    prefix = _open_prefix(sealed, team, secrets)
    return IssuedKey(text=text, prefix=prefix) if prefix else None


def _open_prefix(sealed: str, team: str, secrets: Sequence[bytes]) -> KeyPrefix | None:
    try:
        raw = base64.urlsafe_b64decode(sealed.encode() + b"=" * (-len(sealed) % 4))
    except ValueError:
        return None
    mac, body = raw[:MAC_BYTES], raw[MAC_BYTES:]
    if not any(
        hmac.compare_digest(mac, _compute_mac(body, team, secret)) for secret in secrets
    ):
        return None
    home, home_boot, witness, witness_boot, expires_at = json.loads(body)
    return KeyPrefix(
        home=Incarnation(name=home, boot=home_boot),
        witness=Incarnation(name=witness, boot=witness_boot) if witness else None,
        expires_at=expires_at,
    )


def _compute_mac(body: bytes, team: str, secret: bytes) -> bytes:
    message = team.encode() + b"\0" + body
    return hmac.new(secret, message, hashlib.sha256).digest()[:MAC_BYTES]
