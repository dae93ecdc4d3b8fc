"""Fetches the bodies of a head from the platform or from peers."""

import logging
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.peers import BodyReply, BodyRequest, PeerLinks, PeerLost
from fulmarward.platform import fetch_object
from fulmarward_core.declaration import hash_body, parse_manifest
from fulmarward_core.membership import Member

#: Seconds that a peer has to send a body.
BODY_TIMEOUT_S = 5.0


@dataclass(frozen=True, kw_only=True)
class Source:
    """The platform or a peer, from which bodies can be fetched."""

    #: Name for the log.
    name: str
    #: Returns the body for a content hash, `None` if it is not available.
    fetch: Callable[[str], Awaitable[bytes | None]]


def make_platform_source(instance: Instance) -> Source:
    """Return the platform's object store as a source."""

    async def fetch(content_hash: str) -> bytes | None:
        body = await fetch_object(instance.platform, content_hash)
        return body if isinstance(body, bytes) else None

    return Source(name="platform", fetch=fetch)


def make_peer_source(links: PeerLinks, address: str) -> Source:
    """Return the peer at `address` as a source."""

    async def fetch(content_hash: str) -> bytes | None:
        try:
            answer = await links.call(
                address, BodyRequest(content_hash=content_hash), BODY_TIMEOUT_S
            )
        except PeerLost:
            return None
        return answer.text or None

    return Source(name=address, fetch=fetch)


async def answer_body(
    instance: Instance, peer: Member, message: BodyRequest
) -> BodyReply:
    """Send a body to a peer, an empty one if it is not known here."""
    return BodyReply(text=instance.bodies.get(message.content_hash, b""))


async def _fetch_body(content_hash: str, sources: list[Source]) -> bytes | None:
    """Return a body from the first source that has it undamaged.

    A source that fails, or sends a body without the requested hash, is removed from
    `sources` and not asked again during this fetch.
    """
    while sources:
        body = await sources[0].fetch(content_hash)
        if body is not None and hash_body(body) == content_hash:
            return body
        source = sources.pop(0)
        log_event(
            "body_fetch_failed",
            level=logging.WARNING,
            hash=content_hash,
            source=source.name,
            reason="absent" if body is None else "damaged",
        )
    return None


async def fetch_bodies(
    held: Mapping[str, bytes], content_hash: str, sources: Sequence[Source]
) -> dict[str, bytes] | None:
    """Return the manifest of `content_hash` and all its parts, or `None`.

    Only bodies that are not in `held` are fetched.
    """
    left = list(sources)
    manifest_body = held.get(content_hash) or await _fetch_body(content_hash, left)
    manifest = None if manifest_body is None else parse_manifest(manifest_body)
    if manifest is None:
        return None
    bodies = {content_hash: manifest_body}
    for part_hash in manifest.values():
        body = held.get(part_hash) or await _fetch_body(part_hash, left)
        if body is None:
            return None
        bodies[part_hash] = body
    return bodies
