"""Messages to CBOR and back, with every field checked against its type."""

import dataclasses
import types
import typing
from collections.abc import Callable, Sequence
from enum import Enum
from functools import cache, partial
from operator import attrgetter
from typing import Any

import cbor2
import msgspec

#: What CBOR has a type of its own for, besides those of JSON.
_NATIVE_TYPES = (bytes,)


class MessageFault(Exception):
    """Bytes that are no message of ours."""


class Message(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    forbid_unknown_fields=True,
):
    """A message whose fields are checked and built outside of Python.

    For kinds that arrive often or are large; data classes serve for all others. On the
    wire both are the same: the fields in order, without their names.
    """


class MessageCodec:
    """Packs the messages of one protocol; a message's number is its place."""

    def __init__(self, *, messages: Sequence[type]) -> None:
        self._messages = tuple(messages)
        self._numbers = {kind: number for number, kind in enumerate(self._messages)}

    def encode(self, message: object) -> bytes:
        """Return a message as CBOR: its number, then its fields in order."""
        kind = type(message)
        return cbor2.dumps([self._numbers[kind], *_make_packer(kind)(message)])

    def decode(self, data: bytes) -> object:
        """Return the message in `data`; raises `MessageFault`."""
        try:
            items = cbor2.loads(data)
        except (cbor2.CBORDecodeError, UnicodeDecodeError) as error:
            raise MessageFault(f"expected CBOR, found {error}") from error
        if not isinstance(items, list) or not items or type(items[0]) is not int:
            raise MessageFault("expected a list that begins with a number")
        if not 0 <= items[0] < len(self._messages):
            raise MessageFault(f"expected a message number, found {items[0]}")
        return _make_unpacker(self._messages[items[0]])(items[1:])


_Packer = Callable[[Any], Any]
_Unpacker = Callable[[Any], Any]


def _is_message(kind: Any) -> bool:  # noqa: ANN401
    return isinstance(kind, type) and issubclass(kind, Message)


def _keep(value: Any) -> Any:  # noqa: ANN401
    return value


@cache
def _make_packer(kind: Any) -> _Packer:  # noqa: ANN401
    """Return what turns a value of `kind` into plain lists, texts and numbers."""
    if _is_message(kind):
        return partial(msgspec.to_builtins, builtin_types=_NATIVE_TYPES)
    if dataclasses.is_dataclass(kind):
        return _make_fields_packer(kind)
    origin = typing.get_origin(kind)
    if origin is tuple:
        return _make_tuple_packer(typing.get_args(kind))
    if origin is types.UnionType:
        pack_some = _make_packer(typing.get_args(kind)[0])
        if pack_some is _keep:
            return _keep
        return lambda value: None if value is None else pack_some(value)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return attrgetter("value")
    return _keep


def _make_fields_packer(kind: type) -> _Packer:
    """Return what packs a data class: all its fields at once, then the few that are
    not plain.
    """
    read_fields = _find_reader(kind)
    if read_fields is not None:
        return lambda value: list(read_fields(value))
    fields = [(name, _make_packer(its)) for name, its in _list_types(kind)]
    return lambda value: [
        getattr(value, name) if pack is _keep else pack(getattr(value, name))
        for name, pack in fields
    ]


def _find_reader(kind: Any) -> _Packer | None:  # noqa: ANN401
    """Return what reads all fields of a data class whose fields are plain, else `None`.

    It is no function of Python, and calls none: a heartbeat tells of dozens of loads.
    """
    if not dataclasses.is_dataclass(kind):
        return None
    names = [name for name, _ in _list_types(kind)]
    is_plain = all(_make_packer(its) is _keep for _, its in _list_types(kind))
    return attrgetter(*names) if is_plain and len(names) > 1 else None


def _make_tuple_packer(kinds: tuple) -> _Packer:
    packers = [_make_packer(its) for its in kinds if its is not Ellipsis]
    if all(pack is _keep for pack in packers):
        return _keep
    if kinds[-1] is not Ellipsis:
        return lambda value: [
            pack(item) for pack, item in zip(packers, value, strict=True)
        ]
    read_fields = _find_reader(kinds[0])
    if read_fields is not None:
        return lambda value: list(map(list, map(read_fields, value)))
    pack_item = packers[0]
    return lambda value: [pack_item(item) for item in value]


@cache
def _list_types(kind: type) -> tuple[tuple[str, Any], ...]:
    hints = typing.get_type_hints(kind)
    return tuple((item.name, hints[item.name]) for item in dataclasses.fields(kind))


@cache
def _make_unpacker(kind: Any) -> _Unpacker:  # noqa: ANN401
    """Return what checks a plain value and turns it into one of `kind`.

    The kinds are those that messages use. Made once for each kind: a heartbeat has
    hundreds of fields, and looking at their types each time took three quarters of
    the time that it takes to read one.
    """
    if _is_message(kind):
        return _make_message_unpacker(kind)
    if dataclasses.is_dataclass(kind):
        return _make_fields_unpacker(kind)
    origin = typing.get_origin(kind)
    if origin is tuple:
        return _make_tuple_unpacker(typing.get_args(kind))
    if origin is types.UnionType:
        unpack_some = _make_unpacker(typing.get_args(kind)[0])
        return lambda value: None if value is None else unpack_some(value)
    if issubclass(kind, Enum):
        return lambda value: _unpack_enum(kind, value)
    return lambda value: _unpack_plain(kind, value)


def _make_message_unpacker(kind: type[Message]) -> _Unpacker:
    def unpack(value: Any) -> Message:  # noqa: ANN401
        try:
            return msgspec.convert(value, kind, builtin_types=_NATIVE_TYPES)
        except msgspec.ValidationError as error:
            raise MessageFault(f"expected {kind.__name__}: {error}") from error

    return unpack


def _unpack_plain(kind: type, value: Any) -> Any:  # noqa: ANN401
    if type(value) is kind:
        return value
    if type(value) is int and kind is float:
        return float(value)
    raise MessageFault(f"expected {kind.__name__}, found {type(value).__name__}")


def _make_fields_unpacker(kind: type) -> _Unpacker:
    names = [name for name, _ in _list_types(kind)]
    kinds = [its for _, its in _list_types(kind)]
    unpackers = [_make_unpacker(its) for its in kinds]

    def unpack(value: Any) -> Any:  # noqa: ANN401
        if not isinstance(value, list) or len(value) != len(names):
            raise MessageFault(f"expected the {len(names)} fields of {kind.__name__}")
        # Only plain kinds are the types of their values: nothing is left to unpack.
        if list(map(type, value)) != kinds:
            value = [its(item) for its, item in zip(unpackers, value, strict=True)]
        return kind(**dict(zip(names, value, strict=True)))

    return unpack


def _make_tuple_unpacker(kinds: tuple) -> _Unpacker:
    if kinds[-1] is Ellipsis:
        unpack_item = _make_unpacker(kinds[0])

        def unpack_any(value: Any) -> tuple:  # noqa: ANN401
            if not isinstance(value, list):
                raise MessageFault(f"expected a list, found {type(value).__name__}")
            return tuple([unpack_item(item) for item in value])

        return unpack_any
    unpackers = [_make_unpacker(its) for its in kinds]

    def unpack(value: Any) -> tuple:  # noqa: ANN401
        if not isinstance(value, list):
            raise MessageFault(f"expected a list, found {type(value).__name__}")
        if len(unpackers) != len(value):
            raise MessageFault(f"expected {len(unpackers)} items, found {len(value)}")
        return tuple([its(item) for its, item in zip(unpackers, value, strict=True)])

    return unpack


def _unpack_enum(kind: type[Enum], value: Any) -> Enum:  # noqa: ANN401
    try:
        return kind(value)
    except ValueError as error:
        raise MessageFault(f"expected a {kind.__name__}, found {value!r}") from error
