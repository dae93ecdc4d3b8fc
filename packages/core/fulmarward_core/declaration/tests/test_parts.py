import unittest

from hypothesis import given, strategies as st

from fulmarward_core.declaration import (
    hash_body,
    hash_declaration,
    join_declaration,
    parse_manifest,
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
    def test_joining_the_parts_restores_the_declaration(self, value):
        split = split_declaration(value)
        manifest = parse_manifest(split.bodies[split.content_hash])
        self.assertEqual(join_declaration(manifest, split.bodies), value)
        for content_hash, body in split.bodies.items():
            self.assertEqual(hash_body(body), content_hash)

    def test_order_of_entries_does_not_matter(self):
        value = {"teams": {"a": 1, "b": 2}, "targets": {}}
        reordered = {"targets": {}, "teams": {"b": 2, "a": 1}}
        self.assertEqual(hash_declaration(value), hash_declaration(reordered))
        self.assertNotEqual(hash_declaration(value), hash_declaration({"teams": {}}))

    def test_damaged_manifests_and_parts_are_rejected(self):
        for body in (b"", b"[]", b'{"nope": "x"}', b'{"teams": 5}'):
            self.assertIsNone(parse_manifest(body))
        for part in (b"", b"[1]", b"5"):
            self.assertIsNone(join_declaration({"teams/1": "h"}, {"h": part}))
        self.assertIsNone(join_declaration({"teams": "h"}, {}))

    def test_changing_one_target_transfers_few_bytes_at_design_size(self):
        # 2,100 changes a day are one every 41 s. At the budget of 4 KB/s, a change may
        # transfer 164 KB; a tenth of that leaves the rest to other traffic.
        targets = {f"t{number}": _make_target(number, 16) for number in range(4_100)}
        before = split_declaration({"targets": targets})
        changed = targets | {"t7": _make_target(7, 8)}
        after = split_declaration({"targets": changed})
        transferred = set(after.bodies) - set(before.bodies)
        self.assertEqual(len(transferred), 2)
        self.assertLess(sum(len(after.bodies[item]) for item in transferred), 41 * 400)
