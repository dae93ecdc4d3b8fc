"""Maintains this instance's part of each team's rate limit as token buckets."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.peers import PeerLinks
from fulmarward.shares._exchange import exchange_demand
from fulmarward_core.admission import (
    Bucket,
    average_demand,
    choose_gossip_interval,
    compute_bucket_depth,
    compute_share_fraction,
    list_other_demand,
    make_bucket,
    prune_rows,
    resize_bucket,
)
from fulmarward_core.declaration import Team
from fulmarward_core.membership import MemberState

#: Seconds between two splits, and minimum seconds between two messages to peers.
SPLIT_INTERVAL_S = 1.0


def _count_members(instance: Instance) -> int:
    """Return the number of instances that may have callers and so need a part."""
    return sum(
        member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        for member in instance.members.members.values()
    )


def _compute_part(instance: Instance, name: str) -> float:
    demand = instance.admission.demand
    return compute_share_fraction(
        own=demand.own.get(name, 0.0),
        others=list_other_demand(demand, name),
        members=_count_members(instance),
    )


def find_bucket(instance: Instance, name: str, team: Team) -> Bucket:
    """Return a team's token bucket, creating it on first use."""
    buckets = instance.admission.buckets
    if name not in buckets:
        part = _compute_part(instance, name)
        buckets[name] = make_bucket(
            rate=team.tokens_per_s * part,
            depth=compute_bucket_depth(team.burst_tokens, part),
            now=instance.read_clock(),
        )
    return buckets[name]


def split_shares(instance: Instance) -> None:
    """Resize each bucket to this instance's part; drop those of removed teams."""
    now = instance.read_clock()
    demand, buckets = instance.admission.demand, instance.admission.buckets
    average_demand(demand, now=now)
    prune_rows(demand, members=frozenset(instance.members.members), now=now)
    teams = instance.snapshot.declaration.teams
    for name in list(buckets):
        team = teams.get(name)
        if team is None:
            del buckets[name]
            continue
        part = _compute_part(instance, name)
        resize_bucket(
            buckets[name],
            rate=team.tokens_per_s * part,
            depth=compute_bucket_depth(team.burst_tokens, part),
            now=now,
        )


async def run_shares(instance: Instance, links: PeerLinks) -> None:
    """Split shares each second, and exchange demand with the neighbours in turn."""
    turn = pause = 0
    while True:
        split_shares(instance)
        if pause <= 0:
            await exchange_demand(instance, links, turn)
            turn += 1
            pause = choose_gossip_interval(len(instance.members.members))
        pause -= 1
        await asyncio.sleep(SPLIT_INTERVAL_S)
