import asyncio
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange import FailureDetector, _failover
from fulmarward_router.exchange._attempt import Attempt
from fulmarward_router.exchange._failover import StreamSupervisor


class IdleKeeperTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.looks = 0

        def read_clock():
            self.looks += 1
            return time.monotonic()

        context = SimpleNamespace(
            dialect=None,
            catalogue=mock.Mock(revision=1, list_targets=lambda now: []),
            suspicions=mock.Mock(),
            ledger=None,
            read_clock=read_clock,
        )
        self.supervisor = StreamSupervisor(
            context=context, watch=mock.Mock(), finder=None, pipe=None
        )
        task = asyncio.create_task(self.supervisor.run())
        self.addCleanup(task.cancel)

    async def test_no_stream_no_looks(self):
        # An instance without open streams woke 83 times a second to look at none; in a
        # fleet of 79 this is processor time before the first request, and at night.
        await asyncio.sleep(0.48)
        self.assertLess(self.looks, 16)

    async def test_first_stream_is_looked_at_at_once(self):
        with mock.patch.object(_failover, "IDLE_CHECK_INTERVAL_S", 60.0, create=True):
            await asyncio.sleep(0.15)
            attempt = mock.Mock(path=(), checking=None, end=None, has_begun=True)
            self.supervisor.add(attempt)
            before = self.looks
            async with asyncio.timeout(10.0):
                while self.looks < before + 4:
                    await asyncio.sleep(0.01)


class MovedStreamTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.suspicions = SuspicionTable()
        self.watch = mock.Mock()
        context = SimpleNamespace(
            dialect=None,
            catalogue=None,
            suspicions=self.suspicions,
            ledger=None,
            read_clock=lambda: self.now,
        )
        self.supervisor = StreamSupervisor(
            context=context, watch=self.watch, finder=None, pipe=None
        )
        path = tuple(SimpleNamespace(target=name) for name in ("first", "second"))
        self.attempt = Attempt(
            work=None, engine=None, wanted=None, path=path, reservation=None
        )
        self.supervisor.add(self.attempt)

    def _list_lost(self):
        return [hop.target for hop in self.supervisor._list_lost(self.attempt)]

    def test_target_that_served_a_stream_after_its_loss_is_asked_first(self):
        # An instance that was slow to hear took a sound target for lost. A stream went
        # on through it and paused for 60 ms later: it was cut with "the first target is
        # lost", or led around, though its target had served it all the time.
        self.supervisor.note_heard(self.attempt)
        self.now += 0.01
        self.suspicions.record_failure("first", now=self.now)
        self.assertEqual(self._list_lost(), ["first"], "nothing came after that")
        self.now += 0.03
        self.supervisor.note_heard(self.attempt)
        self.now += 0.07
        self.assertEqual(self._list_lost(), [])
        self.supervisor._probe_unsure(self.attempt, self.now)
        self.watch.probe.assert_called_once_with(["first"])
        self.suspicions.record_failure("first", now=self.now)
        self.assertEqual(self._list_lost(), ["first"], "asked, and silent")

    def test_watch_asks_a_lost_target_that_a_stream_speaks_against(self):
        watch = FailureDetector(
            dialect=None,
            catalogue=mock.Mock(find_target=lambda name: SimpleNamespace(name=name)),
            suspicions=self.suspicions,
            read_clock=lambda: self.now,
            note_change=lambda: None,
        )
        self.suspicions.record_failure("first", now=self.now)
        self.assertEqual(watch._list_due(["first"]), [])
        self.now += 0.03
        self.supervisor.note_heard(self.attempt)
        self.now += 0.07
        self.supervisor._probe_unsure(self.attempt, self.now)
        self.assertEqual([r.name for r in watch._list_due(["first"])], ["first"])

    def test_stream_without_an_event_is_led_around_at_once(self):
        self.suspicions.record_failure("second", now=99.9)
        self.assertEqual(self._list_lost(), ["second"])
        self.supervisor._probe_unsure(self.attempt, self.now)
        self.watch.probe.assert_not_called()
