"""Gossip-based membership: the instances of the fleet as seen by one instance."""

from fulmarward_core.membership._types import (
    Incarnation,
    Listed,
    Member,
    MemberState,
    MemberTable,
    Miss,
)
from fulmarward_core.membership.decisions._listing import (
    choose_list_delay,
    list_strangers,
    list_usable,
    take_list,
)
from fulmarward_core.membership.decisions._neighbours import (
    choose_heartbeat,
    select_neighbours,
)
from fulmarward_core.membership.decisions._rumours import (
    combine_digests,
    is_newer,
    merge_member,
    refute_rumour,
    select_differing,
    take_rumours,
)
from fulmarward_core.membership.decisions._silence import (
    choose_probers,
    find_dead,
    forget_dead,
    forgive_silence,
    judge_miss,
    worsen_member,
)

__all__ = [
    "Incarnation",
    "Listed",
    "Member",
    "MemberState",
    "MemberTable",
    "Miss",
    "choose_heartbeat",
    "choose_list_delay",
    "choose_probers",
    "combine_digests",
    "find_dead",
    "forget_dead",
    "forgive_silence",
    "is_newer",
    "judge_miss",
    "list_strangers",
    "list_usable",
    "merge_member",
    "refute_rumour",
    "select_differing",
    "select_neighbours",
    "take_list",
    "take_rumours",
    "worsen_member",
]
