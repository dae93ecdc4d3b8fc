import random
import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given, strategies as st

from fulmarward_core.declaration import Target, TargetKind
from fulmarward_core.routing import (
    LoadReport,
    RequestProfile,
    TargetView,
    choose_target,
)

_TARGET = Target(
    address="127.0.0.1:1",
    data_centre="palermo-a",
    kind=TargetKind.ENGINE,
    serves="sardine",
    accelerator="a100",
    layers=(0, 24),
    slots=16,
    tokens_per_s=1000,
    checks_fencing=True,
)


def _make_views(number):
    return [TargetView(name=f"t{place}", target=_TARGET) for place in range(number)]


def _choose(views, profile, seed=1, data_centre="palermo-a"):
    return choose_target(
        candidates=views,
        data_centre=data_centre,
        now=100.0,
        generator=random.Random(seed),
        profile=profile,
    )


class ChooseTargetTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.booleans(), st.floats(0, 200)), min_size=1, max_size=9)
    )
    def test_a_target_is_chosen_unless_all_are_leaving(self, states):
        views = _make_views(len(states))
        for view, (leaving, avoided_until) in zip(views, states, strict=True):
            view.leaving, view.avoided_until = leaving, avoided_until
        choice = _choose(views, RequestProfile())
        self.assertEqual(choice is None, all(view.leaving for view in views))
        if choice:
            self.assertFalse(choice.chosen.leaving)

    def test_cached_prefix_attracts_work_only_until_its_target_is_loaded(self):
        # All callers share one system prompt, and one target has cached it. Plain cache
        # affinity would send everything there while the others are idle.
        views = _make_views(6)
        views[0].cached_prefixes = {"p": 1000.0}
        profile = RequestProfile(
            prompt_tokens=1000, prefixes=("p",), prefix_tokens=900, output_tokens=10
        )
        chosen = Counter()
        for seed in range(60):
            view = _choose(views, profile, seed).chosen
            view.in_flight += 1
            view.performance.limit = 16.0
            chosen[view.name] += 1
        self.assertGreater(chosen["t0"], 10)
        self.assertLessEqual(chosen["t0"], 60 / 6 * 1.25 + 2)

    def test_own_requests_count_even_if_a_target_reports_to_be_idle(self):
        # A target always reports that it is idle. The requests of this instance on it
        # are counted as well, so it gets no more work than others.
        views = _make_views(2)
        views[0].in_flight = 3
        views[0].report = LoadReport(running=0, waiting=0, received_at=100.0)
        views[1].report = LoadReport(running=1, waiting=0, received_at=100.0)
        self.assertEqual(_choose(views, RequestProfile()).chosen.name, "t1")

    def test_tried_and_probed_targets_are_skipped(self):
        views = _make_views(3)
        views[1].performance.probes_left = 2
        profile = RequestProfile(tried=frozenset({"t0"}), may_probe=False)
        self.assertEqual(_choose(views, profile).chosen.name, "t2")

    def test_local_targets_are_preferred_until_they_are_full(self):
        views = _make_views(4)
        for view in views[2:]:
            view.target = replace(_TARGET, data_centre="catania-b")
        self.assertEqual(
            _choose(views, RequestProfile()).chosen.target.data_centre, "palermo-a"
        )
        for view in views[:2]:
            view.in_flight = 4
        self.assertEqual(
            _choose(views, RequestProfile()).chosen.target.data_centre, "catania-b"
        )
