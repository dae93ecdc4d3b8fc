import unittest

from fulmarward_router.ports import AnswerFacts
from fulmarward_router.state._target_limits import (
    MAX_UNKNOWN_TARGETS,
    OWNER_SILENT_DURATION_S,
)
from fulmarward_router.tests._target_limits import make_target_limits


def make_facts(limit_per_s=None, *, malformed_limit=None, is_signed=True):
    return AnswerFacts(
        request_id="a",
        is_signed=is_signed,
        is_not_run=False,
        address_at_fault=None,
        is_misdirected=False,
        is_plain=True,
        limit_per_s=limit_per_s,
        malformed_limit=malformed_limit,
    )


class _Links:
    """Links on which questions are sent, and not answered."""

    def __init__(self):
        self.notified, self.asked = [], []

    def notify_limits(self, reports):
        self.notified += reports

    def request_permits(self, owner, *, target, milli_per_s):
        self.asked.append((owner, target, milli_per_s))
        return len(self.asked)


class TargetLimitsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.links = _Links()
        self.limits = make_target_limits(
            lambda: self.now, targets=("t",), links=self.links
        )

    def answer(self, *limits, **facts):
        self.now += 1.0
        self.limits.record_answer("t", make_facts(*limits, **facts))
        return self.limits.table.find("t")

    def test_answers(self):
        """Guards against limits that are taken from what is none."""
        steps = [
            ({}, None),
            ({"malformed_limit": "-1"}, None),
            ({"limit_per_s": float("inf")}, None),
            ({"limit_per_s": 1.5}, 1.5),
            ({"malformed_limit": "nan"}, 1.5),
            ({"limit_per_s": 9.0, "is_signed": False}, 1.5),
            ({"limit_per_s": 0.0}, 0.0),
            ({"limit_per_s": 1e9}, None),
        ]
        for facts, expected in steps:
            with self.subTest(**facts):
                self.assertEqual(self.answer(**facts), expected)
        sent = [report.milli_per_s for report in self.links.notified]
        self.assertEqual(sent, [1500, 0, -1])

    async def test_target_is_held_back_beyond_its_limit_until_that_rises(self):
        self.answer(1.0)
        granted = 0
        for _ in range(100):
            self.now += 0.1
            if "t" not in self.limits.list_throttled():
                granted += await self.limits.acquire("t", request_id="r")
        self.assertIn(granted, (9, 10, 11))
        while await self.limits.acquire("t", request_id="r"):
            pass
        self.assertIn("t", self.limits.list_throttled())
        self.answer(None)
        self.assertEqual(self.limits.list_throttled(), frozenset())
        self.assertTrue(await self.limits.acquire("t", request_id="r"))

    async def test_owner_that_hears_a_part_of_the_fleet_hands_out_that_part(self):
        """Guards against two groups that are cut off and take the whole limit each."""
        self.limits._find_reachable_share = lambda: 0.25
        self.answer(4.0)
        granted = 0
        for _ in range(100):
            self.now += 0.1
            if "t" not in self.limits.list_throttled():
                granted += await self.limits.acquire("t", request_id="r")
        self.assertIn(granted, (9, 10, 11))

    async def test_target_is_held_back_while_its_owner_is_silent(self):
        """Guards against an instance that takes permits which it was not granted."""
        self.limits._list_owner_candidates = lambda: ("peer",)
        self.answer(1.0)
        self.assertFalse(await self.limits.acquire("t", request_id="r"))
        self.assertEqual(self.links.asked, [("peer", "t", 1000)])
        self.assertIn("t", self.limits.list_throttled())
        self.now += OWNER_SILENT_DURATION_S
        self.assertEqual(self.limits.list_throttled(), frozenset())

    def test_limit_is_kept_that_is_known_before_its_target(self):
        """Guards against an instance that starts and forgets what its peers sent."""
        self.answer(1.0)
        started = make_target_limits(lambda: self.now, links=self.links)
        started.merge(self.limits.make_reports(), source="peer", delay_s=0.0)
        self.assertEqual(started.table.find("t"), 1.0)
        for number in range(2 * MAX_UNKNOWN_TARGETS):
            started.record_answer(f"t{number}", make_facts(1.0))
        self.assertLessEqual(len(started.table), MAX_UNKNOWN_TARGETS + 1)

    async def test_newest_limit_of_any_instance_counts(self):
        other = make_target_limits(lambda: self.now, targets=("t",), links=self.links)
        self.answer(1.0)
        self.now += 1.0
        other.record_answer("t", make_facts(0.5))
        for source, expected in [(other, 0.5), (self.limits, 0.5)]:
            self.limits.merge(source.make_reports(), source="peer", delay_s=0.0)
            self.assertEqual(self.limits.table.find("t"), expected)
