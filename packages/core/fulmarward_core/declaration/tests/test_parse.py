import copy
import unittest

from fulmarward_core.declaration import (
    Declaration,
    hash_declaration,
    parse_declaration,
)

DIGEST = "sha256:" + "a" * 64

RIGHT = {
    "data_centres": {"palermo-a": {"region": "sicily"}},
    "links": [],
    "teams": {
        "istat": {
            "key_digests": [DIGEST],
            "tokens_per_s": 10,
            "burst_tokens": 20,
            "pipelines": ["coding"],
            "services": ["status"],
        }
    },
    "models": {
        "tuna": {"layers": 8, "versions": ["v1"], "serving": "v1", "adapters": ["it"]}
    },
    "pipelines": {
        "coding": {
            "model": "tuna",
            "adapter": "it",
            "urgency": "bulk",
            "deadline_ms": 1000,
            "idempotent": False,
            "max_output_tokens": 64,
        }
    },
    "services": {"status": {"deadline_ms": 100}},
    "targets": {
        "t1": {
            "address": "127.0.0.1:9000",
            "data_centre": "palermo-a",
            "kind": "engine",
            "serves": "tuna",
            "layers": [0, 8],
            "slots": 4,
        }
    },
}


def _change(path, value):
    changed = copy.deepcopy(RIGHT)
    *parents, last = path
    place = changed
    for key in parents:
        place = place[key]
    place[last] = value
    return changed


class ParseDeclarationTest(unittest.TestCase):
    def test_right_declaration_is_parsed(self):
        self.assertIsInstance(parse_declaration(RIGHT), Declaration)

    def test_broken_reference_is_named(self):
        cases = [
            (("teams", "istat", "pipelines"), ["nope"], "teams.istat.pipelines"),
            (("teams", "istat", "services"), ["nope"], "teams.istat.services"),
            (("models", "tuna", "serving"), "v9", "models.tuna.serving"),
            (("pipelines", "coding", "model"), "cod", "pipelines.coding.model"),
            (("pipelines", "coding", "adapter"), "fr", "pipelines.coding.adapter"),
            (("targets", "t1", "serves"), "cod", "targets.t1.serves"),
            (("targets", "t1", "layers"), [4, 2], "targets.t1.layers"),
            (("targets", "t1", "layers"), [0, 9], "targets.t1.layers"),
            (("targets", "t1", "data_centre"), "rome", "targets.t1.data_centre"),
            (("targets", "t1", "address"), "host:1", "targets.t1.address"),
        ]
        for path, value, where in cases:
            with self.subTest(path=path, value=value):
                faults = parse_declaration(_change(path, value))
                self.assertEqual([fault.where for fault in faults], [where])

    def test_all_faults_are_named_at_once(self):
        wrong = _change(("teams", "istat", "tokens_per_s"), -1)
        wrong["targets"]["t1"]["slots"] = 0
        wrong["extra"] = 1
        wheres = {fault.where for fault in parse_declaration(wrong)}
        self.assertEqual(
            wheres, {"teams.istat.tokens_per_s", "targets.t1.slots", "extra"}
        )

    def test_a_fault_of_one_kind_does_not_hide_one_of_another(self):
        # An operator mends a wrong number, applies again, and only then learns that
        # another entry names a model that nobody declared.
        wrong = _change(("targets", "t1", "serves"), "cod")
        wrong["teams"]["istat"]["tokens_per_s"] = "many"
        wrong["pipelines"]["coding"]["deadline_ms"] = 0
        wrong["teams"]["other"] = RIGHT["teams"]["istat"] | {"services": ["nope"]}
        wheres = {fault.where for fault in parse_declaration(wrong)}
        self.assertEqual(
            wheres,
            {
                "teams.istat.tokens_per_s",
                "pipelines.coding.deadline_ms",
                "targets.t1.serves",
                "teams.other.services",
            },
        )
        for value in (None, [], 5, {"teams": 5, "links": [1]}):
            with self.subTest(value=value):
                self.assertIsInstance(parse_declaration(value), tuple)

    def test_key_of_two_teams_is_refused(self):
        wrong = _change(("teams", "other"), RIGHT["teams"]["istat"])
        (fault,) = parse_declaration(wrong)
        self.assertEqual(fault.where, "teams.other.key_digests")

    def test_hash_does_not_depend_on_the_order_of_members(self):
        turned = dict(reversed(RIGHT.items()))
        self.assertEqual(hash_declaration(turned), hash_declaration(RIGHT))
