"""Use of the platform's list of instances and of the seed addresses."""

import random
from collections.abc import Iterable, Sequence

from fulmarward_core.membership._types import (
    ListedInstance,
    Member,
    MemberState,
    MemberTable,
)

#: Mean seconds between two reads of the platform's list by one instance, in a fleet of
#: up to `BASE_FLEET_SIZE` instances.
BASE_LIST_INTERVAL_S = 5.0

BASE_FLEET_SIZE = 9

#: Maximum of that mean for larger fleets. A list of 330 instances is 50 KB: read every
#: five seconds it would take 10 KB/s of the 4 KB/s that each instance may use. Read
#: every two minutes it takes 0.4 KB/s, and the whole fleet still reads it three times a
#: second. The list is only a hint in addition to the heartbeats.
MAX_LIST_INTERVAL_S = 120.0


def update_listed(
    table: MemberTable, listed: Iterable[ListedInstance], *, now: float
) -> None:
    """Store the platform's list and update since when members are absent from it.

    The list lags: it may name dead instances and lack new ones. It is only a hint and
    never changes a member's state by itself.
    """
    table.listed = {entry.name: entry for entry in listed}
    for name in table.members:
        if name in table.listed:
            table.unlisted_at.pop(name, None)
        else:
            table.unlisted_at.setdefault(name, now)
    for name in set(table.unlisted_at) - set(table.members):
        del table.unlisted_at[name]


def list_usable(table: MemberTable) -> list[Member]:
    """Return the members that callers may be sent to.

    Members that the platform lists as leaving are excluded.
    """
    return [
        member
        for name, member in table.members.items()
        if member.state is MemberState.ALIVE
        and not (name in table.listed and table.listed[name].is_leaving)
    ]


def list_unconnected_addresses(table: MemberTable, seeds: Sequence[str]) -> list[str]:
    """Return the addresses of possible instances that are not live members.

    Guards against a network partition that lasted so long that each side considers the
    other dead or has forgotten it: trying one of these addresses periodically heals it.
    """
    own = table.members[table.own_name].peer_address
    known = {
        member.peer_address
        for member in table.members.values()
        if member.state is not MemberState.DEAD
    }
    named = {
        *seeds,
        *(entry.peer_address for entry in table.listed.values()),
        *(table.members[name].peer_address for name in table.dead_at),
    }
    return sorted(named - known - {own, ""})


def choose_list_delay(
    *, members: int, failures: int, generator: random.Random
) -> float:
    """Return the seconds until this instance reads the platform's list again.

    The mean grows with the fleet, so that the whole fleet reads the list two or three
    times a second at any size. It doubles with each failure, so that the reads after an
    outage are spread out.
    """
    mean = (
        BASE_LIST_INTERVAL_S
        * max(1.0, members / BASE_FLEET_SIZE)
        * 2 ** min(failures, 3)
    )
    return min(mean, MAX_LIST_INTERVAL_S) * generator.uniform(0.5, 1.5)
