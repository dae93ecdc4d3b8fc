"""Peer calls of the lease holder: attempt outcomes and requests in flight."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.peers import (
    InFlightReply,
    InFlightRequest,
    OutcomesReply,
    OutcomesRequest,
    PeerLinks,
    PeerLost,
)
from fulmarward_core.membership import Member, MemberState
from fulmarward_core.placement import Outcomes, list_outcomes

#: Peers asked for outcomes. Asking all of 330 instances at each check of a rollout
#: would use up the budget of 4 KB/s; 24 drawn at random estimate the failure rates
#: well enough.
MAX_SAMPLED_PEERS = 24

#: Peers asked concurrently. Asking 330 instances at once whether a drained target is
#: idle would open as many connections in one moment; in batches of 32 it takes ten
#: rounds of some tens of milliseconds.
MAX_CONCURRENT_CALLS = 32

#: Seconds to wait for a peer's answer.
ANSWER_TIMEOUT_S = 1.0


def _list_peers(instance: Instance) -> list[Member]:
    """Return the other instances that may have requests on a target."""
    return [
        member
        for member in instance.members.members.values()
        if member.name != instance.member.name and member.state is not MemberState.DEAD
    ]


async def _call_peer(
    instance: Instance, links: PeerLinks, peer: Member, message: object
) -> object | None:
    """Return a peer's answer, or `None`; closes a link opened only for this call."""
    had_link = links.has_link(peer.peer_address)
    try:
        return await links.call(peer.peer_address, message, ANSWER_TIMEOUT_S)
    except PeerLost:
        return None
    finally:
        if not had_link and peer.name not in instance.neighbours:
            await links.drop_idle(peer.peer_address)


async def answer_outcomes(
    instance: Instance, peer: Member, message: OutcomesRequest
) -> OutcomesReply:
    """Answer a peer with the outcome counts of this instance."""
    now = instance.read_clock()
    counts = list_outcomes(instance.outcomes, message.model, now=now)
    return OutcomesReply(outcomes=counts)


async def gather_outcomes(
    instance: Instance, links: PeerLinks, model: str
) -> list[Outcomes]:
    """Return the outcome counts of this instance and of randomly drawn peers."""
    peers = _list_peers(instance)
    sampled = instance.generator.sample(peers, min(MAX_SAMPLED_PEERS, len(peers)))
    query = OutcomesRequest(model=model)
    answers = await asyncio.gather(
        *(_call_peer(instance, links, peer, query) for peer in sampled)
    )
    own = list_outcomes(instance.outcomes, model, now=instance.read_clock())
    from_peers = [
        item for answer in answers if answer is not None for item in answer.outcomes
    ]
    return [*own, *from_peers]


def _count_own(instance: Instance, target: str) -> int:
    view = instance.views.get(target)
    return view.in_flight if view is not None else 0


async def answer_in_flight(
    instance: Instance, peer: Member, message: InFlightRequest
) -> InFlightReply:
    """Answer a peer with the number of requests this instance has on a target."""
    return InFlightReply(count=_count_own(instance, message.target))


async def count_in_flight(instance: Instance, links: PeerLinks, target: str) -> int:
    """Return how many requests all instances have on a target.

    Prevents weights from being replaced under a running request: an engine's report
    counts neither a chain that is between two tokens nor requests on their way to it.
    A peer that does not answer counts as one request until it is considered dead.
    """
    query = InFlightRequest(target=target)
    peers = _list_peers(instance)
    total = _count_own(instance, target)
    for first in range(0, len(peers), MAX_CONCURRENT_CALLS):
        answers = await asyncio.gather(
            *(
                _call_peer(instance, links, peer, query)
                for peer in peers[first : first + MAX_CONCURRENT_CALLS]
            )
        )
        total += sum(1 if answer is None else answer.count for answer in answers)
    return total
