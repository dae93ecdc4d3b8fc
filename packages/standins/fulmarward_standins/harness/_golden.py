"""Golden files of whole sessions: texts with times and ids made neutral."""

import os
import re
import unittest
from pathlib import Path

#: Set this variable to 1 to write golden files in place of checking them.
WRITE_VARIABLE = "FULMARWARD_WRITE_GOLDEN"

#: What is replaced, and by what. Every distinct match gets its own number.
_NEUTRAL = (
    ("REQUEST", re.compile(r"\b[0-9a-f]{20}\b")),
    ("HASH", re.compile(r"\b[0-9a-f]{64}\b")),
    ("APPLY", re.compile(r"\b[0-9a-f]{32}\b")),
    ("ADDRESS", re.compile(r"127\.0\.0\.1:\d+")),
    (
        "LOCATOR",
        re.compile(r"(?<=^id: )[\w-]{40,}(?=(~[0-9a-f]{8})?\.\d+$)", re.MULTILINE),
    ),
    ("KEY", re.compile(r"\bfk1\.[\w.-]+")),
    ("TIME", re.compile(r"\b1\d{9}(\.\d+)?\b")),
    ("BOOT", re.compile(r"\b1\d{12}\b")),
)


def make_neutral(text: str) -> str:
    """Return `text` with ids, addresses and times replaced by numbered words."""
    for word, pattern in _NEUTRAL:
        seen: dict[str, str] = {}

        def name_match(
            match: re.Match, seen: dict[str, str] = seen, word: str = word
        ) -> str:
            # How many different times a session sees depends on the machine.
            if word == "TIME":
                return word
            return seen.setdefault(match.group(), f"{word}-{len(seen) + 1}")

        text = pattern.sub(name_match, text)
    return text


def check_golden(test: unittest.TestCase, path: Path, text: str) -> None:
    """Fail `test` unless the neutral form of `text` is what stands in `path`."""
    neutral = make_neutral(text)
    if os.environ.get(WRITE_VARIABLE) == "1":
        path.parent.mkdir(exist_ok=True)
        path.write_text(neutral)
    test.maxDiff = None
    test.assertEqual(path.read_text(), neutral)
