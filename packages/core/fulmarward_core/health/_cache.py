"""What an engine's cache is believed to hold, from events with lag and gaps."""

from collections.abc import Sequence

from fulmarward_core.routing import TargetView

#: Longest that a stored prefix is believed in, in seconds. Harm: work sent after a
#: prefix whose eviction was never told; reason: caches in use turn over sooner.
BELIEVE_S = 600.0

#: How long prefixes are still believed in after a gap, in seconds. Harm: one of the
#: lost events was an eviction; reason: most were not, and the view is a hint.
HINT_S = 20.0

#: Prefixes kept for one target. Load: 128 followed targets; harm: memory past 256 MB;
#: reason: 2,048 of 200 bytes each make 52 MB for all of them.
MOST_PREFIXES = 2_048


def take_cache_events(
    view: TargetView, events: Sequence[tuple[int, bool, str]], *, now: float
) -> None:
    """Take in the events from `view.cache_sequence` on, that one included.

    The last event known is asked for again: when it does not come back first, events
    were lost or the engine started anew with an empty cache, and what is believed
    becomes a hint that soon ends. So does everything after a jump of the sequence.
    """
    if not events:
        if view.cache_sequence > 0:
            _forget_all(view)
        return
    if view.cache_sequence > 0 and events[0][0] != view.cache_sequence:
        _doubt(view, now)
    for sequence, is_stored, prefix in events:
        if sequence > view.cache_sequence + 1 and view.cache_sequence > 0:
            _doubt(view, now)
        view.cache_sequence = max(sequence, view.cache_sequence)
        view.cached_prefixes.pop(prefix, None)
        if is_stored:
            view.cached_prefixes[prefix] = now + BELIEVE_S
    _drop_ended(view, now)


def _forget_all(view: TargetView) -> None:
    """Begin anew: the engine no longer knows an event that it had published."""
    view.cache_sequence = 0
    view.cached_prefixes.clear()


def _doubt(view: TargetView, now: float) -> None:
    for prefix, until in view.cached_prefixes.items():
        view.cached_prefixes[prefix] = min(until, now + HINT_S)


def _drop_ended(view: TargetView, now: float) -> None:
    ended = [prefix for prefix, until in view.cached_prefixes.items() if until <= now]
    for prefix in ended:
        del view.cached_prefixes[prefix]
    while len(view.cached_prefixes) > MOST_PREFIXES:
        del view.cached_prefixes[next(iter(view.cached_prefixes))]
