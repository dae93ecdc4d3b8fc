"""Decisions about applying, adopting and polling the configuration."""

import random
from collections.abc import Sequence

from fulmarward_core.configuration._types import Adoption, ApplyStep, Head

#: Mean interval in seconds at which an instance polls the platform for the head.
#: Changes arrive from peers within a second or two, and polling is only the fallback.
#: 330 instances then make 33 of the two thousand reads a second that the platform
#: serves, which leaves the rest for other uses.
POLL_INTERVAL_S = 10.0

#: Maximum mean interval in seconds while the platform does not answer.
MAX_POLL_INTERVAL_S = 40.0

#: Jitter of each delay as a fraction of its mean. Without it, instances that start or
#: lose their connection together poll together; half of the mean spreads them over
#: the whole interval.
POLL_JITTER = 0.5


def decide_adoption(*, current: Head, offered: Head) -> Adoption:
    """Return how to handle `offered`, given the current head.

    Prevents an instance from returning to an older declaration when a peer that was
    partitioned or paused offers a stale head. Epochs only increase, and the platform's
    conditional write assigns each epoch to a single declaration, so the higher epoch
    is the valid one.
    """
    if offered.epoch > current.epoch:
        return Adoption.ADOPT
    if offered.epoch < current.epoch:
        return Adoption.OLDER
    if offered.content_hash != current.content_hash:
        return Adoption.CONFLICT
    return Adoption.SAME


def is_same_apply(first: Head, second: Head) -> bool:
    """Return whether two heads come from the same apply.

    The content is compared as well as the id, so an id that a client reuses for
    another declaration is not mistaken for the same apply.
    """
    return (first.apply_id, first.content_hash) == (
        second.apply_id,
        second.content_hash,
    )


def decide_apply(*, current: Head, wanted: Head, base_epoch: int | None) -> ApplyStep:
    """Return the next step of an apply, given the head stored on the platform."""
    if is_same_apply(current, wanted):
        return ApplyStep.DONE
    if current.content_hash == wanted.content_hash:
        return ApplyStep.UNCHANGED
    if base_epoch is not None and base_epoch != current.epoch:
        return ApplyStep.SEARCH_HISTORY
    return ApplyStep.COMMIT


def is_newest_known(answers: Sequence[bool | None]) -> bool:
    """Return whether the highest epoch in peers' answers is the newest of the fleet.

    An answer is `None` if the peer did not reply, else whether that peer is certain
    that its own epoch is the newest. One certain peer is enough. Otherwise every peer
    has to reply, because instances that were paused or started together could confirm
    each other's stale declaration.
    """
    return any(answers) or (len(answers) > 0 and None not in answers)


def choose_poll_delay(*, failures: int, generator: random.Random) -> float:
    """Return the seconds until the next poll of the platform.

    Each failed poll doubles the mean, up to the maximum. After an outage of any length
    the polls of all instances are spread over the last interval: the platform gets 330
    reads over some 40 seconds instead of all at once.
    """
    mean = min(POLL_INTERVAL_S * 2 ** min(failures, 8), MAX_POLL_INTERVAL_S)
    return mean * generator.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
