"""The order of addresses in a discovery answer."""

import random
from collections.abc import Iterable

from fulmarward_core.membership import Member, MemberState

#: Addresses in one answer. Load: 330 instances; harm: an answer of 330 addresses for
#: each of thousands of callers; reason: a caller tries a few and then asks again.
MOST_ADDRESSES = 8

#: Of those, the ones kept for other data centres. Harm: a caller whose data centre is
#: lost holds addresses of that one alone and has nobody left to ask; reason: two, in
#: case one of them goes at the same time.
FAR_ADDRESSES = 2


def order_addresses(
    members: Iterable[Member], *, data_centre: str, generator: random.Random
) -> list[str]:
    """Return caller addresses of live members, near ones first, else shuffled.

    Shuffling spreads callers: with a fixed order all would use the first address.
    """
    usable = [member for member in members if member.state is MemberState.ALIVE]
    generator.shuffle(usable)
    near = [member for member in usable if member.data_centre == data_centre]
    far = [member for member in usable if member.data_centre != data_centre]
    kept_for_far = min(FAR_ADDRESSES, len(far))
    chosen = near[: MOST_ADDRESSES - kept_for_far]
    chosen += far[: MOST_ADDRESSES - len(chosen)]
    return [member.caller_address for member in chosen]
