"""Which instances there are, as one instance believes."""

from fulmarward_core.membership._types import (
    Incarnation,
    Member,
    MemberState,
    MemberTable,
)
from fulmarward_core.membership.decisions import (
    merge_member,
    refute_rumour,
    select_neighbours,
    suspect_silent,
)

__all__ = [
    "Incarnation",
    "Member",
    "MemberState",
    "MemberTable",
    "merge_member",
    "refute_rumour",
    "select_neighbours",
    "suspect_silent",
]
