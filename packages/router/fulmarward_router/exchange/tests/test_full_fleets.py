"""Begun streams that are resumed while the targets are full."""

import asyncio
from dataclasses import replace
from unittest import mock

from fulmarward_core.fleet import AcceleratorKind
from fulmarward_core.paths import Hop
from fulmarward_core.queueing import WaitingRequest
from fulmarward_core.suspicion import FailureKind
from fulmarward_router.exchange._admission import CALLER_TIMEOUT_S
from fulmarward_router.exchange.tests import test_late_streams
from fulmarward_router.exchange.tests.test_ended_streams import _EndedStreamTest
from fulmarward_router.exchange.tests.test_stalled_streams import _RestartTest
from fulmarward_router.ports import OrderOutcome

#: Memory of a target that has room for one stream, in MB, by its number of layers.
_ROOM_FOR_ONE_MB = {1: 151.0, 2: 302.0}


def _make_engine(layers):
    """Return an engine whose targets hold `layers` layers and one stream."""
    kind = AcceleratorKind(
        name="big",
        memory_mb=_ROOM_FOR_ONE_MB[layers],
        step_factor=1.0,
        prefill_factor=1.0,
    )
    return replace(
        test_late_streams._ENGINE, kv_bytes_per_token=1e7, kinds={"big": kind}
    )


class _FullFleetTest(_EndedStreamTest):
    #: Layers of each target.
    layers = 2

    def setUp(self):
        super().setUp()
        patch = mock.patch.object(
            test_late_streams, "_ENGINE", _make_engine(self.layers)
        )
        patch.start()
        self.addCleanup(patch.stop)

    def fill(self, target, layers=(0, 2)):
        """Reserve a target for another request; return the reservation."""
        hop = Hop(
            target=target,
            address="h",
            layers=test_late_streams.LayerRange(start=layers[0], end=layers[1]),
        )
        return self.service._ledger.reserve([hop], 20)

    def silence(self, target):
        self.dialect.silent.add(target)
        self.suspicions.record_failure(
            target, now=self.read_clock(), kind=FailureKind.SILENT
        )

    def is_closed(self, attempt):
        return None in self.streams[attempt - 1].events._queue


class ReleasedRoomTest(_FullFleetTest):
    async def await_search(self):
        """Return once the silent stream has found no path beside its own."""
        choose, is_over = self.service._paths.finder.choose, asyncio.Event()

        def watch(service, engine, wanted, **options):
            path = choose(service, engine, wanted, **options)
            if "t1" in wanted.avoided and path is None:
                is_over.set()
            return path

        self.service._paths.finder.choose = watch
        async with asyncio.timeout(1.0):
            await is_over.wait()

    async def test_released_room_goes_to_a_begun_stream_first(self):
        """Guards against new requests that take what a silent stream waits for."""
        self.begin(targets=1)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.list_target("t2", "h:2", (0, 2))
        other = self.fill("t2")
        self.silence("t1")
        await asyncio.sleep(0.3)
        self.serve()
        await self.await_search()
        self.assertEqual(len(self.calls), 1)
        self.service._ledger.release(other)
        await self.await_attempt(2)
        self.assertEqual(self.calls[1].last_event, "1")
        await self.check_completes(attempt=2)

    async def test_stream_whose_target_goes_on_leaves_the_queue(self):
        """Guards against new requests behind a stream that needs no room any more."""
        self.begin(targets=1)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.list_target("t2", "h:2", (0, 2))
        other = self.fill("t2")
        self.silence("t1")
        await asyncio.sleep(0.3)
        await self.send(2, attempt=1)
        self.service._ledger.release(other)
        self.serve()
        await self.await_attempt(2)
        self.assertIsNone(self.calls[1].last_event)
        await self.check_completes(attempt=1)

    async def test_check_of_a_stream_without_room_searches_three_times(self):
        """Guards against checks that take the time of an instance in a large fleet."""
        self.begin(targets=1)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.list_target("t2", "h:2", (0, 2))
        self.fill("t2")
        supervisor = self.service.supervisor
        attempt = next(iter(supervisor._attempts.values()))
        finder = self.service._paths.finder
        with mock.patch.object(finder, "choose", wraps=finder.choose) as choose:
            supervisor._resume_elsewhere(attempt, "silent")
        self.assertLessEqual(choose.call_count, 3)
        await self.check_completes(attempt=1)


class KeptRoomTest(_FullFleetTest, _RestartTest):
    layers = 1

    def setUp(self):
        super().setUp()
        engine = replace(test_late_streams._ENGINE, layers=3, kv_bytes_per_token=1.5e7)
        patch = mock.patch.object(test_late_streams, "_ENGINE", engine)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_stream_is_rerouted_beside_the_room_that_it_holds(self):
        """Guards against targets that are too full for a stream which they hold."""
        self.dialect.order = self.order
        for number in (1, 2, 3):
            self.list_target(f"t{number}", f"h:{number}", (number - 1, number))
        self.begin_listed()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.list_target("t4", "h:4", (1, 2))
        self.silence("t2")
        await self.await_order()
        self.assertEqual([h.target for h in self.orders[0]], ["t1", "t4", "t3"])
        await self.check_completes(attempt=1)


class OwnRoomTest(_FullFleetTest, _RestartTest):
    """Streams that hold the only room in which they could go on."""

    layers = 1

    def setUp(self):
        super().setUp()
        self.dialect_outcome = OrderOutcome.REFUSED

    async def begin_full(self):
        """Begin a stream at the only first target, of which it fills all."""
        self.dialect.order = self.order
        self.list_target("t1", "h:1", (0, 1))
        self.list_target("t2", "h:2", (1, 2))
        self.begin_listed()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.sent_at = self.read_clock()
        self.list_target("t3", "h:3", (1, 2))

    async def test_stream_is_resumed_in_its_own_room_before_its_caller_leaves(self):
        """Guards against a stream that holds the room it waits for."""
        await self.begin_full()
        self.silence("t2")
        await asyncio.sleep(1.2)
        self.assertFalse(self.is_closed(1), "its target may go on")
        await self.await_attempt(2)
        self.assertLess(self.read_clock() - self.sent_at, CALLER_TIMEOUT_S)
        self.assertTrue(self.is_closed(1))
        self.assertEqual([h.target for h in self.calls[1].path], ["t1", "t3"])
        await self.check_completes(attempt=2)

    async def test_stream_through_a_restarted_target_is_resumed_in_its_own_room(self):
        """Guards against room that is held for a process that knows nothing of it."""
        await self.begin_full()
        self.restart("t2", (1, 2))
        async with asyncio.timeout(1.0):
            await self.await_attempt(2)
        self.assertEqual([h.target for h in self.calls[1].path], ["t1", "t3"])
        await self.check_completes(attempt=2)

    async def test_stream_through_a_superseded_target_is_resumed_in_its_own_room(self):
        """Guards against room that is held for a process whose address is taken."""
        await self.begin_full()
        self.list_target("t4", "h:2", (1, 2))
        async with asyncio.timeout(1.0):
            await self.await_attempt(2)
        self.assertNotIn("t2", [h.target for h in self.calls[1].path])
        await self.check_completes(attempt=2)

    async def test_stream_through_a_restarted_target_releases_its_room(self):
        """Guards against room that a stream holds while it can't go on."""
        await self.begin_full()
        others = [self.fill(target, (1, 2)) for target in ("t2", "t3")]
        self.restart("t2", (1, 2))
        await asyncio.sleep(0.8)
        load = self.service._ledger.find_load("t1", now=self.read_clock())
        self.assertEqual(load.running, 0)
        for other in others:
            self.service._ledger.release(other)
        await self.await_resumed()

    async def test_stream_without_a_retry_stays_in_its_room(self):
        """Guards against a stream that is ended although its target may go on."""
        await self.begin_full()
        budget = self.service._context.find_budget("pool")
        while budget.take_retry(share=1.0, now=self.read_clock()):
            pass
        self.silence("t2")
        await asyncio.sleep(1.8)
        self.assertFalse(self.is_closed(1))
        await self.check_completes(attempt=1)

    async def test_stream_stays_in_its_room_if_another_would_get_it(self):
        """Guards against a stream that is ended for one that has waited for longer."""
        await self.begin_full()
        other = WaitingRequest(
            key="x", urgency=0, arrived_at=0.0, objective_s=0.5, is_started=True
        )
        self.service._paths._uniform_requests["pool"].add(other, now=self.read_clock())
        self.silence("t2")
        await asyncio.sleep(1.8)
        self.assertFalse(self.is_closed(1))
        await self.check_completes(attempt=1)

    async def test_stream_stays_if_its_first_target_takes_no_more(self):
        """Guards against a stream that is ended for room where it may not be sent."""
        await self.begin_full()
        self.service._paths.finder._list_throttled = lambda: frozenset({"t1"})
        self.silence("t2")
        await asyncio.sleep(1.8)
        self.assertFalse(self.is_closed(1))
        await self.check_completes(attempt=1)

    async def test_stream_that_breaks_off_meanwhile_takes_one_retry(self):
        """Guards against a retry for an attempt that its target has ended already."""
        await self.begin_full()
        try_path = self.service._paths.admission.try_path

        async def lose_and_try(*args, **options):
            if not self.is_closed(1):
                await self.lose(1, removed=False)
                await asyncio.sleep(0.01)
            return await try_path(*args, **options)

        self.service._paths.admission.try_path = lose_and_try
        self.restart("t2", (1, 2))
        await self.await_attempt(2)
        budget = self.service._context.find_budget("pool")
        self.assertEqual(budget.count(share=1.0, now=self.read_clock()).used, 1)
        await self.check_completes(attempt=2)


class LapsedEntryTest(_FullFleetTest):
    async def test_stream_whose_first_target_is_not_listed_stays_in_its_room(self):
        """Guards against an entry that lapses taken for a process that has ended."""
        self.begin(targets=1)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.list_target("t2", "h:2", (0, 2))
        self.fill("t2")
        self.silence("t1")
        self.remove_target("t1")
        await asyncio.sleep(1.0)
        self.assertFalse(self.is_closed(1))
        await self.check_completes(attempt=1)


class SeveralStreamsTest(_FullFleetTest, _RestartTest):
    layers = 1

    async def test_streams_do_not_give_up_their_room_for_the_same_path(self):
        """Guards against streams that are ended for room that only one of them gets."""
        self.dialect.order = self.order
        self.dialect_outcome = OrderOutcome.REFUSED
        for number in (1, 2):
            self.list_target(f"t{number}", f"h:{number}", (0, 1))
        for number in (3, 4):
            self.list_target(f"t{number}", f"h:{number}", (1, 2))
        self.begin_listed()
        self.serve()
        await self.await_attempt(2)
        for stream in self.streams:
            stream.events.put_nowait(b"id: 1\ndata: x\n\n")
        await asyncio.sleep(0.05)
        self.list_target("t5", "h:5", (1, 2))
        for target in ("t3", "t4"):
            self.silence(target)
        await self.await_attempt(3)
        await asyncio.sleep(0.4)
        self.assertEqual(sum(self.is_closed(attempt) for attempt in (1, 2)), 1)


class NoUseOfRoomTest(_FullFleetTest):
    async def check_served(self):
        serving, _ = self.serve()
        async with asyncio.timeout(0.5):
            while len(self.calls) < 2 and not serving.done():
                await asyncio.sleep(0.01)
        self.assertEqual(len(self.calls), 2, serving)

    async def test_room_is_not_kept_for_a_stream_that_no_room_helps(self):
        """Guards against new requests that wait beside a target with room."""
        patch = mock.patch.object(
            test_late_streams,
            "_ENGINE",
            replace(test_late_streams._ENGINE, kv_bytes_per_token=10.0),
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.begin(targets=1)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.silence("t1")
        await asyncio.sleep(0.3)
        self.dialect.silent.clear()
        self.suspicions.record_restart("t1")
        await self.check_served()

    async def test_room_is_not_kept_for_a_stream_without_a_retry(self):
        """Guards against new requests that wait for a stream that can't take room."""
        self.begin(targets=1, slack=0.0)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.list_target("t2", "h:2", (0, 2))
        other = self.fill("t2")
        self.silence("t1")
        await asyncio.sleep(0.3)
        self.service._ledger.release(other)
        await self.check_served()


class RoomForOthersTest(_FullFleetTest, _RestartTest):
    layers = 1

    def setUp(self):
        super().setUp()
        kind = replace(test_late_streams._ENGINE.kinds["big"], memory_mb=230.0)
        engine = replace(test_late_streams._ENGINE, kinds={"big": kind})
        patch = mock.patch.object(test_late_streams, "_ENGINE", engine)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_new_requests_use_room_that_a_silent_stream_avoids(self):
        """Guards against rejections beside a target with room that answers."""
        self.dialect.order = self.order
        self.list_target("t1", "h:1", (0, 1))
        self.list_target("t3", "h:3", (1, 2))
        self.begin_listed()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.list_target("t2", "h:2", (0, 1))
        self.list_target("t4", "h:4", (1, 2))
        for _ in range(2):
            self.fill("t2", (0, 1))
        self.silence("t3")
        await self.await_order()
        await asyncio.sleep(0.75)
        serving, _ = self.serve()
        async with asyncio.timeout(0.25):
            while len(self.calls) < 2 and not serving.done():
                await asyncio.sleep(0.01)
        self.assertEqual([h.target for h in self.calls[1].path], ["t1", "t4"])
        self.assertIsNone(self.calls[1].last_event)
