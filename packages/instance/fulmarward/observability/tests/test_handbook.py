import re
import unittest
from pathlib import Path

_ROOT = Path(__file__).parents[5]
_EVENT = re.compile(r"log_event\(\s*\"([a-z_]+)\"")


def _list_events():
    events = set()
    for path in (_ROOT / "packages" / "instance").rglob("*.py"):
        if "tests" not in path.parts:
            events |= set(_EVENT.findall(path.read_text()))
    return events


class HandbookTest(unittest.TestCase):
    def test_every_event_of_the_log_stands_in_the_handbook(self):
        text = (_ROOT / "docs" / "OPERATORS.md").read_text()
        section = text[text.index("## Log") : text.index("## Metrics")]
        events = _list_events()
        self.assertGreater(len(events), 30)
        missing = [event for event in sorted(events) if f"`{event}`" not in section]
        self.assertEqual(missing, [])
