"""Contacts instances without a link, and synchronises member tables with peers."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.membership._updates import make_ping, merge_rumours
from fulmarward.peers import MembersRequest, PeerLinks, PeerLost, SyncMembers
from fulmarward_core.membership import (
    Member,
    is_newer,
    list_unconnected_addresses,
    select_differing,
    select_neighbours,
)

#: Seconds to wait for a peer's answer, including the time to open a link.
ANSWER_TIMEOUT_S = 1.0

#: Peers with which a new instance synchronises its table before it is ready.
PEERS_SYNCED_AT_START = 3

#: Mean seconds between two attempts to contact an instance that is not a live member.
#: After a partition that cut off half of the fleet for an hour, some thirty of 330
#: instances try each second, and one successful contact is enough to heal it.
CONTACT_INTERVAL_S = 10.0


async def ping(instance: Instance, links: PeerLinks, address: str) -> int:
    """Exchange heartbeats and return the peer's table digest; raises `PeerLost`."""
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await _exchange_heartbeats(instance, links, address)
    except TimeoutError as error:
        raise PeerLost("no answer in time", is_sent=True) from error


async def _exchange_heartbeats(
    instance: Instance, links: PeerLinks, address: str
) -> int:
    peer = await links.find_member(address)
    instance.metrics.control_messages.add({"kind": "ping", "direction": "sent"}, 1)
    answer = await links.call(address, make_ping(instance, peer), ANSWER_TIMEOUT_S)
    merge_rumours(instance, (peer, *answer.rumours))
    instance.note_epoch(answer.epoch, address)
    return answer.digest


async def sync_tables(instance: Instance, links: PeerLinks, address: str) -> None:
    """Synchronise the member table with a peer's; raises `PeerLost`."""
    table = instance.members
    asked = MembersRequest(digests=tuple(table.digests))
    instance.metrics.control_messages.add({"kind": "sync", "direction": "sent"}, 1)
    theirs = await links.call(address, asked, ANSWER_TIMEOUT_S)
    merge_rumours(instance, theirs.members)
    known = {member.name: member for member in theirs.members}
    own = select_differing(table, theirs.digests)
    newer_here = tuple(item for item in own if is_newer(item, known.get(item.name)))
    if newer_here:
        await links.call(address, SyncMembers(members=newer_here), ANSWER_TIMEOUT_S)


async def _contact(instance: Instance, links: PeerLinks, address: str) -> Member | None:
    """Contact the instance at `address`; return its member, or `None` on failure."""
    try:
        await ping(instance, links, address)
        await sync_tables(instance, links, address)
        return await links.find_member(address)
    except PeerLost:
        return None


async def contact_first_peers(instance: Instance, links: PeerLinks) -> None:
    """Synchronise with the first reachable seeds and listed instances.

    The tables of a few peers are enough: they contain all other members, and this
    instance's last run, whose boot number the new one has to exceed before anything
    is handed out in its name.
    """
    contacted = 0
    addresses = list_unconnected_addresses(
        instance.members, instance.settings.seed_peers
    )
    instance.generator.shuffle(addresses)
    for address in addresses:
        contacted += await _contact(instance, links, address) is not None
        if contacted >= PEERS_SYNCED_AT_START:
            return


async def contact_missing_members(instance: Instance, links: PeerLinks) -> None:
    """Periodically try to contact a seed, listed or formerly known instance."""
    while True:
        await asyncio.sleep(CONTACT_INTERVAL_S * instance.generator.uniform(0.5, 1.5))
        addresses = list_unconnected_addresses(
            instance.members, instance.settings.seed_peers
        )
        if not addresses:
            continue
        address = instance.generator.choice(addresses)
        member = await _contact(instance, links, address)
        if member is None or member.name not in select_neighbours(instance.members):
            await links.drop(address)
