import unittest
from collections import Counter
from types import SimpleNamespace

from fulmarward_core.evidence import EvidenceTable
from fulmarward_core.paces import POLL_INTERVAL_S, PaceTable
from fulmarward_router.exchange import PaceMonitor

_TARGETS = tuple(f"t{number}" for number in range(30))


class PaceMonitorTest(unittest.IsolatedAsyncioTestCase):
    def start(self, *, is_large, is_reader=True):
        """Make the monitor of an instance whose requests are recorded as answers."""
        self.now = 100.0
        self.polled = Counter()
        self.paces = PaceTable()
        self.evidence = EvidenceTable(is_known=lambda name: True)
        #: Factors of the slow targets, and the targets on paths of slow streams.
        self.slow, self.suspicious, self.notifications = {}, frozenset(), 0
        records = [
            SimpleNamespace(name=name, data_centre="a", layers="0-10")
            for name in _TARGETS
        ]
        self.monitor = PaceMonitor(
            dialect=SimpleNamespace(read_report=self.read_report),
            catalogue=SimpleNamespace(list_targets=lambda now: records),
            paces=self.paces,
            data_centre="a",
            is_reader=lambda: is_reader,
            sees_slow_streams=lambda: True,
            read_clock=lambda: self.now,
            notify_peers=self.count_notification,
            evidence=self.evidence,
            is_large=lambda: is_large,
            list_slow_targets=lambda: self.suspicious,
        )

    async def read_report(self, record, timeout_s):
        self.polled[record.name] += 1
        pace = self.slow.get(record.name, 1.0)
        self.evidence.record(record.name, asked_at=self.now, pace=pace)
        return SimpleNamespace(pace=pace)

    def count_notification(self):
        self.notifications += 1

    async def poll_for(self, seconds):
        for _ in range(round(seconds / POLL_INTERVAL_S)):
            self.now += POLL_INTERVAL_S
            await self.monitor._poll(self.now)

    async def test_slow_targets_are_found_in_time_with_fewer_polls(self):
        """Guards against slow targets that are found late, and against needless polls.

        Each of 30 targets is polled 12 times in 9.6 s in a small fleet.
        """
        self.start(is_large=True)
        await self.poll_for(3.2)
        self.suspicious = frozenset(_TARGETS[:5])
        self.slow = {"t3": 5.0}
        await self.poll_for(0.8)
        self.assertEqual(self.paces.find("t3", now=self.now), 5.0)
        self.slow = {"t3": 1.0, "t20": 5.0}
        await self.poll_for(0.8)
        self.assertEqual(self.paces.find("t3", now=self.now), 1.0)
        await self.poll_for(2.4)
        self.assertEqual(self.paces.find("t20", now=self.now), 5.0)
        self.assertEqual(self.notifications, 3)
        await self.poll_for(2.4)
        self.assertLessEqual(max(self.polled.values()), 9)
        self.assertLessEqual(max(self.polled[f"t{n}"] for n in range(5, 20)), 3)

    async def test_pace_that_another_request_has_read_is_not_polled(self):
        """Guards against polls of what probes have read, on all instances."""
        for is_reader in (True, False):
            self.start(is_large=True, is_reader=is_reader)
            self.suspicious = frozenset({"t1"})
            for name in _TARGETS:
                self.evidence.record(name, asked_at=self.now, pace=1.0)
            self.evidence.record("t1", asked_at=self.now + 0.1, pace=4.0)
            await self.poll_for(0.6)
            self.assertEqual(self.paces.find("t1", now=self.now), 4.0)
            self.assertEqual((self.polled.total(), self.notifications), (0, 1))

    async def test_all_targets_of_a_small_fleet_are_polled(self):
        """Guards against a change where all targets are polled at once."""
        self.start(is_large=False)
        await self.poll_for(2 * POLL_INTERVAL_S)
        self.assertEqual(set(self.polled.values()), {2})
