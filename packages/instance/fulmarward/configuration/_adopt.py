"""The task that puts newer configuration in force on this instance."""

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
from fulmarward.peers import AskHead, HeadNews, PeerLinks, PeerLost
from fulmarward.platform import PlatformOut, read_row
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
    read_manifest,
)
from fulmarward_core.membership import Member, MemberState

#: Seconds that a peer has to tell its head, a new link to it included.
HEAD_S = 1.5

#: Peers that are asked for their heads at the same time. Load: an instance that
#: starts while the platform is out asks all 329 others; reason: sixteen at a time are
#: through in a second or two and cost it no more than sixteen connections at once.
ASKED_AT_ONCE = 16

#: Peers besides the teller and the platform that are asked for bodies.
MOST_BODY_PEERS = 4

#: In these states an instance knows the newest configuration.
CONFIRMED_STATES = ("serving", "stopping")


async def answer_head(instance: Instance, peer: Member, message: AskHead) -> HeadNews:
    """Tell a peer the head in force here."""
    is_confirmed = instance.lifecycle.state in CONFIRMED_STATES
    return HeadNews(
        head=instance.snapshot.head,
        is_confirmed=is_confirmed and not instance.has_paused(),
    )


def list_peers(instance: Instance) -> list[str]:
    """Return addresses of peers that may answer, near ones first."""
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


async def _ask_head(links: PeerLinks, address: str) -> HeadNews | None:
    try:
        async with asyncio.timeout(HEAD_S):
            return await links.call(address, AskHead(), HEAD_S)
    except (PeerLost, TimeoutError):
        return None


async def _ask_all(
    links: PeerLinks, addresses: Sequence[str]
) -> dict[str, HeadNews | None]:
    """Return what each peer answers, `None` where it does not."""
    gate = asyncio.Semaphore(ASKED_AT_ONCE)

    async def ask(address: str) -> HeadNews | None:
        async with gate:
            return await _ask_head(links, address)

    answers = await asyncio.gather(*(ask(address) for address in addresses))
    return dict(zip(addresses, answers, strict=True))


def open_bodies(bodies: dict[str, bytes], head: Head) -> Snapshot | None:
    """Return the snapshot of a head's bodies, or `None` when they are no whole file.

    Guards against a damaged or foreign body: only parts with the manifest's hashes,
    of a manifest with the head's hash, that together pass every check are ever in
    force.
    """
    manifest = read_manifest(bodies[head.content_hash])
    value = None if manifest is None else join_declaration(manifest, bodies)
    declaration = parse_declaration(value)
    if isinstance(declaration, tuple):
        return None
    return Snapshot(head=head, declaration=declaration)


async def adopt_head(instance: Instance, head: Head, sources: list[Source]) -> bool:
    """Adopt `head` if it is newer; return whether it or a newer one is in force."""
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
    snapshot = None if bodies is None else open_bodies(bodies, head)
    if snapshot is None:
        log_event("configuration_refused", level=logging.WARNING, epoch=head.epoch)
        return False
    # Another look may have adopted a newer one while the bodies were on their way.
    if instance.snapshot.head.epoch >= head.epoch:
        return True
    instance.bodies = bodies
    instance.adopt_snapshot(snapshot)
    log_event("configuration_adopted", epoch=head.epoch, hash=head.content_hash)
    return True


def _list_sources(
    instance: Instance, links: PeerLinks, first: Sequence[str]
) -> list[Source]:
    """Return where bodies may be had: the tellers, the platform, a few peers.

    The teller goes first, so that one change is not read from the platform by all
    330 instances at the same moment.
    """
    others = [address for address in list_peers(instance) if address not in first]
    return [
        *(make_peer_source(links, address) for address in first),
        make_platform_source(instance),
        *(make_peer_source(links, address) for address in others[:MOST_BODY_PEERS]),
    ]


async def follow_teller(instance: Instance, links: PeerLinks) -> bool:
    """Adopt what the peer has that told of a newer epoch."""
    teller = instance.epoch_teller
    if not teller:
        return False
    news = await _ask_head(links, teller)
    if news is None:
        return False
    sources = _list_sources(instance, links, [teller])
    return await adopt_head(instance, news.head, sources)


async def look_at_platform(instance: Instance, links: PeerLinks) -> bool:
    """Adopt what the platform has; return whether it answered and that is in force."""
    row = await read_row(instance.platform, HEAD_TABLE, HEAD_KEY)
    if isinstance(row, PlatformOut):
        return False
    return await adopt_head(
        instance, parse_head(row), _list_sources(instance, links, [])
    )


async def confirm_newest(instance: Instance, links: PeerLinks) -> bool:
    """Return whether the newest configuration is in force here, adopting it if not.

    The platform knows. While it is out, all reachable peers are asked, and at least
    one has to answer that is sure itself, or all of them. Guards against an instance
    that starts, or wakes, with an old file or none and serves by it: alone it cannot
    know, and says so.
    """
    row = await read_row(instance.platform, HEAD_TABLE, HEAD_KEY)
    if not isinstance(row, PlatformOut):
        sources = _list_sources(instance, links, [])
        is_adopted = await adopt_head(instance, parse_head(row), sources)
        return is_adopted and instance.snapshot.head.epoch > 0
    answers = await _ask_all(links, list_peers(instance))
    if not is_newest_known(
        [None if news is None else news.is_confirmed for news in answers.values()]
    ):
        log_event("configuration_unknown", level=logging.WARNING, reason=row.detail)
        return False
    return await _adopt_highest(instance, links, answers)


async def _adopt_highest(
    instance: Instance, links: PeerLinks, answers: Mapping[str, HeadNews | None]
) -> bool:
    heads = {address: news.head for address, news in answers.items() if news}
    newest = max(heads.values(), key=lambda head: head.epoch)
    tellers = [address for address, head in heads.items() if head == newest]
    sources = _list_sources(instance, links, tellers[:MOST_BODY_PEERS])
    is_adopted = await adopt_head(instance, newest, sources)
    return is_adopted and instance.snapshot.head.epoch > 0


async def _wait_for_news(instance: Instance, seconds: float) -> bool:
    """Return whether a peer told of a newer epoch within `seconds`."""
    try:
        async with asyncio.timeout(seconds):
            await instance.epoch_heard.wait()
    except TimeoutError:
        return False
    instance.epoch_heard.clear()
    return True


async def run_adoption(instance: Instance, links: PeerLinks) -> None:
    """Adopt at once what a peer tells of, and look at the platform now and then."""
    failures = 0
    is_heard = False
    while True:
        if not is_heard or not await follow_teller(instance, links):
            has_answered = await look_at_platform(instance, links)
            failures = 0 if has_answered else failures + 1
        delay = choose_poll_delay(failures=failures, generator=instance.generator)
        is_heard = await _wait_for_news(instance, delay)
