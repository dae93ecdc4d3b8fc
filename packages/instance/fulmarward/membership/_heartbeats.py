"""Heartbeats to the neighbours in the ring, one task for each."""

import asyncio
import logging

from fulmarward._instance import Instance
from fulmarward.membership._hearing import hear_of
from fulmarward.membership._listing import read_list, read_lists
from fulmarward.membership._meeting import (
    level_tables,
    meet_peers,
    meet_strangers,
    ping,
)
from fulmarward.observability import log_event
from fulmarward.peers import AskProbe, PeerLinks, PeerLost, Probed
from fulmarward_core.membership import (
    Member,
    Miss,
    choose_heartbeat,
    choose_probers,
    combine_digests,
    find_dead,
    forget_dead,
    judge_miss,
    select_neighbours,
    worsen_member,
)

#: Seconds between two looks at the ring and the suspicions.
LOOK_S = 0.5

#: Least seconds between two heartbeats on one link, whatever news there is.
LEAST_GAP_S = 0.2

#: Heartbeats in a row with differing digests and no rumours before tables are
#: levelled. Harm: tables sent while the rumours that level them are on their way.
MOST_DIFFERING = 2

#: Seconds that another has to try a silent member.
PROBE_S = 1.5


def _list_neighbours(instance: Instance) -> list[str]:
    """Return the neighbours in the ring, computed once for each change."""
    table = instance.members
    if instance.neighbours_revision != table.revision:
        instance.neighbours = select_neighbours(table)
        instance.neighbours_revision = table.revision
    return instance.neighbours


async def answer_probe(
    links: PeerLinks, instance: Instance, peer: Member, message: AskProbe
) -> Probed:
    """Try a member that a peer does not reach."""
    try:
        await ping(instance, links, message.peer_address)
        member = await links.find_member(message.peer_address)
    except PeerLost:
        return Probed(has_answered=False)
    finally:
        if message.name not in _list_neighbours(instance):
            await links.drop(message.peer_address)
    return Probed(has_answered=member.name == message.name)


async def _is_reached_by_others(
    instance: Instance, links: PeerLinks, name: str, address: str
) -> bool:
    asked = AskProbe(name=name, peer_address=address)

    async def ask(prober: Member) -> bool:
        try:
            answer = await links.call(prober.peer_address, asked, PROBE_S)
        except PeerLost:
            return False
        return answer.has_answered

    probers = choose_probers(instance.members, name, instance.generator)
    answers = await asyncio.gather(*(ask(prober) for prober in probers))
    return any(answers)


async def _judge_silence(
    instance: Instance, links: PeerLinks, member: Member, misses: int, refused: bool
) -> None:
    """Say that a neighbour is suspect once others do not reach it either."""
    await links.drop(member.peer_address)
    if judge_miss(misses, is_refused=refused) is Miss.TRY_AGAIN:
        return
    pauses = instance.pauses
    is_reached = await _is_reached_by_others(
        instance, links, member.name, member.peer_address
    )
    log_event(
        "neighbour_silent",
        level=logging.WARNING,
        member=member.name,
        misses=misses,
        refused=refused,
        reached_by_others=is_reached,
    )
    # The silence of a pause was this instance's own.
    if not is_reached and instance.pauses == pauses and not instance.has_paused():
        hear_of(instance, (worsen_member(member),))


async def _wait_for_beat(instance: Instance, name: str, misses: int) -> None:
    """Wait for the next heartbeat's time, or for news that cannot wait.

    The first that was missed is repeated at once: each second until a loss is
    noticed is one in which callers are sent there.
    """
    stirred = instance.news_stirred
    seconds = choose_heartbeat(_list_neighbours(instance), name)
    await asyncio.sleep(LEAST_GAP_S)
    if misses == 1:
        return
    try:
        async with asyncio.timeout(seconds - LEAST_GAP_S):
            await stirred.wait()
    except TimeoutError:
        return


async def _beat(instance: Instance, links: PeerLinks, name: str) -> None:
    """Send heartbeats to one neighbour until it is one no more."""
    misses = differing = 0
    while name in _list_neighbours(instance):
        member = instance.members.members[name]
        try:
            digest = await ping(instance, links, member.peer_address)
            misses = 0
            is_settled = not instance.members.untold
            is_different = digest != combine_digests(instance.members)
            differing = differing + 1 if is_settled and is_different else 0
            if differing >= MOST_DIFFERING:
                differing = 0
                await level_tables(instance, links, member.peer_address)
        except PeerLost as lost:
            misses += 1
            await _judge_silence(instance, links, member, misses, lost.is_refused)
        await _wait_for_beat(instance, name, misses)
    await _drop_unless_neighbour(instance, links, name)


async def _drop_unless_neighbour(
    instance: Instance, links: PeerLinks, name: str
) -> None:
    """Close the link to one that is a neighbour no more, so that links stay few."""
    member = instance.members.members.get(name)
    if member is not None and name not in _list_neighbours(instance):
        await links.drop(member.peer_address)


def _check_suspects(instance: Instance) -> None:
    now = instance.read_clock()
    hear_of(instance, tuple(find_dead(instance.members, now=now)))
    for name in forget_dead(instance.members, now=now):
        log_event("member_forgotten", member=name)


async def _watch_ring(instance: Instance, links: PeerLinks) -> None:
    """Keep one heartbeat task for each neighbour, and watch over the suspects."""
    beats: dict[str, asyncio.Task] = {}
    try:
        while True:
            for name in [name for name, task in beats.items() if task.done()]:
                beats.pop(name).result()
            for name in _list_neighbours(instance):
                if name not in beats:
                    beats[name] = asyncio.create_task(_beat(instance, links, name))
            _check_suspects(instance)
            await asyncio.sleep(LOOK_S)
    finally:
        for task in beats.values():
            task.cancel()


async def run_membership(instance: Instance, links: PeerLinks) -> None:
    """Meet the fleet, then keep the member table fresh."""
    await read_list(instance)
    await meet_peers(instance, links)
    instance.met_peers.set()
    async with asyncio.TaskGroup() as group:
        group.create_task(_watch_ring(instance, links))
        group.create_task(meet_strangers(instance, links))
        group.create_task(read_lists(instance))
