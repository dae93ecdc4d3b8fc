"""Answers that are being written when an instance stops."""

import asyncio
import socket

from aiohttp import web
from aiohttp.test_utils import RawTestServer

from fulmarward.http import ConnectionBudget
from fulmarward_router.daemon import _serve
from fulmarward_router.exchange.tests.test_stop_gate import _StoppingTest


class WrittenAnswerTest(_StoppingTest):
    async def test_answer_that_is_being_written_is_open(self):
        """Guards against a stop that ends early, and cuts what a caller reads."""

        async def serve(state):
            return web.Response(body=b"x" * 50_000_000)

        self.peer.handler._serve = serve
        server = RawTestServer(self.peer.handler.handle)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        self.addCleanup(writer.transport.abort)
        writer.write(b"POST /v1/x HTTP/1.1\r\nHost:\r\nContent-Length: 0\r\n\r\n")
        self.assertIn(b"200", await reader.readline())
        await asyncio.sleep(0.1)
        self.assertEqual(self.gate.count_open(), 1)

    async def ask_without_reading(self, size):
        """Send a request whose answer has `size` bytes, over short socket buffers."""

        async def serve(state):
            sender = state.request.transport.get_extra_info("socket")
            sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return web.Response(body=b"x" * size)

        self.peer.handler._serve = serve
        server = RawTestServer(self.peer.handler.handle, handler_cancellation=True)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        receiver = socket.socket()
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        receiver.connect(("127.0.0.1", server.port))
        reader, writer = await asyncio.open_connection(sock=receiver, limit=1024)
        self.addCleanup(writer.close)
        writer.write(b"POST /v1/x HTTP/1.1\r\nHost:\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(0.1)
        return reader

    async def test_answer_of_which_only_the_last_bytes_are_left_is_open(self):
        """Guards against a process that ends with the rest of an answer buffered."""
        reader = await self.ask_without_reading(60_000)
        self.assertEqual(self.gate.count_open(), 1)
        await reader.readuntil(b"\r\n\r\n")
        self.assertEqual(len(await reader.readexactly(60_000)), 60_000)
        await asyncio.sleep(0.1)
        self.assertEqual(self.gate.count_open(), 0)

    async def test_answer_that_is_being_written_at_the_end_is_cut(self):
        """Guards against a second answer in the middle of one, and an endless stop."""
        reader = await self.ask_without_reading(1_000_000)
        self.gate.end_all()
        await asyncio.sleep(0.1)
        self.assertEqual(self.gate.count_open(), 0)
        self.assertEqual(self.peer.handler.ended, {"cut": 1})
        async with asyncio.timeout(5.0):
            received = await reader.read(-1)
        self.assertEqual(received.count(b"HTTP/1.1"), 1)

    async def test_slow_reader_gets_the_whole_answer_while_there_is_time(self):
        """Guards against a connection that is closed long before the grace time ends.

        The stop closes its servers once no request is open, here after half a second of
        8 s; the caller reads for about 2 s.
        """
        size = 40_000_000

        async def serve(state):
            return web.Response(body=b"x" * size)

        self.peer.handler._serve = serve
        server = web.Server(self.peer.handler.handle, handler_cancellation=True)
        runner = await _serve(
            "127.0.0.1:0", server, budget=ConnectionBudget(), grace_s=8.0
        )
        host, port = runner.addresses[0][:2]
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 16)
        self.addCleanup(writer.transport.abort)
        writer.write(b"POST /v1/x HTTP/1.1\r\nHost:\r\nContent-Length: 0\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        self.begin_stop(8.0)
        await asyncio.sleep(0.5)
        closing = None
        if self.gate.count_open() == 0:
            closing = asyncio.create_task(runner.cleanup())
        received = 0
        while received < size and not (closing is not None and closing.done()):
            received += len(await reader.read(1_000_000))
            await asyncio.sleep(0.01)
        # The process ends once its servers are closed, with what is not written.
        self.assertEqual(received, size)
