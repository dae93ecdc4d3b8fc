import ast
import unittest
from pathlib import Path

_PACKAGES = Path(__file__).parents[4]

#: Modules with which decision code could read a clock, a socket or a log, or do I/O.
_IO_MODULES = {
    "asyncio",
    "socket",
    "time",
    "datetime",
    "logging",
    "aiohttp",
    "websockets",
    "secrets",
    "threading",
    "os",
}


def _list_imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.split(".")[0]


def _list_decision_modules():
    return [
        path
        for path in sorted(_PACKAGES.rglob("*.py"))
        if "tests" not in path.parts
        and (path.name == "decisions.py" or path.parent.name == "decisions")
    ]


class PurityTest(unittest.TestCase):
    def test_decisions_import_no_io_clock_or_log(self):
        paths = _list_decision_modules()
        self.assertGreater(len(paths), 3)
        for path in paths:
            with self.subTest(path=str(path.relative_to(_PACKAGES))):
                self.assertEqual(_IO_MODULES & set(_list_imports(path)), set())

    def test_product_never_imports_the_stand_ins(self):
        for package in ("core", "instance", "client"):
            for path in sorted((_PACKAGES / package).rglob("*.py")):
                if "tests" in path.parts:
                    continue
                with self.subTest(path=str(path.relative_to(_PACKAGES))):
                    self.assertNotIn("fulmarward_standins", _list_imports(path))
