"""Merges member updates from peers, and answers membership messages."""

from dataclasses import replace

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.peers import Ack, MembersReply, MembersRequest, Ping, Pong, SyncMembers
from fulmarward_core.membership import (
    Member,
    MemberState,
    combine_digests,
    dequeue_rumours,
    merge_member,
    refute_rumour,
    select_differing,
)


def merge_rumours(instance: Instance, rumours: tuple[Member, ...]) -> None:
    """Merge member updates from a peer, and refute false ones about this instance.

    Records of leaving instances and refutations by this instance are sent to the
    neighbours at once. All other updates wait for the next heartbeat, so that a burst
    of changes stays within the byte budget of heartbeats.
    """
    is_urgent = False
    for rumour in rumours:
        if rumour.name == instance.member.name:
            is_urgent |= _refute_own_rumour(instance, rumour)
            continue
        if merge_member(instance.members, rumour, now=instance.read_clock()):
            is_urgent |= rumour.state is MemberState.LEAVING
            _log_member(rumour)
    if is_urgent:
        instance.request_urgent_heartbeats()


def _refute_own_rumour(instance: Instance, rumour: Member) -> bool:
    newer = refute_rumour(instance.member, rumour)
    if newer is None:
        return False
    instance.member = newer
    merge_member(instance.members, newer, now=instance.read_clock())
    _log_member(newer)
    return True


def _log_member(member: Member) -> None:
    log_event(
        "member_changed",
        member=member.name,
        boot=member.boot,
        version=member.version,
        state=member.state.name.lower(),
    )


def _make_heartbeat_fields(instance: Instance, correction: tuple[Member, ...]) -> dict:
    return {
        "boot": instance.member.boot,
        "version": instance.member.version,
        "epoch": instance.snapshot.head.epoch,
        "digest": combine_digests(instance.members),
        "rumours": correction + dequeue_rumours(instance.members),
    }


def _correct_peer(instance: Instance, peer: Member) -> tuple[Member, ...]:
    """Return the local record of a peer if the peer has to refute it."""
    known = instance.members.members.get(peer.name)
    if known is None:
        return ()
    is_doubted = known.state in (MemberState.SUSPECT, MemberState.DEAD)
    return (known,) if is_doubted or known.boot > peer.boot else ()


def make_ping(instance: Instance, peer: Member | None) -> Ping:
    """Return the next heartbeat; `peer` is the receiver's record, if it is known."""
    correction = () if peer is None else _correct_peer(instance, peer)
    return Ping(**_make_heartbeat_fields(instance, correction))


async def answer_ping(instance: Instance, peer: Member, message: Ping) -> Pong:
    """Answer a heartbeat."""
    instance.metrics.control_messages.add({"kind": "ping", "direction": "received"}, 1)
    merge_rumours(instance, (peer, *message.rumours))
    instance.note_epoch(message.epoch, peer.peer_address)
    sender = replace(peer, boot=message.boot, version=message.version)
    return Pong(**_make_heartbeat_fields(instance, _correct_peer(instance, sender)))


async def answer_members(
    instance: Instance, peer: Member, message: MembersRequest
) -> MembersReply:
    """Answer with the members of the buckets whose digests differ."""
    table = instance.members
    differing = select_differing(table, message.digests)
    return MembersReply(digests=tuple(table.digests), members=tuple(differing))


async def answer_sync(instance: Instance, peer: Member, message: SyncMembers) -> Ack:
    """Merge the members for which a peer has newer records."""
    merge_rumours(instance, message.members)
    return Ack()


def announce_leaving(instance: Instance) -> None:
    """Mark this instance as leaving, and notify the neighbours at once."""
    instance.member = replace(
        instance.member,
        version=instance.member.version + 1,
        state=MemberState.LEAVING,
    )
    merge_member(instance.members, instance.member, now=instance.read_clock())
    instance.request_urgent_heartbeats()
