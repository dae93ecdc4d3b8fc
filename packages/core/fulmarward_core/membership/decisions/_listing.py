"""What the platform's list and the seeds are good for."""

import random
from collections.abc import Iterable, Sequence

from fulmarward_core.membership._types import (
    Listed,
    Member,
    MemberState,
    MemberTable,
)

#: Mean seconds between two reads of the platform's list by one instance of a fleet
#: of up to `LIST_MEMBERS`, and the most for any. Load: 330 instances, a list of them
#: is 50 KB; harm: at five seconds it would take 10 KB/s from each, of 4; reason: at
#: two minutes it takes 0.4 KB/s, the fleet still reads it thrice a second, and what
#: it tells is a hint beside the heartbeats.
LIST_S = 5.0

LIST_MEMBERS = 9

MOST_LIST_S = 120.0


def take_list(table: MemberTable, listed: Iterable[Listed], *, now: float) -> None:
    """Keep what the platform's list names, as a hint in both directions.

    It lags: a name on it may be dead, and a new instance may be missing. So it never
    changes a member's state by itself.
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

    A member that the platform lists as leaving is left out while the list says so.
    """
    return [
        member
        for name, member in table.members.items()
        if member.state is MemberState.ALIVE
        and not (name in table.listed and table.listed[name].is_leaving)
    ]


def list_strangers(table: MemberTable, seeds: Sequence[str]) -> list[str]:
    """Return addresses that may hold an instance with which no link stands.

    Guards against two data centres that were parted for so long that each holds the
    other dead, or has forgotten it: one address tried now and then joins them again.
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

    The mean grows with the fleet, so that all together read it two or three times a
    second at any size. It doubles with each failure, so that the end of an outage
    meets reads that are spread out.
    """
    mean = LIST_S * max(1.0, members / LIST_MEMBERS) * 2 ** min(failures, 3)
    return min(mean, MOST_LIST_S) * generator.uniform(0.5, 1.5)
