import unittest

from hypothesis import given, strategies as st

from fulmarward.targets import hash_prefixes
from fulmarward_standins.engine._cache import hash_blocks


class HashPrefixesTest(unittest.TestCase):
    @given(st.lists(st.sampled_from(["a", "bb", "unit"]), max_size=100))
    def test_prefixes_have_the_names_that_engines_give_them(self, words):
        self.assertEqual(
            list(hash_prefixes(" ".join(words))), hash_blocks(" ".join(words))
        )

    def test_the_work_for_one_prompt_is_bounded(self):
        self.assertEqual(len(hash_prefixes("word " * 100_000)), 256)
