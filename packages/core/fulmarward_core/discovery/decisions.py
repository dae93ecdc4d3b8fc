"""Selection and order of the addresses in a discovery response."""

import random
from collections.abc import Iterable

from fulmarward_core.membership import Member, MemberState

#: Maximum number of addresses in a response. A caller tries only a few of them and then
#: asks again, so thousands of callers need not receive all 330 instances.
MAX_ADDRESSES = 8

#: Addresses reserved for other data centres. Without them, a caller whose data centre
#: fails knows no reachable instance. Two of them, as one may fail at the same time.
REMOTE_ADDRESSES = 2


def order_addresses(
    members: Iterable[Member], *, data_centre: str, generator: random.Random
) -> list[str]:
    """Return caller addresses of alive members in random order, local ones first.

    The random order spreads callers; in a fixed order all would use the first address.
    """
    alive = [member for member in members if member.state is MemberState.ALIVE]
    generator.shuffle(alive)
    local = [member for member in alive if member.data_centre == data_centre]
    remote = [member for member in alive if member.data_centre != data_centre]
    reserved = min(REMOTE_ADDRESSES, len(remote))
    chosen = local[: MAX_ADDRESSES - reserved]
    chosen += remote[: MAX_ADDRESSES - len(chosen)]
    return [member.caller_address for member in chosen]
