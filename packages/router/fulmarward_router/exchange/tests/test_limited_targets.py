"""At how many targets a stream runs that has begun."""

import asyncio

from fulmarward_router.exchange.tests.test_resumptions import _SilentStreamTest


class _LimitedTargetTest(_SilentStreamTest):
    def check_limited(self, most):
        """Check that the stream was sent to at most so many targets."""
        self.assertLessEqual(len({call.target for call in self.calls}), most)


class LimitedTargetTest(_LimitedTargetTest):
    async def test_target_without_a_response_counts_once_its_stream_breaks_off(self):
        """Guards against a third target while the silent second may run it."""
        self.statuses = [200, None]
        await self.begin_silent()
        await self.await_attempt(2)
        await self.send(2, attempt=1)
        self.dialect.silent.clear()
        first, now = self.calls[0].target, self.read_clock()
        self.suspicions.record_regained(first, asked_at=now, now=now)
        self.silence(self.calls[1].target)
        await self.lose(1, removed=False)
        await self.await_attempt(3)
        self.check_limited(2)
        await self.check_completes(attempt=3)

    async def test_target_without_a_response_counts_beside_an_open_stream(self):
        """Guards against a third target while the silent first is still open."""
        self.statuses = [200, None]
        await self.begin_silent()
        await self.await_attempt(2)
        await self.send(2, attempt=1)
        for call in self.calls:
            self.silence(call.target)
        await asyncio.sleep(1.0)
        self.check_limited(2)
        await self.check_completes(attempt=1)

    async def test_first_target_without_a_response_counts_once_another_has_begun(self):
        """Guards against a third target beside a first one that never answered."""
        self.statuses = [None]
        self.begin()
        await self.await_attempt(1)
        self.silence(self.calls[0].target)
        await self.await_attempt(2)
        await self.send(1, attempt=2)
        await self.lose(2, removed=False)
        await self.await_attempt(3)
        self.check_limited(2)
        await self.check_completes(attempt=3)


class RelayedTargetTest(_SilentStreamTest):
    async def test_relayed_stream_runs_at_one_target(self):
        """Guards against two targets that the relaying instance counts as one."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        [attempt] = self.service.supervisor._attempts.values()
        attempt.state.facts.relayed_by = "two"
        self.silence(self.calls[0].target)
        await asyncio.sleep(1.0)
        self.assertEqual(len(self.calls), 1)
        await self.check_completes(attempt=1)


class RemovedTargetTest(_LimitedTargetTest):
    async def test_removed_target_that_answers_probes_counts(self):
        """Guards against a third target while one that leaves works on."""
        self.statuses = [200, None]
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.remove_target(self.calls[0].target)
        await self.await_attempt(2)
        self.silence(self.calls[1].target)
        await asyncio.sleep(1.0)
        self.check_limited(2)
        await self.check_completes(attempt=1)


class UnsentTest(_LimitedTargetTest):
    async def open(self, state, call):
        try:
            return await super().open(state, call)
        except asyncio.CancelledError as error:
            error.connections = 0
            raise

    async def test_target_that_was_never_connected_to_does_not_count(self):
        """Guards against a stream without a target left for one that got nothing."""
        self.statuses = [200, None]
        await self.begin_silent()
        await self.await_attempt(2)
        self.silence(self.calls[1].target)
        await self.await_attempt(3)
        self.check_limited(3)
        await self.send(2, attempt=3)
        await self.check_completes(attempt=3)

    async def test_connection_that_was_not_needed_does_not_count(self):
        """Guards against a run of an attempt that was given up before it was sent."""
        self.statuses = [200, None]
        await self.begin_silent()
        await self.await_attempt(2)
        await self.send(2, attempt=1)
        self.silence(self.calls[1].target)
        await self.lose(1, removed=False)
        await self.await_attempt(3)
        self.assertNotIn(self.calls[2].target, [c.target for c in self.calls[:2]])
        await self.check_completes(attempt=3)
