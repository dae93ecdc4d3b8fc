import tempfile
import unittest
from pathlib import Path

from fulmarward_standins.harness.run_tests import read_known_red


class KnownRedTest(unittest.TestCase):
    def test_reads_every_entry(self):
        """Guards against a limit on the number of entries, which would drop some."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            path.write_text("".join(f"suite.test_{n} seen\n\n" for n in range(12)))
            self.assertEqual(len(read_known_red(path)), 12)
