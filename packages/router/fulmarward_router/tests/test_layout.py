"""Rules on imports and names across the packages."""

import ast
import re
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

_ROOT = Path(__file__).parents[4]
_ROUTER = _ROOT / "packages" / "router" / "fulmarward_router"

#: Headers, calls and fields of the platform's protocol that no field of ours shares.
_PROTOCOL_NAMES = re.compile(
    r"X-Attempt-Id|X-Hop-Count|X-Target-Instance|X-Credential|X-Not-Executed"
    r"|X-Tenant|X-Token-Usage|X-Server-Stamp|X-Length-Hint|At-Server|rows-tx|rows-get"
    r"|rows-feed|trafficSplit|routeType|sloMs|gapAimMs|tokenKvBytes|coldRemainingMs"
)


def _list_sources(folder):
    return [path for path in folder.rglob("*.py") if "tests" not in path.parts]


def _list_imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def _find_slice(module):
    """Return the top-level folder or module of the router that holds a module."""
    return module.removeprefix("fulmarward_router.").split(".")[0]


class LayoutTest(unittest.TestCase):
    def test_slices_have_no_import_cycle(self):
        graph = {}
        for path in _list_sources(_ROUTER):
            own = path.relative_to(_ROUTER).with_suffix("").parts[0]
            for module in _list_imports(path):
                if (
                    module.startswith("fulmarward_router.")
                    and _find_slice(module) != own
                ):
                    graph.setdefault(own, set()).add(_find_slice(module))
        try:
            order = list(TopologicalSorter(graph).static_order())
        except CycleError as error:
            self.fail(f"import cycle: {error.args[1]}")
        self.assertIn("daemon", order)

    def test_names_of_the_protocol_are_used_in_the_adapter_only(self):
        leaks = [
            str(path.relative_to(_ROOT))
            for path in _list_sources(_ROOT / "packages")
            if _PROTOCOL_NAMES.search(path.read_text())
        ]
        self.assertEqual(leaks, [])

    def test_decisions_import_no_clock_socket_or_log(self):
        # Decisions are tested without any of them, and the time is an argument.
        forbidden = {"asyncio", "socket", "logging", "aiohttp", "websockets", "time"}
        core = _ROOT / "packages" / "core" / "fulmarward_core"
        slices = [
            "layers",
            "paths",
            "catalogue",
            "suspicion",
            "loads",
            "routes",
            "fleet",
            "stalls",
            "overlay",
            "paces",
            "isolation",
            "poison",
            "repeats",
            "addresses",
            "identities",
            "leases",
            "supervision",
        ]
        found = [
            (str(path.relative_to(core)), module)
            for name in slices
            for path in _list_sources(core / name)
            for module in _list_imports(path)
            if module.split(".")[0] in forbidden
        ]
        self.assertEqual(found, [])
