"""Gossip-based membership: the instances of the fleet as seen by one instance."""

from fulmarward_core.membership._types import (
    Incarnation,
    ListedInstance,
    Member,
    MemberState,
    MemberTable,
    MissAction,
)
from fulmarward_core.membership.decisions._failure_detection import (
    choose_miss_action,
    choose_probers,
    downgrade_member,
    find_dead,
    forget_dead,
    restart_suspicions,
)
from fulmarward_core.membership.decisions._listing import (
    choose_list_delay,
    list_unconnected_addresses,
    list_usable,
    update_listed,
)
from fulmarward_core.membership.decisions._neighbours import (
    choose_heartbeat,
    select_neighbours,
)
from fulmarward_core.membership.decisions._rumours import (
    combine_digests,
    dequeue_rumours,
    is_newer,
    merge_member,
    refute_rumour,
    select_differing,
)

__all__ = [
    "Incarnation",
    "ListedInstance",
    "Member",
    "MemberState",
    "MemberTable",
    "MissAction",
    "choose_heartbeat",
    "choose_list_delay",
    "choose_probers",
    "combine_digests",
    "find_dead",
    "forget_dead",
    "restart_suspicions",
    "is_newer",
    "choose_miss_action",
    "list_unconnected_addresses",
    "list_usable",
    "merge_member",
    "refute_rumour",
    "select_differing",
    "select_neighbours",
    "update_listed",
    "dequeue_rumours",
    "downgrade_member",
]
