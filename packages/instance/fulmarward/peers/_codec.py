"""Messages to CBOR and back, with every field checked against its type."""

import dataclasses
import types
import typing
from enum import Enum
from functools import cache
from typing import Any

import cbor2

from fulmarward.peers._messages import MESSAGES

_NUMBERS = {message: number for number, message in enumerate(MESSAGES)}


class MessageFault(Exception):
    """Bytes that are no message of ours."""


def encode_message(message: object) -> bytes:
    """Return a message as CBOR: its number, then its fields in order."""
    return cbor2.dumps([_NUMBERS[type(message)], *_pack(message)])


def decode_message(data: bytes) -> object:
    """Return the message in `data`; raises `MessageFault`."""
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, UnicodeDecodeError) as error:
        raise MessageFault(f"expected CBOR, found {error}") from error
    if not isinstance(items, list) or not items or type(items[0]) is not int:
        raise MessageFault("expected a list that begins with a number")
    if not 0 <= items[0] < len(MESSAGES):
        raise MessageFault(f"expected a message number, found {items[0]}")
    return _unpack(MESSAGES[items[0]], items[1:])


def _pack(value: object) -> Any:  # noqa: ANN401
    if dataclasses.is_dataclass(value):
        return [_pack(getattr(value, item.name)) for item in dataclasses.fields(value)]
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_pack(item) for item in value]
    return value


@cache
def _list_types(kind: type) -> tuple[tuple[str, Any], ...]:
    hints = typing.get_type_hints(kind)
    return tuple((item.name, hints[item.name]) for item in dataclasses.fields(kind))


def _unpack(kind: Any, value: Any) -> Any:  # noqa: ANN401
    """Return `value` as `kind`; the kinds are those that messages use."""
    if dataclasses.is_dataclass(kind):
        return _unpack_fields(kind, value)
    origin = typing.get_origin(kind)
    if origin is tuple:
        return _unpack_tuple(typing.get_args(kind), value)
    if origin is types.UnionType:
        if value is None:
            return None
        return _unpack(typing.get_args(kind)[0], value)
    if issubclass(kind, Enum):
        return _unpack_enum(kind, value)
    if type(value) is int and kind is float:
        return float(value)
    if type(value) is not kind:
        raise MessageFault(f"expected {kind.__name__}, found {type(value).__name__}")
    return value


def _unpack_fields(kind: type, value: Any) -> Any:  # noqa: ANN401
    fields = _list_types(kind)
    if not isinstance(value, list) or len(value) != len(fields):
        raise MessageFault(f"expected the {len(fields)} fields of {kind.__name__}")
    return kind(
        **{
            name: _unpack(its_kind, item)
            for (name, its_kind), item in zip(fields, value, strict=True)
        }
    )


def _unpack_tuple(kinds: tuple, value: Any) -> tuple:  # noqa: ANN401
    if not isinstance(value, list):
        raise MessageFault(f"expected a list, found {type(value).__name__}")
    if kinds[-1] is Ellipsis:
        return tuple(_unpack(kinds[0], item) for item in value)
    if len(kinds) != len(value):
        raise MessageFault(f"expected {len(kinds)} items, found {len(value)}")
    return tuple(_unpack(kind, item) for kind, item in zip(kinds, value, strict=True))


def _unpack_enum(kind: type[Enum], value: Any) -> Enum:  # noqa: ANN401
    try:
        return kind(value)
    except ValueError as error:
        raise MessageFault(f"expected a {kind.__name__}, found {value!r}") from error
