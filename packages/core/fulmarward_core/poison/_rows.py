"""Decides whether a row holds the records of a blocked pattern.

Any writer may store rows, and what is read is passed on to all instances.
"""

from collections.abc import Sequence

from fulmarward_core.poison._table import MAX_CRASHES_PER_PATTERN

#: Maximum length of a text, in characters.
MAX_TEXT = 200

#: Upper bound on a time, in seconds since 1970.
MAX_TIME_S = 2**40

#: Number of fields of a crash: target, team, whether it is strong, and trusted.
_CRASH_FIELDS = 4


def is_block_row(pattern: str, fields: object) -> bool:
    """Return whether the fields of a row are those of a blocked pattern.

    These are the time of writing, in seconds since 1970, and the crashes, each with the
    fields of `_CRASH_FIELDS`. `fields` is of any type.
    """
    if not _is_sequence(fields) or len(fields) != 2:
        return False
    written_at, crashes = fields
    is_pattern = _is_text(pattern) and pattern.isprintable() and pattern != ""
    is_time = type(written_at) in (int, float) and abs(written_at) <= MAX_TIME_S
    are_crashes = _is_sequence(crashes) and len(crashes) <= MAX_CRASHES_PER_PATTERN
    return is_pattern and is_time and are_crashes and all(map(_is_crash, crashes))


def _is_crash(fields: object) -> bool:
    if not _is_sequence(fields) or len(fields) != _CRASH_FIELDS:
        return False
    target, team, is_strong, is_trusted = fields
    are_texts = _is_text(target) and _is_text(team)
    return are_texts and type(is_strong) is bool and type(is_trusted) is bool


def _is_sequence(value: object) -> bool:
    return isinstance(value, Sequence) and not isinstance(value, str | bytes)


def _is_text(value: object) -> bool:
    return isinstance(value, str) and len(value) <= MAX_TEXT
