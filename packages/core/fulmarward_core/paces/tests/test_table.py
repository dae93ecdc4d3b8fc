import unittest

from fulmarward_core.paces import REPORT_DURATION_S, PaceTable, SlowStreamDetector


class PaceTableTest(unittest.TestCase):
    def test_newest_report_wins_whoever_read_it(self):
        table = PaceTable()
        self.assertTrue(table.note("t", 12.0, at=1.0))
        self.assertFalse(table.note("t", 1.0, at=0.5), "an older report by a peer")
        self.assertEqual(table.find("t", now=1.1), 12.0)
        self.assertTrue(table.note("t", 1.0, at=2.0))
        self.assertEqual(table.find("t", now=2.1), 1.0)

    def test_slowdown_expires_with_its_report(self):
        # The instance that watches it fails, so its recovery is never reported.
        table = PaceTable()
        table.note("t", 12.0, at=1.0)
        self.assertEqual(set(table.list_slow(now=1.1)), {"t"})
        self.assertEqual(table.find("t", now=1.1 + REPORT_DURATION_S), 1.0)
        self.assertEqual(table.list_slow(now=1.1 + REPORT_DURATION_S), {})

    def test_factor_is_at_least_one(self):
        table = PaceTable()
        table.note("t", 0.5, at=1.0)
        self.assertEqual(table.find("t", now=1.0), 1.0)


class SlowStreamDetectorTest(unittest.TestCase):
    def _is_slow(self, pauses, silent_s=0.02, *, has_begun=True):
        detector = SlowStreamDetector()
        for pause in pauses:
            detector.note_pause(pause)
        return detector.is_slow(
            silent_s=silent_s, has_begun=has_begun, objective_s=0.5, pause_s=0.25
        )

    def test_slow_streams(self):
        cases = [
            ("calm", [0.04] * 9, True, 0.02, False),
            ("crowded", [0.07] * 9, True, 0.02, False),
            ("one pause over a lost target", [0.05] * 9 + [0.25], True, 0.02, False),
            ("a slow target on the path", [0.05] * 3 + [0.15] * 6, True, 0.02, True),
            ("waits for its first event", [], False, 0.1, False),
            ("waits long for its first event", [], False, 0.35, True),
        ]
        for name, pauses, has_begun, silent_s, expected in cases:
            with self.subTest(name):
                found = self._is_slow(pauses, silent_s, has_begun=has_begun)
                self.assertEqual(found, expected)
