import math
import unittest

from fulmarward_core.waits import (
    MAX_RETURN_S,
    MIN_RETURN_S,
    KvAhead,
    choose_return_s,
    estimate_return_s,
    estimate_wait_s,
    may_promise,
    must_reject,
)


class KvAheadTest(unittest.TestCase):
    def test_releases_go_to_those_that_came_first(self):
        """Guards against counting what came later, and what has been served."""
        cases = [
            # name, updates as (time, waiting, released per second), left of 40 kv
            ("on arrival", [(0.0, 40.0, 20.0)], 40.0),
            ("others came later", [(0.0, 40.0, 0.0), (1.0, 90.0, 0.0)], 40.0),
            ("half released", [(1.0, 90.0, 20.0)], 20.0),
            ("in steps", [(0.5, 90.0, 20.0), (1.0, 90.0, 40.0)], 10.0),
            ("all released", [(4.0, 90.0, 20.0)], 0.0),
            ("higher classes take more", [(1.0, 90.0, -20.0)], 40.0),
            ("others gave up", [(1.0, 5.0, 0.0)], 5.0),
            ("others are late for now", [(0.5, 0.0, 0.0), (1.0, 90.0, 0.0)], 40.0),
            ("nobody else waits", [(1.0, -10.0, 0.0)], 0.0),
            ("two updates at once", [(1.0, 90.0, 20.0), (1.0, 90.0, 20.0)], 20.0),
        ]
        for name, updates, expected in cases:
            ahead = KvAhead(40.0, now=0.0)
            for now, waiting_kv, released in updates:
                found = ahead.update(
                    waiting_kv=waiting_kv, released_kv_per_s=released, now=now
                )
            with self.subTest(name):
                self.assertAlmostEqual(found, expected)


class EstimateTest(unittest.TestCase):
    def test_estimates(self):
        cases = [
            # name, ahead, free, released, arriving above, estimate of 10 kv, rejected
            ("free", 0.0, 10.0, 20.0, 0.0, 0.0, False),
            ("full", 0.0, 0.0, 20.0, 0.0, 0.5, False),
            ("at the margin", 17.0, 0.0, 20.0, 0.0, 1.35, False),
            ("behind others", 30.0, 0.0, 20.0, 0.0, 2.0, True),
            ("overfull", 0.0, -30.0, 20.0, 0.0, 2.0, True),
            ("above takes half", 0.0, 0.0, 20.0, 10.0, 1.0, False),
            ("above takes all", 0.0, 0.0, 20.0, 20.0, math.inf, True),
            ("none ahead, above takes all", 0.0, 10.0, 20.0, 20.0, 0.0, False),
            ("nothing measured", 30.0, 0.0, None, 0.0, None, False),
            ("nothing released", 30.0, 0.0, 0.0, 0.0, None, False),
        ]
        for name, ahead, free, released, arriving, expected, is_rejected in cases:
            found = estimate_wait_s(
                kv=10.0,
                kv_ahead=ahead,
                free_kv=free,
                released_kv_per_s=released,
                arriving_above_kv_per_s=arriving,
            )
            with self.subTest(name):
                self.assertEqual(found, expected)
                self.assertEqual(must_reject(found, left_s=0.9), is_rejected)

    def test_returns_are_spread_at_a_part_of_the_release(self):
        """Guards against promises that leave nothing for new requests."""
        cases = [
            # name, promised, free, released, estimate of 10 kv
            ("free", 0.0, 10.0, 20.0, 0.0),
            ("first", 0.0, 0.0, 20.0, 1.25),
            ("second", 10.0, 0.0, 20.0, 2.5),
            ("nothing measured", 10.0, 0.0, None, None),
        ]
        for name, promised, free, released, expected in cases:
            found = estimate_return_s(
                kv=10.0,
                kv_ahead=0.0,
                promised_kv=promised,
                free_kv=free,
                released_kv_per_s=released,
                arriving_above_kv_per_s=0.0,
            )
            with self.subTest(name):
                self.assertEqual(found, expected)

    def test_return_delays(self):
        """Guards against callers with one common delay at the bounds of the range."""
        cases = [
            # name, estimate, delay at a draw of 0, of 0.5 and of almost 1, promised
            ("short", 0.0, MIN_RETURN_S, 0.625, 0.75, True),
            ("usual", 2.0, 1.6, 2.0, 2.4, True),
            ("longest", 5.0, 4.0, 5.0, MAX_RETURN_S, True),
            ("too long", 5.1, 4.0, 5.0, MAX_RETURN_S, False),
            ("infinite", math.inf, 4.0, 5.0, MAX_RETURN_S, False),
            ("none", None, 2.0, 3.0, 4.0, False),
            ("no number", math.nan, 2.0, 3.0, 4.0, False),
        ]
        for name, estimate, *expected, is_promised in cases:
            draws = (0.0, 0.5, 1 - 1e-12)
            found = [choose_return_s(estimate, draw=draw) for draw in draws]
            with self.subTest(name):
                for delay, expected_delay in zip(found, expected, strict=True):
                    self.assertAlmostEqual(delay, expected_delay)
                self.assertEqual(may_promise(estimate), is_promised)

    def test_caller_that_can_not_honour_the_delay_gets_no_promise(self):
        self.assertFalse(may_promise(2.0, honoured_s=2.3))
        self.assertTrue(may_promise(2.0, honoured_s=2.5))
