import unittest

from hypothesis import given, strategies as st

from fulmarward_core.spread import TransferLimiter, find_max_in_flight
from fulmarward_core.spread._transfers import (
    MAX_FAST_IN_FLIGHT_BYTES,
    MAX_IN_FLIGHT_BYTES,
    TRANSFER_TIMEOUT_S,
)


class TransferLimiterTest(unittest.TestCase):
    def setUp(self):
        self.tellings = TransferLimiter()

    def _begin(self, peers, size, now=0.0):
        return [peer for peer in peers if self.tellings.begin(peer, size, now=now)]

    def test_how_many_are_told_at_once(self):
        cases = [
            ("small rows", MAX_IN_FLIGHT_BYTES // 5, 5),
            ("large rows", MAX_IN_FLIGHT_BYTES // 2, 2),
            ("a row that takes it all", MAX_IN_FLIGHT_BYTES * 8, 1),
        ]
        for name, size, expected in cases:
            with self.subTest(name):
                self.tellings = TransferLimiter()
                self.assertEqual(len(self._begin("abcdefgh", size)), expected)

    def test_bytes_in_flight_follow_the_link(self):
        """Guards against snapshots that saturate the smallest instances' links."""
        cases = [
            # bytes a second, bytes in flight
            (None, MAX_IN_FLIGHT_BYTES),
            (1_250_000, 62_500),
            (2_500_000, 125_000),
            (125_000_000, MAX_FAST_IN_FLIGHT_BYTES),
        ]
        for link_bytes_per_s, expected in cases:
            with self.subTest(link_bytes_per_s=link_bytes_per_s):
                self.assertEqual(find_max_in_flight(link_bytes_per_s), expected)

    def test_next_one_is_told_once_a_row_has_arrived_or_its_peer_is_silent(self):
        self.assertEqual(self._begin("abc", MAX_IN_FLIGHT_BYTES // 2), ["a", "b"])
        self.tellings.end("a")
        self.assertEqual(self._begin("bcd", MAX_IN_FLIGHT_BYTES // 2, 0.5), ["c"])
        later = self._begin("de", MAX_IN_FLIGHT_BYTES // 2, TRANSFER_TIMEOUT_S)
        self.assertEqual(later, ["d"])

    def test_peer_that_asks_again_has_no_second_copy_under_way(self):
        self.assertEqual(self._begin("aa", 10), ["a"])

    def test_end_of_what_never_began_changes_nothing(self):
        self.tellings.end("a")
        self.assertEqual(self._begin("a", 10), ["a"])

    @given(
        st.lists(st.tuples(st.booleans(), st.integers(0, 9), st.integers(1, 99_999)))
    )
    def test_never_more_under_way_than_the_link_may_bear(self, steps):
        tellings, under_way = TransferLimiter(), {}
        for is_question, peer, size in steps:
            if not is_question:
                tellings.end(str(peer))
                under_way.pop(peer, None)
            elif tellings.begin(str(peer), size, now=0.0):
                self.assertNotIn(peer, under_way)
                under_way[peer] = size
            self.assertLessEqual(sum(under_way.values()), MAX_IN_FLIGHT_BYTES)
