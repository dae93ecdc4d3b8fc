import unittest

from hypothesis import given, strategies as st

from fulmarward_router.exchange._events import EventSplitter, is_after


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
