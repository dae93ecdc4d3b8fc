import asyncio
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, strategies as st

from fulmarward_router.exchange._events import EventSplitter, is_after
from fulmarward_router.exchange._forwarding import StreamForwarder

#: Bytes of an event that arrives in single bytes.
_LINE_BYTES = 50_000

#: Cost of a long event, as a multiple of that of short ones, of as many bytes.
_MAX_COST = 8


def _measure_s(parts):
    """Return the processor time that splitting takes, in seconds."""
    splitter, began_at = EventSplitter(), time.process_time()
    for part in parts:
        splitter.feed(part)
    return time.process_time() - began_at


class EventSplitterTest(unittest.TestCase):
    @given(st.integers(0, 20), st.lists(st.integers(1, 30)))
    def test_chunks_of_any_size_give_the_same_events(self, count, sizes):
        data = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(count)) + b"id: 9"
        splitter, events, remaining = EventSplitter(), [], data
        for size in [*sizes, len(data)]:
            events += splitter.feed(remaining[:size])
            remaining = remaining[size:]
        self.assertEqual([event.id for event in events], [str(n) for n in range(count)])
        self.assertEqual(b"".join(e.data for e in events) + splitter.pending, data)

    def test_bytes_without_data_are_counted_until_an_event_has_some(self):
        """Guards against a flood of comments, or of fields that only resemble data."""
        splitter = EventSplitter()
        for part in (b": here\n\n", b"database: x\n\n", b"id: 1\n\n", b"data"):
            splitter.feed(part)
        self.assertEqual((splitter.completed, splitter.unused_bytes), (0, 32))
        splitter.feed(b": x\n\n")
        self.assertEqual((splitter.completed, splitter.unused_bytes), (1, 0))

    @given(st.lists(st.sampled_from([b"\n", b"\n\n", b"\n\n\n", b"a", b"data:\n"])))
    def test_events_end_at_the_first_blank_line(self, parts):
        """Guards against an end that is found elsewhere, by how the bytes arrive."""
        whole, split = EventSplitter(), EventSplitter()
        expected = whole.feed(b"".join(parts))
        found = [event for part in parts for event in split.feed(part)]
        self.assertEqual(found, expected)
        self.assertEqual(split.pending, whole.pending)
        self.assertEqual(split.unused_bytes, whole.unused_bytes)

    def test_long_event_costs_as_much_as_short_ones(self):
        """Guards against a line in single bytes that is copied for each of them."""
        short_s = _measure_s([b"x", b"x", b"x", b"\n", b"\n"] * (_LINE_BYTES // 5))
        long_s = _measure_s([b"x"] * _LINE_BYTES)
        self.assertLess(long_s, short_s * _MAX_COST)

    def test_order_of_ids(self):
        cases = [
            (None, "3", True),
            ("4", None, True),
            ("4", "3", True),
            ("3", "3", False),
            ("10", "9", True),
            ("x", "3", True),
        ]
        for event, last, expected in cases:
            with self.subTest(event=event, last=last):
                self.assertEqual(is_after(event, last), expected)


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    async def test_others_get_their_turn_while_many_events_are_split(self):
        """Guards against tiny events of one stream that delay all other requests."""
        data = b"data\n\n" * 40_000
        content = SimpleNamespace(readany=mock.AsyncMock(return_value=data))
        forwarder = StreamForwarder(dialect=None, read_clock=lambda: 0.0)
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        task = asyncio.create_task(count_turns())
        self.addCleanup(task.cancel)
        events = await forwarder.read_events(
            SimpleNamespace(content=content), EventSplitter()
        )
        self.assertEqual(len(events), 40_000)
        self.assertGreaterEqual(turns, 8)


class CancelledReadTest(unittest.IsolatedAsyncioTestCase):
    async def test_cancelled_read_loses_no_event(self):
        """Guards against a piece that is missing after a read that timed out."""
        data = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 5000))
        reads = [data, b""]
        content = SimpleNamespace(readany=mock.AsyncMock(side_effect=reads))
        response = SimpleNamespace(content=content, guard=None)
        forwarder = StreamForwarder(dialect=None, read_clock=lambda: 0.0)
        splitter = EventSplitter()
        reading = asyncio.create_task(forwarder.read_events(response, splitter))
        await asyncio.sleep(0)
        reading.cancel()
        await asyncio.wait([reading])
        self.assertTrue(reading.cancelled())
        events = await forwarder.read_events(response, splitter)
        self.assertEqual(b"".join(event.data for event in events), data)
        self.assertIsNone(await forwarder.read_events(response, splitter))
