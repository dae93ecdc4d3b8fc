"""Estimated content of an engine's prefix cache, from delayed and lossy events."""

from collections.abc import Sequence

from fulmarward_core.routing import TargetView

#: Seconds for which a stored prefix is assumed to be cached. Guards against evictions
#: that were never reported; caches in use turn over sooner than this.
PREFIX_TTL_S = 600.0

#: Seconds for which prefixes are still assumed to be cached after a gap in the events.
#: A lost event may have been an eviction; most are not, and the view is only a hint.
PREFIX_TTL_AFTER_GAP_S = 20.0

#: Maximum number of prefixes per target. With 128 followed targets, 2,048 prefixes of
#: 200 bytes each take 52 MB in total, well below the memory limit of 256 MB.
MAX_PREFIXES = 2_048


def apply_cache_events(
    view: TargetView, events: Sequence[tuple[int, bool, str]], *, now: float
) -> None:
    """Apply the cache events from `view.cache_sequence` on, including that one.

    The last known event is requested again. If it is not the first one returned, or if
    the sequence has a gap, events were lost or the engine restarted with an empty
    cache: known prefixes then expire within `PREFIX_TTL_AFTER_GAP_S`. If no event is
    returned at all, they are discarded at once.
    """
    if not events:
        if view.cache_sequence > 0:
            _reset(view)
        return
    if view.cache_sequence > 0 and events[0][0] != view.cache_sequence:
        _shorten_ttls(view, now)
    for sequence, is_stored, prefix in events:
        if sequence > view.cache_sequence + 1 and view.cache_sequence > 0:
            _shorten_ttls(view, now)
        view.cache_sequence = max(sequence, view.cache_sequence)
        view.cached_prefixes.pop(prefix, None)
        if is_stored:
            view.cached_prefixes[prefix] = now + PREFIX_TTL_S
    _drop_expired(view, now)


def _reset(view: TargetView) -> None:
    """Reset the view: the engine no longer knows an event that it had published."""
    view.cache_sequence = 0
    view.cached_prefixes.clear()


def _shorten_ttls(view: TargetView, now: float) -> None:
    for prefix, until in view.cached_prefixes.items():
        view.cached_prefixes[prefix] = min(until, now + PREFIX_TTL_AFTER_GAP_S)


def _drop_expired(view: TargetView, now: float) -> None:
    expired = [prefix for prefix, until in view.cached_prefixes.items() if until <= now]
    for prefix in expired:
        del view.cached_prefixes[prefix]
    while len(view.cached_prefixes) > MAX_PREFIXES:
        del view.cached_prefixes[next(iter(view.cached_prefixes))]
