"""Overflow against the terms without it, in simulated time, and its bounds."""

import math
import unittest
from dataclasses import replace
from functools import cache

from fulmarward_core.overflow import (
    END_S,
    MAX_OVERFLOW_SHARE,
    REPORT_DURATION_S,
    START_S,
    CentreReport,
    Overflow,
)
from fulmarward_core.overflow.tests.load import FULL_RATE, Simulation


def _find_waves(at):
    swing = 0.55 * math.sin(math.tau * at / 15.0)
    return {"a": FULL_RATE * 0.85 * (1 + swing), "b": FULL_RATE * 0.85 * (1 - swing)}


def _find_step(at):
    high = 1.3 if 10.0 <= at < 40.0 else 0.6
    return {"a": FULL_RATE * high, "b": FULL_RATE * 0.5}


@cache
def _run(find_rates, *, has_overflow):
    return [
        Simulation(find_rates, has_overflow=has_overflow, seed=seed, end_s=60.0)
        for seed in (1, 2, 3)
    ]


_IDLE = CentreReport(
    arriving_kv_per_s=10.0,
    waiting_kv=0.0,
    released_kv_per_s=10.0,
    planned_kv=1000.0,
    free_kv=500.0,
    age_s=0.0,
)
_FULL = replace(_IDLE, arriving_kv_per_s=400.0, free_kv=0.0)


class LoadTest(unittest.TestCase):
    def test_fewer_requests_wait_than_without_overflow(self):
        """Guards against requests that wait while another data centre has capacity."""
        for find_rates in (_find_waves, _find_step):
            with self.subTest(find_rates=find_rates):
                known = _run(find_rates, has_overflow=False)
                changed = _run(find_rates, has_overflow=True)
                waited = sum(it.waited for it in known)
                self.assertGreater(waited, 1000)
                self.assertLess(sum(it.waited for it in changed), 0.3 * waited)
                seconds = sum(it.waited_s for it in known)
                self.assertLess(sum(it.waited_s for it in changed), 0.3 * seconds)

    def test_load_does_not_oscillate(self):
        """Guards against a wave that data centres send back and forth.

        Each of four waves, and the step, starts and ends the overflow of a data centre
        once; one more start and end are accepted.
        """
        for find_rates, most in ((_find_waves, 4 * 2 + 2), (_find_step, 2 + 2)):
            for it in _run(find_rates, has_overflow=True):
                self.assertTrue(it.changes)
                self.assertLessEqual(max(it.changes.values()), most)
                self.assertFalse(it.is_mutual)


class BoundsTest(unittest.TestCase):
    def setUp(self):
        self.overflow, self.now = Overflow(data_centre="a"), 100.0

    def decide(self, duration_s, *reports):
        """Return the plan after the same reports of a, b and c for some seconds."""
        for _ in range(round(duration_s / 0.1) + 1):
            self.now += 0.1
            known = dict(zip("abc", reports, strict=False))
            plan = self.overflow.update(known, now=self.now)
        return plan

    def test_start_and_end_are_delayed(self):
        """Guards against overflow for a single burst, or its end in a lull."""
        self.assertFalse(self.decide(START_S - 0.1, _FULL, _IDLE).is_overflowing)
        self.assertTrue(self.decide(START_S, _FULL, _IDLE).is_overflowing)
        self.assertTrue(self.decide(END_S - 0.2, _IDLE, _IDLE).is_overflowing)
        self.assertFalse(self.decide(END_S, _IDLE, _IDLE).is_overflowing)

    def test_at_most_half_overflows_and_not_beyond_the_spare_capacity(self):
        """Guards against moving all load elsewhere, or more than fits there."""
        self.assertEqual(self.decide(1.0, _FULL, _IDLE).share, MAX_OVERFLOW_SHARE)
        plan = self.decide(1.0, _FULL, replace(_IDLE, free_kv=50.0))
        self.assertTrue(0 < plan.share * 400.0 <= 50.0)

    def test_old_reports_and_missing_data_centres_do_not_count(self):
        """Guards against requests that are sent where nobody is known to be."""
        plan = self.decide(1.0, _FULL, _IDLE)
        self.assertEqual(plan.terms.data_centres, {"a", "b"})
        old = replace(_IDLE, age_s=REPORT_DURATION_S + 0.1)
        for reports in ((_FULL, old), (_FULL,)):
            plan = self.decide(1.0, *reports)
            self.assertEqual((plan.share, plan.spare_kv), (0.0, 0.0))
            self.assertEqual(plan.terms.data_centres, {"a"})
            self.assertTrue(plan.is_overflowing)

    def test_data_centres_that_overflow_are_sent_nothing(self):
        """Guards against two data centres that send to each other."""
        plan = self.decide(1.0, _FULL, _FULL, _IDLE)
        self.assertEqual(plan.terms.data_centres, {"a", "c"})
        self.assertLess(plan.share, self.decide(1.0, _FULL, _IDLE, _IDLE).share)
        self.assertEqual(self.decide(1.0, _FULL, _FULL).share, 0.0)
