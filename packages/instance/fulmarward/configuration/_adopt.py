"""The task that activates newer configuration on this instance."""

import asyncio
import logging
from collections.abc import Mapping, Sequence

from fulmarward._instance import Instance
from fulmarward.configuration._bodies import (
    Source,
    fetch_bodies,
    make_peer_source,
    make_platform_source,
)
from fulmarward.configuration._heads import HEAD_KEY, HEAD_TABLE, parse_head
from fulmarward.observability import log_event
from fulmarward.peers import HeadReply, HeadRequest, PeerLinks, PeerLost
from fulmarward.platform import PlatformUnavailable, bypass_circuit, read_row
from fulmarward_core.configuration import (
    Adoption,
    Head,
    Snapshot,
    choose_poll_delay,
    decide_adoption,
    is_newest_known,
)
from fulmarward_core.declaration import (
    join_declaration,
    parse_declaration,
    parse_manifest,
)
from fulmarward_core.membership import Member, MemberState

#: Seconds that a peer has to report its head, including the setup of a new link.
HEAD_TIMEOUT_S = 1.5

#: Limits concurrent requests for heads. An instance that starts while the platform is
#: unavailable asks all 329 others; in groups of sixteen this takes one or two seconds
#: and at most sixteen connections at once.
MAX_CONCURRENT_HEAD_REQUESTS = 16

#: Peers that are asked for bodies besides the announcer and the platform.
MAX_BODY_PEERS = 4

#: States in which an instance knows the newest configuration.
CONFIRMED_STATES = ("serving", "stopping")


async def answer_head(
    instance: Instance, peer: Member, message: HeadRequest
) -> HeadReply:
    """Report the active head to a peer."""
    is_confirmed = instance.lifecycle.state in CONFIRMED_STATES
    return HeadReply(
        head=instance.snapshot.head,
        is_confirmed=is_confirmed and not instance.has_paused(),
    )


def list_peers(instance: Instance) -> list[str]:
    """Return addresses of peers not known dead: own data centre first, seeds last."""
    peers = [
        member
        for member in instance.members.members.values()
        if member.name != instance.member.name and member.state is not MemberState.DEAD
    ]
    own = instance.settings.data_centre
    peers.sort(key=lambda member: (member.data_centre != own, member.name))
    known = [member.peer_address for member in peers]
    seeds = [seed for seed in instance.settings.seed_peers if seed not in known]
    own_address = instance.settings.peer_address
    return [address for address in known + seeds if address != own_address]


async def _request_head(links: PeerLinks, address: str) -> HeadReply | None:
    try:
        async with asyncio.timeout(HEAD_TIMEOUT_S):
            return await links.call(address, HeadRequest(), HEAD_TIMEOUT_S)
    except (PeerLost, TimeoutError):
        return None


async def _request_heads(
    links: PeerLinks, addresses: Sequence[str]
) -> dict[str, HeadReply | None]:
    """Return the reply of each peer, `None` where there is none."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_HEAD_REQUESTS)

    async def ask(address: str) -> HeadReply | None:
        async with semaphore:
            return await _request_head(links, address)

    answers = await asyncio.gather(*(ask(address) for address in addresses))
    return dict(zip(addresses, answers, strict=True))


def assemble_snapshot(bodies: dict[str, bytes], head: Head) -> Snapshot | None:
    """Return the snapshot of a head's bodies, `None` if they are not a valid file.

    Damaged or foreign bodies never become active: the manifest must have the head's
    hash, each part must have its hash in the manifest, and the whole declaration must
    pass every check.
    """
    manifest = parse_manifest(bodies[head.content_hash])
    value = None if manifest is None else join_declaration(manifest, bodies)
    declaration = parse_declaration(value)
    if isinstance(declaration, tuple):
        return None
    return Snapshot(head=head, declaration=declaration)


async def adopt_head(instance: Instance, head: Head, sources: list[Source]) -> bool:
    """Adopt `head` if it is newer; return whether it or a newer one is active."""
    current = instance.snapshot.head
    decision = decide_adoption(current=current, offered=head)
    if decision is not Adoption.ADOPT:
        if decision is not Adoption.SAME:
            log_event(
                "configuration_ignored",
                epoch=head.epoch,
                reason=decision.value,
                in_force=current.epoch,
            )
        return decision is not Adoption.CONFLICT
    bodies = await fetch_bodies(instance.bodies, head.content_hash, sources)
    snapshot = None if bodies is None else assemble_snapshot(bodies, head)
    if snapshot is None:
        log_event("configuration_refused", level=logging.WARNING, epoch=head.epoch)
        return False
    # A concurrent adoption may have activated a newer head during the fetch.
    if instance.snapshot.head.epoch >= head.epoch:
        return True
    instance.bodies = bodies
    instance.adopt_snapshot(snapshot)
    log_event("configuration_adopted", epoch=head.epoch, hash=head.content_hash)
    return True


def _list_sources(
    instance: Instance, links: PeerLinks, first: Sequence[str]
) -> list[Source]:
    """Return sources of bodies: peers in `first`, the platform, then a few others.

    Peers that hold the head go first, so that not all 330 instances read a change from
    the platform at the same moment.
    """
    others = [address for address in list_peers(instance) if address not in first]
    return [
        *(make_peer_source(links, address) for address in first),
        make_platform_source(instance),
        *(make_peer_source(links, address) for address in others[:MAX_BODY_PEERS]),
    ]


async def adopt_from_announcer(instance: Instance, links: PeerLinks) -> bool:
    """Adopt the head of the peer that announced a newer epoch."""
    announcer = instance.epoch_source
    if not announcer:
        return False
    reply = await _request_head(links, announcer)
    if reply is None:
        return False
    sources = _list_sources(instance, links, [announcer])
    return await adopt_head(instance, reply.head, sources)


async def poll_platform(instance: Instance, links: PeerLinks) -> bool:
    """Adopt the platform's head; return whether it replied and its head is active."""
    row = await read_row(instance.platform, HEAD_TABLE, HEAD_KEY)
    if isinstance(row, PlatformUnavailable):
        return False
    return await adopt_head(
        instance, parse_head(row), _list_sources(instance, links, [])
    )


async def confirm_newest(instance: Instance, links: PeerLinks) -> bool:
    """Adopt the newest configuration; return whether it is known and active here.

    The platform is authoritative, and is called even if earlier calls failed: it may
    hold what no peer knows. While it is unavailable, all known peers are asked:
    either one that has itself confirmed its configuration must reply, or all of them.
    An instance that starts or resumes with an outdated file or none must not serve by
    it; alone it cannot confirm that it has the newest.
    """
    with bypass_circuit():
        row = await read_row(instance.platform, HEAD_TABLE, HEAD_KEY)
    if not isinstance(row, PlatformUnavailable):
        sources = _list_sources(instance, links, [])
        is_adopted = await adopt_head(instance, parse_head(row), sources)
        return is_adopted and instance.snapshot.head.epoch > 0
    if not row.is_called:
        _log_unconfirmed(row)
        return False
    answers = await _request_heads(links, list_peers(instance))
    if not is_newest_known(
        [None if reply is None else reply.is_confirmed for reply in answers.values()]
    ):
        _log_unconfirmed(row)
        return False
    return await _adopt_highest(instance, links, answers)


def _log_unconfirmed(row: PlatformUnavailable) -> None:
    log_event(
        "configuration_confirmation_failed", level=logging.WARNING, reason=row.detail
    )


async def _adopt_highest(
    instance: Instance, links: PeerLinks, answers: Mapping[str, HeadReply | None]
) -> bool:
    heads = {address: reply.head for address, reply in answers.items() if reply}
    newest = max(heads.values(), key=lambda head: head.epoch)
    holders = [address for address, head in heads.items() if head == newest]
    sources = _list_sources(instance, links, holders[:MAX_BODY_PEERS])
    is_adopted = await adopt_head(instance, newest, sources)
    return is_adopted and instance.snapshot.head.epoch > 0


async def _wait_for_announcement(instance: Instance, seconds: float) -> bool:
    """Return whether a peer announced a newer epoch within `seconds`."""
    try:
        async with asyncio.timeout(seconds):
            await instance.newer_epoch_known.wait()
    except TimeoutError:
        return False
    instance.newer_epoch_known.clear()
    return True


async def run_adoption(instance: Instance, links: PeerLinks) -> None:
    """Adopt announced heads immediately, and poll the platform periodically."""
    failures = 0
    is_announced = False
    while True:
        if not is_announced or not await adopt_from_announcer(instance, links):
            has_answered = await poll_platform(instance, links)
            failures = 0 if has_answered else failures + 1
        delay = choose_poll_delay(failures=failures, generator=instance.generator)
        is_announced = await _wait_for_announcement(instance, delay)
