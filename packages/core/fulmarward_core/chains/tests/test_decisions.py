import itertools
import random
import unittest

from hypothesis import given, strategies as st

from fulmarward_core.chains import (
    StageOffer,
    StepTimes,
    choose_move,
    covers_layers,
    estimate_step_ms,
    find_chain,
    find_replacement,
    list_offers,
    record_step_time,
)
from fulmarward_core.declaration import Link, Target, TargetKind
from fulmarward_core.routing import TargetView
from fulmarward_core.streams import Stage

_LAYERS = 6


@st.composite
def _draw_offers(draw, max_offers=5):
    offers = []
    for number in range(draw(st.integers(0, max_offers))):
        first = draw(st.integers(0, _LAYERS - 1))
        offers.append(
            StageOffer(
                target=f"t{number}",
                layers=(first, draw(st.integers(first + 1, _LAYERS))),
                call_ms=draw(st.integers(0, 9)),
                layer_ms=draw(st.integers(0, 9)),
            )
        )
    return offers


def _find_min_cost(offers, start=0):
    """Return the minimum cost from layer `start` on by exhaustive search."""
    if start == _LAYERS:
        return 0
    costs = [
        offer.call_ms + offer.layer_ms * (end - start) + rest
        for offer in offers
        if offer.layers[0] <= start < offer.layers[1]
        for end in range(start + 1, offer.layers[1] + 1)
        if (rest := _find_min_cost(offers, end)) is not None
    ]
    return min(costs, default=None)


def _make_view(name, layers, data_centre="a", **fields):
    target = Target(
        address="127.0.0.1:1",
        data_centre=data_centre,
        kind=TargetKind.ENGINE,
        serves="anchovy",
        accelerator="a100",
        layers=layers,
        slots=16,
        tokens_per_s=1000,
        checks_fencing=True,
    )
    return TargetView(name=name, target=target, **fields)


def _choose(views, times=None, links=(), now=0.0, seed=1):
    offers = list_offers(
        views,
        data_centre="a",
        links=links,
        times=times or StepTimes(),
        now=now,
        generator=random.Random(seed),
    )
    chain = find_chain(offers, layers=_LAYERS)
    return chain and [stage.target for stage in chain.stages]


class FindChainTest(unittest.TestCase):
    @given(_draw_offers())
    def test_chain_has_no_gap_or_overlap_and_costs_least(self, offers):
        chain = find_chain(offers, layers=_LAYERS)
        min_cost = _find_min_cost(offers)
        if chain is None:
            self.assertIsNone(min_cost)
            return
        self.assertTrue(covers_layers(chain.stages, layers=_LAYERS))
        self.assertEqual(chain.cost_ms, min_cost)
        held = {offer.target: offer.layers for offer in offers}
        for stage in chain.stages:
            first, end = held[stage.target]
            self.assertTrue(first <= stage.layers[0] < stage.layers[1] <= end)

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3)), max_size=4))
    def test_covers_layers_is_exact(self, ranges):
        stages = [Stage(target="t", layers=layers) for layers in ranges]
        listed = list(itertools.chain(*(range(*layers) for layers in ranges)))
        is_exact = listed == list(range(3)) and all(
            end > first for first, end in ranges
        )
        self.assertEqual(covers_layers(stages, layers=3), is_exact)

    def test_leaving_or_failing_target_gets_no_new_chain(self):
        for fields in ({"leaving": True}, {"avoided_until": 5.0}):
            with self.subTest(fields=fields):
                views = [_make_view("t1", (0, 3), **fields), _make_view("t2", (3, 6))]
                self.assertIsNone(_choose(views, now=1.0))
                views.append(_make_view("t3", (0, 4)))
                self.assertEqual(_choose(views, now=1.0), ["t3", "t2"])

    def test_degraded_link_diverts_new_chains_and_is_tried_again(self):
        # The link to t1 degrades although t1 is near and idle. Its steps take longer,
        # so new chains use t2 in the other data centre until the measurement decays.
        links = [Link(between=("a", "b"), latency_ms=2.0, mbit_per_s=1000.0)]
        near, far = _make_view("t1", (0, 6)), _make_view("t2", (0, 6), "b")
        times = StepTimes()
        self.assertEqual(_choose([near, far], times, links), ["t1"])
        expected_ms = estimate_step_ms(
            near.target, layers=6, data_centre="a", links=links
        )
        for step in range(5):
            record_step_time(
                times,
                target="t1",
                took_ms=expected_ms + 80,
                expected_ms=expected_ms,
                now=step * 0.1,
            )
        self.assertEqual(_choose([near, far], times, links, now=1.0), ["t2"])
        self.assertEqual(_choose([near, far], times, links, now=90.0), ["t1"])

    def test_chains_spread_over_similar_targets_and_avoid_a_loaded_one(self):
        views = [_make_view(f"t{number}", (0, 6)) for number in range(4)]
        views[3].in_flight = 32
        chosen = {_choose(views, seed=seed)[0] for seed in range(40)}
        self.assertEqual(chosen, {"t0", "t1", "t2"})

    def test_running_stage_moves_off_a_leaving_or_far_costlier_target(self):
        # When a target leaves or its link degrades, caches of running chains move to a
        # target that holds the whole range, but never between similar targets.
        def offer(target, call_ms, layers=(0, 3)):
            return StageOffer(
                target=target, layers=layers, call_ms=call_ms, layer_ms=1.0
            )

        stages = [Stage(target="t1", layers=(0, 3)), Stage(target="t2", layers=(3, 6))]
        cases = [
            ([offer("t3", 5)], {"t1"}, "t3"),
            ([offer("t3", 5, (0, 2))], {"t1"}, None),
            ([offer("t1", 5), offer("t3", 2)], set(), None),
            ([offer("t1", 90), offer("t3", 2)], set(), "t3"),
            ([offer("t3", 2)], set(), None),
        ]
        for offers, leaving, expected in cases:
            with self.subTest(offers=offers, leaving=leaving):
                move = choose_move(offers, stages, leaving=leaving)
                self.assertEqual(move and move[1].target, expected)

    @given(_draw_offers(), st.integers(0, 5), st.integers(1, 6))
    def test_replacement_holds_the_whole_range(self, offers, first, size):
        layers = (first, first + size)
        found = find_replacement(offers, layers=layers)
        holding = [
            offer
            for offer in offers
            if set(range(*layers)) <= set(range(*offer.layers))
        ]
        self.assertEqual(found is None, not holding)
        self.assertTrue(found is None or found in holding)
