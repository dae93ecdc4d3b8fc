import unittest
from dataclasses import replace

from hypothesis import given, strategies as st

from fulmarward_core.listing import Candidate, choose_listed
from fulmarward_core.listing.decisions import (
    MAX_LISTED,
    MIN_LISTED,
    OPEN_REQUESTS_PER_INSTANCE,
)


def _make_fleet(counts, duty_count=2):
    return [
        Candidate(
            name=f"{data_centre}{number:03}",
            data_centre=data_centre,
            address=f"{data_centre}{number:03}:1",
            has_duty=number < duty_count,
        )
        for data_centre, count in counts.items()
        for number in range(count)
    ]


class ChooseListedTest(unittest.TestCase):
    def test_small_fleet_is_listed_completely_local_instances_first(self):
        fleet = _make_fleet({"a": 3, "b": 3, "c": 3})
        listed = choose_listed(fleet, data_centre="b", open_requests=500)
        self.assertEqual({item[0] for item in listed[:3]}, {"b"})
        self.assertEqual(len(listed), 9)

    def test_idle_data_centre_lists_few_instances_without_duties(self):
        """Guards against callers that depend on an instance which works for others."""
        fleet = _make_fleet({"a": 39, "b": 39})
        listed = choose_listed(fleet, data_centre="a", open_requests=0)
        self.assertEqual(len(listed), MIN_LISTED)
        self.assertEqual({item[0] for item in listed}, {"a"})
        self.assertFalse({"a000:1", "a001:1"} & set(listed))

    def test_list_grows_with_the_load_up_to_all_instances(self):
        fleet = _make_fleet({"a": 39})
        sizes = [
            len(choose_listed(fleet, data_centre="a", open_requests=count))
            for count in (0, 120, 240, 100_000)
        ]
        self.assertEqual(sizes, [MIN_LISTED, 12, 20, 39])

    def test_few_local_instances_are_complemented_with_remote_ones(self):
        """Guards against callers without an instance while their data centre fails."""
        fleet = _make_fleet({"a": 2, "b": 90})
        listed = choose_listed(fleet, data_centre="a", open_requests=0)
        self.assertEqual(len(listed), MAX_LISTED)
        self.assertEqual({item[0] for item in listed[:2]}, {"a"})
        listed_without_local = choose_listed(fleet, data_centre="c", open_requests=0)
        self.assertEqual(len(listed_without_local), MAX_LISTED)

    def test_lost_instances_are_left_out_unless_most_are_lost(self):
        """Guards against callers sent to an instance that is gone, or to none."""
        for lost_count, expected in ((1, 15), (8, 8), (9, 16)):
            fleet = [
                replace(item, is_lost=number < lost_count)
                for number, item in enumerate(_make_fleet({"a": 16}))
            ]
            listed = choose_listed(fleet, data_centre="a", open_requests=1000)
            self.assertEqual(len(listed), expected)

    @given(st.integers(8, 60), st.integers(0, 3000), st.integers(0, 3000))
    def test_more_load_only_adds_instances(self, count, less, more):
        fleet = _make_fleet({"a": count})
        less, more = sorted((less, more))
        before = choose_listed(fleet, data_centre="a", open_requests=less)
        after = choose_listed(fleet, data_centre="a", open_requests=more)
        self.assertEqual(after[: len(before)], before)
        capacity = len(after) * OPEN_REQUESTS_PER_INSTANCE
        self.assertTrue(capacity >= more or len(after) == min(count, MAX_LISTED))
