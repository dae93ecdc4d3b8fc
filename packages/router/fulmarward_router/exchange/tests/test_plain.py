"""The order in which requests of plain services get a target."""

import asyncio
import time
import unittest
from dataclasses import replace
from unittest import mock

from aiohttp import web

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.loads import LoadLedger
from fulmarward_core.reservations import ClassSettings
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_core.suspicion._table import MAX_ERRORS
from fulmarward_router.exchange import PlainService
from fulmarward_router.exchange._send import AnswerLost
from fulmarward_router.exchange._whole_responses import Placement
from fulmarward_router.exchange.tests.test_late_sends import _make_row
from fulmarward_router.tests._target_limits import make_target_limits


class OrderTest(unittest.IsolatedAsyncioTestCase):
    """A target whose three places are in use, and 20 waiting of the lowest class."""

    async def start(self, *, class_services):
        row = _make_row("127.0.0.1:1", 1, is_leaving=False)
        row = replace(row, record=replace(row.record, slots=1))
        context = mock.Mock(
            catalogue=TargetCatalogue(),
            suspicions=SuspicionTable(),
            target_limits=make_target_limits(),
            ledger=LoadLedger(),
            data_centre="a",
            read_clock=time.monotonic,
            list_class_services=lambda: class_services,
            read_class_settings=ClassSettings,
        )
        context.catalogue.apply_changes([row], 1, now=time.monotonic())
        relay = mock.Mock(is_needed=lambda state: False)
        monitor = mock.Mock(admit=mock.AsyncMock())
        self.plain = PlainService(
            context=context,
            failure_detector=None,
            forwarder=None,
            relay=relay,
            crash_monitor=monitor,
        )
        self.plain._responses.try_target = self.answer
        self.sent, self.answers = [], asyncio.Semaphore(0)
        await self.serve(*(f"low-{number}" for number in range(23)))
        self.assertEqual(self.sent, ["low-0", "low-1", "low-2"])
        self.sent.clear()

    async def answer(self, state, targets, placement):
        self.sent.append(state.facts.request_id)
        await self.answers.acquire()
        return web.Response(status=200)

    async def release(self, count):
        for _ in range(count):
            self.answers.release()
            await asyncio.sleep(0.005)

    async def serve(self, *names, urgency=2):
        """Start requests that wait for 1.2 s, and without classes poll each 0.3 s."""
        for name in names:
            state = mock.Mock(
                service="plain", class_urgency=urgency, attempts=0, runs=0, sends=0
            )
            state.arrived_at, state.deadline = time.monotonic(), time.monotonic() + 20
            state.facts.request_id, state.route.objective_s = name, 10.0
            task = asyncio.create_task(self.plain.serve(state))
            self.addCleanup(task.cancel)
            await asyncio.sleep(0.001)
        return task

    async def test_burst_of_the_lowest_class_does_not_delay_the_highest(self):
        """Guards against a target for whoever asks first, one left idle, and waits for
        a request that is gone."""
        await self.start(class_services={"plain"})
        await self.serve("middle", urgency=1)
        gone = await self.serve("gone", urgency=0)
        await self.serve("high-0", "high-1", urgency=0)
        gone.cancel()
        await self.release(5)
        self.assertEqual(self.sent, ["high-0", "high-1", "middle", "low-3", "low-4"])

    async def test_lowest_class_is_not_starved_by_the_highest(self):
        """Guards against an order without the minimum share, a quarter by default."""
        await self.start(class_services={"plain"})
        await self.serve(*(f"high-{number}" for number in range(20)), urgency=0)
        await self.release(15)
        lows = [place for place, name in enumerate(self.sent) if "low" in name]
        self.assertEqual(lows, [4, 9, 14])

    async def test_request_that_awaits_a_permit_holds_up_nobody(self):
        """Guards against idle targets while the owner of another's limit is silent."""
        await self.start(class_services={"plain"})

        async def acquire(target, *, request_id):
            if request_id == "high":
                await asyncio.sleep(9.0)
            return True

        self.plain._limits = mock.Mock(list_throttled=frozenset, acquire=acquire)
        await self.serve("high", urgency=0)
        await self.release(1)
        await asyncio.sleep(0.4)
        self.assertEqual(self.sent, ["low-3"])

    async def test_without_classes_the_one_that_asks_first_is_served(self):
        """Guards against another order for services whose routes are equally urgent."""
        await self.start(class_services=frozenset())
        await self.release(1)
        await self.serve("arrives")
        self.assertEqual(self.sent, ["arrives"])


class ChargeTest(unittest.IsolatedAsyncioTestCase):
    async def test_new_process_is_not_charged_for_answers_of_the_old_one(self):
        """Guards against a target that is excluded as soon as it has started again."""
        rows = [
            _make_row("127.0.0.1:1", version, is_leaving=False) for version in (1, 2)
        ]
        rows[1] = replace(rows[1], record=replace(rows[1].record, started_ms=2))
        catalogue, suspicions = TargetCatalogue(), SuspicionTable()

        async def open_lost(state, call):
            if catalogue.apply_changes([rows[1]], 2, now=time.monotonic()):
                suspicions.record_restart("t1")
            raise AnswerLost("broken off")

        context = mock.Mock(
            catalogue=catalogue,
            suspicions=suspicions,
            read_clock=time.monotonic,
            open=open_lost,
        )
        plain = PlainService(
            context=context,
            failure_detector=None,
            forwarder=None,
            relay=mock.Mock(),
            crash_monitor=mock.Mock(),
        )
        state = mock.Mock(runs=0, sends=0, attempts=1, deadline=time.monotonic() + 20.0)
        catalogue.apply_changes([rows[0]], 1, now=time.monotonic())
        for _ in range(MAX_ERRORS):
            await _try_target(plain, state, rows[0].record)
        self.assertFalse(suspicions.is_suspect("t1", now=time.monotonic()))
        await _try_target(plain, state, rows[1].record)
        await _try_target(plain, state, rows[1].record)
        self.assertTrue(suspicions.is_suspect("t1", now=time.monotonic()))


async def _try_target(plain, state, record):
    """Send one attempt to a target of the service, as it is known."""
    placement = Placement(
        target=record.name,
        address=record.address,
        records={record.name: record},
        reservation=None,
    )
    await plain._responses.try_target(state, plain.choose_targets(state), placement)
