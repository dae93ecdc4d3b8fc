"""Golden files of whole sessions, with placeholders for times and ids."""

import os
import re
import unittest
from pathlib import Path

#: Environment variable; 1 rewrites the golden files instead of checking them.
WRITE_VARIABLE = "FULMARWARD_WRITE_GOLDEN"

#: Placeholders and the patterns they replace. Each distinct match gets a number.
_PLACEHOLDERS = (
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


def normalize_text(text: str) -> str:
    """Return `text` with ids, addresses and times replaced by placeholders."""
    for placeholder, pattern in _PLACEHOLDERS:
        seen: dict[str, str] = {}

        def number_match(
            match: re.Match, seen: dict[str, str] = seen, placeholder: str = placeholder
        ) -> str:
            # Times are not numbered: how many are distinct depends on the machine.
            if placeholder == "TIME":
                return placeholder
            return seen.setdefault(match.group(), f"{placeholder}-{len(seen) + 1}")

        text = pattern.sub(number_match, text)
    return text


def check_golden(test: unittest.TestCase, path: Path, text: str) -> None:
    """Fail `test` unless the normalized `text` equals the content of `path`."""
    normalized = normalize_text(text)
    if os.environ.get(WRITE_VARIABLE) == "1":
        path.parent.mkdir(exist_ok=True)
        path.write_text(normalized)
    test.maxDiff = None
    test.assertEqual(path.read_text(), normalized)
