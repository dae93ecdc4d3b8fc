"""Progress of an attempt on a chain, and its count as work in flight."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from fulmarward._instance import Instance
from fulmarward.requests._progress import (
    AttemptProgress,
)
from fulmarward_core.routing import TargetView


@dataclass(kw_only=True)
class ChainProgress(AttemptProgress):
    """The state of one attempt on a chain."""

    #: 0 for the driver that started the attempt; for one that took it over, the time of
    #: the takeover in milliseconds since 1970. If two drivers continue one attempt,
    #: stages refuse the older, which could otherwise close what the newer drives.
    term: int = 0
    #: The views whose `in_flight` includes this chain.
    counted_views: list[TargetView] = field(default_factory=list)


@contextmanager
def counted_stages(instance: Instance, attempt: ChainProgress) -> Iterator[None]:
    """Count the chain as work in flight on each of its targets."""
    count_stages(instance, attempt)
    try:
        yield
    finally:
        uncount_stages(attempt)


def count_stages(instance: Instance, attempt: ChainProgress) -> None:
    """Count the chain as work in flight on each target that has a view."""
    views = [instance.views.get(stage.target) for stage in attempt.stages]
    attempt.counted_views = [view for view in views if view is not None]
    for view in attempt.counted_views:
        view.in_flight += 1


def uncount_stages(attempt: ChainProgress) -> None:
    """Undo `count_stages`."""
    for view in attempt.counted_views:
        view.in_flight -= 1
    attempt.counted_views = []
