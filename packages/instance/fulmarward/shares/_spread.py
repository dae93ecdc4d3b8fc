"""Telling peers what teams ask for here, and hearing it from them."""

from fulmarward._instance import Instance
from fulmarward.peers import PeerLinks, PeerLost, ShareDemand
from fulmarward_core.admission import make_own_row, merge_row, select_rows
from fulmarward_core.membership import Member, select_neighbours

#: Seconds that a peer has to answer.
ANSWER_S = 1.0


def _make_news(instance: Instance) -> ShareDemand:
    own = make_own_row(
        instance.admission.demand,
        member=instance.member.name,
        boot=instance.member.boot,
    )
    return ShareDemand(rows=select_rows(instance.admission.demand, own))


def _hear(instance: Instance, news: ShareDemand) -> None:
    for row in news.rows:
        is_known = row.member in instance.members.members
        if is_known and row.member != instance.member.name:
            now = instance.read_clock()
            merge_row(instance.admission.demand, row, now=now)


async def answer_demand(
    instance: Instance, peer: Member, message: ShareDemand
) -> ShareDemand:
    """Take in a peer's rows and answer with the own."""
    _hear(instance, message)
    return _make_news(instance)


async def tell_neighbour(instance: Instance, links: PeerLinks, turn: int) -> None:
    """Exchange rows with the neighbour whose turn it is."""
    neighbours = select_neighbours(instance.members)
    if not neighbours:
        return
    member = instance.members.members[neighbours[turn % len(neighbours)]]
    try:
        news = await links.call(member.peer_address, _make_news(instance), ANSWER_S)
    except PeerLost:
        return
    if isinstance(news, ShareDemand):
        _hear(instance, news)
