import unittest

from fulmarward_core.durations import DurationTable
from fulmarward_core.durations.decisions import (
    MAX_ANSWERS,
    MAX_KEYS,
    MEMORY_DURATION_S,
)


class DurationTableTest(unittest.TestCase):
    def setUp(self):
        self.table = DurationTable()

    def record(self, route, *durations, now=0.0):
        for duration_s in durations:
            self.table.record("pool", route, duration_s=duration_s, now=now)

    def find(self, route, now=0.0):
        return self.table.find_usual_s("pool", route, share=1.0, now=now)

    def test_answers_of_a_route_count_before_those_of_its_service(self):
        self.record("draft", 1.0, 3.0, 2.0)
        self.record("digest", 9.0)
        self.assertEqual(self.find("draft"), 3.0)

    def test_usual_duration_of_a_route_without_answers_is_that_of_its_service(self):
        self.record("draft", 1.0, 3.0)
        find = self.table.find_usual_s
        self.assertEqual(find("pool", "new", share=1.0, now=0.0), 3.0)
        self.assertIsNone(find("plain", "new", share=1.0, now=0.0))

    def test_usual_duration_of_a_route(self):
        """Guards against a few long answers that decide for all others."""
        self.assertIsNone(self.table.find_usual_s("pool", "draft", share=0.9, now=0.0))
        cases = [
            ([2.0], 0.9, 2.0),
            ([2.0], 0.0, 2.0),
            ([1.0] * 9 + [8.0], 0.9, 1.0),
            ([1.0] * 8 + [8.0, 9.0], 0.9, 8.0),
            ([3.0, 1.0, 2.0], 1.0, 3.0),
            ([3.0, 1.0, 2.0], 0.5, 2.0),
        ]
        for number, (durations, share, expected) in enumerate(cases):
            self.record(str(number), *durations)
            with self.subTest(durations=durations, share=share):
                found = self.table.find_usual_s(
                    "pool", str(number), share=share, now=0.0
                )
                self.assertEqual(found, expected)
        found = self.table.find_usual_s("pool", "new", share=1.0, now=0.0)
        self.assertEqual(found, 9.0)

    def test_old_answers_do_not_count(self):
        self.record("draft", 9.0)
        self.record("draft", 1.0, now=MEMORY_DURATION_S + 1.0)
        self.assertEqual(self.find("draft", now=MEMORY_DURATION_S + 1.0), 1.0)
        self.assertIsNone(self.find("draft", now=3 * MEMORY_DURATION_S))

    def test_memory_is_bounded(self):
        """Guards against a table that grows with each route that ever existed."""
        for number in range(2 * MAX_KEYS):
            self.record(str(number), 1.0)
        self.record("draft", *([1.0] * 2 * MAX_ANSWERS))
        self.assertLessEqual(len(self.table._answers), MAX_KEYS)
        sizes = [len(answers) for answers in self.table._answers.values()]
        self.assertLessEqual(max(sizes), MAX_ANSWERS)
