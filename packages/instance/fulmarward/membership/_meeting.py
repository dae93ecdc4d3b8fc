"""Meeting instances with which no link stands, and levelling member tables."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.membership._hearing import hear_of, make_ping
from fulmarward.peers import AskMembers, PeerLinks, PeerLost, SyncMembers
from fulmarward_core.membership import (
    Member,
    is_newer,
    list_strangers,
    select_differing,
    select_neighbours,
)

#: Seconds that a peer has to answer, a new link to it included.
ANSWER_S = 1.0

#: Peers with which a new instance levels its table before it is ready.
LEVELLED_AT_START = 3

#: Seconds between two tries to meet a stranger, on average. Load: a fleet of which
#: one half was cut off for an hour; reason: of 330 instances some thirty try each
#: second, and one that gets through is enough.
STRANGER_S = 10.0


async def ping(instance: Instance, links: PeerLinks, address: str) -> int:
    """Exchange heartbeats and return the peer's digest; raises `PeerLost`."""
    try:
        async with asyncio.timeout(ANSWER_S):
            return await _exchange_heartbeats(instance, links, address)
    except TimeoutError as error:
        raise PeerLost("no answer in time", is_sent=True) from error


async def _exchange_heartbeats(
    instance: Instance, links: PeerLinks, address: str
) -> int:
    peer = await links.find_member(address)
    instance.metrics.control_messages.add({"kind": "ping", "direction": "sent"}, 1)
    answer = await links.call(address, make_ping(instance, peer), ANSWER_S)
    hear_of(instance, (peer, *answer.rumours))
    instance.note_epoch(answer.epoch, address)
    return answer.digest


async def level_tables(instance: Instance, links: PeerLinks, address: str) -> None:
    """Make this table and the peer's say the same; raises `PeerLost`."""
    table = instance.members
    asked = AskMembers(digests=tuple(table.digests))
    instance.metrics.control_messages.add({"kind": "sync", "direction": "sent"}, 1)
    theirs = await links.call(address, asked, ANSWER_S)
    hear_of(instance, theirs.members)
    known = {member.name: member for member in theirs.members}
    own = select_differing(table, theirs.digests)
    better = tuple(item for item in own if is_newer(item, known.get(item.name)))
    if better:
        await links.call(address, SyncMembers(members=better), ANSWER_S)


async def _meet(instance: Instance, links: PeerLinks, address: str) -> Member | None:
    """Greet whoever listens at `address`; return who it is."""
    try:
        await ping(instance, links, address)
        await level_tables(instance, links, address)
        return await links.find_member(address)
    except PeerLost:
        return None


async def meet_peers(instance: Instance, links: PeerLinks) -> None:
    """Meet the first peers, from the seeds and the platform's list.

    The tables of a few are enough: they name all others, and this instance's last
    run, whose boot the new one has to exceed before anything is handed out in its
    name.
    """
    met = 0
    addresses = list_strangers(instance.members, instance.settings.seed_peers)
    instance.generator.shuffle(addresses)
    for address in addresses:
        met += await _meet(instance, links, address) is not None
        if met >= LEVELLED_AT_START:
            return


async def meet_strangers(instance: Instance, links: PeerLinks) -> None:
    """Try now and then to meet somebody who is listed or was known."""
    while True:
        await asyncio.sleep(STRANGER_S * instance.generator.uniform(0.5, 1.5))
        strangers = list_strangers(instance.members, instance.settings.seed_peers)
        if not strangers:
            continue
        address = instance.generator.choice(strangers)
        member = await _meet(instance, links, address)
        if member is None or member.name not in select_neighbours(instance.members):
            await links.drop(address)
