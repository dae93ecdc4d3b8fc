"""Knowledge of what targets demand, for tests of its users."""

import time

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_router.state import LeavingTargets, TargetLimits


def make_target_limits(read_clock=time.monotonic, *, targets=(), links=None):
    """Return the knowledge of an instance without peers that knows of no limit."""
    return TargetLimits(
        own="one",
        read_clock=read_clock,
        list_targets=lambda: targets,
        list_owner_candidates=lambda: ("one",),
        find_reachable_share=lambda: 1.0,
        get_links=lambda: links,
        count_sent=lambda: None,
        count_throttled=lambda: None,
    )


def make_leaving_targets(read_clock=time.monotonic, *, catalogue=None, links=None):
    """Return the knowledge of an instance that knows of no leaving target."""
    return LeavingTargets(
        catalogue=TargetCatalogue() if catalogue is None else catalogue,
        read_clock=read_clock,
        get_links=lambda: links,
    )
