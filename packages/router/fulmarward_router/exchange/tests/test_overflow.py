"""The overflow of requests to other data centres, as it is applied."""

import unittest
from dataclasses import replace
from unittest import mock

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.demand import DemandTable
from fulmarward_core.demand.tests.test_table import make_demand
from fulmarward_core.loads import LoadLedger
from fulmarward_core.overflow import OVERFLOW_TERMS, OverflowPlan
from fulmarward_core.paths import Hop, KvCapacity
from fulmarward_router.exchange._overflow import OverflowPlanner
from fulmarward_router.exchange.tests.test_path_finder import (
    _ENGINE,
    _REQUEST,
    _make_row,
    make_finder,
)


class PlannerTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.reached = frozenset("bc")
        self.demands = DemandTable(own="one", data_centre="a")
        self.demands.set_waiting("pool", 0, on_time_kv=99.0, late_kv=0.0, now=100.0)
        self.measure = mock.Mock(
            return_value=dict.fromkeys("abc", KvCapacity(planned=100.0, free=90.0))
        )
        self.planner = OverflowPlanner(
            data_centre="a",
            demands=self.demands,
            measure_capacities=self.measure,
            list_reached_centres=lambda: self.reached,
            read_clock=lambda: self.now,
        )
        self.log = mock.Mock()
        patch = mock.patch("fulmarward_router.exchange._overflow.log_event", self.log)
        patch.start()
        self.addCleanup(patch.stop)

    def advance(self, duration_s):
        """Seek a path each 10 ms; return the last plan."""
        for _ in range(round(duration_s / 0.01)):
            self.now += 0.01
            plan = self.planner.find_plan("pool", _ENGINE)
        return plan

    def test_changes_are_logged_and_decisions_are_limited(self):
        """Guards against a measurement of all targets for each request."""
        self.assertTrue(self.advance(0.5).is_overflowing)
        self.assertLessEqual(self.measure.call_count, 6)
        self.demands.set_waiting("pool", 0, on_time_kv=0, late_kv=0, now=self.now)
        self.assertFalse(self.advance(1.5).is_overflowing)
        events = [call.args[0] for call in self.log.call_args_list]
        self.assertEqual(events, ["overflow_started", "overflow_ended"])
        self.assertEqual(self.log.call_args_list[0].kwargs["need_kv"], 99)

    def test_only_data_centres_that_are_known_are_used(self):
        """Guards against requests sent to a data centre that is cut off.

        An idle one sends no reports, and is used.
        """
        demands = {"pool": (make_demand(on_time_kv=1.0),)}
        self.demands.merge_data_centre("b", demands, at=100.0, now=100.0)
        self.assertEqual(self.advance(0.5).terms.data_centres, set("abc"))
        self.assertEqual(self.advance(1.5).terms.data_centres, set("ac"))
        self.reached = frozenset("b")
        self.assertEqual(self.advance(0.2).terms.data_centres, set("a"))


class TermsTest(unittest.TestCase):
    def test_share_of_the_requests_overflows(self):
        """Guards against overflow that is decided and has no effect, or without it."""
        catalogue, ledger = TargetCatalogue(), LoadLedger()
        rows = [_make_row("t1", 1), _make_row("t2", 2, data_centre="b")]
        catalogue.apply_changes(rows, 2, now=100.0)
        terms = replace(
            OVERFLOW_TERMS, first_hop_ms=0.0, data_centres=frozenset({"a", "b"})
        )
        plan = OverflowPlan(is_overflowing=True, share=0.4, terms=terms)
        find_overflow = mock.Mock(side_effect=lambda service, engine: plan)
        finder = make_finder(
            catalogue,
            ledger=ledger,
            is_large=lambda: True,
            read_clock=lambda: 200.0,
            find_overflow=find_overflow,
        )
        capacity = finder.measure_capacities("pool", _ENGINE)["a"].planned
        hop = Hop(
            target="t1", address="t1:1", layers=catalogue.find_target("t1").layers
        )
        ledger.reserve([hop], int(0.8 * capacity / 2))

        def choose(draw):
            wanted = replace(_REQUEST, overflow_draw=draw)
            (found,) = finder.choose("pool", _ENGINE, wanted)
            return found.target

        self.assertEqual(choose(None), "t1")
        find_overflow.assert_not_called()
        self.assertEqual([choose(0.39), choose(0.41)], ["t2", "t1"])
        # Without room in the data centres that are usable, it is sought any path.
        plan = replace(plan, terms=replace(terms, data_centres=frozenset()))
        self.assertEqual(choose(0.39), "t1")
