"""Encodes messages as CBOR, and decodes them with a type check of every field."""

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

#: Items that a message with as many arrays and maps may have. An empty array has one
#: byte, and takes 64 bytes of memory once it is decoded.
MAX_ITEMS = 1 << 18

#: First bytes of arrays and maps, in CBOR.
_CONTAINER_HEADS = bytes(range(0x80, 0xC0))

#: Bytes that follow the first one of an item to hold its length, by the low 5 bits.
_LENGTH_BYTES = {24: 1, 25: 2, 26: 4, 27: 8}

#: Major types of CBOR whose content follows as bytes: byte strings and texts.
_STRING_TYPES = (2, 3)

#: The low 5 bits of an item whose end is marked in place of a length.
_NO_LENGTH = 31

#: Types beyond those of JSON that CBOR represents directly.
_NATIVE_TYPES = (bytes,)


class InvalidMessageError(Exception):
    """The received bytes are no valid message of the protocol."""


class OversizedMessageError(InvalidMessageError):
    """The received bytes have more items than any message of any release."""


class Message(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    forbid_unknown_fields=True,
):
    """Base class of messages that msgspec validates and builds in native code.

    It is meant for frequent or large messages; all others are data classes. Both have
    the same encoding: the fields in order, without their names.
    """


class MessageCodec:
    """Encodes the messages of a protocol, numbered by their position in `messages`."""

    def __init__(self, *, messages: Sequence[type]) -> None:
        self._messages = tuple(messages)
        self._numbers = {kind: number for number, kind in enumerate(self._messages)}

    def encode(self, message: object) -> bytes:
        """Encode a message as CBOR: its number followed by its fields in order."""
        kind = type(message)
        return cbor2.dumps([self._numbers[kind], *_make_packer(kind)(message)])

    def decode(self, data: bytes) -> object:
        """Decode the message in `data`.

        Raises `InvalidMessageError` if it is invalid, `OversizedMessageError` if it has
        too many items.
        """
        if not isinstance(data, bytes):
            raise InvalidMessageError(f"expected bytes, found {type(data).__name__}")
        if is_oversized(data):
            raise OversizedMessageError(f"expected at most {MAX_ITEMS} items")
        try:
            items = cbor2.loads(data)
        except (cbor2.CBORDecodeError, UnicodeDecodeError) as error:
            raise InvalidMessageError(f"expected CBOR, found {error}") from error
        if not isinstance(items, list) or not items or type(items[0]) is not int:
            raise InvalidMessageError("expected a list that begins with a number")
        if not 0 <= items[0] < len(self._messages):
            raise InvalidMessageError(
                f"expected a message number under {len(self._messages)}"
            )
        return _make_unpacker(self._messages[items[0]])(items[1:])


def is_oversized(data: bytes) -> bool:
    """Return whether encoded CBOR has too many items, without decoding it.

    The items are only counted if there are as many bytes that may begin an array or a
    map: in few messages of that size there are, and in most of these within strings.
    """
    size = len(data)
    if size - len(data.translate(None, _CONTAINER_HEADS)) <= MAX_ITEMS:
        return False
    position, count = 0, 0
    while position < size and count <= MAX_ITEMS:
        major, info = data[position] >> 5, data[position] & 31
        position += 1
        count += 1
        if info < 24:
            length = info
        else:
            end = position + _LENGTH_BYTES.get(info, 0)
            length = int.from_bytes(data[position:end], "big")
            position = end
        if major in _STRING_TYPES and info != _NO_LENGTH:
            position += length
    return count > MAX_ITEMS


_Packer = Callable[[Any], Any]
_Unpacker = Callable[[Any], Any]


def _is_message(kind: Any) -> bool:  # noqa: ANN401
    return isinstance(kind, type) and issubclass(kind, Message)


def _return_unchanged(value: Any) -> Any:  # noqa: ANN401
    return value


@cache
def _make_packer(kind: Any) -> _Packer:  # noqa: ANN401
    """Return a function that converts a value of `kind` to what cbor2 can encode."""
    if _is_message(kind):
        return partial(msgspec.to_builtins, builtin_types=_NATIVE_TYPES)
    if dataclasses.is_dataclass(kind):
        return _make_fields_packer(kind)
    origin = typing.get_origin(kind)
    if origin is tuple:
        return _make_tuple_packer(typing.get_args(kind))
    if origin is types.UnionType:
        pack_value = _make_packer(typing.get_args(kind)[0])
        if pack_value is _return_unchanged:
            return _return_unchanged
        return lambda value: None if value is None else pack_value(value)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return attrgetter("value")
    return _return_unchanged


def _make_fields_packer(kind: type) -> _Packer:
    """Return a function that converts a data class to the list of its fields."""
    get_fields = _make_field_getter(kind)
    if get_fields is not None:
        return lambda value: list(get_fields(value))
    fields = [
        (name, _make_packer(field_kind)) for name, field_kind in _list_types(kind)
    ]
    return lambda value: [
        getattr(value, name)
        if pack is _return_unchanged
        else pack(getattr(value, name))
        for name, pack in fields
    ]


def _make_field_getter(kind: Any) -> _Packer | None:  # noqa: ANN401
    """Return a getter of all fields of a data class, or `None` if some need packing.

    The getter is implemented in C and calls no Python function, because a heartbeat
    holds dozens of loads.
    """
    if not dataclasses.is_dataclass(kind):
        return None
    names = [name for name, _ in _list_types(kind)]
    is_plain = all(
        _make_packer(field_kind) is _return_unchanged
        for _, field_kind in _list_types(kind)
    )
    return attrgetter(*names) if is_plain and len(names) > 1 else None


def _make_tuple_packer(kinds: tuple) -> _Packer:
    packers = [
        _make_packer(item_kind) for item_kind in kinds if item_kind is not Ellipsis
    ]
    if all(pack is _return_unchanged for pack in packers):
        return _return_unchanged
    if kinds[-1] is not Ellipsis:
        return lambda value: [
            pack(item) for pack, item in zip(packers, value, strict=True)
        ]
    get_fields = _make_field_getter(kinds[0])
    if get_fields is not None:
        return lambda value: list(map(list, map(get_fields, value)))
    pack_item = packers[0]
    return lambda value: [pack_item(item) for item in value]


@cache
def _list_types(kind: type) -> tuple[tuple[str, Any], ...]:
    hints = typing.get_type_hints(kind)
    return tuple((item.name, hints[item.name]) for item in dataclasses.fields(kind))


@cache
def _make_unpacker(kind: Any) -> _Unpacker:  # noqa: ANN401
    """Return a function that validates a decoded value and converts it to `kind`.

    Only types that messages use are supported. The function is cached for each type:
    a heartbeat has hundreds of fields, and inspecting their types every time took three
    quarters of the time for reading one.
    """
    if _is_message(kind):
        return _make_message_unpacker(kind)
    if dataclasses.is_dataclass(kind):
        return _make_fields_unpacker(kind)
    origin = typing.get_origin(kind)
    if origin is tuple:
        return _make_tuple_unpacker(typing.get_args(kind))
    if origin is types.UnionType:
        unpack_value = _make_unpacker(typing.get_args(kind)[0])
        return lambda value: None if value is None else unpack_value(value)
    if issubclass(kind, Enum):
        return lambda value: _unpack_enum(kind, value)
    return lambda value: _unpack_plain(kind, value)


def _make_message_unpacker(kind: type[Message]) -> _Unpacker:
    def unpack(value: Any) -> Message:  # noqa: ANN401
        try:
            return msgspec.convert(value, kind, builtin_types=_NATIVE_TYPES)
        except msgspec.ValidationError as error:
            raise InvalidMessageError(f"expected {kind.__name__}: {error}") from error

    return unpack


def _unpack_plain(kind: type, value: Any) -> Any:  # noqa: ANN401
    if type(value) is kind:
        return value
    if type(value) is int and kind is float:
        return float(value)
    raise InvalidMessageError(f"expected {kind.__name__}, found {type(value).__name__}")


def _make_fields_unpacker(kind: type) -> _Unpacker:
    names = [name for name, _ in _list_types(kind)]
    kinds = [field_kind for _, field_kind in _list_types(kind)]
    unpackers = [_make_unpacker(field_kind) for field_kind in kinds]

    def unpack(value: Any) -> Any:  # noqa: ANN401
        if not isinstance(value, list) or len(value) != len(names):
            raise InvalidMessageError(
                f"expected the {len(names)} fields of {kind.__name__}"
            )
        # A value whose type is the annotation itself is plain and needs no unpacking.
        if list(map(type, value)) != kinds:
            value = [
                unpacker(item) for unpacker, item in zip(unpackers, value, strict=True)
            ]
        return kind(**dict(zip(names, value, strict=True)))

    return unpack


def _make_tuple_unpacker(kinds: tuple) -> _Unpacker:
    if kinds[-1] is Ellipsis:
        unpack_item = _make_unpacker(kinds[0])

        def unpack_list(value: Any) -> tuple:  # noqa: ANN401
            if not isinstance(value, list):
                raise InvalidMessageError(
                    f"expected a list, found {type(value).__name__}"
                )
            return tuple([unpack_item(item) for item in value])

        return unpack_list
    unpackers = [_make_unpacker(item_kind) for item_kind in kinds]

    def unpack(value: Any) -> tuple:  # noqa: ANN401
        if not isinstance(value, list):
            raise InvalidMessageError(f"expected a list, found {type(value).__name__}")
        if len(unpackers) != len(value):
            raise InvalidMessageError(
                f"expected {len(unpackers)} items, found {len(value)}"
            )
        return tuple(
            [unpacker(item) for unpacker, item in zip(unpackers, value, strict=True)]
        )

    return unpack


def _unpack_enum(kind: type[Enum], value: Any) -> Enum:  # noqa: ANN401
    try:
        return kind(value)
    except ValueError as error:
        raise InvalidMessageError(
            f"expected a {kind.__name__}, found {value!r}"
        ) from error
