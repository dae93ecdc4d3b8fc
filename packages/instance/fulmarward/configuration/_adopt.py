"""The task that puts newer configuration in force on this instance."""

import asyncio
import json
import logging
from collections.abc import AsyncIterator

from fulmarward._instance import Instance
from fulmarward.configuration._heads import HEAD_KEY, HEAD_TABLE, parse_head
from fulmarward.observability import log_event
from fulmarward.peers import (
    AskBody,
    AskHead,
    Body,
    HeadNews,
    PeerLinks,
    PeerLost,
)
from fulmarward.platform import PlatformOut, fetch_object, read_row
from fulmarward_core.configuration import Adoption, Head, Snapshot, decide_adoption
from fulmarward_core.declaration import hash_declaration, parse_declaration
from fulmarward_core.membership import Member, MemberState

#: Seconds between two looks at the platform's head. 330 instances read it 66 times a
#: second, of the platform's two thousand; news from peers is faster than that.
POLL_S = 5.0

#: Seconds that a peer has to send a body.
BODY_S = 5.0


async def answer_head(instance: Instance, peer: Member, message: AskHead) -> HeadNews:
    """Tell a peer the head in force here."""
    return HeadNews(head=instance.snapshot.head)


async def answer_body(instance: Instance, peer: Member, message: AskBody) -> Body:
    """Send a peer a body; empty when it is not known here."""
    return Body(text=instance.bodies.get(message.content_hash, b""))


def _list_peers(instance: Instance) -> list[str]:
    """Return addresses of live peers, near ones first."""
    peers = [
        member
        for member in instance.members.members.values()
        if member.name != instance.member.name and member.state is MemberState.ALIVE
    ]
    own = instance.settings.data_centre
    peers.sort(key=lambda member: (member.data_centre != own, member.name))
    known = [member.peer_address for member in peers]
    seeds = [seed for seed in instance.settings.seed_peers if seed not in known]
    own_address = instance.settings.peer_address
    return [address for address in known + seeds if address != own_address]


async def _offer_heads(instance: Instance, links: PeerLinks) -> AsyncIterator[Head]:
    """Yield the heads that the platform and, if it is out, the peers have."""
    row = await read_row(instance.platform, HEAD_TABLE, HEAD_KEY)
    if not isinstance(row, PlatformOut):
        yield parse_head(row)
        if instance.known_epoch <= instance.snapshot.head.epoch:
            return
    for address in _list_peers(instance):
        try:
            answer = await links.call(address, AskHead(), BODY_S)
        except PeerLost:
            continue
        yield answer.head


async def _offer_bodies(
    instance: Instance, links: PeerLinks, content_hash: str
) -> AsyncIterator[bytes]:
    """Yield what the platform and then the peers send as the body of a hash."""
    body = await fetch_object(instance.platform, content_hash)
    if isinstance(body, bytes):
        yield body
    for address in _list_peers(instance):
        try:
            answer = await links.call(
                address, AskBody(content_hash=content_hash), BODY_S
            )
        except PeerLost:
            continue
        yield answer.text


def open_body(text: bytes, head: Head) -> Snapshot | None:
    """Return the snapshot of a body, or `None` when it is not the head's whole body.

    Guards against a damaged or foreign body: only content with the head's hash, that
    passes every check, is ever in force.
    """
    try:
        value = json.loads(text)
    except ValueError:
        return None
    if not isinstance(value, dict) or hash_declaration(value) != head.content_hash:
        return None
    declaration = parse_declaration(value)
    if isinstance(declaration, tuple):
        return None
    return Snapshot(head=head, declaration=declaration)


async def _adopt(instance: Instance, links: PeerLinks, head: Head) -> None:
    async for text in _offer_bodies(instance, links, head.content_hash):
        snapshot = open_body(text, head)
        if snapshot is None:
            log_event("configuration_refused", level=logging.WARNING, epoch=head.epoch)
            continue
        instance.bodies = {head.content_hash: text}
        instance.adopt_snapshot(snapshot)
        log_event("configuration_adopted", epoch=head.epoch, hash=head.content_hash)
        return


async def _look(instance: Instance, links: PeerLinks) -> None:
    async for head in _offer_heads(instance, links):
        decision = decide_adoption(current=instance.snapshot.head, offered=head)
        if decision is Adoption.ADOPT:
            await _adopt(instance, links, head)
        elif decision is not Adoption.SAME:
            log_event(
                "configuration_ignored",
                epoch=head.epoch,
                reason=decision.value,
                in_force=instance.snapshot.head.epoch,
            )


async def run_adoption(instance: Instance, links: PeerLinks) -> None:
    """Look for newer configuration now and then, and at once on news from a peer."""
    while True:
        await _look(instance, links)
        try:
            async with asyncio.timeout(POLL_S):
                await instance.epoch_heard.wait()
        except TimeoutError:
            continue
        instance.epoch_heard.clear()
