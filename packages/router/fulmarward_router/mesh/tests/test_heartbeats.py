import asyncio
import unittest
from unittest import mock

from fulmarward_router.mesh import MemberTable, Mesh
from fulmarward_router.mesh._links import _wait_first
from fulmarward_router.mesh.tests.test_members import make_heartbeat


class BetweenHeartbeatsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        own = make_heartbeat("own").sender
        self.mesh = Mesh(
            own=own,
            members=MemberTable(own=own),
            news=mock.Mock(),
            read_clock=lambda: 0.0,
            count_bytes=mock.Mock(),
        )
        self.listener = asyncio.create_task(asyncio.sleep(60.0))
        self.addCleanup(self.listener.cancel)

    async def _begin_wait(self, seconds):
        wait = _wait_first(self.mesh._stirred, self.listener, seconds)
        task = asyncio.create_task(wait)
        await asyncio.sleep(0.02)
        return task

    async def test_wait_for_the_next_heartbeat_makes_no_task(self):
        # An instance of a large fleet sends 50 heartbeats a second. A task was made and
        # ended for each, and the loop turned four times for it, with nothing to do.
        waiting = await self._begin_wait(60.0)
        known = {asyncio.current_task(), self.listener, waiting}
        self.assertEqual(asyncio.all_tasks() - known, set())
        waiting.cancel()

    async def test_wait_ends_with_news_with_the_link_and_with_time(self):
        cases = [
            ("news", 60.0, self.mesh.stir),
            ("time", 0.05, lambda: None),
            ("link", 60.0, self.listener.cancel),
        ]
        for name, seconds, act in cases:
            with self.subTest(name):
                waits = [await self._begin_wait(seconds) for _ in range(3)]
                act()
                async with asyncio.timeout(10.0):
                    await asyncio.gather(*waits)

    async def test_news_ends_one_wait_and_not_the_next(self):
        self.mesh.stir()
        waiting = await self._begin_wait(60.0)
        self.assertFalse(waiting.done())
        waiting.cancel()
