"""Rows of the configuration that arrive while another is prepared."""

import asyncio
import unittest

from fulmarward_core.store_versions import make_store_version
from fulmarward_router.ports import Row
from fulmarward_router.state import ConfigurationHolder
from fulmarward_router.tests.test_instance_state import Peer, _Configuration


def make_row(version, value=None, *, era=0):
    """Return a row with the operator's version `value`."""
    value = str(version if value is None else value).encode()
    return Row(key="config", value=value, version=make_store_version(era, version))


class PreparationTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.holder = ConfigurationHolder(decode=self._decode)
        #: Rows whose preparation began, and versions that were in force.
        self.begun = []
        self.in_force = []
        #: Rows that take steps without an end.
        self.stalled = set()

    def _decode(self, row):
        self.begun.append(row)
        for _ in range(20):
            yield
        while row in self.stalled:
            yield
        return _Configuration(int(row.value))

    async def _apply(self, row):
        adopted = await self.holder.apply_row(row, source="peer")
        if adopted:
            self.in_force.append(self.holder.version)
        return adopted

    async def apply_in_turn(self, *rows):
        """Apply each row while the one before is prepared."""
        tasks = []
        for row in rows:
            tasks.append(asyncio.create_task(self._apply(row)))
            for _ in range(5):
                await asyncio.sleep(0)
        async with asyncio.timeout(5.0):
            return await asyncio.gather(*tasks)

    async def test_targets_are_judged_again_once_services_have_changed(self):
        """Guards against targets that are judged by services of an older version."""
        judged_by = []
        services = {1: {}, 2: {}, 3: {"pool": 1}, 4: {"pool": 1}, 5: {}}

        def decode(row):
            yield
            configuration = _Configuration(int(row.value))
            configuration.services = services[configuration.version]
            return configuration

        holder = ConfigurationHolder(
            decode=decode,
            handle_services_changed=lambda: judged_by.append(holder.version),
        )
        for version in services:
            await holder.apply_row(make_row(version), source="store")
        self.assertEqual(judged_by, [1, 3, 5])

    async def test_rows_that_arrive_meanwhile(self):
        """Guards against versions in the wrong order, and ones that are lost."""
        cases = [
            ("newer", [make_row(1), make_row(2)], [2]),
            ("older", [make_row(2), make_row(1)], [2]),
            ("newer, refused", [make_row(1), make_row(2, "?")], [1]),
            ("refused, newer", [make_row(1, "?"), make_row(2)], [2]),
            ("older for the operator", [make_row(1, 9), make_row(2, 8)], [8, 9]),
            ("restored", [make_row(9), make_row(1, 10, era=1)], [10]),
            ("lost in a restore", [make_row(9), make_row(1, 8, era=1)], [8, 9]),
            ("three", [make_row(1), make_row(3), make_row(2)], [3]),
        ]
        for name, rows, in_force in cases:
            with self.subTest(name):
                self.setUp()
                await self.apply_in_turn(*rows)
                self.assertEqual(self.in_force, in_force)
                self.assertFalse(self.holder.is_preparing)

    async def test_row_of_two_sources_is_prepared_once(self):
        """Guards against the work of a large version for each peer that sends it."""
        row = make_row(1)
        self.assertEqual(await self.apply_in_turn(row, row, row), [True, False, False])
        self.assertEqual(self.begun, [row])

    async def test_stalled_preparation_does_not_stop_newer_versions(self):
        row = make_row(1)
        self.stalled.add(row)
        stalled = asyncio.create_task(self._apply(row))
        await asyncio.sleep(0)
        async with asyncio.timeout(5.0):
            self.assertTrue(await self._apply(make_row(2)))
            self.stalled.clear()
            self.assertFalse(await stalled)

    async def test_preparation_that_is_cancelled_does_not_stop_the_others(self):
        """Guards against a version that is never in force as its first source left."""
        row = make_row(1)
        first, second = (asyncio.create_task(self._apply(row)) for _ in range(2))
        await asyncio.sleep(0)
        first.cancel()
        async with asyncio.timeout(5.0):
            self.assertTrue(await second)

    async def test_version_reported_meanwhile_is_missed_although_the_row_is_refused(
        self,
    ):
        """Guards against keys that stay valid as a row before was malformed."""
        task = asyncio.create_task(self._apply(make_row(1, "?")))
        await asyncio.sleep(0)
        self.holder.record_reported(2, at=10.0)
        await task
        self.assertEqual(self.holder.find_outdated_s(now=15.0), 5.0)

    async def test_no_peer_is_asked_for_a_version_that_is_being_prepared(self):
        """Guards against a transfer for each instance that reads a large row itself."""
        one, two = Peer("one", decode=self._decode), Peer("two", decode=self._decode)
        await two.configuration.apply_row(make_row(1), source="store")
        heartbeat = two.instance_state.make_heartbeat()
        task = asyncio.create_task(
            one.configuration.apply_row(make_row(1, "?"), source="store")
        )
        await asyncio.sleep(0)
        self.assertEqual(one.instance_state.merge_heartbeat(heartbeat), [])
        self.assertIsNone(one.instance_state.repeat_fetch("two"))
        await task
        self.assertEqual(len(one.instance_state.merge_heartbeat(heartbeat)), 1)
