"""Knowledge of targets' limits for tests of its users."""

import time

from fulmarward_router.state import TargetLimits


def make_target_limits(read_clock=time.monotonic):
    """Return the knowledge of an instance that knows of no limit."""
    return TargetLimits(
        read_clock=read_clock, list_targets=lambda: (), count_sent=lambda: None
    )
