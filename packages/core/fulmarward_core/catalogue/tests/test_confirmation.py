import unittest

from fulmarward_core.catalogue import find_confirmed_at


class ConfirmationTest(unittest.TestCase):
    def test_delayed_answer_counts_as_old(self):
        """Guards against an answer that counts as current though a link delayed it."""
        cases = [
            # name, wait, whether with changes, when the answer came, confirmed at
            ("read without a wait", 0.0, True, 100.004, 100.0),
            ("no changes", 1.8, False, 101.804, 101.8),
            ("no changes, delayed", 1.8, False, 104.0, 101.8),
            ("changes, delayed", 1.8, True, 103.0, 100.0),
            ("answered before the end of the wait", 1.8, False, 100.5, 100.5),
        ]
        for name, wait_s, has_changes, now, expected in cases:
            with self.subTest(name):
                confirmed_at = find_confirmed_at(
                    asked_at=100.0, wait_s=wait_s, has_changes=has_changes, now=now
                )
                self.assertEqual(confirmed_at, expected)
