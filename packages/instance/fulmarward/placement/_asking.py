"""Questions of a holder to peers, and the answers to them."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.peers import (
    AskInFlight,
    AskOutcomes,
    InFlight,
    OutcomeCounts,
    PeerLinks,
    PeerLost,
)
from fulmarward_core.membership import Member, MemberState
from fulmarward_core.placement import Outcomes, list_outcomes

#: Peers asked for outcomes. Load: 330 instances; harm: bytes of the 4 KB/s, for each
#: look during a rollout; reason: 24 drawn at random tell the rates well enough.
MOST_PEERS = 24

#: Peers asked at once. Load: 330 instances, asked whether a drained target is idle;
#: harm: as many new connections in one moment; reason: ten rounds of some tens of
#: milliseconds.
AT_ONCE = 32

#: Seconds that a peer has to answer.
ANSWER_S = 1.0


def _list_peers(instance: Instance) -> list[Member]:
    """Return the other instances that may have work on a target."""
    return [
        member
        for member in instance.members.members.values()
        if member.name != instance.member.name and member.state is not MemberState.DEAD
    ]


async def _ask(
    instance: Instance, links: PeerLinks, peer: Member, message: object
) -> object | None:
    """Return a peer's answer; a link that was made for the question is closed."""
    had_link = links.has_link(peer.peer_address)
    try:
        return await links.call(peer.peer_address, message, ANSWER_S)
    except PeerLost:
        return None
    finally:
        if not had_link and peer.name not in instance.neighbours:
            await links.drop_idle(peer.peer_address)


async def answer_outcomes(
    instance: Instance, peer: Member, message: AskOutcomes
) -> OutcomeCounts:
    """Tell a peer what became of attempts here."""
    now = instance.read_clock()
    found = list_outcomes(instance.outcomes, message.model, now=now)
    return OutcomeCounts(outcomes=found)


async def gather_outcomes(
    instance: Instance, links: PeerLinks, model: str
) -> list[Outcomes]:
    """Return the counts of this instance and of peers drawn at random."""
    peers = _list_peers(instance)
    drawn = instance.generator.sample(peers, min(MOST_PEERS, len(peers)))
    asked = AskOutcomes(model=model)
    answers = await asyncio.gather(
        *(_ask(instance, links, peer, asked) for peer in drawn)
    )
    own = list_outcomes(instance.outcomes, model, now=instance.read_clock())
    told = [
        item for answer in answers if answer is not None for item in answer.outcomes
    ]
    return [*own, *told]


def _count_own(instance: Instance, target: str) -> int:
    view = instance.views.get(target)
    return view.in_flight if view is not None else 0


async def answer_in_flight(
    instance: Instance, peer: Member, message: AskInFlight
) -> InFlight:
    """Tell a peer how many requests this instance has on a target."""
    return InFlight(count=_count_own(instance, message.target))


async def count_in_flight(instance: Instance, links: PeerLinks, target: str) -> int:
    """Return how many requests all instances have on a target.

    Guards against weights that are loaded under a request: an engine's report counts
    neither the steps of a chain between two tokens nor what is on its way. One that
    does not answer counts as having a request until it is held dead.
    """
    asked = AskInFlight(target=target)
    peers = _list_peers(instance)
    total = _count_own(instance, target)
    for first in range(0, len(peers), AT_ONCE):
        answers = await asyncio.gather(
            *(
                _ask(instance, links, peer, asked)
                for peer in peers[first : first + AT_ONCE]
            )
        )
        total += sum(1 if answer is None else answer.count for answer in answers)
    return total
