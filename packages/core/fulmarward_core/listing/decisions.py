"""Selection of the instances that are listed for callers in a large fleet.

Instances that serve callers share the limits of the fleet: retries, bandwidth and
capacity of targets. Each knows its own requests immediately, but those of others only
a second later. So callers are sent to as few instances of their data centre as can
carry the load, with headroom for a burst and for the failure of some instances.
"""

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

#: Maximum number of addresses that callers read from a response.
MAX_LISTED = 64

#: Minimum number of listed instances of a data centre. A data centre with fewer is
#: complemented with instances of other data centres.
MIN_LISTED = 8

#: Mean number of open requests of a listed instance. An instance with half a core can
#: handle some ten times as many.
OPEN_REQUESTS_PER_INSTANCE = 12

#: Step size of the number of listed instances, so that the list changes rarely.
LIST_STEP = 4


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """An instance that may be listed."""

    name: str
    data_centre: str
    #: `IP:PORT` for callers.
    address: str
    #: Whether it has duties for other instances, as hubs do, so that callers should
    #: rather avoid it.
    has_duty: bool
    #: Whether a hub lost its link and nothing confirmed it since.
    is_lost: bool = False


def choose_listed(
    candidates: Sequence[Candidate], *, data_centre: str, open_requests: int
) -> list[str]:
    """Return the addresses to list for callers in a data centre.

    `open_requests` counts the requests that run in that data centre; the list grows
    with it. The same candidates give the same list on every instance.
    """
    candidates = _leave_out_lost(candidates)
    local = [item for item in candidates if item.data_centre == data_centre]
    local.sort(key=lambda item: (item.has_duty, item.name))
    if len(local) < MIN_LISTED:
        remote = [item for item in candidates if item.data_centre != data_centre]
        remote.sort(key=lambda item: (item.has_duty, item.name))
        return [item.address for item in (local + remote)[:MAX_LISTED]]
    count = (
        math.ceil(open_requests / OPEN_REQUESTS_PER_INSTANCE / LIST_STEP) * LIST_STEP
    )
    return [item.address for item in local[: min(MAX_LISTED, max(MIN_LISTED, count))]]


def _leave_out_lost(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates without those that are lost.

    A data centre of which more than half would be left out keeps all of its instances:
    then the link of the hub may be at fault.
    """
    counts = Counter(item.data_centre for item in candidates)
    lost = Counter(item.data_centre for item in candidates if item.is_lost)
    return [
        item
        for item in candidates
        if not item.is_lost or 2 * lost[item.data_centre] > counts[item.data_centre]
    ]
