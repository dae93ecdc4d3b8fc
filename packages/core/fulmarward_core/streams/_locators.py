"""Locators: what any instance needs to go on with a stream.

Each event's `id:` is a sealed locator, a digest of the texts so far and the event's
number. An instance that
never saw the request can attach to the engine's stream again from this alone, so a
stream outlives the instance that began it, with nothing written anywhere.
"""

import base64
import hashlib
import hmac
import json
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

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


@dataclass(frozen=True, kw_only=True)
class EventId:
    """What an event's id says."""

    #: The sealed locator.
    sealed: str
    #: Number of the event; events count from 1.
    number: int
    #: Digest of all texts up to the event, empty where there is none.
    digest: str


def make_event_id(sealed: str, number: int, digest: str = "") -> str:
    """Return the `id:` of event `number`; events count from 1.

    The digest of the texts so far lets another attempt on another target go on at the
    same place when nobody has those texts any more: their instance and their engine
    were lost together, with a data centre.
    """
    mark = f"~{digest}" if digest else ""
    return f"{sealed}{mark}.{number}"


def split_event_id(event_id: str) -> EventId | None:
    """Return what an id says, or `None` for a malformed one."""
    head, _, number = event_id.rpartition(".")
    sealed, _, digest = head.partition("~")
    is_number = number.isascii() and number.isdigit() and len(number) < 10
    if not sealed or not is_number:
        return None
    return EventId(sealed=sealed, number=int(number), digest=digest)


class TextDigest:
    """The digest of an answer's texts, kept up to date text by text.

    32 bits: it guards against engines that differ, not against callers, who could
    only spoil their own answer with a false one.
    """

    def __init__(self) -> None:
        self._state = xxhash.xxh32()

    def add(self, text: str) -> str:
        """Take in the next text; return the digest of all texts up to it."""
        self._state.update(f"{len(text)}:{text}".encode())
        return self._state.hexdigest()


def digest_texts(texts: Iterable[str]) -> str:
    """Return the digest of `texts`, empty for none."""
    digest, state = "", TextDigest()
    for text in texts:
        digest = state.add(text)
    return digest


def _compute_seal(body: bytes, team: str, secret: bytes) -> bytes:
    message = team.encode() + b"\0" + body
    return hmac.new(secret, message, hashlib.sha256).digest()[:SEAL_BYTES]


def _encode(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")
