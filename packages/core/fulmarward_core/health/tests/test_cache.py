import unittest

from fulmarward_core.declaration import Target, TargetKind
from fulmarward_core.health import apply_cache_events
from fulmarward_core.health._cache import MAX_PREFIXES, PREFIX_TTL_AFTER_GAP_S
from fulmarward_core.routing import TargetView


def _make_view():
    target = Target(
        address="127.0.0.1:1",
        data_centre="dc",
        kind=TargetKind.ENGINE,
        serves="m",
        accelerator="",
        layers=(0, 24),
        slots=16,
        tokens_per_s=1.0,
        checks_fencing=True,
    )
    return TargetView(name="e", target=target)


class CacheEventsTest(unittest.TestCase):
    def test_stored_and_evicted_prefixes_are_tracked(self):
        view = _make_view()
        apply_cache_events(view, [(1, True, "a"), (2, True, "b")], now=0.0)
        apply_cache_events(view, [(2, True, "b"), (3, False, "a")], now=1.0)
        self.assertEqual(list(view.cached_prefixes), ["b"])

    def test_prefixes_expire_soon_after_a_gap_in_the_events(self):
        # Guards against requests that are routed to a prefix which the engine evicted
        # long ago, so that each pays for the whole prompt. The eviction event was lost,
        # which only the gap in the sequence shows.
        view = _make_view()
        apply_cache_events(view, [(1, True, "a")], now=0.0)
        apply_cache_events(view, [(1, True, "a"), (3, True, "c")], now=1.0)
        self.assertIn("a", view.cached_prefixes)
        apply_cache_events(view, [(3, True, "c")], now=1.0 + PREFIX_TTL_AFTER_GAP_S)
        self.assertEqual(list(view.cached_prefixes), ["c"])

    def test_restart_of_an_engine_clears_its_prefixes(self):
        # Guards against a restarted engine that numbers its events from 1 again. Reads
        # from the old number would stay empty, and the old prefixes would remain.
        view = _make_view()
        apply_cache_events(view, [(40, True, "a")], now=0.0)
        apply_cache_events(view, [], now=1.0)
        self.assertEqual((view.cached_prefixes, view.cache_sequence), ({}, 0))
        apply_cache_events(view, [(1, True, "x")], now=2.0)
        self.assertEqual(list(view.cached_prefixes), ["x"])

    def test_memory_is_bounded(self):
        view = _make_view()
        events = [(n, True, f"p{n}") for n in range(1, 3 * MAX_PREFIXES)]
        apply_cache_events(view, events, now=0.0)
        self.assertEqual(len(view.cached_prefixes), MAX_PREFIXES)
