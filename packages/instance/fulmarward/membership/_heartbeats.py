"""Heartbeats to neighbours and the platform's list as a hint."""

import asyncio
from dataclasses import replace

import xxhash

from fulmarward._instance import Instance
from fulmarward.health import note_list
from fulmarward.observability import log_event
from fulmarward.peers import PeerLinks, PeerLost, Ping, Pong, SyncMembers
from fulmarward.platform import PlatformMember, PlatformOut, list_members
from fulmarward_core.membership import (
    Member,
    MemberState,
    merge_member,
    refute_rumour,
    select_neighbours,
    suspect_silent,
)

#: Seconds between two heartbeats to one neighbour.
HEARTBEAT_S = 1.0

#: Seconds that a neighbour has to answer one.
ANSWER_S = 1.0

#: Seconds between two reads of the platform's list.
LIST_S = 5.0


def hear_of(instance: Instance, rumours: tuple[Member, ...]) -> None:
    """Take in what a peer says of members, and refute what is false of this one."""
    now = instance.read_clock()
    for rumour in rumours:
        if rumour.name == instance.member.name:
            newer = refute_rumour(instance.member, rumour)
            if newer is not None:
                instance.member = newer
                merge_member(instance.members, newer, now=now)
            continue
        if merge_member(instance.members, rumour, now=now):
            log_event(
                "member",
                member=rumour.name,
                boot=rumour.boot,
                version=rumour.version,
                state=rumour.state.name.lower(),
            )


def hear_from(instance: Instance, member: Member) -> None:
    """Note that a member spoke for itself."""
    hear_of(instance, (member,))
    instance.members.heard_at[member.name] = instance.read_clock()


def compute_digest(instance: Instance) -> int:
    """Return a number that is equal for equal member tables."""
    members = instance.members.members
    lines = [
        f"{name}:{members[name].boot}:{members[name].version}:{members[name].state}"
        for name in sorted(members)
    ]
    return xxhash.xxh64_intdigest("\n".join(lines).encode())


def make_pong(instance: Instance) -> Pong:
    """Return what this instance says to a heartbeat."""
    return Pong(
        member=instance.member,
        epoch=instance.snapshot.head.epoch,
        digest=compute_digest(instance),
    )


async def answer_ping(instance: Instance, peer: Member, message: Ping) -> Pong:
    """Answer a heartbeat."""
    hear_from(instance, message.member)
    instance.note_epoch(message.epoch)
    return make_pong(instance)


async def answer_sync(
    instance: Instance, peer: Member, message: SyncMembers
) -> SyncMembers:
    """Take in a peer's table and answer with the own one."""
    hear_of(instance, message.members)
    return SyncMembers(members=tuple(instance.members.members.values()))


async def _ping(instance: Instance, links: PeerLinks, address: str) -> None:
    pong = make_pong(instance)
    ping = Ping(member=pong.member, epoch=pong.epoch, digest=pong.digest)
    answer = await links.call(address, ping, ANSWER_S)
    hear_from(instance, answer.member)
    instance.note_epoch(answer.epoch)
    if answer.digest != compute_digest(instance):
        own = SyncMembers(members=tuple(instance.members.members.values()))
        theirs = await links.call(address, own, ANSWER_S)
        hear_of(instance, theirs.members)


async def _beat(instance: Instance, links: PeerLinks, name: str) -> None:
    """Send heartbeats to one neighbour until it is one no more."""
    while name in select_neighbours(instance.members):
        try:
            await _ping(instance, links, instance.members.members[name].peer_address)
        except PeerLost:
            pass
        await asyncio.sleep(HEARTBEAT_S)


async def _greet_seeds(instance: Instance, links: PeerLinks) -> None:
    """Meet the seed peers, for a start while the platform's list cannot be read."""
    for address in instance.settings.seed_peers:
        if address == instance.settings.peer_address:
            continue
        try:
            await _ping(instance, links, address)
        except PeerLost:
            continue


def _take_list(instance: Instance, entries: tuple[PlatformMember, ...]) -> None:
    """Use the platform's list as a hint: it names instances not heard of yet."""
    for entry in entries:
        if entry.kind == "target":
            note_list(instance, entry.name, leaving=entry.is_leaving)
            continue
        if entry.name in instance.members.members:
            continue
        hint = Member(
            name=entry.name,
            boot=0,
            version=0,
            state=MemberState.ALIVE,
            data_centre=entry.data_centre,
            peer_address=entry.peer_address,
            caller_address=entry.caller_address,
        )
        hear_of(instance, (hint,))


async def _read_lists(instance: Instance) -> None:
    while True:
        entries = await list_members(instance.platform)
        if not isinstance(entries, PlatformOut):
            _take_list(instance, entries)
        await asyncio.sleep(LIST_S)


def _check_silence(instance: Instance) -> None:
    now = instance.read_clock()
    watched = select_neighbours(instance.members)
    for name in watched:
        instance.members.heard_at.setdefault(name, now)
    hear_of(instance, tuple(suspect_silent(instance.members, watched, now=now)))


async def run_membership(instance: Instance, links: PeerLinks) -> None:
    """Keep one heartbeat task for each neighbour, and watch for silence."""
    beats: dict[str, asyncio.Task] = {}
    listing = asyncio.create_task(_read_lists(instance))
    try:
        await _greet_seeds(instance, links)
        while True:
            for name in select_neighbours(instance.members):
                if name not in beats or beats[name].done():
                    beats[name] = asyncio.create_task(_beat(instance, links, name))
            _check_silence(instance)
            await asyncio.sleep(HEARTBEAT_S / 2)
    finally:
        listing.cancel()
        for task in beats.values():
            task.cancel()


def announce_leaving(instance: Instance) -> None:
    """Say of oneself that one is leaving; neighbours hear it at the next heartbeat."""
    instance.member = replace(
        instance.member,
        version=instance.member.version + 1,
        state=MemberState.LEAVING,
    )
    hear_now = instance.read_clock()
    merge_member(instance.members, instance.member, now=hear_now)
