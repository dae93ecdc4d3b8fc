"""Suspecting silent members, holding them dead, forgetting them."""

import random
from dataclasses import replace

from fulmarward_core.membership._types import (
    Member,
    MemberState,
    MemberTable,
    Miss,
)
from fulmarward_core.membership.decisions._rumours import place

#: Heartbeats in a row without an answer after which others are asked. Load: one each
#: second; harm: an instance suspected for one lost packet; reason: two in a row, and
#: then two others that do not reach it either, are rarely chance.
MOST_MISSES = 2

#: Members that are asked to try a silent one.
PROBERS = 2

#: Suspicion after which a member is held dead, in seconds. Harm: a paused instance
#: thrown out for a moment's pause; reason: it has this long to refute the rumour.
DEAD_AFTER_S = 3.0

#: Seconds for which a dead member is remembered. Load: 690 replaced a day and a data
#: centre of 17 lost at once; harm: a table that grows for ever, or a peer's old news
#: that brings a dead member back; reason: news is everywhere within seconds, and in
#: five minutes no more than some twenty have died.
FORGET_S = 300.0

#: Seconds without a place on the platform's list after which suspicion is enough to
#: hold a member dead. Reason: the list lags, by less than this.
UNLISTED_S = 60.0


def judge_miss(misses: int, *, is_refused: bool) -> Miss:
    """Return what to do after `misses` heartbeats in a row without an answer.

    A refused connection says that nobody listens there, which silence does not:
    there is nothing to wait for.
    """
    if is_refused or misses >= MOST_MISSES:
        return Miss.ASK_OTHERS
    return Miss.TRY_AGAIN


def choose_probers(
    table: MemberTable, name: str, generator: random.Random
) -> list[Member]:
    """Return the members that are asked to try the silent member `name`.

    Guards against a cut in one direction or between two places: the silent one is
    reached by others, and must not be declared dead for everyone.
    """
    others = [
        member
        for member in table.members.values()
        if member.name not in (name, table.own_name)
        and member.state is MemberState.ALIVE
    ]
    return generator.sample(others, min(PROBERS, len(others)))


def worsen_member(member: Member) -> Member:
    """Return what is said of a member that nobody reached.

    One that said itself that it is leaving has gone and gets no suspicion first.
    """
    if member.state is MemberState.LEAVING:
        return replace(member, state=MemberState.DEAD)
    return replace(member, state=MemberState.SUSPECT)


def find_dead(table: MemberTable, *, now: float) -> list[Member]:
    """Return suspects whose time is over, as dead.

    A suspect that the platform has not listed for long is dead at once.
    """
    return [
        replace(table.members[name], state=MemberState.DEAD)
        for name, since in table.suspected_at.items()
        if now - since > DEAD_AFTER_S
        or now - table.unlisted_at.get(name, now) > UNLISTED_S
    ]


def forget_dead(table: MemberTable, *, now: float) -> list[str]:
    """Drop members that are dead for long and return their names."""
    names = [name for name, since in table.dead_at.items() if now - since > FORGET_S]
    for name in names:
        del table.dead_at[name]
        table.untold.pop(name, None)
        table.unlisted_at.pop(name, None)
        place(table, name, None)
    return names


def forgive_silence(table: MemberTable, *, now: float) -> None:
    """Count every suspicion from now on.

    Guards against an instance that was paused: all suspicions look old to it, and
    the words that refute them stand unread in its sockets.
    """
    for name in table.suspected_at:
        table.suspected_at[name] = now
