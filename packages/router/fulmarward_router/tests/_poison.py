"""Knowledge of crashing prompts for tests of its users."""

import time

from fulmarward_router.state import PoisonKnowledge


def make_poison_knowledge(read_clock=time.monotonic):
    """Return the knowledge of an instance without peers that has no record."""
    poison = PoisonKnowledge(
        read_clock=read_clock,
        notify_peers=lambda patterns: None,
        fetch_from_peers=lambda: None,
        record_block_changed=lambda patterns: None,
    )
    poison.record_current()
    return poison
