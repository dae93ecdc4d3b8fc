"""Which instances are listed for callers, where there are many of them.

Instances that serve share what the fleet may use: retries, the pipe, room at targets.
Each knows its own requests at once and those of others a second later. So callers are
sent to as few instances of their data centre as carry the load, with headroom for a
burst and for the loss of some.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

#: Addresses that callers read of an answer.
MAX_LISTED = 64

#: Instances of a data centre that are listed at least. Up to that many, other data
#: centres' are listed as well.
MIN_LISTED = 8

#: Open requests that a listed instance has in the mean. An instance with half a core
#: carries some ten times as many.
OPEN_REQUESTS_EACH = 12

#: Instances by which the list grows and shrinks, so that it changes rarely.
LIST_STEP = 4


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """An instance that callers may be sent to."""

    name: str
    data_centre: str
    #: `IP:PORT` for callers.
    address: str
    #: Whether it acts for others, so that callers had better not depend on it.
    has_duty: bool


def choose_listed(
    candidates: Sequence[Candidate], *, data_centre: str, open_requests: int
) -> list[str]:
    """Return the addresses to give to a caller in a data centre.

    `open_requests` are those that run in that data centre. Everybody chooses the same
    ones from the same candidates; more of them when more requests run.
    """
    near = [item for item in candidates if item.data_centre == data_centre]
    near.sort(key=lambda item: (item.has_duty, item.name))
    if len(near) < MIN_LISTED:
        far = [item for item in candidates if item.data_centre != data_centre]
        far.sort(key=lambda item: (item.has_duty, item.name))
        return [item.address for item in (near + far)[:MAX_LISTED]]
    wanted = math.ceil(open_requests / OPEN_REQUESTS_EACH / LIST_STEP) * LIST_STEP
    return [item.address for item in near[: min(MAX_LISTED, max(MIN_LISTED, wanted))]]
