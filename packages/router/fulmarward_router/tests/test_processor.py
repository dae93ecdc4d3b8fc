import asyncio
import unittest
from collections import Counter, defaultdict
from types import SimpleNamespace

from fulmarward_router._metrics import make_router_metrics
from fulmarward_router._processor import (
    OTHER,
    ProcessorMeter,
    get_subsystem,
    start_in_subsystem,
)
from fulmarward_router.daemon import _Instance


class _Clock:
    """A clock that only `spend` advances."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now

    def spend(self, seconds):
        self.now += seconds


class ProcessorMeterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = _Clock()
        self.meter = ProcessorMeter(read_clock=self.clock)

    async def _work(self, steps):
        for seconds in steps:
            self.clock.spend(seconds)
            await asyncio.sleep(0)

    async def test_time_is_charged_to_the_subsystem_that_started_the_task(self):
        """Guards against processor time that is charged to no subsystem."""
        self.meter.install(asyncio.get_running_loop())

        async def start_another():
            self.clock.spend(1.0)
            await asyncio.create_task(self._work([2.0, 4.0]))

        await start_in_subsystem("mesh", start_another())
        await start_in_subsystem("requests", self._work([8.0]))
        await asyncio.create_task(self._work([16.0]))
        self.assertEqual(
            dict(self.meter.subsystems), {"mesh": 7.0, "requests": 8.0, OTHER: 16.0}
        )

    async def test_subsystem_is_that_of_the_task_that_started_the_current_one(self):
        """Guards against calls that are counted for a wrong subsystem."""

        async def get_in_another_task():
            return await asyncio.create_task(self._get_subsystem())

        self.assertEqual(
            await start_in_subsystem("mesh", get_in_another_task()), "mesh"
        )
        self.assertEqual(get_subsystem(), OTHER)

    async def _get_subsystem(self):
        return get_subsystem()

    async def test_calls_are_counted_for_the_subsystem_that_makes_them(self):
        """Guards against a metric that does not show why targets are probed."""
        metrics = make_router_metrics()
        instance = SimpleNamespace(
            _calls=Counter(), _calls_by_subsystem=defaultdict(Counter), metrics=metrics
        )

        async def count_call():
            _Instance._count_call(instance, "/report", "200")

        for subsystem in ("paces", "streams", "paces"):
            await start_in_subsystem(subsystem, count_call())
        labels = {"call": "/report", "status": "200"}
        for subsystem, expected in (("paces", 2), ("streams", 1)):
            count = metrics.calls.get({**labels, "subsystem": subsystem})
            self.assertEqual(count, expected)

    async def test_cancelled_and_failed_tasks_end_as_without_the_meter(self):
        """Guards against a meter that swallows cancellations or exceptions."""
        self.meter.install(asyncio.get_running_loop())

        async def fail():
            raise ValueError("broken")

        waiting = start_in_subsystem("mesh", asyncio.sleep(60))
        await asyncio.sleep(0)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        with self.assertRaises(ValueError):
            await start_in_subsystem("mesh", fail())

    async def test_calls_are_charged_to_their_activity(self):
        decode = self.meter.measure("decoding", self.clock.spend)
        decode(3.0)
        decode(4.0)
        self.assertEqual(dict(self.meter.activities), {"decoding": 7.0})
