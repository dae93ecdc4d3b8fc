"""The order of addresses in a discovery answer."""

import random
from collections.abc import Iterable

from fulmarward_core.membership import Member, MemberState

#: Addresses in one answer. Load: 330 instances; harm: an answer of 330 addresses for
#: each of thousands of callers; reason: a caller tries a few and then asks again.
MOST_ADDRESSES = 8


def order_addresses(
    members: Iterable[Member], *, data_centre: str, generator: random.Random
) -> list[str]:
    """Return caller addresses of live members, near ones first, else shuffled.

    Shuffling spreads callers: with a fixed order all would use the first address.
    """
    usable = [member for member in members if member.state is MemberState.ALIVE]
    generator.shuffle(usable)
    usable.sort(key=lambda member: member.data_centre != data_centre)
    return [member.caller_address for member in usable[:MOST_ADDRESSES]]
