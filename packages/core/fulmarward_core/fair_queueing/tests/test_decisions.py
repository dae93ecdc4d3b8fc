import random
import unittest

from fulmarward_core.fair_queueing import (
    FlowSchedule,
    choose,
    estimate_ahead,
    pop,
    push,
    remove,
)

_WEIGHTS = {"a": 4.0, "b": 1.0}


def _list_waiting(schedule):
    return [key for key, flow in schedule.flows.items() if flow.length]


class ScheduleTest(unittest.TestCase):
    def test_service_is_in_proportion_to_the_weights(self):
        """Guards against a flow whose costly or many items delay the others."""
        schedule, served = FlowSchedule(), dict.fromkeys(_WEIGHTS, 0.0)
        costs = {"a": 0.5, "b": 3.0}
        for key, cost in costs.items():
            for _ in range(200):
                push(schedule, key, weight=_WEIGHTS[key], cost=cost)
        bound = sum(costs[key] / _WEIGHTS[key] for key in costs)
        for _ in range(100):
            key = choose(schedule, _list_waiting(schedule))
            pop(schedule, key, cost=costs[key])
            served[key] += costs[key] / _WEIGHTS[key]
            self.assertLessEqual(abs(served["a"] - served["b"]), bound + 1e-9)

    def test_idle_flow_saves_no_service(self):
        """Guards against a burst after a pause that is served before all others."""
        schedule = FlowSchedule()
        for _ in range(20):
            push(schedule, "a", weight=1.0, cost=1.0)
        for _ in range(10):
            pop(schedule, "a", cost=1.0)
        for _ in range(10):
            push(schedule, "b", weight=1.0, cost=1.0)
        order = []
        for _ in range(6):
            order.append(choose(schedule, _list_waiting(schedule)))
            pop(schedule, order[-1], cost=1.0)
        self.assertEqual(order.count("a"), 3)

    def test_flows_with_items_stay_and_others_are_dropped(self):
        """Guards against lost items and unbounded state, as sums of costs round."""
        rng, schedule, items = random.Random(1), FlowSchedule(), []
        for _ in range(2000):
            if items and rng.random() < 0.5:
                key, cost = items.pop(rng.randrange(len(items)))
                rng.choice((pop, remove))(schedule, key, cost=cost)
            else:
                item = rng.randrange(9), rng.choice((0.0, 1e-18, 0.1, 0.7, 1e9))
                items.append(item)
                push(schedule, item[0], weight=1.0, cost=item[1])
            waiting = {key for key, _ in items}
            self.assertEqual(set(_list_waiting(schedule)), waiting)
        for key, cost in items:
            remove(schedule, key, cost=cost)
        idle = [flow.start_tag for flow in schedule.flows.values()]
        self.assertTrue(all(tag > schedule.virtual_time for tag in idle))

    def test_estimate_counts_what_is_served_before(self):
        """Guards against an estimate that counts what is served after the item."""
        cases = [
            # name, items of a and b, flow of the item, cost ahead
            ("empty", 0, 0, "b", 0.0),
            ("own flow", 0, 5, "b", 5.0),
            ("by weight", 40, 5, "b", 5.0 + 20.0),
            ("whole backlog", 12, 5, "b", 5.0 + 12.0),
            ("larger weight", 12, 5, "a", 12.0 + 3.0),
        ]
        for name, *counts, key, expected in cases:
            schedule = FlowSchedule()
            for flow, count in zip(_WEIGHTS, counts, strict=True):
                for _ in range(count):
                    push(schedule, flow, weight=_WEIGHTS[flow], cost=1.0)
            with self.subTest(name):
                found = estimate_ahead(schedule, key, weight=_WEIGHTS[key])
                self.assertAlmostEqual(found, expected)
