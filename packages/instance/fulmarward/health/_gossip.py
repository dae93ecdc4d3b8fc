"""Gossip of leaving targets and pool summaries between neighbours.

New records are pushed to all neighbours at once. In each round the digest of the
records is compared with one neighbour's, which repairs lost messages, and the
summaries that either side lacks are exchanged.
"""

import asyncio

from fulmarward._instance import Instance
from fulmarward.health._leaving import merge_records
from fulmarward.health._summaries import merge_summaries, take_unsent
from fulmarward.peers import (
    Ack,
    LeavingSync,
    LeavingUpdate,
    PeerLinks,
    PeerLost,
    SummaryExchange,
)
from fulmarward_core.health import LeavingRecord, compute_leaving_digest
from fulmarward_core.membership import Member, select_neighbours

#: Seconds between two rounds. With 330 instances and 9 neighbours each, rounds must fit
#: the budget of 4 KB/s. They may be rare, as new records don't wait for a round.
ROUND_INTERVAL_S = 3.0

#: Seconds to wait for a peer's answer.
ANSWER_TIMEOUT_S = 2.0

#: Records in one message, about 6 KB. When a whole data centre leaves, larger frames
#: would delay heartbeats on the same link.
MAX_RECORDS_PER_MESSAGE = 200


async def answer_leaving(
    instance: Instance, peer: Member, message: LeavingUpdate
) -> Ack:
    """Merge a peer's records; those that are new here are pushed to neighbours."""
    merge_records(instance, message.records)
    return Ack()


async def answer_leaving_sync(
    instance: Instance, peer: Member, message: LeavingSync
) -> LeavingSync:
    """Merge all records of a peer and answer with those of this instance."""
    merge_records(instance, message.records)
    return LeavingSync(records=tuple(instance.leaving.records.values()))


async def answer_summaries(
    instance: Instance, peer: Member, message: SummaryExchange
) -> SummaryExchange:
    """Merge a peer's summaries and answer with those that it lacks."""
    merge_summaries(instance, peer.name, message.summaries)
    return _make_summary_exchange(instance, peer.name)


def _make_summary_exchange(instance: Instance, peer: str) -> SummaryExchange:
    return SummaryExchange(
        digest=compute_leaving_digest(instance.leaving),
        summaries=take_unsent(instance, peer),
    )


async def _sync_with(instance: Instance, links: PeerLinks, name: str) -> None:
    """Exchange summaries, and leaving records if they differ, with a neighbour."""
    address = instance.members.members[name].peer_address
    try:
        own = _make_summary_exchange(instance, name)
        theirs = await links.call(address, own, ANSWER_TIMEOUT_S)
        merge_summaries(instance, name, theirs.summaries)
        if theirs.digest == compute_leaving_digest(instance.leaving):
            return
        records = tuple(instance.leaving.records.values())
        answer = await links.call(
            address, LeavingSync(records=records), ANSWER_TIMEOUT_S
        )
        merge_records(instance, answer.records)
    except PeerLost:
        return


async def _send_records(links: PeerLinks, address: str, message: LeavingUpdate) -> None:
    try:
        await links.call(address, message, ANSWER_TIMEOUT_S)
    except PeerLost:
        return


def _push(instance: Instance, links: PeerLinks, records: list[LeavingRecord]) -> None:
    """Send records to all neighbours concurrently."""
    for first in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
        message = LeavingUpdate(
            records=tuple(records[first : first + MAX_RECORDS_PER_MESSAGE])
        )
        for name in select_neighbours(instance.members):
            address = instance.members.members[name].peer_address
            sending = _send_records(links, address, message)
            instance.keep_task(asyncio.create_task(sending))


async def _wait_for_records(instance: Instance, until: float) -> bool:
    try:
        async with asyncio.timeout(max(until - instance.read_clock(), 0.0)):
            await instance.records_pending.wait()
    except TimeoutError:
        return False
    instance.records_pending.clear()
    return True


async def run_gossip(instance: Instance, links: PeerLinks) -> None:
    """Push new records at once, and exchange state with one neighbour each round."""
    turn = 0
    next_round = instance.read_clock()
    while True:
        if await _wait_for_records(instance, next_round):
            records, instance.unsent_records = instance.unsent_records, []
            _push(instance, links, records)
            continue
        next_round = (
            instance.read_clock()
            + ROUND_INTERVAL_S * instance.generator.uniform(0.8, 1.2)
        )
        neighbours = select_neighbours(instance.members)
        if neighbours:
            name = neighbours[turn % len(neighbours)]
            exchanging = _sync_with(instance, links, name)
            instance.keep_task(asyncio.create_task(exchanging))
            turn += 1
