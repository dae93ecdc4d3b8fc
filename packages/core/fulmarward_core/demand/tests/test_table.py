import unittest
from unittest import mock

from hypothesis import given, strategies as st

from fulmarward_core.demand import REPORT_DURATION_S, ClassDemand, DemandTable
from fulmarward_core.demand._reports import MAX_CLASSES, MAX_SERVICES, MAX_SOURCES


def make_demand(urgency=0, **changes):
    values = dict.fromkeys(ClassDemand.__dataclass_fields__, 0.0)
    return ClassDemand(**{**values, "urgency": urgency, **changes})


def _make_waiting(kv, service="s"):
    return {service: (make_demand(on_time_kv=kv),)}


class ClassDemandTest(unittest.TestCase):
    def test_numbers_that_are_negative_or_not_finite_are_refused(self):
        """Guards against a sum that is NaN at all instances because of one report."""
        for value in (float("nan"), float("inf"), -1.0):
            with self.subTest(value):
                with self.assertRaises(ValueError):
                    make_demand(late_kv=value)
                with self.assertRaises(ValueError):
                    DemandTable(own="").record_arrival("s", 0, value, now=100.0)


class DemandTableTest(unittest.TestCase):
    def setUp(self):
        self.table = DemandTable(own="own", data_centre="a")

    def _merge(self, source, kv, *, boot=1, at=100.0, now=100.0):
        return self.table.merge_report(
            source, _make_waiting(kv), boot=boot, at=at, now=now
        )

    def _merge_centre(self, name, kv, *, at=100.0):
        return self.table.merge_data_centre(name, _make_waiting(kv), at=at, now=at)

    def _sum_waiting(self, now=100.0):
        return sum(item.on_time_kv for item in self.table.sum("s", now=now))

    def test_rates_are_means_of_the_last_second(self):
        for tenth in range(40):
            self.table.record_arrival("s", 1, 10.0, now=100.05 + tenth / 10)
            self.table.record_released("s", 1, 5.0, now=100.05 + tenth / 10)
        (found,) = self.table.list_own(now=104.0)["s"]
        self.assertAlmostEqual(found.arriving_kv_per_s, 100.0, delta=12.0)
        self.assertAlmostEqual(found.released_kv_per_s, 50.0, delta=6.0)
        self.assertEqual(self.table.list_own(now=105.1), {})

    def test_own_demand_and_all_reports_are_summed_by_class(self):
        self.table.set_waiting("s", 0, on_time_kv=1.0, late_kv=2.0, now=100.0)
        promised = {"s": (make_demand(1, promised_kv=4.0),)}
        self.table.merge_report("other", promised, boot=1, at=100.0, now=100.0)
        self.table.set_waiting("other", 0, on_time_kv=64.0, late_kv=0.0, now=100.0)
        self._merge("peer", 8.0)
        self._merge_centre("b", 16.0)
        expected = (
            make_demand(0, on_time_kv=25.0, late_kv=2.0),
            make_demand(1, promised_kv=4.0),
        )
        self.assertEqual(self.table.sum("s", now=100.0), expected)
        near = self.table.sum_data_centre(now=100.0)
        self.assertEqual(near["s"][0].on_time_kv, 9.0)

    def test_partition_leaves_each_side_with_its_own_demand(self):
        """Guards against reserving for peers that are gone, with what they reported."""
        self.table.set_waiting("s", 0, on_time_kv=1.0, late_kv=0.0, now=100.0)
        self._merge("peer", 2.0)
        self._merge_centre("b", 4.0)
        end = 100.0 + REPORT_DURATION_S
        self.assertEqual(self._sum_waiting(end), 7.0)
        self.assertEqual(self._sum_waiting(end + 0.01), 1.0)
        self.assertEqual(self.table.list_data_centres(now=end + 0.01), {})
        self.assertIsNone(self.table.find_oldest_report_age_s(now=end + 0.01))

    def test_demand_is_kept_apart_by_data_centre(self):
        """Guards against a data centre that was cut off and counts as idle."""
        self.table.set_waiting("s", 0, on_time_kv=1.0, late_kv=0.0, now=100.0)
        self._merge("one", 10.0)
        self._merge_centre("a", 5.0)
        self._merge_centre("b", 100.0, at=99.0)
        self.table.merge_data_centre("c", {}, at=100.0, now=100.0)
        found = self.table.sum_by_data_centre("s", now=100.0)
        waiting = {
            name: (sum(item.on_time_kv for item in known.demands), known.age_s)
            for name, known in found.items()
        }
        self.assertEqual(waiting, {"a": (11.0, 0.0), "b": (100.0, 1.0), "c": (0, 0.0)})
        later = 101.6
        self.assertEqual(self.table.sum_by_data_centre("s", now=later).keys(), {"a"})
        self.assertEqual(self.table.list_silent_data_centres(now=later), {"b"})
        self.table.merge_data_centre("b", {}, at=later, now=later)
        self.assertEqual(self.table.list_silent_data_centres(now=104.0), frozenset())

    def test_leaving_peer_counts_no_more_at_once(self):
        self._merge("peer", 2.0)
        self.table.remove("peer")
        self.assertEqual(self._sum_waiting(), 0.0)
        self.assertFalse(self._merge("peer", 2.0, boot=0))

    def test_age_of_a_report_counts(self):
        """Guards against a report that a slow link delayed, valid from its arrival."""
        self.assertTrue(self._merge("peer", 2.0, at=99.0))
        self.assertAlmostEqual(self.table.find_oldest_report_age_s(now=100.2), 1.2)
        self.assertEqual(self._sum_waiting(100.6), 0.0)
        for at in (98.0, float("-inf"), float("nan")):
            with self.subTest(at):
                self.assertFalse(self._merge("late", 2.0, at=at))

    def test_report_of_an_earlier_start_is_ignored(self):
        """Guards against demand of a process that has ended, also after it expired."""
        self._merge("peer", 2.0, boot=2)
        self.assertFalse(self._merge("peer", 4.0, boot=1))
        self.assertFalse(self._merge("peer", 4.0, boot=1, at=110.0, now=110.0))
        self.assertTrue(self._merge("peer", 8.0, boot=3, at=109.9, now=110.0))
        # Nor is an older one of the same start.
        self.assertFalse(self._merge("peer", 9.0, boot=3, at=109.8, now=110.0))
        self.assertEqual(self._sum_waiting(110.0), 8.0)

    def test_sum_of_a_hub_replaces_none_of_the_newer_own_demand(self):
        """Guards against counting twice what a hub's sum has, and against its delay."""
        self.table.set_waiting("s", 0, on_time_kv=3.0, late_kv=0.0, now=100.0)
        self._merge_centre("a", 2.0)
        self._merge_centre("b", 16.0)
        self.assertEqual(self._sum_waiting(), 19.0)
        self._merge_centre("a", 5.0, at=100.1)
        self.assertEqual(self._sum_waiting(100.1), 21.0)
        own = self.table.sum_data_centre(now=100.1)
        self.assertEqual(own["s"][0].on_time_kv, 3.0)

    def test_change_of_the_hub_neither_loses_nor_doubles_demand(self):
        """Guards against a gap, or two hubs' sums at once, while a hub is replaced."""
        self._merge_centre("a", 2.0)
        self._merge_centre("b", 4.0)
        # The next hub reports the same data centres, and one report comes late.
        self.assertTrue(self._merge_centre("a", 3.0, at=100.2))
        self.assertFalse(self._merge_centre("a", 2.0, at=100.1))
        self.assertTrue(self._merge_centre("b", 5.0, at=100.2))
        self.assertEqual(self._sum_waiting(100.3), 8.0)
        # This instance becomes the hub itself: first reports of its data centre arrive.
        self._merge("peer", 1.0, at=100.3, now=100.3)
        self.assertEqual(self._sum_waiting(100.3), 8.0)

    def test_too_many_sources_services_or_classes_are_ignored(self):
        for number in range(MAX_SOURCES + 10):
            self._merge(f"p{number}", 1.0)
        self.assertEqual(self._sum_waiting(), MAX_SOURCES)
        self.assertTrue(self._merge("next", 1.0, at=110.0, now=110.0))
        services = {str(n): (make_demand(late_kv=1),) for n in range(MAX_SERVICES + 1)}
        classes = {"s": tuple(make_demand(n, late_kv=1) for n in range(17))}
        twice = {"s": (make_demand(late_kv=1), make_demand(late_kv=1))}
        huge = _make_waiting(2.0**54)
        for demands in (services, classes, twice, huge):
            is_merged = self.table.merge_report(
                "next", demands, boot=1, at=110.0, now=110.0
            )
            self.assertFalse(is_merged)
        for name in services:
            self.table.set_waiting(name, 0, on_time_kv=1.0, late_kv=0.0, now=110.0)
        self.assertEqual(len(self.table.list_own(now=110.0)), MAX_SERVICES)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"),
                st.floats(min_value=0.0, max_value=1e12),
                st.floats(min_value=0.0, max_value=1.0),
            ),
            max_size=20,
        )
    )
    def test_sums_have_no_remainder_of_replaced_or_expired_reports(self, reports):
        table = DemandTable(own="own")
        now = 100.0
        for source, kv, pause_s in reports:
            now += pause_s
            table.merge_report(source, _make_waiting(kv), boot=1, at=now, now=now)
            table.sum("s", now=now)
        self.assertEqual(table.sum("s", now=now + 2 * REPORT_DURATION_S), ())

    def test_urgent_class_is_counted_beside_many_others(self):
        """Guards against demand of the most urgent class that nobody knows."""
        for urgency in range(1, MAX_CLASSES + 1):
            self.table.set_waiting("s", urgency, on_time_kv=1, late_kv=0, now=100.0)
        self.table.set_waiting("s", 0, on_time_kv=1, late_kv=0, now=100.0)
        self.table.set_waiting("s", 99, on_time_kv=1, late_kv=0, now=100.0)
        found = [demand.urgency for demand in self.table.sum("s", now=100.0)]
        self.assertEqual(found, list(range(MAX_CLASSES)))
        self.table.set_waiting("s", 3, on_time_kv=0, late_kv=0, now=100.0)
        self.table.set_waiting("s", 99, on_time_kv=1, late_kv=0, now=100.0)
        found = [demand.urgency for demand in self.table.sum("s", now=100.0)]
        self.assertEqual(found, [*(u for u in range(MAX_CLASSES) if u != 3), 99])

    def test_sum_is_reused_until_something_changes(self):
        """Guards against summing for each of hundreds of waiting requests."""
        for number in range(200):
            self._merge(f"p{number}", 1.0)
        self.assertEqual(self._sum_waiting(), 200.0)
        with mock.patch.object(DemandTable, "_sum_direct") as sum_direct:
            self._sum_waiting(100.01)
            sum_direct.assert_not_called()
        self._merge("p0", 2.0, at=100.02, now=100.02)
        self.assertEqual(self._sum_waiting(100.02), 201.0)
