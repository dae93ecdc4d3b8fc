import dataclasses
import unittest
from dataclasses import dataclass
from enum import Enum

import cbor2
from hypothesis import given, strategies as st

from fulmarward_core.codec import InvalidMessageError, Message, MessageCodec
from fulmarward_core.codec.tests.calls import count_calls


class Level(Enum):
    LOW = "calm"
    HIGH = "busy"


@dataclass(frozen=True, kw_only=True)
class Load:
    target: str
    kv: int
    running: int
    first_running: int


@dataclass(frozen=True, kw_only=True)
class Sample:
    sender: Load
    is_ready: bool
    part: float
    level: Level
    value: bytes | None
    optional_load: Load | None
    pair: tuple[str, int]
    names: tuple[str, ...]
    loads: tuple[Load, ...]


@dataclass(frozen=True, kw_only=True)
class SingleField:
    name: str


@dataclass(frozen=True, kw_only=True)
class Empty:
    pass


class LoadMessage(Message, kw_only=True):
    target: str
    kv: int
    running: int
    first_running: int


class SampleMessage(Message, kw_only=True):
    sender: LoadMessage
    is_ready: bool
    part: float
    level: Level
    value: bytes | None
    optional_load: LoadMessage | None
    pair: tuple[str, int]
    names: tuple[str, ...]
    loads: tuple[LoadMessage, ...]


class SingleFieldMessage(Message, kw_only=True):
    name: str


class EmptyMessage(Message, kw_only=True):
    pass


_CODEC = MessageCodec(messages=(Sample, SingleField, Empty, Load))
_MESSAGE_CODEC = MessageCodec(
    messages=(SampleMessage, SingleFieldMessage, EmptyMessage, LoadMessage)
)

_LOADS = st.builds(
    Load,
    target=st.text(max_size=8),
    kv=st.integers(0, 1 << 40),
    running=st.integers(0, 99),
    first_running=st.integers(0, 99),
)
_SAMPLES = st.builds(
    Sample,
    sender=_LOADS,
    is_ready=st.booleans(),
    part=st.floats(allow_nan=False),
    level=st.sampled_from(Level),
    value=st.none() | st.binary(max_size=8),
    optional_load=st.none() | _LOADS,
    pair=st.tuples(st.text(max_size=4), st.integers(0, 9)),
    names=st.lists(st.text(max_size=4), max_size=4).map(tuple),
    loads=st.lists(_LOADS, max_size=4).map(tuple),
)
_MESSAGES = st.one_of(
    _SAMPLES, _LOADS, st.builds(SingleField, name=st.text(max_size=4)), st.just(Empty())
)
_PLAIN = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-9, 9)
    | st.floats()
    | st.text(max_size=3)
    | st.binary(max_size=3),
    lambda items: st.lists(items, max_size=9),
    max_leaves=12,
)


def _pack_expected(value):
    """Return the expected encoding of a value, built field by field."""
    if isinstance(value, Message):
        names = value.__struct_fields__
        return [_pack_expected(getattr(value, name)) for name in names]
    if dataclasses.is_dataclass(value):
        fields = dataclasses.fields(value)
        return [_pack_expected(getattr(value, field.name)) for field in fields]
    if isinstance(value, tuple):
        return [_pack_expected(item) for item in value]
    return value.value if isinstance(value, Enum) else value


def _make_load(**changes):
    values = {"target": "t", "kv": 1, "running": 1, "first_running": 0, **changes}
    return Load(**values)


class MessageCodecTest(unittest.TestCase):
    @given(_MESSAGES)
    def test_encoding_lists_the_fields_in_order(self, message):
        number = (Sample, SingleField, Empty, Load).index(type(message))
        data = _CODEC.encode(message)
        self.assertEqual(data, cbor2.dumps([number, *_pack_expected(message)]))
        self.assertEqual(_CODEC.decode(data), message)

    @given(_SAMPLES, st.data())
    def test_field_of_another_type_is_rejected(self, sample, data):
        # Peers are not trusted: a field with a value of the wrong type makes the whole
        # message invalid.
        items = _pack_expected(sample)
        index = data.draw(st.integers(0, len(items) - 1))
        items[index] = data.draw(_PLAIN)
        try:
            read = _CODEC.decode(cbor2.dumps([0, *items]))
        except InvalidMessageError:
            return
        self.assertEqual(len(_pack_expected(read)), len(items))
        for field, item in zip(dataclasses.fields(Sample), items, strict=True):
            value = _pack_expected(getattr(read, field.name))
            if isinstance(value, float) and value != value:
                continue
            self.assertEqual(value, item)
            has_same_type = type(value) is type(item) or type(value) is float
            self.assertTrue(has_same_type, (value, item))

    def test_fields_of_wrong_types_are_rejected(self):
        cases = [
            ("too few", [3, "t", 1, 1]),
            ("too many", [3, "t", 1, 1, 0, 0]),
            ("bool for an integer", [3, "t", True, 1, 0]),
            ("integer for a string", [3, 7, 1, 1, 0]),
            ("float for an integer", [3, "t", 1.0, 1, 0]),
            ("none for an integer", [3, "t", None, 1, 0]),
            ("list for a string", [1, ["a"]]),
            ("unexpected field", [2, 1]),
        ]
        for name, items in cases:
            with self.subTest(name), self.assertRaises(InvalidMessageError):
                _CODEC.decode(cbor2.dumps(items))

    def test_integer_is_accepted_for_a_float(self):
        sample = _pack_expected(_make_sample())
        sample[2] = 3
        read = _CODEC.decode(cbor2.dumps([0, *sample]))
        self.assertIs(type(read.part), float)

    def test_loads_of_a_heartbeat_need_few_calls(self):
        # Guards against a Python call for each field of each load. A heartbeat holds
        # the loads of some 60 targets, and an instance reads one from each peer three
        # times a second. Profiles of a fleet of 79 showed that these calls were a
        # fifth of all calls of an instance, and more at a hub.
        loads = tuple(_make_load(target=f"t{index}") for index in range(60))
        sample = dataclasses.replace(_make_sample(), loads=loads)
        data = _CODEC.encode(sample)
        self.assertEqual(_CODEC.decode(data), sample)
        # cbor2 makes one call for each list to determine its type.
        self.assertLess(count_calls(lambda: _CODEC.encode(sample)), 2 * len(loads))
        self.assertLess(count_calls(lambda: _CODEC.decode(data)), 3 * len(loads))


class MessageClassTest(unittest.TestCase):
    """A message class has the same encoding as a data class with equal fields."""

    @given(_MESSAGES)
    def test_both_encode_the_same_bytes(self, message):
        data = _CODEC.encode(message)
        read = _MESSAGE_CODEC.decode(data)
        self.assertEqual(_pack_expected(read), _pack_expected(message))
        self.assertEqual(_MESSAGE_CODEC.encode(read), data)

    @given(_SAMPLES, st.data())
    def test_both_reject_the_same_bytes(self, sample, data):
        """Guards against a field of the wrong type that only one of both accepts."""
        items = _pack_expected(sample)
        index = data.draw(st.integers(0, len(items) - 1))
        items[index] = data.draw(_PLAIN)
        self._assert_same_result([0, *items])

    def test_both_reject_wrong_types(self):
        for items in (
            [3, "t", 1, 1],
            [3, "t", 1, 1, 0, 0],
            [3, "t", True, 1, 0],
            [3, 7, 1, 1, 0],
            [3, "t", 1.0, 1, 0],
            [3, "t", None, 1, 0],
            [3, "t", "1", 1, 0],
            [1, ["a"]],
            [1, b"a"],
            [2, 1],
            [4],
        ):
            with self.subTest(items):
                self._assert_same_result(items)
                with self.assertRaises(InvalidMessageError):
                    _MESSAGE_CODEC.decode(cbor2.dumps(items))

    def _assert_same_result(self, items):
        read = []
        for codec in (_CODEC, _MESSAGE_CODEC):
            try:
                read.append(repr(_pack_expected(codec.decode(cbor2.dumps(items)))))
            except InvalidMessageError:
                read.append(None)
        self.assertEqual(*read)

    def test_fields_need_no_calls(self):
        """Guards against a Python call for each field of a heartbeat."""
        loads = tuple(
            LoadMessage(target=f"t{index}", kv=1, running=1, first_running=0)
            for index in range(60)
        )
        data = cbor2.dumps(
            [0, *_pack_expected(_make_sample())[:-1], _pack_expected(loads)]
        )
        sample = _MESSAGE_CODEC.decode(data)
        self.assertEqual(sample.loads, loads)
        codec_calls = count_calls(lambda: _MESSAGE_CODEC.decode(data))
        library_calls = count_calls(lambda: cbor2.loads(data))
        self.assertLess(codec_calls - library_calls, 10)


def _make_sample():
    return Sample(
        sender=_make_load(),
        is_ready=True,
        part=0.5,
        level=Level.LOW,
        value=None,
        optional_load=None,
        pair=("a", 1),
        names=("b",),
        loads=(),
    )
