"""The share of one instance in what all instances use together.

It answers a load that few instances serve while many could: callers are sent to some
of them only, so that an equal share for each would leave most of it unused, while the
ones that serve reject requests and cut answers. Nothing is asked or agreed on: each
instance takes its share by the instances that it knows to be listed.
"""

#: Share that is split over all instances, listed for callers or not. It is for those
#: that callers still use, and for views of the list that differ for a moment.
RESERVE_SHARE = 0.25


def compute_share(*, is_listed: bool, listed: int, instances: int) -> float:
    """Return the share of an instance, between 0 and 1.

    `listed` counts the instances that callers are sent to, `instances` all of them,
    this one included. The shares of all add up to 1 where they know the same list.
    """
    if not listed:
        return 1 / max(1, instances)
    share = RESERVE_SHARE / max(1, instances)
    if is_listed:
        share += (1 - RESERVE_SHARE) / listed
    return share
