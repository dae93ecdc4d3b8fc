import unittest

from hypothesis import given, strategies as st

from fulmarward_core.declaration import (
    hash_body,
    hash_declaration,
    join_declaration,
    read_manifest,
    split_declaration,
)

_ENTRIES = st.integers(0, 300).map(
    lambda count: {f"t{number}": {"slots": number} for number in range(count)}
)
_VALUES = st.fixed_dictionaries({"teams": _ENTRIES, "targets": _ENTRIES})


def _make_target(number, slots):
    return {
        "address": f"10.0.{number // 250}.{number % 250}:7000",
        "data_centre": "lx-alcantara",
        "kind": "engine",
        "serves": "sardine",
        "accelerator": "a100",
        "layers": [0, 24],
        "slots": slots,
        "tokens_per_s": 1000,
        "checks_fencing": True,
    }


class PartsTest(unittest.TestCase):
    @given(_VALUES)
    def test_parts_join_to_what_was_split(self, value):
        split = split_declaration(value)
        manifest = read_manifest(split.bodies[split.content_hash])
        self.assertEqual(join_declaration(manifest, split.bodies), value)
        for content_hash, body in split.bodies.items():
            self.assertEqual(hash_body(body), content_hash)

    def test_order_of_entries_does_not_matter(self):
        value = {"teams": {"a": 1, "b": 2}, "targets": {}}
        turned = {"targets": {}, "teams": {"b": 2, "a": 1}}
        self.assertEqual(hash_declaration(value), hash_declaration(turned))
        self.assertNotEqual(hash_declaration(value), hash_declaration({"teams": {}}))

    def test_damaged_manifests_and_parts_are_refused(self):
        for body in (b"", b"[]", b'{"nope": "x"}', b'{"teams": 5}'):
            self.assertIsNone(read_manifest(body))
        for part in (b"", b"[1]", b"5"):
            self.assertIsNone(join_declaration({"teams/1": "h"}, {"h": part}))
        self.assertIsNone(join_declaration({"teams": "h"}, {}))

    def test_one_target_at_the_design_size_moves_few_bytes(self):
        # 2,100 changes a day are one in 41 s: at the budget of 4 KB/s a change may
        # move 164 KB, and a tenth of that leaves room for all else.
        targets = {f"t{number}": _make_target(number, 16) for number in range(4_100)}
        before = split_declaration({"targets": targets})
        changed = targets | {"t7": _make_target(7, 8)}
        after = split_declaration({"targets": changed})
        moved = set(after.bodies) - set(before.bodies)
        self.assertEqual(len(moved), 2)
        self.assertLess(sum(len(after.bodies[item]) for item in moved), 41 * 400)
