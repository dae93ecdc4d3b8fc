"""Locators: what any instance needs to go on with a stream.

Each event's `id:` is a sealed locator and the event's number. An instance that
never saw the request can attach to the engine's stream again from this alone, so a
stream outlives the instance that began it, with nothing written anywhere.
"""

import base64
import hashlib
import hmac
import json
from dataclasses import dataclass

#: Bytes of the seal. 12 bytes are past guessing for the minutes a stream lives.
SEAL_BYTES = 12

#: Letters of a prompt's digest.
DIGEST_LETTERS = 12


@dataclass(frozen=True, kw_only=True)
class Stage:
    """One target of a stream and the layers it runs."""

    #: Name of the target.
    target: str
    #: First layer, and one past the last.
    layers: tuple[int, int]


@dataclass(frozen=True, kw_only=True)
class Locator:
    """The names under which engines know a stream."""

    #: Id of the request.
    request: str
    #: Number of the attempt.
    attempt: int
    #: The targets in the order of their layers; one for a whole model.
    stages: tuple[Stage, ...]
    #: Name of the pipeline.
    pipeline: str
    #: Configuration epoch that the request began with.
    epoch: int
    #: When the stream has to be over, seconds since 1970.
    deadline_at: float
    #: Digest of the prompt; another prompt asks for another answer.
    digest: str = ""
    #: Whether the request may run more than once; a key makes it one that may not.
    idempotent: bool = False


def seal_locator(locator: Locator, *, team: str, secret: bytes) -> str:
    """Return `locator` in a form that only `team` can use and nobody can change."""
    stages = [[stage.target, *stage.layers] for stage in locator.stages]
    items = [
        locator.request,
        locator.attempt,
        stages,
        locator.pipeline,
        locator.epoch,
        locator.deadline_at,
        locator.digest,
        int(locator.idempotent),
    ]
    body = json.dumps(items, separators=(",", ":")).encode()
    return _encode(_compute_seal(body, team, secret) + body)


def open_locator(sealed: str, *, team: str, secret: bytes) -> Locator | None:
    """Return the locator, or `None` when it is not one of ours for this team."""
    try:
        raw = base64.urlsafe_b64decode(sealed.encode() + b"=" * (-len(sealed) % 4))
    except ValueError:
        return None
    seal, body = raw[:SEAL_BYTES], raw[SEAL_BYTES:]
    if not hmac.compare_digest(seal, _compute_seal(body, team, secret)):
        return None
    items = json.loads(body)
    request, attempt, stages, pipeline, epoch, deadline_at, digest, idempotent = items
    return Locator(
        request=request,
        attempt=attempt,
        stages=tuple(
            Stage(target=target, layers=(first, end)) for target, first, end in stages
        ),
        pipeline=pipeline,
        epoch=epoch,
        deadline_at=deadline_at,
        digest=digest,
        idempotent=bool(idempotent),
    )


def digest_prompt(prompt: str) -> str:
    """Return the digest that a locator carries, short since it guards mistakes only."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:DIGEST_LETTERS]


def make_event_id(sealed: str, number: int) -> str:
    """Return the `id:` of event `number`; events count from 1."""
    return f"{sealed}.{number}"


def split_event_id(event_id: str) -> tuple[str, int] | None:
    """Return the sealed locator and the number, or `None` for a malformed id."""
    sealed, _, number = event_id.rpartition(".")
    is_number = number.isascii() and number.isdigit() and len(number) < 10
    return (sealed, int(number)) if sealed and is_number else None


def _compute_seal(body: bytes, team: str, secret: bytes) -> bytes:
    message = team.encode() + b"\0" + body
    return hmac.new(secret, message, hashlib.sha256).digest()[:SEAL_BYTES]


def _encode(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")
