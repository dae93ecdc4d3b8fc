"""Where begun streams stay, or go on, as no other path would be better."""

import asyncio
from dataclasses import replace
from unittest import mock

from fulmarward_core.fleet import TargetRecord
from fulmarward_core.queueing import WaitingRequest
from fulmarward_router.exchange import _failover
from fulmarward_router.exchange._request_state import MAX_ENDED_RUNS
from fulmarward_router.exchange.tests import test_late_streams
from fulmarward_router.exchange.tests.test_ended_streams import _EndedStreamTest
from fulmarward_router.exchange.tests.test_rerouted_streams import _SilentPathTest
from fulmarward_router.ports import OrderOutcome, OrderResult


class UnreachedServiceTest(_EndedStreamTest):
    async def test_stream_that_no_peer_may_serve_stays_while_no_target_answers(self):
        """Guards against a stream that is cut as its instance was cut off for 1 s."""
        self.begin(most_attempts=1)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.service.supervisor._has_peers = lambda: True
        self.service._context.contacts.is_reached = lambda service: False
        await asyncio.sleep(1.3)
        await self.check_completes(attempt=1)
        self.assertEqual(len(self.calls), 1)


class CrossingTest(_EndedStreamTest):
    def list_target(self, name, address, layers, **options):
        """List a target; those that do not hold the first layer are elsewhere."""
        with mock.patch.object(test_late_streams, "TargetRecord", self.make_record):
            super().list_target(name, address, layers, **options)

    def make_record(self, **fields):
        if fields["layers"].start:
            fields["data_centre"] = "b"
        return TargetRecord(**fields)

    async def accept_order(self, path):
        self.orders.append(path)
        return OrderResult(outcome=OrderOutcome.TAKEN)

    async def begin_crossing(self, *, most_attempts):
        """Begin a stream along a path that crosses, as all others do."""
        self.orders = []
        self.dialect.order = self.accept_order
        for number, layers in ((1, (0, 1)), (2, (0, 1)), (3, (1, 2)), (4, (1, 2))):
            self.list_target(f"t{number}", f"h:{number}", layers)
        self.begin_listed(most_attempts=most_attempts)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.pipe = self.service.supervisor._pipe

    def lose_second_target(self):
        lost = self.calls[0].path[1].target
        self.suspicions.record_failure(lost, now=self.read_clock())

    async def await_order(self):
        async with asyncio.timeout(2.0):
            while not self.orders:
                await asyncio.sleep(0.01)

    async def check_rerouted(self, *, most_attempts):
        """Lose a later target beside a full link; check that its stream is kept."""
        await self.begin_crossing(most_attempts=most_attempts)
        # Its transfers wait for those of others.
        self.pipe._busy_until = self.read_clock() + 100.0
        self.lose_second_target()
        await asyncio.sleep(0.4)
        self.assertEqual((len(self.calls), len(self.orders)), (1, 1))
        await self.check_completes(attempt=1)

    async def test_stream_is_rerouted_if_all_ways_around_a_lost_target_cross(self):
        """Guards against a prompt that is computed anew behind the same full link."""
        await self.check_rerouted(most_attempts=3)

    async def test_stream_on_its_last_run_is_rerouted_if_all_ways_cross(self):
        """Guards against a prompt that is computed anew behind the same full link."""
        await self.check_rerouted(most_attempts=1)

    async def test_stream_is_not_aborted_for_a_path_that_the_full_link_refuses(self):
        """Guards against a stream that is cut while its accepted path may serve it."""
        await self.begin_crossing(most_attempts=2)
        with mock.patch.object(self.pipe, "count_crossings", return_value=0):
            self.lose_second_target()
            await self.await_order()
        self.pipe._busy_until = self.read_clock() + 100.0
        await asyncio.sleep(1.0)
        await self.check_completes(attempt=1)
        self.assertEqual(len(self.calls), 1)


class BoundStreamTest(_EndedStreamTest):
    async def test_stream_without_runs_left_leaves_the_target_that_is_silent(self):
        """Guards against a last retry at the target whose silence it is taken for."""
        self.begin()
        for attempt in (1, 2):
            await self.await_attempt(attempt)
            await self.send(attempt, attempt=attempt)
            await self.lose(attempt, removed=False)
        await self.await_attempt(3)
        await self.send(3, attempt=3)
        await self.await_attempt(4)
        self.assertNotEqual(self.calls[3].target, self.calls[2].target)
        await self.check_completes(attempt=4)

    async def test_stream_that_runs_again_at_one_target_may_run_at_another(self):
        """Guards against a repeated run that is taken for one at a further target."""
        self.begin(targets=1)
        for attempt in (1, 2):
            await self.await_attempt(attempt)
            await self.send(attempt, attempt=attempt)
            if attempt == 1:
                await self.lose(attempt, removed=False)
        self.list_target("t2", "h:2", (0, 2))
        self.dialect.silent = {"t1"}
        self.suspicions.record_failure("t1", now=self.read_clock())
        async with asyncio.timeout(1.0):
            await self.await_attempt(3)
        self.assertEqual(self.calls[2].target, "t2")


class GoneTargetTest(_EndedStreamTest):
    async def test_stream_whose_silent_targets_have_ended_is_not_resumed_for_ever(
        self,
    ):
        """Guards against a run beyond those that streams broken off get."""
        self.begin(targets=12, port=1)
        for attempt in range(1, 3 + MAX_ENDED_RUNS):
            await self.await_attempt(attempt)
            await self.send(attempt, attempt=attempt)
            target = self.calls[attempt - 1].target
            self.dialect.silent.add(target)
            self.suspicions.record_failure(target, now=self.read_clock())
            self.remove_target(target)
        await asyncio.sleep(0.6)
        self.assertEqual(len(self.calls), 2 + MAX_ENDED_RUNS)


class DeclaredPauseTest(_SilentPathTest):
    accept_order = CrossingTest.accept_order
    await_order = CrossingTest.await_order

    async def test_rerouted_stream_may_pause_as_long_as_its_route_declares(self):
        """Guards against a retry that is used up by a pause its caller accepts."""
        self.orders = []
        self.dialect.order = self.accept_order
        await self.begin_path()
        attempt = next(iter(self.service.supervisor._attempts.values()))
        attempt.state.route = replace(attempt.state.route, pause_s=1.0)
        lost = self.calls[0].path[1].target
        self.suspicions.record_failure(lost, now=self.read_clock())
        await self.await_order()
        await asyncio.sleep(0.8)
        await self.check_completes(attempt=1)
        self.assertEqual(len(self.calls), 1)


class LastMomentTest(_SilentPathTest):
    async def test_stream_whose_caller_leaves_is_resumed_before_others_that_wait(self):
        """Guards against a stream that is aborted only to be cut behind others."""
        await self.begin_path()
        attempt = next(iter(self.service.supervisor._attempts.values()))
        state = attempt.state
        waiting = self.service._paths.find_waiting(state, attempt.engine)
        other = WaitingRequest(
            key="other",
            urgency=0,
            arrived_at=state.arrived_at - 1.0,
            objective_s=state.route.objective_s,
            is_started=True,
        )
        waiting.add(other, now=self.read_clock())
        await self.await_resumed()


class LapsedEntryTest(_EndedStreamTest):
    async def test_run_at_a_target_whose_entry_came_back_counts(self):
        """Guards against more living targets than the route allows."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        first = self.calls[0]
        self.dialect.silent = {first.target}
        self.suspicions.record_failure(first.target, now=self.read_clock())
        self.remove_target(first.target)
        await self.await_attempt(2)
        self.list_target(first.target, first.address, (0, 2))
        self.dialect.silent = set()
        await self.send(2, attempt=2)
        await self.lose(2, removed=False)
        await self.await_attempt(3)
        await self.check_completes(attempt=3)
        self.assertEqual(len({call.target for call in self.calls}), 2)


class WithheldTest(_SilentPathTest):
    async def test_causes_that_alternate_are_logged_once_each(self):
        """Guards against ten lines a second for each silent stream."""
        await self.begin_path()
        supervisor = self.service.supervisor
        attempt = next(iter(supervisor._attempts.values()))
        with mock.patch.object(_failover, "log_event") as log:
            for _ in range(10):
                supervisor._log_withheld(attempt, "silent", "no retry")
                supervisor._log_withheld(attempt, "silent", "no other path")
        self.assertEqual(log.call_count, 2)
