"""News of leaving targets and summaries of pools, between neighbours.

News goes to all neighbours at once; in each round one neighbour is asked whether it
has the same records, which heals what a lost message left out, and gets the summaries
it lacks.
"""

import asyncio

from fulmarward._instance import Instance
from fulmarward.health._leaving import hear_records
from fulmarward.health._summaries import hear_summaries, take_unsent
from fulmarward.peers import (
    HealthNews,
    LeavingNews,
    LeavingSync,
    Nothing,
    PeerLinks,
    PeerLost,
)
from fulmarward_core.health import LeavingRecord, compute_leaving_digest
from fulmarward_core.membership import Member, select_neighbours

#: Seconds between two rounds. Load: 330 instances with 9 neighbours each; harm: bytes
#: of the 4 KB/s; reason: news does not wait for a round.
ROUND_S = 3.0

#: Seconds that a peer has to answer.
ANSWER_S = 2.0

#: Records in one message. Load: a data centre that leaves whole; harm: frames that
#: hold up heartbeats on the same link; reason: some 6 KB each.
MOST_RECORDS = 200


async def answer_leaving(
    instance: Instance, peer: Member, message: LeavingNews
) -> Nothing:
    """Take in a peer's news; what is new here goes on to the own neighbours."""
    hear_records(instance, message.records)
    return Nothing()


async def answer_leaving_sync(
    instance: Instance, peer: Member, message: LeavingSync
) -> LeavingSync:
    """Take in all records of a peer and answer with the own ones."""
    hear_records(instance, message.records)
    return LeavingSync(records=tuple(instance.leaving.records.values()))


async def answer_health(
    instance: Instance, peer: Member, message: HealthNews
) -> HealthNews:
    """Take in a peer's summaries and answer with those that it lacks."""
    hear_summaries(instance, peer.name, message.summaries)
    return _make_health_news(instance, peer.name)


def _make_health_news(instance: Instance, peer: str) -> HealthNews:
    return HealthNews(
        digest=compute_leaving_digest(instance.leaving),
        summaries=take_unsent(instance, peer),
    )


async def _exchange(instance: Instance, links: PeerLinks, name: str) -> None:
    """Compare notes with one neighbour."""
    address = instance.members.members[name].peer_address
    try:
        own = _make_health_news(instance, name)
        theirs = await links.call(address, own, ANSWER_S)
        hear_summaries(instance, name, theirs.summaries)
        if theirs.digest == compute_leaving_digest(instance.leaving):
            return
        records = tuple(instance.leaving.records.values())
        answer = await links.call(address, LeavingSync(records=records), ANSWER_S)
        hear_records(instance, answer.records)
    except PeerLost:
        return


async def _tell(links: PeerLinks, address: str, message: LeavingNews) -> None:
    try:
        await links.call(address, message, ANSWER_S)
    except PeerLost:
        return


def _push(instance: Instance, links: PeerLinks, records: list[LeavingRecord]) -> None:
    """Send news to all neighbours, none waiting for another."""
    for first in range(0, len(records), MOST_RECORDS):
        message = LeavingNews(records=tuple(records[first : first + MOST_RECORDS]))
        for name in select_neighbours(instance.members):
            address = instance.members.members[name].peer_address
            telling = _tell(links, address, message)
            instance.keep_task(asyncio.create_task(telling))


async def _wait_for_news(instance: Instance, until: float) -> bool:
    try:
        async with asyncio.timeout(max(until - instance.read_clock(), 0.0)):
            await instance.news_came.wait()
    except TimeoutError:
        return False
    instance.news_came.clear()
    return True


async def run_gossip(instance: Instance, links: PeerLinks) -> None:
    """Push news as it comes, and compare notes with one neighbour each round."""
    turn = 0
    next_round = instance.read_clock()
    while True:
        if await _wait_for_news(instance, next_round):
            records, instance.unsent_news = instance.unsent_news, []
            _push(instance, links, records)
            continue
        next_round = instance.read_clock() + ROUND_S * instance.generator.uniform(
            0.8, 1.2
        )
        neighbours = select_neighbours(instance.members)
        if neighbours:
            name = neighbours[turn % len(neighbours)]
            exchanging = _exchange(instance, links, name)
            instance.keep_task(asyncio.create_task(exchanging))
            turn += 1
