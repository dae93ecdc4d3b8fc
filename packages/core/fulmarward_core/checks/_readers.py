"""Readers: functions that validate and convert a JSON value.

A reader takes the value, its path and the list that collects faults. It returns the
converted value, or `None` after adding a fault. `None` may also be a valid value, so
callers check the list of faults before they use the result.
"""

import json
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

#: Maximum length of a value that a fault quotes, in characters.
MAX_QUOTED_CHARACTERS = 60

_ADDRESS = re.compile(r"^(\[[0-9a-fA-F:]+\]|[0-9]{1,3}(\.[0-9]{1,3}){3}):[0-9]{1,5}$")


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A validation error of a JSON value, described for people."""

    #: Path of the value, such as `teams.folha.weight`.
    where: str
    #: Description of valid values.
    expected: str
    #: The value found, or a description of it.
    found: str

    def __str__(self) -> str:
        return f"{self.where}: expected {self.expected}, found {self.found}"


#: Takes (value, where, faults) and returns the converted value.
Reader = Callable[[Any, str, list[Fault]], Any]


class _Required:
    """The type of `REQUIRED`."""

    def __repr__(self) -> str:
        return "REQUIRED"


#: Marks a field that has no default.
REQUIRED = _Required()


@dataclass(frozen=True, kw_only=True)
class Field:
    """Reader and default of a member of a JSON object."""

    read: Reader
    #: Value used if the member is absent, or `REQUIRED`.
    default: Any = REQUIRED


def describe_value(value: object) -> str:
    """Return `value` as JSON, shortened for use in a message."""
    text = json.dumps(value, ensure_ascii=False, default=repr)
    if len(text) > MAX_QUOTED_CHARACTERS:
        return text[:MAX_QUOTED_CHARACTERS] + "..."
    return text


def describe_faults(faults: Sequence[Fault]) -> str:
    """Return a text with one line for each fault."""
    return "\n".join(str(fault) for fault in faults)


def parse_json(text: str | bytes, where: str, faults: list[Fault]) -> object | None:
    """Parse `text` as JSON; a syntax error is added to `faults`."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        faults.append(Fault(where=where, expected="valid JSON", found=str(error)))
        return None


def _add_fault(value: object, where: str, expected: str, faults: list[Fault]) -> None:
    faults.append(Fault(where=where, expected=expected, found=describe_value(value)))


def read_string(*, pattern: str = r"(?s).+", expected: str = "a text") -> Reader:
    """Return a reader of a string that fully matches `pattern`."""
    compiled = re.compile(pattern)

    def read(value: object, where: str, faults: list[Fault]) -> str | None:
        if isinstance(value, str) and compiled.fullmatch(value):
            return value
        return _add_fault(value, where, expected, faults)

    return read


def read_address() -> Reader:
    """Return a reader of `IP:PORT`; host names are rejected, as peers connect by IP."""

    def read(value: object, where: str, faults: list[Fault]) -> str | None:
        if isinstance(value, str) and _ADDRESS.match(value):
            return value
        return _add_fault(value, where, "an address IP:PORT", faults)

    return read


def read_integer(*, least: int, most: int) -> Reader:
    """Return a reader of an integer between `least` and `most`, inclusive."""

    def read(value: object, where: str, faults: list[Fault]) -> int | None:
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if is_integer and least <= value <= most:
            return value
        expected = f"a whole number from {least} to {most}"
        return _add_fault(value, where, expected, faults)

    return read


def read_number(*, least: float, most: float) -> Reader:
    """Return a reader of a number between `least` and `most`, inclusive."""

    def read(value: object, where: str, faults: list[Fault]) -> float | None:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and least <= value <= most:
            return float(value)
        expected = f"a number from {least:g} to {most:g}"
        return _add_fault(value, where, expected, faults)

    return read


def read_boolean() -> Reader:
    """Return a reader of `true` or `false`."""

    def read(value: object, where: str, faults: list[Fault]) -> bool | None:
        if isinstance(value, bool):
            return value
        return _add_fault(value, where, "true or false", faults)

    return read


def read_one_of(choices: Mapping[str, Any]) -> Reader:
    """Return a reader that maps a key of `choices` to its value."""

    def read(value: object, where: str, faults: list[Fault]) -> object | None:
        if isinstance(value, str) and value in choices:
            return choices[value]
        expected = "one of " + ", ".join(sorted(choices))
        return _add_fault(value, where, expected, faults)

    return read


def read_optional(reader: Reader) -> Reader:
    """Return a reader that also accepts `null`."""

    def read(value: object, where: str, faults: list[Fault]) -> object | None:
        if value is None:
            return None
        return reader(value, where, faults)

    return read


def read_list_of(reader: Reader, *, least: int = 0, most: int = 100_000) -> Reader:
    """Return a reader of a list of `least` to `most` items, converted to a tuple."""

    def read(value: object, where: str, faults: list[Fault]) -> tuple | None:
        if not isinstance(value, list) or not least <= len(value) <= most:
            expected = f"a list of {least} to {most} items"
            return _add_fault(value, where, expected, faults)
        return tuple(
            reader(item, f"{where}[{index}]", faults)
            for index, item in enumerate(value)
        )

    return read


def read_map_of(reader: Reader, *, name: Reader) -> Reader:
    """Return a reader of an object; `name` reads its keys and `reader` its values."""

    def read(value: object, where: str, faults: list[Fault]) -> dict | None:
        if not isinstance(value, dict):
            return _add_fault(value, where, "an object", faults)
        converted = {}
        for key, item in value.items():
            name(key, f"{where}.{key}", faults)
            converted[key] = reader(item, f"{where}.{key}", faults)
        return converted

    return read


def read_record(make: Callable[..., Any], fields: Mapping[str, Field]) -> Reader:
    """Return a reader of an object whose members are given by `fields`.

    `make` is called with the converted members as keyword arguments if none of them
    has a fault. A member that is not in `fields` is a fault.
    """

    def read(value: object, where: str, faults: list[Fault]) -> object | None:
        if not isinstance(value, dict):
            return _add_fault(value, where, "an object", faults)
        previous_faults = len(faults)
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
        if len(faults) > previous_faults:
            return None
        return make(**members)

    return read
