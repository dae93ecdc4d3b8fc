import asyncio
import socket
import unittest
from types import SimpleNamespace

from fulmarward.http import ResponseGuard
from fulmarward_router._sockets import reset_connection
from fulmarward_router.exchange import TargetClient, make_target_session
from fulmarward_router.exchange._send import AnswerLost, SendFailed

#: More than the socket buffers of both ends hold together.
_BODY = b"x" * 4_000_000

#: Receive buffer of the target, in bytes.
_RECEIVE_BUFFER = 4096


class _Dialect:
    def make_headers(self, headers, call):
        return []


class _StalledTarget:
    """A target behind a saturated link: only what fits into its buffers arrives."""

    def __init__(self):
        self._listening = socket.socket()
        self._listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
        self._listening.bind(("127.0.0.1", 0))
        self._listening.listen()
        self._listening.setblocking(False)
        host, port = self._listening.getsockname()
        self.address = f"{host}:{port}"

    async def accept(self):
        loop = asyncio.get_running_loop()
        self._connection, _ = await loop.sock_accept(self._listening)
        return self._connection

    async def read_to_end(self):
        """Return what arrives once the link recovers, and how the connection ends."""
        loop = asyncio.get_running_loop()
        received = bytearray()
        try:
            while data := await loop.sock_recv(self._connection, 1 << 16):
                received += data
        except ConnectionResetError:
            return bytes(received), "reset"
        return bytes(received), "closed"

    def close(self):
        self._connection.close()
        self._listening.close()


class _BreakingTarget:
    """A target that reads a request and closes, or resets, the connection."""

    def __init__(self, *, is_reset):
        self._is_reset = is_reset
        #: Number of requests that arrived.
        self.received = 0

    async def start(self):
        self._server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _handle(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.received += 1
        # A target that has ended refuses further connections.
        self._server.close()
        if self._is_reset:
            reset_connection(writer.transport)
        writer.close()


class BrokenOffTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_arrives_once_for_each_attempt(self):
        """Guards against a client that repeats some methods below the attempt."""
        methods = ("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH")
        cases = [(m, is_reset) for m in methods for is_reset in (False, True)]
        outcomes = [await self.send(m, is_reset=is_reset) for m, is_reset in cases]
        expected = [(AnswerLost, 1)] * len(cases)
        self.assertEqual(outcomes, expected, cases)

    async def send(self, method, *, is_reset):
        """Return the class of the error, and how often the request arrived."""
        target = _BreakingTarget(is_reset=is_reset)
        await target.start()
        async with make_target_session(ResponseGuard()) as session:
            client = TargetClient(session=session, dialect=_Dialect())
            state = SimpleNamespace(
                headers={},
                body=b"",
                request=SimpleNamespace(method=method, raw_path="/x"),
                facts=SimpleNamespace(request_id="r1"),
            )
            call = SimpleNamespace(address=target.address)
            with self.assertRaises(SendFailed) as raised:
                await client.open(state, call)
        return type(raised.exception), target.received


class AbandonedAttemptTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.session = make_target_session(ResponseGuard())
        self.addAsyncCleanup(self.session.close)
        self.target = _StalledTarget()
        self.addCleanup(self.target.close)
        self.client = TargetClient(session=self.session, dialect=_Dialect())

    def send(self, body):
        request = SimpleNamespace(raw_path="/x", method="POST")
        state = SimpleNamespace(headers={}, request=request, body=body)
        call = SimpleNamespace(address=self.target.address)
        return self.client.open(state, call)

    def open(self, body):
        return asyncio.create_task(self.send(body))

    async def test_queued_request_of_an_abandoned_attempt_is_not_delivered(self):
        """Guards against a target that executes a request after its deadline."""
        attempt = self.open(_BODY)
        await self.target.accept()
        await asyncio.sleep(0.05)
        attempt.cancel()
        await asyncio.gather(attempt, return_exceptions=True)
        received, end = await asyncio.wait_for(self.target.read_to_end(), 30)
        self.assertLess(len(received), len(_BODY))
        self.assertEqual(end, "reset")

    async def count_connections(self, attempt):
        """Return how many connections were made for an attempt that is cancelled."""
        counted = []

        async def observe():
            try:
                await attempt
            except asyncio.CancelledError as error:
                counted.append(error.connections)

        observing = asyncio.create_task(observe())
        await asyncio.sleep(0.05)
        observing.cancel()
        await observing
        return counted[0]

    async def test_cancelled_attempt_says_whether_it_was_connected(self):
        """Guards against a run that is counted at a target that got nothing."""
        counting = asyncio.create_task(self.count_connections(self.send(b"")))
        await self.target.accept()
        self.assertEqual(await counting, 1)
        # A listener whose queue is full answers no further connection.
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            address = full.getsockname()
            for _ in range(4):
                waiting = socket.socket()
                self.addCleanup(waiting.close)
                waiting.setblocking(False)
                waiting.connect_ex(address)
            host, port = address
            self.target.address = f"{host}:{port}"
            self.assertEqual(await self.count_connections(self.send(b"")), 0)

    async def test_request_that_is_not_acknowledged_is_given_up(self):
        """Guards against a request that arrives after its target has left."""
        attempt = self.open(_BODY)
        await self.target.accept()
        with self.assertRaises(AnswerLost):
            await asyncio.wait_for(attempt, 30)
        received, end = await asyncio.wait_for(self.target.read_to_end(), 30)
        self.assertLess(len(received), len(_BODY))
        self.assertEqual(end, "reset")

    async def test_connection_is_closed_in_order_after_a_complete_response(self):
        """Guards against resetting connections whose response is complete."""
        attempt = self.open(b"")
        connection = await self.target.accept()
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_sendall(
            connection, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        )
        response = await attempt
        self.assertEqual(await self.client.read_body(response), b"ok")
        response.close()
        _, end = await self.target.read_to_end()
        self.assertEqual(end, "closed")

    async def test_early_close_by_the_target_raises_answer_lost(self):
        """Guards against waiting for a response after its connection has ended."""
        attempt = self.open(b"")
        connection = await self.target.accept()
        connection.close()
        with self.assertRaises(AnswerLost):
            await attempt
