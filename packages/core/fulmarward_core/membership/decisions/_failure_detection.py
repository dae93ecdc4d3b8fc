"""Failure detection: suspecting, declaring dead and forgetting unresponsive members."""

import random
from dataclasses import replace

from fulmarward_core.membership._types import (
    Member,
    MemberState,
    MemberTable,
    MissAction,
)
from fulmarward_core.membership.decisions._rumours import set_member

#: Consecutive missed heartbeats, at one a second, after which other members probe the
#: instance. A single one may be a lost packet. Two in a row, followed by the failed
#: probes of two other members, are rarely chance.
MAX_MISSES = 2

#: Number of members that probe an unresponsive one.
PROBER_COUNT = 2

#: Seconds of suspicion after which a member is declared dead. A paused instance has
#: this long to refute the rumour, so that a short pause does not remove it.
SUSPICION_TIMEOUT_S = 3.0

#: Seconds for which dead members are remembered. If they were never forgotten the table
#: would grow without bound; if forgotten too soon, a peer's outdated rumour would bring
#: them back. Rumours reach all members within seconds. With 690 replacements a day and
#: the loss of a data centre of 17, about twenty members die within five minutes.
DEAD_RETENTION_S = 300.0

#: Seconds of absence from the platform's list after which a suspected member is
#: declared dead at once. The list lags by less than this.
UNLISTED_S = 60.0


def choose_miss_action(misses: int, *, is_refused: bool) -> MissAction:
    """Return what to do after `misses` consecutive heartbeats without an answer.

    A refused connection shows that no process is listening, which a timeout does not:
    a repetition would be useless.
    """
    if is_refused or misses >= MAX_MISSES:
        return MissAction.ASK_OTHERS
    return MissAction.TRY_AGAIN


def choose_probers(
    table: MemberTable, name: str, generator: random.Random
) -> list[Member]:
    """Return the members that probe the unresponsive member `name`.

    Guards against a partition in one direction or between two locations only: a member
    that others still reach must not be declared dead.
    """
    others = [
        member
        for member in table.members.values()
        if member.name not in (name, table.own_name)
        and member.state is MemberState.ALIVE
    ]
    return generator.sample(others, min(PROBER_COUNT, len(others)))


def downgrade_member(member: Member) -> Member:
    """Return the entry of a member that no prober reached.

    A leaving member is declared dead at once, any other one is suspected first.
    """
    if member.state is MemberState.LEAVING:
        return replace(member, state=MemberState.DEAD)
    return replace(member, state=MemberState.SUSPECT)


def find_dead(table: MemberTable, *, now: float) -> list[Member]:
    """Return dead entries for the suspects whose time to refute has expired.

    A suspect that has been absent from the platform's list for long is dead at once.
    """
    return [
        replace(table.members[name], state=MemberState.DEAD)
        for name, since in table.suspected_at.items()
        if now - since > SUSPICION_TIMEOUT_S
        or now - table.unlisted_at.get(name, now) > UNLISTED_S
    ]


def forget_dead(table: MemberTable, *, now: float) -> list[str]:
    """Remove members that died over `DEAD_RETENTION_S` ago and return their names."""
    names = [
        name for name, since in table.dead_at.items() if now - since > DEAD_RETENTION_S
    ]
    for name in names:
        del table.dead_at[name]
        table.pending_transmissions.pop(name, None)
        table.unlisted_at.pop(name, None)
        set_member(table, name, None)
    return names


def restart_suspicions(table: MemberTable, *, now: float) -> None:
    """Restart the timer of every suspicion.

    Guards against an instance that was paused: all suspicions look expired to it,
    although their refutations are still unread in its sockets.
    """
    for name in table.suspected_at:
        table.suspected_at[name] = now
