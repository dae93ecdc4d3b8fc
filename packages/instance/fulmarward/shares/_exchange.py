"""Exchanges the teams' demand with peers."""

from fulmarward._instance import Instance
from fulmarward.peers import PeerLinks, PeerLost, ShareDemand
from fulmarward_core.admission import make_own_row, merge_row, select_rows
from fulmarward_core.membership import Member, select_neighbours

#: Seconds to wait for a peer's answer.
ANSWER_TIMEOUT_S = 1.0


def _make_demand(instance: Instance) -> ShareDemand:
    own = make_own_row(
        instance.admission.demand,
        member=instance.member.name,
        boot=instance.member.boot,
    )
    return ShareDemand(rows=select_rows(instance.admission.demand, own))


def _merge_rows(instance: Instance, demand: ShareDemand) -> None:
    for row in demand.rows:
        is_known = row.member in instance.members.members
        if is_known and row.member != instance.member.name:
            now = instance.read_clock()
            merge_row(instance.admission.demand, row, now=now)


async def answer_demand(
    instance: Instance, peer: Member, message: ShareDemand
) -> ShareDemand:
    """Merge a peer's demand rows and answer with those known here."""
    _merge_rows(instance, message)
    return _make_demand(instance)


async def exchange_demand(instance: Instance, links: PeerLinks, turn: int) -> None:
    """Exchange demand rows with the next neighbour in the rotation."""
    neighbours = select_neighbours(instance.members)
    if not neighbours:
        return
    member = instance.members.members[neighbours[turn % len(neighbours)]]
    try:
        demand = await links.call(
            member.peer_address, _make_demand(instance), ANSWER_TIMEOUT_S
        )
    except PeerLost:
        return
    if isinstance(demand, ShareDemand):
        _merge_rows(instance, demand)
