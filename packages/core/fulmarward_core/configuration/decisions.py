"""Decisions about adopting configuration."""

from fulmarward_core.configuration._types import Adoption, Head


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
