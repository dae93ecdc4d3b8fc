import unittest

from hypothesis import given, strategies as st

from fulmarward_core.requests import parse_events

_ITEMS = st.lists(
    st.fixed_dictionaries(
        {
            "request": st.sampled_from(["mine", "other"]),
            "attempt": st.integers(1, 2),
            "n": st.integers(1, 6),
        }
    ),
    max_size=30,
)


class ParseEventsTest(unittest.TestCase):
    @given(_ITEMS)
    def test_only_this_attempts_next_events_are_taken(self, items):
        # A target sends late, doubled, swapped and foreign events. What the caller
        # gets is exactly this attempt's events 1, 2, 3, ... and the rest is counted.
        for item in items:
            item["text"] = f"{item['request']}/{item['attempt']}/{item['n']}"
        batch = parse_events(items, request="mine", attempt=1, next_number=1)
        expected = [f"mine/1/{number}" for number in range(1, len(batch.events) + 1)]
        self.assertEqual([event.text for event in batch.events], expected)
        self.assertEqual(len(batch.events) + batch.dropped, len(items))
