import unittest

from fulmarward_core.target_limits import MAX_BACKOFF_S, BackoffTable


class BackoffTableTest(unittest.TestCase):
    def test_pauses_after_demands(self):
        """Guards against a pause that ends early, or that nothing ends."""
        cases = [
            # demands as (when, seconds), and the seconds left at 10.0
            ([(9.0, 3.0)], 2.0),
            ([(9.0, 3.0), (9.5, 0.1)], 2.0),
            ([(9.0, 3.0), (9.5, 3.0)], 2.5),
            ([(9.0, 0.0)], 0.0),
            ([(9.0, 1.0)], 0.0),
            ([(10.0, float("inf"))], MAX_BACKOFF_S),
        ]
        for demands, left_s in cases:
            with self.subTest(demands=demands):
                table = BackoffTable()
                for at, duration_s in demands:
                    table.record("t", process="p", duration_s=duration_s, now=at)
                self.assertEqual(table.find_left_s("t", now=10.0), left_s)
                listed = table.list_backed_off(now=10.0)
                self.assertEqual(listed, {"t"} if left_s else frozenset())

    def test_only_a_new_process_ends_a_pause(self):
        """Guards against a row that expires and returns during a pause."""
        table = BackoffTable()
        table.record("t", process="p", duration_s=60.0, now=1.0)
        self.assertFalse(table.record_process("t", process="p"))
        self.assertEqual(table.list_backed_off(now=1.0), {"t"})
        self.assertTrue(table.record_process("t", process="q"))
        self.assertEqual(table.list_backed_off(now=1.0), frozenset())
        self.assertFalse(table.record_process("t", process="q"))
