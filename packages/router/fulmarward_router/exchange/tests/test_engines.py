"""The waiting requests of engine services, and the release of their answers."""

import asyncio
from types import SimpleNamespace
from unittest import mock

from fulmarward_core.queueing import WaitingRequest
from fulmarward_router.exchange.tests.test_ended_streams import _EndedStreamTest
from fulmarward_router.exchange.tests.test_late_streams import _ENGINE


def _make_state(urgencies, *, has_sought_path):
    configuration = SimpleNamespace(
        class_services=frozenset({"pool"}), urgencies_by_service={"pool": urgencies}
    )
    return SimpleNamespace(
        service="pool", configuration=configuration, has_sought_path=has_sought_path
    )


class ConfigurationTest(_EndedStreamTest):
    async def test_request_of_an_older_configuration_does_not_restore_it(self):
        """Guards against shares that alternate while answers begun before run."""
        self.start_service(SimpleNamespace(open=self.open), slack=0.0)
        older = _make_state((0, 1), has_sought_path=False)
        self.service._find_waiting(older, _ENGINE)
        newer = _make_state((0, 1, 2), has_sought_path=False)
        waiting = self.service._find_waiting(newer, _ENGINE)
        older.has_sought_path = True
        self.assertIs(self.service._find_waiting(older, _ENGINE), waiting)
        now = self.read_clock()
        late = WaitingRequest(
            key="a", urgency=1, arrived_at=now - 5.0, objective_s=1.0, is_started=False
        )
        # Late requests of the lowest class only are limited without other demand.
        self.assertEqual(waiting.find_kv_share(late, now=now), 1.0)


class ReleaseTest(_EndedStreamTest):
    async def test_waiting_requests_are_woken_after_the_release(self):
        """Guards against requests that are woken while a slow caller holds capacity."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        is_written = asyncio.Event()
        self.request["answer"].write_eof = is_written.wait
        held = []
        ledger = self.service._ledger
        self.service._record_released = mock.Mock(
            side_effect=lambda attempt: held.append(ledger.has_own())
        )
        self.streams[0].events.put_nowait(b"id: 2\ndata: [DONE]\n\n")
        self.streams[0].events.put_nowait(b"")
        await asyncio.sleep(0.1)
        is_written.set()
        async with asyncio.timeout(5.0):
            await asyncio.wait([self.serving])
        self.assertEqual(held, [False])
