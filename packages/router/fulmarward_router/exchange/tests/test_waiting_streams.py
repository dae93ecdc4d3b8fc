"""What begun streams cost that wait, or that are lost again and again."""

import asyncio
from unittest import mock

from fulmarward_core.suspicion import FailureKind
from fulmarward_core.suspicion._table import MAX_ERRORS
from fulmarward_router.exchange import _process_ends
from fulmarward_router.exchange._send import ConnectOutcome
from fulmarward_router.exchange.tests.test_ended_streams import _EndedStreamTest

#: Retries that one stream may take in half a second.
_MAX_CALLS = 8


class RerunTest(_EndedStreamTest):
    async def use_up_runs(self):
        """Lose a stream at as many targets as its route allows; both are excluded."""
        self.begin()
        for attempt in (1, 2):
            await self.await_attempt(attempt)
            await self.send(attempt, attempt=attempt)
            target = self.calls[attempt - 1].target
            for _ in range(MAX_ERRORS):
                self.suspicions.record_error(target, now=self.read_clock())
            await self.lose(attempt, removed=False)
        await asyncio.sleep(0.3)
        self.assertFalse(self.serving.done())
        self.assertEqual(len(self.calls), 2)

    async def test_stream_that_waits_for_its_targets_holds_up_no_other(self):
        """Guards against requests that are rejected beside targets with room."""
        await self.use_up_runs()
        serving, _ = self.serve()
        async with asyncio.timeout(5.0):
            while len(self.calls) < 3 and not serving.done():
                await asyncio.sleep(0.01)
        self.assertEqual(len(self.calls), 3, serving)
        self.assertFalse(self.serving.done(), "served only once the other was cut")

    async def test_stream_goes_on_elsewhere_once_its_targets_have_ended(self):
        """Guards against a stream that waits for targets that have ended meanwhile."""
        outcome = ConnectOutcome.ACCEPTED

        async def connect(address, *, timeout_s):
            return outcome

        with mock.patch.object(_process_ends, "try_connection", connect):
            await self.use_up_runs()
            for call in self.calls[:2]:
                self.remove_target(call.target)
            await asyncio.sleep(0.3)
            self.assertEqual(len(self.calls), 2)
            outcome = ConnectOutcome.REFUSED
            await self.await_attempt(3)
        await self.check_completes(attempt=3)

    async def test_stream_without_runs_left_is_not_relayed(self):
        """Guards against a third target, which a peer chooses."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        await self.lose(1, removed=False)
        await self.await_attempt(2)
        await self.send(2, attempt=2)
        relay = self.service._relay
        relay.is_needed = lambda state: True
        relay.serve = mock.AsyncMock(return_value=None)
        await self.lose(2, removed=False)
        await asyncio.sleep(0.5)
        relay.serve.assert_not_awaited()


class RepeatedLossTest(_EndedStreamTest):
    async def test_stream_that_is_broken_off_at_once_spares_the_retry_budget(self):
        """Guards against one stream that takes the retries of all others."""
        self.begin(targets=1)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        open_stream = self.open

        async def open_lost(state, call):
            stream = await open_stream(state, call)
            stream.close()
            return stream

        self.service._client.open = open_lost
        await self.lose(1, removed=False)
        await asyncio.sleep(0.5)
        self.assertLessEqual(len(self.calls), _MAX_CALLS)

    async def test_fault_of_this_program_spares_the_retry_budget(self):
        """Guards against a fault that repeats and takes the retries of all streams."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        monitor = self.service._crash_monitor
        monitor.record_events = mock.Mock(side_effect=RuntimeError("fault"))
        ends_at = self.read_clock() + 0.5
        while self.read_clock() < ends_at:
            self.streams[-1].events.put_nowait(b"id: 2\ndata: x\n\n")
            await asyncio.sleep(0.005)
        self.assertLessEqual(len(self.calls), _MAX_CALLS)


class LastRetryTest(_EndedStreamTest):
    async def test_stream_of_a_target_that_stays_silent_takes_the_last_retry(self):
        """Guards against a stream whose caller leaves while a retry is free."""
        self.begin(slack=2.0)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        target = self.calls[0].target
        self.dialect.silent.add(target)
        self.suspicions.record_failure(
            target, now=self.read_clock(), kind=FailureKind.SILENT
        )
        async with asyncio.timeout(2.0):
            await self.await_attempt(2)
        await self.check_completes(attempt=2)


class UnansweredTest(_EndedStreamTest):
    async def test_request_without_an_answer_is_sent_to_no_more_targets(self):
        """Guards against more runs than the route allows, at targets that live."""
        self.statuses = [None] * 9
        self.begin(targets=9)
        for attempt in (1, 2):
            await self.await_attempt(attempt)
            self.suspicions.record_failure(
                self.calls[-1].target, now=self.read_clock(), kind=FailureKind.SILENT
            )
        async with asyncio.timeout(5.0):
            while len(self.calls) < 3 and not self.serving.done():
                await asyncio.sleep(0.01)
        self.assertEqual(len(self.calls), 2)


class OwnFaultTest(_EndedStreamTest):
    async def test_fault_between_two_attempts_does_not_end_a_stream(self):
        """Guards against a stream that is cut by a single fault of this program."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        finder = self.service._paths.finder
        choose, faults = finder.choose, [RuntimeError("fault")]

        def choose_or_fail(*args, **options):
            if faults:
                raise faults.pop()
            return choose(*args, **options)

        finder.choose = choose_or_fail
        await self.lose(1, removed=False)
        await self.await_attempt(2)
        await self.check_completes(attempt=2)


class NoPeerTest(_EndedStreamTest):
    async def test_silence_without_contact_or_a_peer_does_not_end_a_stream(self):
        """Guards against a stream that is ended for a peer that does not exist."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        contacts = self.service._context.contacts
        contacts.is_reached = lambda service: False
        contacts.is_unreached_for_certain = lambda service, now: True
        await asyncio.sleep(1.3)
        self.assertFalse(self.serving.done(), self.serving)
        await self.check_completes(attempt=1)
