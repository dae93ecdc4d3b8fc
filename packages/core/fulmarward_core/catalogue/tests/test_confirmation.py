import unittest

from fulmarward_core.catalogue import find_confirmed_at


class ConfirmationTest(unittest.TestCase):
    def test_delayed_answer_is_as_old_as_it_may_be(self):
        """Guards against taking an answer for fresh that a link delayed."""
        cases = [
            # what, wait, whether with changes, when the answer came, confirmed at
            ("read at once", 0.0, True, 100.004, 100.0),
            ("nothing new", 1.8, False, 101.804, 101.8),
            ("nothing new, delayed", 1.8, False, 104.0, 101.8),
            ("changes, delayed", 1.8, True, 103.0, 100.0),
            ("ended before its wait", 1.8, False, 100.5, 100.5),
        ]
        for what, wait_s, has_changes, now, expected in cases:
            with self.subTest(what):
                found = find_confirmed_at(
                    asked_at=100.0, wait_s=wait_s, has_changes=has_changes, now=now
                )
                self.assertEqual(found, expected)
