"""The share of one instance in a limit that holds for all instances together.

Callers are sent only to some instances. With equal shares, most of the limit would be
unused while the instances that serve callers reject requests and abort answers.
Instances do not coordinate: each computes its share from the instances that it knows
to be listed.
"""

#: Share that is split over all instances, whether they are listed for callers or not.
#: It covers instances that callers still use, and short-lived differences between the
#: lists that instances know.
RESERVE_SHARE = 0.25


def compute_share(*, is_listed: bool, listed: int, instances: int) -> float:
    """Return the share of an instance, between 0 and 1.

    `listed` is the number of instances that callers are sent to, and `instances` that
    of all, including this one. The shares add up to 1 if all know the same list.
    """
    if not listed:
        return 1 / max(1, instances)
    share = RESERVE_SHARE / max(1, instances)
    if is_listed:
        share += (1 - RESERVE_SHARE) / listed
    return share
