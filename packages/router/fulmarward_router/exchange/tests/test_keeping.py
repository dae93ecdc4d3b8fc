import asyncio
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from fulmarward_router.exchange import _keeping
from fulmarward_router.exchange._keeping import StreamKeeper


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
        self.keeper = StreamKeeper(
            context=context, watch=mock.Mock(), finder=None, pipe=None
        )
        task = asyncio.create_task(self.keeper.run())
        self.addCleanup(task.cancel)

    async def test_no_stream_no_looks(self):
        # An instance without open streams woke 83 times a second to look at none; in a
        # fleet of 79 this is processor time before the first request, and at night.
        await asyncio.sleep(0.48)
        self.assertLess(self.looks, 16)

    async def test_first_stream_is_looked_at_at_once(self):
        with mock.patch.object(_keeping, "IDLE_LOOK_S", 60.0, create=True):
            await asyncio.sleep(0.15)
            attempt = mock.Mock(path=(), checking=None, end=None, has_begun=True)
            self.keeper.add(attempt)
            before = self.looks
            async with asyncio.timeout(10.0):
                while self.looks < before + 4:
                    await asyncio.sleep(0.01)
