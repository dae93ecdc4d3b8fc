import unittest
from itertools import pairwise

from hypothesis import given, strategies

from fulmarward_core.demand import ClassDemand
from fulmarward_core.queueing import WaitingRequest
from fulmarward_core.reservations import (
    MAX_CREDIT,
    MIN_KV_SHARE,
    ClassQueue,
    ClassSettings,
    Level,
    MinimumShare,
    compute_kv_share,
)

_PLANNED_KV = 1000.0


def _make_demand(urgency, **changes):
    names = ("on_time_kv", "late_kv", "promised_kv")
    rates = ("arriving_kv_per_s", "released_kv_per_s")
    return ClassDemand(urgency=urgency, **(dict.fromkeys(names + rates, 0.0) | changes))


def _make_request(key, *, arrived_at=0.0, **changes):
    fields = {"urgency": 0, "objective_s": 1.0, "is_started": False, "kv": 1.0}
    return WaitingRequest(key=key, arrived_at=arrived_at, **(fields | changes))


def _make_queue(*credits):
    """Return a queue at which the classes `credits` have a balance of 1."""
    queue = ClassQueue(settings=ClassSettings())
    for urgency in credits:
        for _ in range(4):
            queue.record_arrival(_make_request("a", urgency=urgency))
    return queue


class KvShareTest(unittest.TestCase):
    def test_shares(self):
        """Guards against a level that fills what higher ones wait for."""
        middle = _make_demand(
            1, on_time_kv=100.0, late_kv=50.0, arriving_kv_per_s=100.0, promised_kv=20.0
        )
        cases = [
            # name, demands, shares of 1 on time, 1 late, 2 on time, 2 late
            ("none", [], [1.0, 1.0, 1.0, 1.0]),
            ("one class", [middle], [1.0, 0.88, 0.8, 0.8]),
            ("higher", [_make_demand(0, late_kv=100.0), middle], [0.9, 0.78, 0.7, 0.7]),
            ("minimum", [_make_demand(0, on_time_kv=5e3)], [MIN_KV_SHARE] * 4),
            ("lower", [_make_demand(3, on_time_kv=5e3)], [1.0] * 4),
        ]
        levels = [Level(urgency=u, is_late=late) for u in (1, 2) for late in (0, 1)]
        for name, demands, expected in cases:
            for level, share in zip(levels, expected, strict=True):
                with self.subTest(name, level=level):
                    found = compute_kv_share(
                        level=level, demands=demands, planned_kv=_PLANNED_KV
                    )
                    self.assertAlmostEqual(found, share)

    @given(
        strategies.lists(
            strategies.builds(
                ClassDemand,
                urgency=strategies.integers(0, 4),
                **dict.fromkeys(
                    ["on_time_kv", "late_kv", "promised_kv"]
                    + ["arriving_kv_per_s", "released_kv_per_s"],
                    strategies.floats(0, 1e300),
                ),
            ),
            max_size=8,
        ),
        strategies.floats(0, 1e300),
    )
    def test_shares_are_bounded_and_ordered(self, demands, planned_kv):
        """Guards against a lower level that may fill more than a higher one."""
        levels = sorted(Level(urgency=u, is_late=b) for u in range(6) for b in (0, 1))
        shares = [
            compute_kv_share(level=level, demands=demands, planned_kv=planned_kv)
            for level in levels
        ]
        for share in shares:
            self.assertTrue(MIN_KV_SHARE <= share <= 1.0, share)
        for higher, lower in pairwise(shares):
            self.assertGreaterEqual(higher, lower)

    def test_faulty_values_are_rejected(self):
        for value in (-1.0, float("nan"), float("inf")):
            for make in (
                lambda kv: _make_demand(0, late_kv=kv),
                lambda kv: _make_request("a", kv=kv),
                lambda share: ClassSettings(min_class_share=share),
            ):
                with self.subTest(value), self.assertRaises(ValueError):
                    make(value)


class MinimumShareTest(unittest.TestCase):
    def test_credit(self):
        """Guards against a class that gets less or more than its minimum share."""
        cases = [
            # share, events (arrived "+", admitted "-"), whether it has credit
            (0.25, "+++", False),
            (0.25, "++++", True),
            (0.25, "++++-", False),
            (0.25, "-++++", True),
            (0.25, "+" * 40 + "-" * int(MAX_CREDIT), False),
            (0.25, "+" * 40 + "-", True),
            (0.1, "+" * 10, True),
            (0.0, "+" * 40, False),
            (1.0, "+", True),
        ]
        for share, events, expected in cases:
            with self.subTest(share=share, events=events):
                minimum = MinimumShare(settings=ClassSettings(min_class_share=share))
                for event in events:
                    record = {"+": "record_arrival", "-": "record_admitted"}[event]
                    getattr(minimum, record)(1)
                self.assertEqual(minimum.has_credit(1), expected)
                self.assertFalse(minimum.has_credit(0))


class ClassQueueTest(unittest.TestCase):
    def test_order(self):
        """Guards against a lower class that is served first without credit."""
        # In the order in which they are served at second 1. Class 3 has a credit of 1.
        requests = [
            _make_request("started", arrived_at=0.9, is_started=True, urgency=5),
            _make_request("owed", arrived_at=0.5, urgency=3),
            _make_request("urgent promised", arrived_at=0.95, is_promised=True),
            _make_request("urgent", arrived_at=0.9),
            _make_request("late promised", arrived_at=0.2, is_promised=True),
            _make_request("late", arrived_at=0.1),
            _make_request("first", arrived_at=0.5, urgency=1),
            _make_request("second", arrived_at=0.8, urgency=1),
            _make_request("long", arrived_at=0.2, urgency=2, objective_s=2.0),
            _make_request("no longer owed", arrived_at=0.6, urgency=3),
        ]
        queue, remaining, found = _make_queue(3), list(requests), []
        for request in reversed(requests):
            queue.add(request)
        while remaining:
            following = [r for r in remaining if queue.is_next(r, now=1.0)]
            self.assertEqual(len(following), 1, following)
            found.append(following[0].key)
            queue.remove(following[0])
            self.assertTrue(queue.is_next(following[0], now=1.0), "as an arrival")
            queue.record_admitted(following[0])
            remaining.remove(following[0])
        self.assertEqual(found, [request.key for request in requests])
        self.assertEqual(len(queue), 0)

    def test_requests_that_turn_late_are_ordered_and_summed_anew(self):
        queue = _make_queue()
        old, new = _make_request("old"), _make_request("new", arrived_at=0.5)
        started = _make_request("s", urgency=1, is_started=True, kv=3.0)
        for request in (old, new, old, started):
            queue.add(request)
        self.assertEqual(queue.sum_waiting(now=0.6), {0: (2.0, 0.0), 1: (3.0, 0.0)})
        queue.remove(started)
        self.assertTrue(queue.is_next(old, now=0.6))
        self.assertTrue(queue.is_next(new, now=0.7), "the old one is late")
        self.assertEqual(queue.sum_waiting(now=0.7), {0: (1.0, 1.0)})
        queue.remove(old)
        self.assertEqual(queue.sum_waiting(now=5.0), {0: (0.0, 1.0)})

    def test_kv_shares(self):
        """Guards against reserving capacity from requests that are owed it."""
        higher = _make_demand(0, late_kv=100.0, arriving_kv_per_s=500.0)
        own = _make_demand(1, on_time_kv=200.0)
        both = [higher, own]
        cases = [
            # name, changes of the request, demands, credits, lowest, seconds, share
            ("started", {"is_started": True}, both, (), 2, 1.0, 1.0),
            ("on time", {}, both, (), 2, 0.0, 0.75),
            ("late", {}, both, (), 2, 1.0, 0.55),
            ("promised", {"is_promised": True}, both, (), 2, 1.0, 0.9),
            ("credit", {}, both, (1,), 2, 1.0, 1.0),
            ("nothing above", {}, [own], (1,), 2, 1.0, 0.8),
            ("lowest", {}, [_make_demand(0, late_kv=1.0)], (), 1, 1.0, 0.85),
            ("no other class", {}, [_make_demand(0), own], (1,), 1, 1.0, 0.85),
            ("no other class, on time", {}, [own], (), 1, 0.0, 1.0),
        ]
        for name, changes, demands, credits, lowest, now, expected in cases:
            with self.subTest(name):
                found = _make_queue(*credits).find_kv_share(
                    _make_request("a", **({"urgency": 1} | changes)),
                    demands=demands,
                    planned_kv=_PLANNED_KV,
                    lowest_urgency=lowest,
                    now=now,
                )
                self.assertAlmostEqual(found, expected)

    def test_share_of_a_team(self):
        """Guards against a class that gets less than its minimum share by a team's."""
        for credits, expected in (((), 0.6), ((1,), 1.0)):
            found = _make_queue(*credits).find_kv_share(
                _make_request("a", urgency=1),
                demands=[_make_demand(0, late_kv=100.0)],
                planned_kv=_PLANNED_KV,
                lowest_urgency=2,
                team_share=0.6,
                now=0.0,
            )
            self.assertEqual(found, expected)
