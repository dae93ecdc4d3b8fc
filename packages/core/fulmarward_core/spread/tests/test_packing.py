import tracemalloc
import unittest
import zlib

from hypothesis import given, strategies as st

from fulmarward_core.spread import pack_value, unpack_value
from fulmarward_core.spread._packing import MAX_VALUE_BYTES


class PackingTest(unittest.TestCase):
    @given(st.binary())
    def test_value_comes_through_as_it_was(self, value):
        self.assertEqual(unpack_value(pack_value(value)), value)

    def test_what_is_no_whole_value_is_refused(self):
        packed = pack_value(b"routes" * 100)
        cases = [
            ("nothing", b""),
            ("not packed", b'{"version": 7}'),
            ("cut off", packed[:-3]),
            ("changed on the way", packed[:9] + b"\xff" + packed[10:]),
            ("with more behind it", packed + b"x"),
            ("larger than any row", zlib.compress(bytes(MAX_VALUE_BYTES + 1))),
        ]
        for name, data in cases:
            with self.subTest(name), self.assertRaises(ValueError):
                unpack_value(data)

    def test_largest_value_comes_through(self):
        self.assertEqual(len(unpack_value(pack_value(bytes(MAX_VALUE_BYTES)))), 4 << 20)

    def test_few_bytes_that_unpack_to_many_fill_no_memory(self):
        # A message of 64 KB that holds 64 MB: only as much of it is unpacked as a row
        # may have.
        packed = zlib.compress(bytes(64 << 20))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaisesRegex(ValueError, "at most"):
            unpack_value(packed)
        self.assertLess(tracemalloc.get_traced_memory()[1], 4 * MAX_VALUE_BYTES)
