"""The waiting requests of a service with classes, and the demand that they report."""

import unittest

from fulmarward_core.demand import DemandTable
from fulmarward_core.paths import KvCapacity
from fulmarward_core.queueing import WaitingRequest
from fulmarward_core.reservations import ClassSettings
from fulmarward_router.exchange._waiting import POLL_INTERVAL_S, ClassRequests

_NOW = 100.0


def _make_request(key, *, urgency=0, kv=10.0, is_promised=False):
    return WaitingRequest(
        key=key,
        urgency=urgency,
        arrived_at=_NOW,
        objective_s=1.0,
        is_started=False,
        kv=kv,
        is_promised=is_promised,
    )


class _ClassRequestsTest(unittest.TestCase):
    def setUp(self):
        self.demands = DemandTable(own="a")
        #: By urgency.
        self.promised = {}
        self.capacity = KvCapacity(planned=1000.0, free=0.0)
        self.waiting = ClassRequests(
            service="pool",
            demands=self.demands,
            sum_promised=lambda due_within_s: self.promised,
            settings=ClassSettings(),
        )
        self.waiting.configure(
            settings=ClassSettings(),
            lowest_urgency=2,
            measure_capacity=lambda: self.capacity,
        )


class PromisedTest(_ClassRequestsTest):
    def test_promised_capacity_of_a_class_without_other_demand_is_reserved(self):
        """Guards against lower classes that take what rejected callers return for."""
        self.promised = {0: 200.0}
        request = _make_request("b", urgency=1)
        self.waiting.record_arrival(request, now=_NOW)
        share = self.waiting.find_kv_share(request, now=_NOW)
        self.assertAlmostEqual(share, 0.8)


class EstimateTest(_ClassRequestsTest):
    def test_class_with_credit_waits_while_higher_ones_take_all_of_the_release(self):
        """Guards against a class that gets no capacity as it is rejected on arrival."""
        self.demands.record_released("pool", 0, 50.0, now=_NOW)
        self.demands.record_arrival("pool", 0, 100.0, now=_NOW)
        estimates = []
        for number in range(4):
            request = _make_request(number, urgency=1)
            self.waiting.record_arrival(request, now=_NOW)
            estimates.append(self.waiting.estimate_wait_s(request, now=_NOW))
        self.assertEqual(estimates[:3], [float("inf")] * 3)
        self.assertLess(estimates[3], 1.0)

    def test_waiting_requests_of_a_level_share_what_is_measured(self):
        """Guards against a cost of 40 us for each request in each of its searches."""
        self.demands.record_released("pool", 0, 50.0, now=_NOW)
        requests = [_make_request(number) for number in range(50)]
        ahead = [self.waiting.track_ahead(it, now=_NOW) for it in requests]
        measured = []

        def measure_capacity():
            measured.append(self.capacity)
            return self.capacity

        self.waiting.configure(
            settings=ClassSettings(),
            lowest_urgency=2,
            measure_capacity=measure_capacity,
        )
        for request, its_ahead in zip(requests, ahead, strict=True):
            self.waiting.estimate_wait_s(request, ahead=its_ahead, now=_NOW)
        # Once itself, and once for the share.
        self.assertEqual(len(measured), 2)


class ReportTest(_ClassRequestsTest):
    def setUp(self):
        super().setUp()
        self.requests = [_make_request(number) for number in range(50)]
        for request in self.requests:
            self.waiting.add(request, now=_NOW)

    def search_again(self, *, now):
        """Add all requests again as their searches do; return the changes reported."""
        revision = self.demands.revision
        for request in self.requests:
            self.waiting.add(request, now=now)
        return self.demands.revision - revision

    def test_searches_of_an_interval_sum_the_waiting_requests_once(self):
        """Guards against a cost of polling that grows with the square of the queue."""
        self.assertEqual(self.search_again(now=_NOW + POLL_INTERVAL_S), 1)

    def test_requests_that_turn_late_are_reported_by_the_next_search(self):
        """Guards against late requests that reserve capacity as if on time."""
        self.search_again(now=_NOW + 0.9)
        [demand] = self.demands.list_own(now=_NOW + 0.9)["pool"]
        self.assertEqual((demand.on_time_kv, demand.late_kv), (0.0, 500.0))
