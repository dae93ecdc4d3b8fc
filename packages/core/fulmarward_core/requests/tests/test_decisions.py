import unittest

from hypothesis import given, strategies as st

from fulmarward_core.requests import choose_failure, find_new_texts, parse_events
from fulmarward_core.results import ResultCode, make_failure

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
    def test_only_the_next_events_of_this_attempt_are_accepted(self, items):
        # A target sends late, duplicate, reordered and foreign events. The caller must
        # get exactly this attempt's events 1, 2, 3, ..., and the others are counted.
        for item in items:
            item["text"] = f"{item['request']}/{item['attempt']}/{item['n']}"
        batch = parse_events(items, request="mine", attempt=1, next_number=1)
        expected = [f"mine/1/{number}" for number in range(1, len(batch.events) + 1)]
        self.assertEqual([event.text for event in batch.events], expected)
        self.assertEqual(len(batch.events) + batch.dropped, len(items))


class LaterAttemptTest(unittest.TestCase):
    @given(st.lists(st.sampled_from("ab")), st.lists(st.sampled_from("ab")), st.data())
    def test_later_attempt_never_changes_what_was_sent(self, known, later, data):
        # An engine dies after part of its answer was sent, and another one answers from
        # the start in batches of any size. The caller's answer continues or ends, but
        # what was sent never changes.
        answer, seen = list(known), 0
        while seen < len(later):
            size = data.draw(st.integers(1, len(later) - seen))
            new = find_new_texts(answer, later[seen : seen + size], first=seen)
            if new is None:
                overlap = min(len(known), len(later))
                self.assertNotEqual(known[:overlap], later[:overlap])
                return
            answer += new
            seen += size
        self.assertEqual(answer, later + known[len(later) :])

    def test_failure_holds_for_all_attempts(self):
        not_run = make_failure(ResultCode.TARGET_REFUSED)
        failed = make_failure(ResultCode.TARGET_FAILED)
        unknown = make_failure(ResultCode.OUTCOME_UNKNOWN)
        cases = [
            (None, not_run, not_run),
            (not_run, failed, failed),
            (failed, not_run, failed),
            (unknown, not_run, unknown),
            (unknown, failed, failed),
            (failed, unknown, failed),
        ]
        for earlier, later, expected in cases:
            with self.subTest(earlier=earlier, later=later):
                self.assertEqual(choose_failure(earlier, later), expected)
