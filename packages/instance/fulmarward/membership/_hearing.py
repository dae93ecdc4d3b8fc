"""Taking in what peers say of members, and saying what is known here."""

from dataclasses import replace

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.peers import AskMembers, BucketMembers, Nothing, Ping, Pong, SyncMembers
from fulmarward_core.membership import (
    Member,
    MemberState,
    combine_digests,
    merge_member,
    refute_rumour,
    select_differing,
    take_rumours,
)


def hear_of(instance: Instance, rumours: tuple[Member, ...]) -> None:
    """Take in what a peer says of members, and refute what is false of this one.

    That an instance leaves, and that one lives that was thought dead, is told on at
    once; all else waits for the next heartbeat, so that a burst of news stays within
    the bytes that heartbeats may take.
    """
    is_urgent = False
    for rumour in rumours:
        if rumour.name == instance.member.name:
            is_urgent |= _hear_of_oneself(instance, rumour)
            continue
        if merge_member(instance.members, rumour, now=instance.read_clock()):
            is_urgent |= rumour.state is MemberState.LEAVING
            _log_member(rumour)
    if is_urgent:
        instance.stir_news()


def _hear_of_oneself(instance: Instance, rumour: Member) -> bool:
    newer = refute_rumour(instance.member, rumour)
    if newer is None:
        return False
    instance.member = newer
    merge_member(instance.members, newer, now=instance.read_clock())
    _log_member(newer)
    return True


def _log_member(member: Member) -> None:
    log_event(
        "member",
        member=member.name,
        boot=member.boot,
        version=member.version,
        state=member.state.name.lower(),
    )


def _make_words(instance: Instance, correction: tuple[Member, ...]) -> dict:
    return {
        "boot": instance.member.boot,
        "version": instance.member.version,
        "epoch": instance.snapshot.head.epoch,
        "digest": combine_digests(instance.members),
        "rumours": correction + take_rumours(instance.members),
    }


def _correct_peer(instance: Instance, peer: Member) -> tuple[Member, ...]:
    """Return what is believed of a peer if the peer has to refute it."""
    known = instance.members.members.get(peer.name)
    if known is None:
        return ()
    is_doubted = known.state in (MemberState.SUSPECT, MemberState.DEAD)
    return (known,) if is_doubted or known.boot > peer.boot else ()


def make_ping(instance: Instance, peer: Member | None) -> Ping:
    """Return the next heartbeat to `peer`, as it is believed to be."""
    correction = () if peer is None else _correct_peer(instance, peer)
    return Ping(**_make_words(instance, correction))


async def answer_ping(instance: Instance, peer: Member, message: Ping) -> Pong:
    """Answer a heartbeat."""
    instance.metrics.control_messages.add({"kind": "ping", "direction": "received"}, 1)
    hear_of(instance, (peer, *message.rumours))
    instance.note_epoch(message.epoch, peer.peer_address)
    speaker = replace(peer, boot=message.boot, version=message.version)
    return Pong(**_make_words(instance, _correct_peer(instance, speaker)))


async def answer_members(
    instance: Instance, peer: Member, message: AskMembers
) -> BucketMembers:
    """Send a peer the members in the buckets that differ."""
    table = instance.members
    differing = select_differing(table, message.digests)
    return BucketMembers(digests=tuple(table.digests), members=tuple(differing))


async def answer_sync(
    instance: Instance, peer: Member, message: SyncMembers
) -> Nothing:
    """Take in the members that a peer knows better."""
    hear_of(instance, message.members)
    return Nothing()


def announce_leaving(instance: Instance) -> None:
    """Say of oneself that one is leaving; neighbours are told at once."""
    instance.member = replace(
        instance.member,
        version=instance.member.version + 1,
        state=MemberState.LEAVING,
    )
    merge_member(instance.members, instance.member, now=instance.read_clock())
    instance.stir_news()
