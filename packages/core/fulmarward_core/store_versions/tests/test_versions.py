import unittest

from hypothesis import given, strategies as st

from fulmarward_core.store_versions import (
    MAX_ERA,
    find_era,
    find_number,
    make_store_version,
)

_POSITIONS = st.tuples(st.integers(0, MAX_ERA), st.integers(0, 10**12 - 1))


class StoreVersionTest(unittest.TestCase):
    @given(_POSITIONS, _POSITIONS)
    def test_versions_are_ordered_by_era_first(self, one, other):
        """Guards against a version of a lost history that counts as newer."""
        versions = make_store_version(*one), make_store_version(*other)
        self.assertEqual(versions[0] < versions[1], one < other)
        self.assertEqual((find_era(versions[0]), find_number(versions[0])), one)

    def test_numbers_of_another_writer_are_refused(self):
        cases = [(-1, 0), (MAX_ERA + 1, 0), (0, -1), (0, 10**12)]
        for era, number in cases:
            with self.subTest((era, number)), self.assertRaises(ValueError):
                make_store_version(era, number)
