"""Knowledge of crashing requests for tests of its users."""

from fulmarward_router.exchange import CrashMonitor
from fulmarward_router.state import PoisonKnowledge


def make_poison_knowledge(read_clock=lambda: 0.0):
    """Return the knowledge of an instance without peers that has no record."""
    poison = PoisonKnowledge(
        read_clock=read_clock,
        notify_peers=lambda patterns: None,
        fetch_from_peers=lambda: None,
        record_block_changed=lambda patterns: None,
    )
    poison.record_current()
    return poison


def make_crash_monitor(context, failure_detector):
    """Return the crash monitor of an instance."""
    return CrashMonitor(
        context=context,
        failure_detector=failure_detector,
        count_crash=lambda service, progress: None,
    )
