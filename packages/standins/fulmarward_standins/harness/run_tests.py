"""Run the tests and close with `N passed, N failed` from the real result.

Exits non-zero when a test failed that KNOWN-RED.txt does not list, when a listed one
passed, when one was skipped, and when no test ran at all.
"""

import gc
import os
import sys
from pathlib import Path

import hypothesis
import nose2

from fulmarward_standins.harness.nose_result import OUTCOMES

#: The root of the repository.
ROOT = Path(__file__).parents[4]


def read_known_red(path: Path = ROOT / "KNOWN-RED.txt") -> dict[str, str]:
    """Return the listed lines by test id; a line begins with the id."""
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    return {line.split()[0]: line for line in lines}


def judge(known_red: dict[str, str]) -> list[str]:
    """Return what speaks against passing."""
    faults = [
        f"failed: {test}" for test in sorted(set(OUTCOMES.failed) - set(known_red))
    ]
    faults += [f"skipped: {test}" for test in OUTCOMES.skipped]
    faults += [
        f"listed in KNOWN-RED.txt and passed: {test}"
        for test in known_red
        if test in OUTCOMES.passed
    ]
    if not OUTCOMES.passed and not OUTCOMES.failed:
        faults.append("no test ran")
    return faults


def _exempt_heap() -> None:
    """Exclude all present objects from garbage collections.

    Guards against pauses of 0.2 s: the process of the tests plays targets and callers
    too, and what the tests before have left is examined again and again.
    """
    gc.collect()
    gc.freeze()


def main() -> None:
    """Run what the command line names, or everything."""
    os.chdir(ROOT)
    hypothesis.settings.register_profile(
        "same-every-run", derandomize=True, database=None, deadline=None
    )
    hypothesis.settings.load_profile("same-every-run")
    nose2.discover(argv=["nose2", *sys.argv[1:]], exit=False)
    if not sys.argv[1:]:
        _exempt_heap()
        # The platform's adapter stands beside the packages.
        nose2.discover(argv=["nose2", "-s", "platform", "-t", "platform"], exit=False)
    known_red = read_known_red()
    for test in sorted(set(OUTCOMES.failed) & set(known_red)):
        print(f"KNOWN RED: {known_red[test]}")
    faults = judge(known_red)
    for fault in faults:
        print(fault)
    sys.stderr.flush()
    print(f"{len(OUTCOMES.passed)} passed, {len(OUTCOMES.failed)} failed", flush=True)
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
