import random
import unittest

from fulmarward_core.rendezvous import choose_first
from fulmarward_core.target_limits import (
    PERMIT_DURATION_S,
    LimitTable,
    PermitBucket,
    PermitUsage,
)


def play(*, per_s, instances, duration_s=60.0, request_s=0.01, changes=()):
    """Return when permits are used by instances that all need one all the time.

    Each of the `changes` is a time at which another instance becomes the owner.
    """
    draw = random.Random(3)
    owner = PermitBucket(per_s=per_s, now=0.0)
    usages = {f"n{number}": PermitUsage() for number in range(instances)}
    used, now, left = [], 0.0, sorted(changes)
    while now < duration_s:
        if left and now >= left[0]:
            left.pop(0)
            owner = PermitBucket(per_s=per_s, now=now)
        name = draw.choice(list(usages))
        usage = usages[name]
        if usage.take("t", now=now):
            used.append(now)
        elif "t" not in usage.list_throttled(now=now):
            grant = owner.grant(name, draw=draw.random(), now=now)
            usage.add("t", grant.count, now=now)
            if usage.take("t", now=now):
                used.append(now)
            if not grant.count:
                usage.throttle("t", until=now + grant.wait_s)
        now += request_s
    return used


class PermitsTest(unittest.TestCase):
    def test_all_instances_together_stay_within_the_limit_and_use_it(self):
        """Guards against shares that add up to more, or that are too small to use."""
        cases = [(1.4, 1), (1.4, 7), (0.5, 7), (0.5, 195), (3.0, 40), (40.0, 7)]
        for per_s, instances in cases:
            with self.subTest(per_s=per_s, instances=instances):
                used = play(per_s=per_s, instances=instances)
                for at in used:
                    count = sum(at <= other < at + 4.0 for other in used)
                    most = 4.0 * per_s + max(1.0, per_s * 2 * PERMIT_DURATION_S) + 1.0
                    self.assertLessEqual(count, most)
                self.assertGreater(len(used), 0.8 * 60.0 * per_s)

    def test_new_owner_begins_without_permits(self):
        """Guards against permits that are used twice when their owner changes."""
        used = play(per_s=1.4, instances=7, changes=[10.0 + 0.1 * n for n in range(99)])
        self.assertLessEqual(sum(10.0 <= at < 19.9 for at in used), 1)

    def test_target_that_accepts_nothing_is_tried_now_and_then(self):
        """Guards against a target that can never say that it accepts requests again."""
        used = play(per_s=0.0, instances=7)
        self.assertTrue(8 <= len(used) <= 13, used)

    def test_permit_that_was_not_used_in_time_is_lost(self):
        """Guards against an instance that uses what it saved up while it was frozen."""
        usage = PermitUsage()
        usage.add("t", 2, now=1.0)
        self.assertTrue(usage.take("t", now=1.1))
        self.assertFalse(usage.take("t", now=1.1 + PERMIT_DURATION_S))
        usage.throttle("t", until=3.0)
        self.assertEqual(usage.list_throttled(now=2.5), {"t"})
        self.assertEqual(usage.find_throttled_s("t", now=2.5), 0.5)
        self.assertEqual(usage.list_throttled(now=3.0), frozenset())

    def test_owner_changes_only_for_targets_of_those_that_join_or_leave(self):
        names = [f"n{number}" for number in range(7)]
        targets = [f"t{number}" for number in range(200)]
        before = {target: choose_first(target, names) for target in targets}
        self.assertEqual(set(before.values()), set(names))
        for target, owner in before.items():
            left = [name for name in names if name != "n3"]
            if owner != "n3":
                self.assertEqual(choose_first(target, left), owner)
        self.assertIsNone(choose_first("t", []))


class LimitTableTest(unittest.TestCase):
    def test_newest_answer_counts(self):
        """Guards against a limit that is lifted by an answer from before it."""
        table = LimitTable()
        steps = [
            (None, 1.0, False, None),
            (1.5, 2.0, True, 1.5),
            (1.5, 3.0, False, 1.5),
            (None, 2.5, False, 1.5),
            (0.5, 4.0, True, 0.5),
            (None, 5.0, True, None),
            (0.0, 6.0, True, 0.0),
        ]
        for per_s, at, is_changed, expected in steps:
            found = table.record("t", per_s=per_s, observed_at=at)
            self.assertEqual((found, table.find("t")), (is_changed, expected))
        table.retain(["other"])
        self.assertEqual(table.list_known(), {})
