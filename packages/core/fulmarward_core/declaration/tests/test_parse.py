import copy
import unittest

from fulmarward_core.declaration import (
    Declaration,
    hash_declaration,
    parse_declaration,
)

_DIGEST = "sha256:" + "a" * 64

_VALID = {
    "data_centres": {"palermo-a": {"region": "sicily"}},
    "links": [],
    "teams": {
        "istat": {
            "key_digests": [_DIGEST],
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


def _replace_value(path, value):
    declaration = copy.deepcopy(_VALID)
    *parents, last = path
    parent = declaration
    for key in parents:
        parent = parent[key]
    parent[last] = value
    return declaration


class ParseDeclarationTest(unittest.TestCase):
    def test_valid_declaration_is_parsed(self):
        self.assertIsInstance(parse_declaration(_VALID), Declaration)

    def test_broken_reference_is_reported(self):
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
                faults = parse_declaration(_replace_value(path, value))
                self.assertEqual([fault.where for fault in faults], [where])

    def test_all_faults_are_reported_at_once(self):
        invalid = _replace_value(("teams", "istat", "tokens_per_s"), -1)
        invalid["targets"]["t1"]["slots"] = 0
        invalid["extra"] = 1
        paths = {fault.where for fault in parse_declaration(invalid)}
        self.assertEqual(
            paths, {"teams.istat.tokens_per_s", "targets.t1.slots", "extra"}
        )

    def test_invalid_values_do_not_hide_broken_references(self):
        # Guards against an operator who corrects an invalid number, applies again and
        # only then sees that another entry references an undeclared model.
        invalid = _replace_value(("targets", "t1", "serves"), "cod")
        invalid["teams"]["istat"]["tokens_per_s"] = "many"
        invalid["pipelines"]["coding"]["deadline_ms"] = 0
        invalid["teams"]["other"] = _VALID["teams"]["istat"] | {"services": ["nope"]}
        paths = {fault.where for fault in parse_declaration(invalid)}
        self.assertEqual(
            paths,
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

    def test_key_shared_by_two_teams_is_rejected(self):
        invalid = _replace_value(("teams", "other"), _VALID["teams"]["istat"])
        (fault,) = parse_declaration(invalid)
        self.assertEqual(fault.where, "teams.other.key_digests")

    def test_hash_is_independent_of_member_order(self):
        reordered = dict(reversed(_VALID.items()))
        self.assertEqual(hash_declaration(reordered), hash_declaration(_VALID))
