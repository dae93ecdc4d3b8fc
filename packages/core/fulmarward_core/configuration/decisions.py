"""Decisions about applying and adopting configuration."""

import random
from collections.abc import Sequence

from fulmarward_core.configuration._types import Adoption, ApplyStep, Head

#: Seconds between two looks of an instance at the platform's head, on average. Load:
#: 330 instances; harm: reads that the platform needs for other duties; reason: news
#: comes from peers within a second or two and the look is only the net below it, so
#: 33 reads a second of two thousand are enough.
POLL_S = 10.0

#: Most seconds between two looks while the platform does not answer.
MOST_POLL_S = 40.0

#: How far each wait is spread around its mean, as a part of it. Harm: instances that
#: were started or cut off together ask together; reason: half of the mean spreads
#: them over the whole interval.
POLL_SPREAD = 0.5


def decide_adoption(*, current: Head, offered: Head) -> Adoption:
    """Return what to do with `offered`, given what stands.

    Guards against an instance going back to an older file: a peer that was parted
    or paused offers what it last knew. Epochs only rise, and the platform's
    conditional write gives each epoch to one file alone, so the higher one is right.
    """
    if offered.epoch > current.epoch:
        return Adoption.ADOPT
    if offered.epoch < current.epoch:
        return Adoption.OLDER
    if offered.content_hash != current.content_hash:
        return Adoption.CONFLICT
    return Adoption.SAME


def is_same_apply(first: Head, second: Head) -> bool:
    """Return whether two heads come from one and the same apply.

    The content counts beside the id, so that an id that a client used twice never
    passes another file off as its own.
    """
    return (first.apply_id, first.content_hash) == (
        second.apply_id,
        second.content_hash,
    )


def decide_apply(*, current: Head, wanted: Head, base_epoch: int | None) -> ApplyStep:
    """Return how to go on with an apply, given the head that the platform has."""
    if is_same_apply(current, wanted):
        return ApplyStep.DONE
    if current.content_hash == wanted.content_hash:
        return ApplyStep.UNCHANGED
    if base_epoch is not None and base_epoch != current.epoch:
        return ApplyStep.LOOK_BACK
    return ApplyStep.COMMIT


def is_newest_known(answers: Sequence[bool | None]) -> bool:
    """Return whether the highest epoch among peers' answers is the fleet's newest.

    An answer is `None` when none came, else whether that peer is sure of its own.
    One that is sure suffices. Guards against instances that were paused or started
    together and confirm each other's old file: none of them is sure, and then only
    the word of every peer there is will do.
    """
    return any(answers) or (len(answers) > 0 and None not in answers)


def choose_poll_delay(*, failures: int, generator: random.Random) -> float:
    """Return the seconds until the next look at the platform.

    Each look without an answer doubles the mean. After an outage of any length the
    looks of all instances lie spread over the whole of the last interval, so the
    platform meets 330 reads in some 40 seconds and not at once.
    """
    mean = min(POLL_S * 2 ** min(failures, 8), MOST_POLL_S)
    return mean * generator.uniform(1 - POLL_SPREAD, 1 + POLL_SPREAD)
