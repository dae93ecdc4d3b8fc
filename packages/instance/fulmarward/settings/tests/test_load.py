import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from fulmarward.settings import InstanceSettings, parse_settings

_VALID_SETTINGS = {
    "name": "i1",
    "data_centre": "lx-alcantara",
    "caller_address": "127.0.0.1:8000",
    "operator_address": "127.0.0.1:8001",
    "peer_address": "127.0.0.1:8002",
    "platform_address": "127.0.0.1:8003",
    "platform_token_file": "a",
    "operator_tokens_file": "b",
    "peer_secrets_file": "c",
}


class ParseSettingsTest(unittest.TestCase):
    def test_valid_settings_are_parsed(self):
        self.assertIsInstance(parse_settings(_VALID_SETTINGS), InstanceSettings)

    def test_invalid_member_is_named(self):
        cases = [
            ("name", "A B", "name"),
            ("caller_address", "host:80", "caller_address"),
            ("seed_peers", ["x"], "seed_peers[0]"),
            ("limits", {"body_bytes": 0}, "limits.body_bytes"),
            ("limits", {"body_size": 1}, "limits.body_size"),
            ("tls", {"key_file": "k"}, "tls.certificate_file"),
            ("log_level", "loud", "log_level"),
            ("colour", 1, "colour"),
        ]
        for member, value, where in cases:
            with self.subTest(member=member, value=value):
                (fault,) = parse_settings(_VALID_SETTINGS | {member: value})
                self.assertEqual(fault.where, where)


class CommandLineTest(unittest.TestCase):
    def _run(self, *arguments):
        command = [sys.executable, "-m", "fulmarward", *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def test_invalid_settings_are_refused_at_start(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "i1.json"
            path.write_text(json.dumps(_VALID_SETTINGS | {"colour": 1, "name": ""}))
            result = self._run("start", str(path))
        self.assertEqual(result.returncode, 3)
        self.assertIn("colour: expected no member but", result.stderr)
        self.assertIn("name: expected a name", result.stderr)

    def test_missing_secret_files_are_named_at_start(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "i1.json"
            path.write_text(json.dumps(_VALID_SETTINGS))
            result = self._run("start", str(path))
        self.assertEqual(result.returncode, 3)
        for where in (
            "platform_token_file",
            "operator_tokens_file",
            "peer_secrets_file",
        ):
            self.assertIn(f"{where}: expected a readable file", result.stderr)

    def test_effective_settings_are_printed_with_their_defaults(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "i1.json"
            path.write_text(json.dumps(_VALID_SETTINGS))
            result = self._run("settings", str(path))
        self.assertEqual(result.returncode, 0)
        self.assertEqual(json.loads(result.stdout)["limits"]["body_bytes"], 2_000_000)

    def test_unknown_flag_is_refused(self):
        result = self._run("start", "--colour", "1", "x")
        self.assertEqual(result.returncode, 2)
