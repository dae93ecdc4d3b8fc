import tracemalloc
import unittest
import zlib

from hypothesis import given, strategies as st

from fulmarward_core.spread import pack_in_steps, pack_value, unpack_value
from fulmarward_core.spread._packing import BYTES_PER_STEP, MAX_VALUE_BYTES


class PackingTest(unittest.TestCase):
    @given(st.binary())
    def test_round_trip(self, value):
        self.assertEqual(unpack_value(pack_value(value)), value)

    def test_value_is_compressed_in_steps(self):
        """Guards against an event loop that stands still while a value is packed."""
        value = bytes(5 * BYTES_PER_STEP + 1)
        steps = list(pack_in_steps(value))
        self.assertEqual(len(steps), 6)

    def test_invalid_data_is_rejected(self):
        packed = pack_value(b"routes" * 100)
        cases = [
            ("empty", b""),
            ("not packed", b'{"version": 7}'),
            ("truncated", packed[:-3]),
            ("corrupted", packed[:9] + b"\xff" + packed[10:]),
            ("followed by other data", packed + b"x"),
            ("too large", zlib.compress(bytes(MAX_VALUE_BYTES + 1))),
        ]
        for name, data in cases:
            with self.subTest(name), self.assertRaises(ValueError):
                unpack_value(data)

    def test_round_trip_of_the_largest_value(self):
        self.assertEqual(len(unpack_value(pack_value(bytes(MAX_VALUE_BYTES)))), 4 << 20)

    def test_decompression_bomb_does_not_exhaust_the_memory(self):
        # A message of 64 KB that expands to 64 MB is unpacked up to the maximum size of
        # a value only.
        packed = zlib.compress(bytes(64 << 20))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaisesRegex(ValueError, "at most"):
            unpack_value(packed)
        self.assertLess(tracemalloc.get_traced_memory()[1], 4 * MAX_VALUE_BYTES)
