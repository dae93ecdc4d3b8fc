"""The state of one attempt on a chain, and the targets that count it."""

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

    #: 0 for the driver that began it; for one that took it over, when it did so in
    #: milliseconds since 1970. Guards against two drivers that both go on, of which
    #: the older would close what the newer drives: stages refuse the older.
    term: int = 0
    #: The views that count this chain as work in flight.
    held: list[TargetView] = field(default_factory=list)


@contextmanager
def hold_stages(instance: Instance, attempt: ChainProgress) -> Iterator[None]:
    """Count the chain as work in flight on each of its targets."""
    count_stages(instance, attempt)
    try:
        yield
    finally:
        discount_stages(attempt)


def count_stages(instance: Instance, attempt: ChainProgress) -> None:
    """Count the chain as work in flight on each target that has a view."""
    views = [instance.views.get(stage.target) for stage in attempt.stages]
    attempt.held = [view for view in views if view is not None]
    for view in attempt.held:
        view.in_flight += 1


def discount_stages(attempt: ChainProgress) -> None:
    """Take back what `count_stages` counted."""
    for view in attempt.held:
        view.in_flight -= 1
    attempt.held = []
