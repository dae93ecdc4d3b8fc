import unittest

from fulmarward_core.demand import MAX_CLASSES, MAX_SERVICES
from fulmarward_core.team_shares import (
    MAX_TEAM_BYTES,
    MAX_TEAMS,
    TeamHold,
    TeamTable,
    TeamUse,
)


def _make_hold(team="a", kv=1.0, *, urgency=0, service="s"):
    return TeamHold(service=service, urgency=urgency, team=team, kv=kv)


def make_use(team="a", *, used_kv=0.0, waiting_kv=0.0, urgency=0):
    return TeamUse(urgency=urgency, team=team, used_kv=used_kv, waiting_kv=waiting_kv)


class TeamTableTest(unittest.TestCase):
    def setUp(self):
        self.table = TeamTable(own="own", data_centre="dc")

    def _merge(self, source, *uses, boot=1, at=100.0, now=100.0):
        uses = {"s": uses} if uses else {}
        return self.table.merge_report(source, uses, boot=boot, at=at, now=now)

    def _list(self, now=100.0):
        uses = self.table.find_uses("s", 0, now=now).values()
        return {use.team: (use.used_kv, use.waiting_kv) for use in uses}

    def test_requests_count_until_they_end(self):
        """Guards against a use that stays, or is counted for each attempt."""
        for _ in range(2):
            self.table.record_waiting(1, _make_hold(kv=3.0))
        self.table.record_running(1, _make_hold(kv=4.0))
        self.table.record_running(1, _make_hold(kv=2.0))
        self.table.record_running(2, _make_hold("b", 5.0, urgency=1))
        self.assertEqual(self._list(), {"a": (2.0, 3.0)})
        self.table.remove_waiting(1)
        for key in (1, 1, 2):
            self.table.record_ended(key)
        self.assertEqual(self._list(), {})

    def test_classes_are_reported_while_any_request_waits(self):
        """Guards against reports without contention, and against their absence."""
        self.table.record_running(1, _make_hold(kv=3.0))
        self.table.record_running(2, _make_hold(kv=3.0, urgency=1))
        own = {"s": (make_use(used_kv=3.0),)}
        self.assertEqual(self.table.list_own(now=100.0), {})
        self._merge("x", make_use("b", waiting_kv=1.0))
        self.assertEqual(self.table.list_own(now=100.0), own)
        both = {"s": (make_use(used_kv=3.0), make_use("b", waiting_kv=1.0))}
        self.assertEqual(self.table.sum_data_centre(now=100.0), both)
        self._merge("x", at=100.5, now=100.5)
        self.assertEqual(self.table.list_own(now=100.5), {})

    def test_largest_teams_are_reported(self):
        """Guards against messages that grow with the number of teams."""
        for name in ("é" * MAX_TEAM_BYTES, "\ud800"):
            self.table.record_waiting(name, _make_hold(name, 1e9))
        for number in range(MAX_TEAMS + 1):
            self.table.record_waiting(number, _make_hold(str(number), 1.0 + number))
        listed = [use.team for use in self.table.list_own(now=100.0)["s"]]
        self.assertEqual(listed, [str(n) for n in range(MAX_TEAMS, 0, -1)])

    def test_reports_beyond_a_bound_are_ignored(self):
        """Guards against a table that one peer fills."""
        cases = [
            # name, uses
            ("teams", [make_use(str(n)) for n in range(MAX_TEAMS + 1)]),
            ("classes", [make_use(urgency=n) for n in range(MAX_CLASSES + 1)]),
            ("team twice", [make_use(), make_use()]),
            ("name", [make_use("a" * (MAX_TEAM_BYTES + 1))]),
            ("amount", [make_use(used_kv=1e300)]),
        ]
        for name, uses in cases:
            with self.subTest(name):
                self.assertFalse(self._merge("x", *uses))
        services = {str(n): (make_use(),) for n in range(MAX_SERVICES + 1)}
        self.assertFalse(
            self.table.merge_report("x", services, boot=1, at=100.0, now=100.0)
        )

    def test_numbers_that_are_negative_or_not_finite_are_refused(self):
        """Guards against a sum that is NaN at all instances because of one report."""
        for value in (float("nan"), float("inf"), -1.0):
            for name in ("used_kv", "waiting_kv"):
                with self.subTest(value, name=name), self.assertRaises(ValueError):
                    make_use(**{name: value})
