import unittest

from fulmarward_core.declaration import Target, TargetKind
from fulmarward_core.health import take_cache_events
from fulmarward_core.health._cache import HINT_S, MOST_PREFIXES
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
    def test_stored_and_evicted_prefixes_are_followed(self):
        view = _make_view()
        take_cache_events(view, [(1, True, "a"), (2, True, "b")], now=0.0)
        take_cache_events(view, [(2, True, "b"), (3, False, "a")], now=1.0)
        self.assertEqual(list(view.cached_prefixes), ["b"])

    def test_a_gap_makes_the_view_a_hint(self):
        # Requests are sent after a prefix that the engine evicted long ago; each pays
        # the whole prompt. The eviction's event was lost, and only the jump of the
        # sequence shows it.
        view = _make_view()
        take_cache_events(view, [(1, True, "a")], now=0.0)
        take_cache_events(view, [(1, True, "a"), (3, True, "c")], now=1.0)
        self.assertIn("a", view.cached_prefixes)
        take_cache_events(view, [(3, True, "c")], now=1.0 + HINT_S)
        self.assertEqual(list(view.cached_prefixes), ["c"])

    def test_an_engine_that_starts_anew_is_believed_to_hold_nothing(self):
        # An engine is restarted and counts its events from 1 again. Reading on from
        # the old number gives nothing for ever, and the old prefixes stay.
        view = _make_view()
        take_cache_events(view, [(40, True, "a")], now=0.0)
        take_cache_events(view, [], now=1.0)
        self.assertEqual((view.cached_prefixes, view.cache_sequence), ({}, 0))
        take_cache_events(view, [(1, True, "x")], now=2.0)
        self.assertEqual(list(view.cached_prefixes), ["x"])

    def test_memory_is_bounded(self):
        view = _make_view()
        events = [(n, True, f"p{n}") for n in range(1, 3 * MOST_PREFIXES)]
        take_cache_events(view, events, now=0.0)
        self.assertEqual(len(view.cached_prefixes), MOST_PREFIXES)
