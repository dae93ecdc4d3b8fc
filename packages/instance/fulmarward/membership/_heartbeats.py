"""Sends heartbeats to the ring neighbours, with one task for each."""

import asyncio
import logging

from fulmarward._instance import Instance
from fulmarward.membership._platform_list import poll_platform_list, read_platform_list
from fulmarward.membership._sync import (
    contact_first_peers,
    contact_missing_members,
    ping,
    sync_tables,
)
from fulmarward.membership._updates import merge_rumours
from fulmarward.observability import log_event
from fulmarward.peers import PeerLinks, PeerLost, ProbeReply, ProbeRequest
from fulmarward_core.membership import (
    Member,
    MissAction,
    choose_heartbeat,
    choose_miss_action,
    choose_probers,
    combine_digests,
    downgrade_member,
    find_dead,
    forget_dead,
    select_neighbours,
)

#: Seconds between two checks of the neighbour set and of suspected members.
CHECK_INTERVAL_S = 0.5

#: Minimum seconds between two heartbeats on one link, even with urgent updates.
MIN_INTERVAL_S = 0.2

#: Consecutive heartbeats with differing digests and no pending updates before tables
#: are synchronised. With fewer, tables would be sent while the updates that make them
#: equal are still on their way.
MAX_DIFFERING_DIGESTS = 2

#: Seconds that a peer has to probe a silent member.
PROBE_TIMEOUT_S = 1.5


def _list_neighbours(instance: Instance) -> list[str]:
    """Return the ring neighbours, recomputed only when the table has changed."""
    table = instance.members
    if instance.neighbours_revision != table.revision:
        instance.neighbours = select_neighbours(table)
        instance.neighbours_revision = table.revision
    return instance.neighbours


async def answer_probe(
    links: PeerLinks, instance: Instance, peer: Member, message: ProbeRequest
) -> ProbeReply:
    """Probe a member that a peer cannot reach."""
    try:
        await ping(instance, links, message.peer_address)
        member = await links.find_member(message.peer_address)
    except PeerLost:
        return ProbeReply(has_answered=False)
    finally:
        if message.name not in _list_neighbours(instance):
            await links.drop(message.peer_address)
    return ProbeReply(has_answered=member.name == message.name)


async def _is_reached_by_others(
    instance: Instance, links: PeerLinks, name: str, address: str
) -> bool:
    asked = ProbeRequest(name=name, peer_address=address)

    async def ask(prober: Member) -> bool:
        try:
            answer = await links.call(prober.peer_address, asked, PROBE_TIMEOUT_S)
        except PeerLost:
            return False
        return answer.has_answered

    probers = choose_probers(instance.members, name, instance.generator)
    answers = await asyncio.gather(*(ask(prober) for prober in probers))
    return any(answers)


async def _handle_miss(
    instance: Instance, links: PeerLinks, member: Member, misses: int, refused: bool
) -> None:
    """Mark a neighbour as suspect if other instances cannot reach it either."""
    await links.drop(member.peer_address)
    if choose_miss_action(misses, is_refused=refused) is MissAction.TRY_AGAIN:
        return
    pauses = instance.pauses
    is_reached = await _is_reached_by_others(
        instance, links, member.name, member.peer_address
    )
    log_event(
        "heartbeat_missed",
        level=logging.WARNING,
        member=member.name,
        misses=misses,
        refused=refused,
        reached_by_others=is_reached,
    )
    # If this instance was paused, the missed answers say nothing about the member.
    if not is_reached and instance.pauses == pauses and not instance.has_paused():
        merge_rumours(instance, (downgrade_member(member),))


async def _wait_for_heartbeat(instance: Instance, name: str, misses: int) -> None:
    """Wait until the next heartbeat is due or an update is urgent.

    After the first missed heartbeat the next one is sent as soon as `MIN_INTERVAL_S`
    allows: until a failure is detected, callers are still sent to the failed instance.
    """
    urgent_update = instance.urgent_update
    seconds = choose_heartbeat(_list_neighbours(instance), name)
    await asyncio.sleep(MIN_INTERVAL_S)
    if misses == 1:
        return
    try:
        async with asyncio.timeout(seconds - MIN_INTERVAL_S):
            await urgent_update.wait()
    except TimeoutError:
        return


async def _run_heartbeats(instance: Instance, links: PeerLinks, name: str) -> None:
    """Send heartbeats to one member for as long as it is a neighbour."""
    misses = differing = 0
    while name in _list_neighbours(instance):
        member = instance.members.members[name]
        try:
            digest = await ping(instance, links, member.peer_address)
            misses = 0
            is_settled = not instance.members.pending_transmissions
            is_different = digest != combine_digests(instance.members)
            differing = differing + 1 if is_settled and is_different else 0
            if differing >= MAX_DIFFERING_DIGESTS:
                differing = 0
                await sync_tables(instance, links, member.peer_address)
        except PeerLost as lost:
            misses += 1
            await _handle_miss(instance, links, member, misses, lost.is_refused)
        await _wait_for_heartbeat(instance, name, misses)
    await _drop_unless_neighbour(instance, links, name)


async def _drop_unless_neighbour(
    instance: Instance, links: PeerLinks, name: str
) -> None:
    """Close the link to a former neighbour, to bound the number of open links."""
    member = instance.members.members.get(name)
    if member is not None and name not in _list_neighbours(instance):
        await links.drop(member.peer_address)


def _check_suspects(instance: Instance) -> None:
    now = instance.read_clock()
    merge_rumours(instance, tuple(find_dead(instance.members, now=now)))
    for name in forget_dead(instance.members, now=now):
        log_event("member_forgotten", member=name)


async def _watch_ring(instance: Instance, links: PeerLinks) -> None:
    """Keep one heartbeat task for each neighbour, and expire suspected members."""
    heartbeats: dict[str, asyncio.Task] = {}
    try:
        while True:
            for name in [name for name, task in heartbeats.items() if task.done()]:
                heartbeats.pop(name).result()
            for name in _list_neighbours(instance):
                if name not in heartbeats:
                    heartbeats[name] = asyncio.create_task(
                        _run_heartbeats(instance, links, name)
                    )
            _check_suspects(instance)
            await asyncio.sleep(CHECK_INTERVAL_S)
    finally:
        for task in heartbeats.values():
            task.cancel()


async def run_membership(instance: Instance, links: PeerLinks) -> None:
    """Join the fleet, then keep the member table up to date."""
    await read_platform_list(instance)
    await contact_first_peers(instance, links)
    instance.peers_contacted.set()
    async with asyncio.TaskGroup() as group:
        group.create_task(_watch_ring(instance, links))
        group.create_task(contact_missing_members(instance, links))
        group.create_task(poll_platform_list(instance))
