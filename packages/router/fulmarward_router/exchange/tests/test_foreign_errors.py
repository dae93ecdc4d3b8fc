"""Errors and cancellations that are not of a caller's connection."""

import asyncio

import aiohttp

from fulmarward_router.exchange import _send
from fulmarward_router.exchange._attempt import AttemptFailed
from fulmarward_router.exchange.tests import test_ended_streams, test_unreached_streams


class AttemptErrorTest(test_ended_streams._EndedStreamTest):
    async def run_error(self, error):
        """Raise an error while a begun stream is resumed; check that it goes on."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        client = self.service._client
        client.open, open_stream = self._fail_once(error, client.open), client.open
        await self.lose(1, removed=False)
        await self.await_attempt(2)
        self.assertIs(client.open, open_stream)
        await self.check_completes(attempt=2)

    def _fail_once(self, error, open_stream):
        async def open_or_fail(state, call):
            self.service._client.open = open_stream
            raise error

        return open_or_fail

    async def test_connection_error_of_something_else_is_a_failed_attempt(self):
        """Guards against an error of a probe or a link that is taken for a caller's."""
        await self.run_error(ConnectionResetError("a link"))

    async def test_cancellation_of_an_inner_task_is_a_failed_attempt(self):
        """Guards against a request that ends with a task that nobody ended for it."""
        await self.run_error(asyncio.CancelledError())

    async def test_error_of_the_callers_connection_ends_the_request(self):
        """Guards against attempts for a caller that has left."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)

        async def fail(data):
            raise aiohttp.ClientConnectionResetError("closing transport")

        self.request["answer"].write = fail
        self.streams[0].events.put_nowait(b"id: 2\ndata: x\n\n")
        await asyncio.wait([self.serving], timeout=2.0)
        self.assertIsInstance(self.serving.exception(), ConnectionError)
        self.assertEqual(len(self.calls), 1)

    async def test_cancelled_request_ends(self):
        """Guards against attempts for a caller whose connection has closed."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.serving.cancel()
        await asyncio.wait([self.serving], timeout=2.0)
        self.assertTrue(self.serving.cancelled())
        self.assertEqual(len(self.calls), 1)


class RelayErrorTest(test_unreached_streams._UnreachedStreamTest):
    async def run_error(self, error):
        """Raise an error while a begun stream is relayed; check that it goes on."""
        await self.begin_unreached(most_attempts=3)
        client, open_relay = self.service._relay._client, self.open_relay

        async def open_or_fail(state, address, headers):
            client.open_relay = open_relay
            raise error

        client.open_relay = open_or_fail
        self.are_peers_serving = True
        await self.lose(1, removed=False)
        async with asyncio.timeout(2.0):
            while not self.relayed:
                self.assertFalse(self.serving.done(), self.serving)
                await asyncio.sleep(0.01)
        self.streams.append(self.relayed[0])
        await self.check_completes(attempt=2)

    async def test_connection_error_of_something_else_is_a_failed_relay(self):
        """Guards against an error of a link that is taken for a caller's."""
        await self.run_error(ConnectionResetError("a link"))

    async def test_fault_of_this_program_is_a_failed_relay(self):
        """Guards against a stream that is cut by a single fault of this program."""
        await self.run_error(RuntimeError("fault"))

    async def test_cancellation_of_an_inner_task_is_a_failed_relay(self):
        """Guards against a request that ends with a task that nobody ended for it."""
        await self.run_error(asyncio.CancelledError())


class OddAddressTest(test_ended_streams._EndedStreamTest):
    async def test_address_that_is_no_address_refuses_nothing(self):
        """Guards against a begun stream that ends with the check of such a target."""
        outcome = await _send.try_connection("a..b:1", timeout_s=1.0)
        self.assertIs(outcome, _send.ConnectOutcome.FAILED)


class CancelledBesideAbortTest(test_ended_streams._EndedStreamTest):
    async def test_request_that_is_cancelled_as_its_attempt_is_aborted_ends(self):
        """Guards against further attempts for a caller that has left."""
        self.statuses = [None]
        self.begin()
        await self.await_attempt(1)
        attempt = next(iter(self.service.supervisor._attempts.values()))
        attempt.abort(AttemptFailed(cause="lost", is_not_run=False))
        self.serving.cancel()
        await asyncio.wait([self.serving], timeout=1.0)
        self.assertTrue(self.serving.cancelled())
        self.assertEqual(len(self.calls), 1)
