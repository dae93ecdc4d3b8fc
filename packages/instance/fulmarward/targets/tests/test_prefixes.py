import unittest

from hypothesis import given, strategies as st

from fulmarward.targets import hash_prefixes
from fulmarward_standins.engine._cache import hash_blocks


class HashPrefixesTest(unittest.TestCase):
    @given(st.lists(st.sampled_from(["a", "bb", "unit"]), max_size=100))
    def test_prefix_hashes_equal_those_of_engines(self, words):
        self.assertEqual(
            list(hash_prefixes(" ".join(words))), hash_blocks(" ".join(words))
        )

    def test_number_of_hashed_blocks_is_limited(self):
        self.assertEqual(len(hash_prefixes("word " * 100_000)), 256)
