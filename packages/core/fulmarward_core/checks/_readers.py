"""Readers: small functions that turn a JSON value into a checked one.

A reader takes the value, the path where it stands and the list that collects
faults. It returns the checked value, or `None` after adding a fault; callers
look at the list before they use any value.
"""

import json
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

#: Longest text shown back in a fault, in characters.
SHOWN_CHARACTERS = 60

_ADDRESS = re.compile(r"^(\[[0-9a-fA-F:]+\]|[0-9]{1,3}(\.[0-9]{1,3}){3}):[0-9]{1,5}$")


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One thing that is wrong with a piece of JSON, told for a person."""

    #: Path of the value, such as `teams.folha.weight`.
    where: str
    #: What would have been right.
    expected: str
    #: What stood there.
    found: str

    def __str__(self) -> str:
        return f"{self.where}: expected {self.expected}, found {self.found}"


#: A reader's shape: (value, where, faults) to the checked value.
Reader = Callable[[Any, str, list[Fault]], Any]


class _Required:
    """The type of `REQUIRED`."""

    def __repr__(self) -> str:
        return "REQUIRED"


#: Marks a field that has no default.
REQUIRED = _Required()


@dataclass(frozen=True, kw_only=True)
class Field:
    """How one member of a JSON object is read."""

    #: The reader of the member's value.
    read: Reader
    #: The value when the member is absent, or `REQUIRED`.
    default: Any = REQUIRED


def describe_value(value: object) -> str:
    """Return a short form of `value` that is safe to show in a message."""
    shown = json.dumps(value, ensure_ascii=False, default=repr)
    if len(shown) > SHOWN_CHARACTERS:
        return shown[:SHOWN_CHARACTERS] + "..."
    return shown


def describe_faults(faults: Sequence[Fault]) -> str:
    """Return all faults as one text, a line each."""
    return "\n".join(str(fault) for fault in faults)


def parse_json(text: str | bytes, where: str, faults: list[Fault]) -> object | None:
    """Return the JSON value in `text`; a syntax error becomes a fault."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        faults.append(Fault(where=where, expected="valid JSON", found=str(error)))
        return None


def _refuse(value: object, where: str, expected: str, faults: list[Fault]) -> None:
    faults.append(Fault(where=where, expected=expected, found=describe_value(value)))


def read_text(*, pattern: str = r"(?s).+", expected: str = "a text") -> Reader:
    """Return a reader of a text that matches `pattern` as a whole."""
    compiled = re.compile(pattern)

    def read(value: object, where: str, faults: list[Fault]) -> str | None:
        if isinstance(value, str) and compiled.fullmatch(value):
            return value
        return _refuse(value, where, expected, faults)

    return read


def read_address() -> Reader:
    """Return a reader of `IP:PORT`; names are refused, instances talk by number."""

    def read(value: object, where: str, faults: list[Fault]) -> str | None:
        if isinstance(value, str) and _ADDRESS.match(value):
            return value
        return _refuse(value, where, "an address IP:PORT", faults)

    return read


def read_whole(*, least: int, most: int) -> Reader:
    """Return a reader of a whole number from `least` to `most`, both included."""

    def read(value: object, where: str, faults: list[Fault]) -> int | None:
        is_whole = isinstance(value, int) and not isinstance(value, bool)
        if is_whole and least <= value <= most:
            return value
        expected = f"a whole number from {least} to {most}"
        return _refuse(value, where, expected, faults)

    return read


def read_number(*, least: float, most: float) -> Reader:
    """Return a reader of a number from `least` to `most`, both included."""

    def read(value: object, where: str, faults: list[Fault]) -> float | None:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and least <= value <= most:
            return float(value)
        expected = f"a number from {least:g} to {most:g}"
        return _refuse(value, where, expected, faults)

    return read


def read_flag() -> Reader:
    """Return a reader of `true` or `false`."""

    def read(value: object, where: str, faults: list[Fault]) -> bool | None:
        if isinstance(value, bool):
            return value
        return _refuse(value, where, "true or false", faults)

    return read


def read_one_of(choices: Mapping[str, Any]) -> Reader:
    """Return a reader of one of the keys of `choices`, giving the value behind it."""

    def read(value: object, where: str, faults: list[Fault]) -> object | None:
        if isinstance(value, str) and value in choices:
            return choices[value]
        expected = "one of " + ", ".join(sorted(choices))
        return _refuse(value, where, expected, faults)

    return read


def read_optional(reader: Reader) -> Reader:
    """Return a reader that also takes `null`."""

    def read(value: object, where: str, faults: list[Fault]) -> object | None:
        if value is None:
            return None
        return reader(value, where, faults)

    return read


def read_list_of(reader: Reader, *, least: int = 0, most: int = 100_000) -> Reader:
    """Return a reader of a list of `least` to `most` items, giving a tuple."""

    def read(value: object, where: str, faults: list[Fault]) -> tuple | None:
        if not isinstance(value, list) or not least <= len(value) <= most:
            expected = f"a list of {least} to {most} items"
            return _refuse(value, where, expected, faults)
        return tuple(
            reader(item, f"{where}[{index}]", faults)
            for index, item in enumerate(value)
        )

    return read


def read_map_of(reader: Reader, *, name: Reader) -> Reader:
    """Return a reader of an object whose keys pass `name` and values `reader`."""

    def read(value: object, where: str, faults: list[Fault]) -> dict | None:
        if not isinstance(value, dict):
            return _refuse(value, where, "an object", faults)
        checked = {}
        for key, item in value.items():
            name(key, f"{where}.{key}", faults)
            checked[key] = reader(item, f"{where}.{key}", faults)
        return checked

    return read


def read_record(make: Callable[..., Any], fields: Mapping[str, Field]) -> Reader:
    """Return a reader of an object with just the members in `fields`.

    `make` is called by keyword with the checked members, and only when none of
    them had a fault. A member that is not in `fields` is a fault.
    """

    def read(value: object, where: str, faults: list[Fault]) -> object | None:
        if not isinstance(value, dict):
            return _refuse(value, where, "an object", faults)
        already = len(faults)
        prefix = f"{where}." if where else ""
        for key in sorted(value.keys() - fields.keys()):
            expected = "no member but " + ", ".join(fields)
            faults.append(
                Fault(where=prefix + key, expected=expected, found="an unknown member")
            )
        members = {}
        for key, field in fields.items():
            if key in value:
                members[key] = field.read(value[key], prefix + key, faults)
            elif field.default is REQUIRED:
                faults.append(
                    Fault(where=prefix + key, expected="a value", found="nothing")
                )
            else:
                members[key] = field.default
        if len(faults) > already:
            return None
        return make(**members)

    return read
