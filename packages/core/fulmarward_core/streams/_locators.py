"""Locators, from which any instance can resume a stream.

Each event's `id:` consists of a sealed locator, a digest of the texts so far and the
event's number. It is all that an instance that never saw the request needs to attach to
the engine's stream again. So a stream outlives the instance that started it, without
any stored state.
"""

import base64
import hashlib
import hmac
import json
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

#: Bytes of the truncated HMAC. 12 bytes cannot be guessed in the minutes that a stream
#: lasts.
MAC_BYTES = 12

#: Length of a prompt's digest in hex digits.
DIGEST_LENGTH = 12


@dataclass(frozen=True, kw_only=True)
class Stage:
    """One target of a stream and the layers that it runs."""

    target: str
    #: First layer, and one past the last.
    layers: tuple[int, int]


@dataclass(frozen=True, kw_only=True)
class Locator:
    """Identifies a stream at its engines, and states what resuming it depends on."""

    #: Id of the request.
    request: str
    #: Number of the attempt.
    attempt: int
    #: The targets in the order of their layers; one if it runs the whole model.
    stages: tuple[Stage, ...]
    pipeline: str
    #: Configuration epoch at the start of the request.
    epoch: int
    #: Time by which the stream must end, in seconds since 1970.
    deadline_at: float
    #: Digest of the prompt, which detects a resumption with a different prompt.
    digest: str = ""
    #: Whether the request may run more than once, which an idempotency key rules out.
    idempotent: bool = False


def seal_locator(locator: Locator, *, team: str, secret: bytes) -> str:
    """Return `locator` with an HMAC that binds it to `team` and prevents changes."""
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
    return _encode(_compute_mac(body, team, secret) + body)


def open_locator(sealed: str, *, team: str, secret: bytes) -> Locator | None:
    """Return the locator, or `None` if it was not sealed with `secret` for `team`."""
    try:
        raw = base64.urlsafe_b64decode(sealed.encode() + b"=" * (-len(sealed) % 4))
    except ValueError:
        return None
    mac, body = raw[:MAC_BYTES], raw[MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(body, team, secret)):
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
    """Return the digest for a locator; short, as it only has to detect mistakes."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:DIGEST_LENGTH]


@dataclass(frozen=True, kw_only=True)
class EventId:
    """The parts of an event's id."""

    #: The sealed locator.
    sealed: str
    #: Number of the event, starting at 1.
    number: int
    #: Digest of all texts up to the event, empty if the id has none.
    digest: str


def make_event_id(sealed: str, number: int, digest: str = "") -> str:
    """Return the `id:` of event `number`, starting at 1.

    With the digest of the texts so far, a new attempt on another target can resume at
    the same position when the texts are lost, such as when the instance and the engine
    fail together with their data centre.
    """
    digest_part = f"~{digest}" if digest else ""
    return f"{sealed}{digest_part}.{number}"


def parse_event_id(event_id: str) -> EventId | None:
    """Return the parts of an event id, or `None` if it is malformed."""
    head, _, number = event_id.rpartition(".")
    sealed, _, digest = head.partition("~")
    is_number = number.isascii() and number.isdigit() and len(number) < 10
    if not sealed or not is_number:
        return None
    return EventId(sealed=sealed, number=int(number), digest=digest)


class TextDigest:
    """Incremental digest of an answer's texts.

    32 bits suffice: it detects engines whose answers differ. Callers who forge a digest
    can only corrupt their own answer.
    """

    def __init__(self) -> None:
        self._state = xxhash.xxh32()

    def add(self, text: str) -> str:
        """Add the next text and return the digest of all texts up to it."""
        self._state.update(f"{len(text)}:{text}".encode())
        return self._state.hexdigest()


def digest_texts(texts: Iterable[str]) -> str:
    """Return the digest of `texts`, empty if there are none."""
    digest, state = "", TextDigest()
    for text in texts:
        digest = state.add(text)
    return digest


def _compute_mac(body: bytes, team: str, secret: bytes) -> bytes:
    message = team.encode() + b"\0" + body
    return hmac.new(secret, message, hashlib.sha256).digest()[:MAC_BYTES]


def _encode(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")
