"""How many functions of Python a piece of work calls: its cost without a clock."""

import sys
from collections.abc import Callable


def count_calls(work: Callable[[], object]) -> int:
    """Return how many functions in Python `work` calls, itself included."""
    calls = 0

    def note(_frame: object, event: str, _argument: object) -> None:
        nonlocal calls
        calls += event == "call"

    before = sys.getprofile()
    sys.setprofile(note)
    try:
        work()
    finally:
        sys.setprofile(before)
    return calls
