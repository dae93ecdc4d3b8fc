import dataclasses
import unittest
from dataclasses import dataclass
from enum import Enum

import cbor2
from hypothesis import given, strategies as st

from fulmarward_core.codec import Message, MessageCodec, MessageFault
from fulmarward_core.codec.tests.calls import count_calls


class Mood(Enum):
    CALM = "calm"
    BUSY = "busy"


@dataclass(frozen=True, kw_only=True)
class Load:
    target: str
    kv: int
    running: int
    first_running: int


@dataclass(frozen=True, kw_only=True)
class Word:
    sender: Load
    is_ready: bool
    part: float
    mood: Mood
    value: bytes | None
    maybe: Load | None
    pair: tuple[str, int]
    names: tuple[str, ...]
    loads: tuple[Load, ...]


@dataclass(frozen=True, kw_only=True)
class One:
    name: str


@dataclass(frozen=True, kw_only=True)
class Empty:
    pass


class LoadMessage(Message, kw_only=True):
    target: str
    kv: int
    running: int
    first_running: int


class WordMessage(Message, kw_only=True):
    sender: LoadMessage
    is_ready: bool
    part: float
    mood: Mood
    value: bytes | None
    maybe: LoadMessage | None
    pair: tuple[str, int]
    names: tuple[str, ...]
    loads: tuple[LoadMessage, ...]


class OneMessage(Message, kw_only=True):
    name: str


class EmptyMessage(Message, kw_only=True):
    pass


_CODEC = MessageCodec(messages=(Word, One, Empty, Load))
_MESSAGE_CODEC = MessageCodec(
    messages=(WordMessage, OneMessage, EmptyMessage, LoadMessage)
)

_LOADS = st.builds(
    Load,
    target=st.text(max_size=8),
    kv=st.integers(0, 1 << 40),
    running=st.integers(0, 99),
    first_running=st.integers(0, 99),
)
_WORDS = st.builds(
    Word,
    sender=_LOADS,
    is_ready=st.booleans(),
    part=st.floats(allow_nan=False),
    mood=st.sampled_from(Mood),
    value=st.none() | st.binary(max_size=8),
    maybe=st.none() | _LOADS,
    pair=st.tuples(st.text(max_size=4), st.integers(0, 9)),
    names=st.lists(st.text(max_size=4), max_size=4).map(tuple),
    loads=st.lists(_LOADS, max_size=4).map(tuple),
)
_MESSAGES = st.one_of(
    _WORDS, _LOADS, st.builds(One, name=st.text(max_size=4)), st.just(Empty())
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


def _pack_plainly(value):
    """Return what a value is on the wire, field by field."""
    if isinstance(value, Message):
        names = value.__struct_fields__
        return [_pack_plainly(getattr(value, name)) for name in names]
    if dataclasses.is_dataclass(value):
        fields = dataclasses.fields(value)
        return [_pack_plainly(getattr(value, field.name)) for field in fields]
    if isinstance(value, tuple):
        return [_pack_plainly(item) for item in value]
    return value.value if isinstance(value, Enum) else value


def _make_load(**changes):
    values = {"target": "t", "kv": 1, "running": 1, "first_running": 0, **changes}
    return Load(**values)


class MessageCodecTest(unittest.TestCase):
    @given(_MESSAGES)
    def test_what_is_packed_is_what_each_field_says(self, message):
        number = (Word, One, Empty, Load).index(type(message))
        data = _CODEC.encode(message)
        self.assertEqual(data, cbor2.dumps([number, *_pack_plainly(message)]))
        self.assertEqual(_CODEC.decode(data), message)

    @given(_WORDS, st.data())
    def test_a_field_of_another_kind_is_no_message(self, word, data):
        # What a peer sends is not trusted: one field of a kind that it may not have
        # makes the whole message none.
        items = _pack_plainly(word)
        place = data.draw(st.integers(0, len(items) - 1))
        items[place] = data.draw(_PLAIN)
        try:
            read = _CODEC.decode(cbor2.dumps([0, *items]))
        except MessageFault:
            return
        self.assertEqual(len(_pack_plainly(read)), len(items))
        for field, item in zip(dataclasses.fields(Word), items, strict=True):
            value = _pack_plainly(getattr(read, field.name))
            if isinstance(value, float) and value != value:
                continue
            self.assertEqual(value, item)
            same_kind = type(value) is type(item) or type(value) is float
            self.assertTrue(same_kind, (value, item))

    def test_fields_of_wrong_kinds_are_told(self):
        cases = [
            ("too few", [3, "t", 1, 1]),
            ("too many", [3, "t", 1, 1, 0, 0]),
            ("bool for a number", [3, "t", True, 1, 0]),
            ("number for a text", [3, 7, 1, 1, 0]),
            ("part for a number", [3, "t", 1.0, 1, 0]),
            ("none for a number", [3, "t", None, 1, 0]),
            ("no list", [1, ["a"]]),
            ("field for none", [2, 1]),
        ]
        for name, items in cases:
            with self.subTest(name), self.assertRaises(MessageFault):
                _CODEC.decode(cbor2.dumps(items))

    def test_whole_number_is_taken_for_a_part(self):
        word = _pack_plainly(_make_word())
        word[2] = 3
        read = _CODEC.decode(cbor2.dumps([0, *word]))
        self.assertIs(type(read.part), float)

    def test_loads_of_a_heartbeat_cost_few_calls(self):
        # A heartbeat tells of some sixty targets, and an instance reads one of each
        # peer three times a second. Processor time went into messages: a call for each
        # field of each load was a fifth of all calls of an instance, and more at a
        # hub, as samples of instances in a fleet of 79 showed.
        loads = tuple(_make_load(target=f"t{place}") for place in range(60))
        word = dataclasses.replace(_make_word(), loads=loads)
        data = _CODEC.encode(word)
        self.assertEqual(_CODEC.decode(data), word)
        # The library asks for the type of each list by one call.
        self.assertLess(count_calls(lambda: _CODEC.encode(word)), 2 * len(loads))
        self.assertLess(count_calls(lambda: _CODEC.decode(data)), 3 * len(loads))


class MessageClassTest(unittest.TestCase):
    """A message class is on the wire what a data class with its fields is."""

    @given(_MESSAGES)
    def test_both_write_the_same_bytes(self, message):
        data = _CODEC.encode(message)
        read = _MESSAGE_CODEC.decode(data)
        self.assertEqual(_pack_plainly(read), _pack_plainly(message))
        self.assertEqual(_MESSAGE_CODEC.encode(read), data)

    @given(_WORDS, st.data())
    def test_both_refuse_the_same_bytes(self, word, data):
        """Guards against a field of another kind that one of both lets pass."""
        items = _pack_plainly(word)
        place = data.draw(st.integers(0, len(items) - 1))
        items[place] = data.draw(_PLAIN)
        self._compare([0, *items])

    def test_both_refuse_wrong_kinds(self):
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
                self._compare(items)
                with self.assertRaises(MessageFault):
                    _MESSAGE_CODEC.decode(cbor2.dumps(items))

    def _compare(self, items):
        read = []
        for codec in (_CODEC, _MESSAGE_CODEC):
            try:
                read.append(repr(_pack_plainly(codec.decode(cbor2.dumps(items)))))
            except MessageFault:
                read.append(None)
        self.assertEqual(*read)

    def test_fields_cost_no_calls(self):
        """Guards against a call in Python for each field of a heartbeat."""
        loads = tuple(
            LoadMessage(target=f"t{place}", kv=1, running=1, first_running=0)
            for place in range(60)
        )
        data = cbor2.dumps([0, *_pack_plainly(_make_word())[:-1], _pack_plainly(loads)])
        word = _MESSAGE_CODEC.decode(data)
        self.assertEqual(word.loads, loads)
        own = count_calls(lambda: _MESSAGE_CODEC.decode(data))
        library = count_calls(lambda: cbor2.loads(data))
        self.assertLess(own - library, 10)


def _make_word():
    return Word(
        sender=_make_load(),
        is_ready=True,
        part=0.5,
        mood=Mood.CALM,
        value=None,
        maybe=None,
        pair=("a", 1),
        names=("b",),
        loads=(),
    )
