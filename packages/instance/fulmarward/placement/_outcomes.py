"""What became of attempts, counted here and asked of peers."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.peers import AskOutcomes, OutcomeCounts, PeerLinks, PeerLost
from fulmarward_core.membership import Member, MemberState
from fulmarward_core.placement import Outcomes, count_outcome, list_outcomes
from fulmarward_core.results import Failure, ResultCode
from fulmarward_core.routing import TargetView

#: Failures that speak against a target and not against the request or the load.
_TARGET_FAULTS = frozenset(
    {
        ResultCode.TARGET_FAILED,
        ResultCode.TARGET_UNREACHABLE,
        ResultCode.STREAM_LOST,
        ResultCode.OUTCOME_UNKNOWN,
    }
)

#: Peers asked at once. Load: 330 instances; harm: bytes of the 4 KB/s, for each look
#: during a rollout; reason: 24 drawn at random tell the rates well enough.
MOST_PEERS = 24

#: Seconds that a peer has to answer.
ANSWER_S = 1.0


def count_attempt(
    instance: Instance, view: TargetView, failure: Failure | None
) -> None:
    """Count an attempt that ended, by the version that its target held."""
    if view.held is None:
        return
    count_outcome(
        instance.outcomes,
        view.held.state.model,
        view.held.state.version,
        is_failure=failure is not None and failure.code in _TARGET_FAULTS,
        now=instance.read_clock(),
    )


async def answer_outcomes(
    instance: Instance, peer: Member, message: AskOutcomes
) -> OutcomeCounts:
    """Tell a peer what became of attempts here."""
    now = instance.read_clock()
    found = list_outcomes(instance.outcomes, message.model, now=now)
    return OutcomeCounts(outcomes=found)


async def _ask(links: PeerLinks, address: str, model: str) -> tuple[Outcomes, ...]:
    try:
        answer = await links.call(address, AskOutcomes(model=model), ANSWER_S)
    except PeerLost:
        return ()
    return answer.outcomes


async def gather_outcomes(
    instance: Instance, links: PeerLinks, model: str
) -> list[Outcomes]:
    """Return the counts of this instance and of peers drawn at random."""
    peers = [
        member.peer_address
        for member in instance.members.members.values()
        if member.name != instance.member.name and member.state is MemberState.ALIVE
    ]
    drawn = instance.generator.sample(peers, min(MOST_PEERS, len(peers)))
    answers = await asyncio.gather(*(_ask(links, address, model) for address in drawn))
    own = list_outcomes(instance.outcomes, model, now=instance.read_clock())
    return [*own, *(item for answer in answers for item in answer)]
