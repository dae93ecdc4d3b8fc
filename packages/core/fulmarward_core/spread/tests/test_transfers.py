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
        self.limiter = TransferLimiter()

    def _begin(self, peers, size, now=0.0):
        return [peer for peer in peers if self.limiter.begin(peer, size, now=now)]

    def test_number_of_concurrent_transfers(self):
        cases = [
            ("small snapshots", MAX_IN_FLIGHT_BYTES // 5, 5),
            ("large snapshots", MAX_IN_FLIGHT_BYTES // 2, 2),
            ("larger than the limit", MAX_IN_FLIGHT_BYTES * 8, 1),
        ]
        for name, size, expected in cases:
            with self.subTest(name):
                self.limiter = TransferLimiter()
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

    def test_next_transfer_starts_after_an_end_or_a_timeout(self):
        self.assertEqual(self._begin("abc", MAX_IN_FLIGHT_BYTES // 2), ["a", "b"])
        self.limiter.end("a")
        self.assertEqual(self._begin("bcd", MAX_IN_FLIGHT_BYTES // 2, 0.5), ["c"])
        later = self._begin("de", MAX_IN_FLIGHT_BYTES // 2, TRANSFER_TIMEOUT_S)
        self.assertEqual(later, ["d"])

    def test_peer_has_at_most_one_transfer_in_flight(self):
        self.assertEqual(self._begin("aa", 10), ["a"])

    def test_end_without_a_transfer_has_no_effect(self):
        self.limiter.end("a")
        self.assertEqual(self._begin("a", 10), ["a"])

    @given(
        st.lists(st.tuples(st.booleans(), st.integers(0, 9), st.integers(1, 99_999)))
    )
    def test_bytes_in_flight_never_exceed_the_limit(self, steps):
        limiter, in_flight = TransferLimiter(), {}
        for is_begin, peer, size in steps:
            if not is_begin:
                limiter.end(str(peer))
                in_flight.pop(peer, None)
            elif limiter.begin(str(peer), size, now=0.0):
                self.assertNotIn(peer, in_flight)
                in_flight[peer] = size
            self.assertLessEqual(sum(in_flight.values()), MAX_IN_FLIGHT_BYTES)
