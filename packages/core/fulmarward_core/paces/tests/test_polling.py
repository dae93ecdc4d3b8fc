import unittest
from collections import defaultdict
from itertools import pairwise

from fulmarward_core.paces import (
    POLL_INTERVAL_S,
    SLOW_READ_INTERVAL_S,
    choose_polled_targets,
)
from fulmarward_core.paces._polling import READ_INTERVAL_S


class PollingTest(unittest.TestCase):
    def test_each_pace_is_read_once_an_interval(self):
        """Guards against slow targets that are found late, and against needless polls.

        With more targets than 16 polls of the minimum size read.
        """
        slow, fast = ("s1", "s2", "s3"), tuple(f"t{n}" for n in range(200))
        reads, most = defaultdict(list), 0
        for number in range(100):
            now = 50.0 + number * POLL_INTERVAL_S
            due = choose_polled_targets(
                slow + fast,
                may_be_slow=set(slow),
                read_at=lambda name: reads[name][-1] if reads[name] else float("-inf"),
                now=now,
            )
            most = max(most, len(due))
            for name in due:
                reads[name].append(now)
        self.assertLessEqual(most, 3 + 13)
        for names, interval_s in (
            (slow, SLOW_READ_INTERVAL_S),
            (fast, READ_INTERVAL_S),
        ):
            for name in names:
                self.assertLessEqual(reads[name][0] - 50.0, interval_s, name)
                for earlier, later in pairwise(reads[name]):
                    self.assertAlmostEqual(later - earlier, interval_s, msg=name)

    def test_target_that_becomes_suspicious_is_read_after_the_shorter_interval(self):
        """Guards against a target on a slow stream's path that waits for its turn."""
        for read_at, expected in ((9.25, ["t"]), (9.35, [])):
            due = choose_polled_targets(
                ["t"], may_be_slow={"t"}, read_at=lambda name, at=read_at: at, now=10.0
            )
            self.assertEqual(due, expected)
