import asyncio
import gzip
import socket
import struct
import time
import unittest
import zlib
from types import SimpleNamespace
from unittest import mock

from aiohttp import web

from fulmarward.http import ConnectionBudget
from fulmarward_core.results import ResultCode
from fulmarward_router.exchange import CallerHandler, CallerServer, _caller_handler
from fulmarward_router.exchange._caller_connection import ClosedBy, find_closer
from fulmarward_router.exchange._request_state import RejectedRequest

#: Option of a socket by which closing it resets its connection.
_RESET = struct.pack("ii", 1, 0)

_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class InterruptionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.handler = CallerHandler(
            dialect=SimpleNamespace(),
            configuration=SimpleNamespace(),
            engines=SimpleNamespace(),
            plain=SimpleNamespace(),
            find_budget=lambda service: None,
            read_clock=asyncio.get_running_loop().time,
            is_stopping=lambda: False,
            observe=self.observe,
        )
        self.outcomes = asyncio.Queue()
        self.requests = asyncio.Queue()
        server = CallerServer(
            self.handler.handle,
            budget=ConnectionBudget(),
            read_idle_timeout_s=lambda: 60.0,
            max_header_bytes=8190,
        )
        runner = web.ServerRunner(server, shutdown_timeout=0.0)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.address = runner.addresses[0]
        patches = [
            mock.patch.object(self.handler, "_parse_request", self.wait),
            mock.patch.object(_caller_handler, "log_event"),
        ]
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)

    def observe(self, state, outcome, took_s):
        self.outcomes.put_nowait(outcome)

    async def wait(self, request, arrived_at):
        self.requests.put_nowait((request, asyncio.current_task()))
        await asyncio.Event().wait()

    async def end(self, end):
        """Return the outcome of a request that waits, and is ended by `end`."""
        _, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(_REQUEST)
        async with asyncio.timeout(5.0):
            request, task = await self.requests.get()
            end(request, task, writer)
            return await self.outcomes.get()

    async def test_only_a_connection_that_the_caller_closed_counts_as_left(self):
        """Guards against callers blamed for answers that this instance ended."""
        cases = [
            (lambda request, task, writer: writer.close(), "caller left"),
            (lambda request, task, writer: writer.transport.abort(), "caller left"),
            (
                lambda request, task, writer: request.transport.close(),
                "interrupted: handler cancelled",
            ),
            (
                lambda request, task, writer: task.cancel(),
                "interrupted: handler cancelled",
            ),
        ]
        for end, outcome in cases:
            with self.subTest(outcome=outcome):
                self.assertEqual(await self.end(end), outcome)

    async def test_caller_has_left_before_its_connection_counts_as_lost(self):
        """Guards against a caller's reset that is logged as an interruption."""
        client = socket.create_connection(self.address)
        client.sendall(_REQUEST)
        async with asyncio.timeout(5.0):
            request, _ = await self.requests.get()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            client.close()
            while not request.transport.is_closing():
                # The event loop gets no turn in which it would notice the reset.
                time.sleep(0.001)
                request.transport.write(b"x")
            self.assertIs(find_closer(request), ClosedBy.CALLER)
            self.assertEqual(await self.outcomes.get(), "caller left")

    async def test_connection_that_the_server_ends_counts_as_closed_here(self):
        """Guards against callers blamed for a stop or a forced close."""
        for end in (
            lambda connection: connection.force_close(),
            lambda connection: asyncio.ensure_future(connection.shutdown(0.1)),
        ):
            _, writer = await asyncio.open_connection(*self.address)
            self.addCleanup(writer.close)
            writer.write(_REQUEST)
            async with asyncio.timeout(5.0):
                request, _ = await self.requests.get()
                ended = end(request.protocol)
                await self.outcomes.get()
                self.assertIs(find_closer(request), ClosedBy.INSTANCE)
                if ended is not None:
                    await ended


class CutConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_connection_of_a_cut_response_counts_as_closed_here(self):
        """Guards against a log line of a cut that does not name who closed first."""
        closers = asyncio.Queue()

        async def handle(request):
            answer = _caller_handler._close_connection(request)
            closers.put_nowait(find_closer(request))
            return answer

        server = CallerServer(
            handle,
            budget=ConnectionBudget(),
            read_idle_timeout_s=lambda: 60.0,
            max_header_bytes=8190,
        )
        runner = web.ServerRunner(server, shutdown_timeout=0.0)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        _, writer = await asyncio.open_connection(*runner.addresses[0])
        self.addCleanup(writer.close)
        writer.write(_REQUEST)
        async with asyncio.timeout(5.0):
            self.assertIs(await closers.get(), ClosedBy.INSTANCE)


class EncodedBodyTest(unittest.IsolatedAsyncioTestCase):
    """Bodies with a content encoding, of which 100,000 bytes are accepted."""

    async def asyncSetUp(self):
        self.bodies = asyncio.Queue()
        server = CallerServer(
            self.handle,
            budget=ConnectionBudget(),
            read_idle_timeout_s=lambda: 60.0,
            max_header_bytes=8190,
        )
        runner = web.ServerRunner(server, shutdown_timeout=0.0)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.address = runner.addresses[0]

    async def handle(self, request):
        configuration = SimpleNamespace(limits=SimpleNamespace(body_bytes=100_000))
        try:
            body = await CallerHandler._read_body(
                None, request, configuration, timeout_s=3.0
            )
        except RejectedRequest as error:
            body = error.code
        self.bodies.put_nowait(body)
        return web.Response()

    async def read(self, encoding, framing, data):
        """Return the body that is read of a request, or the code of its rejection."""
        _, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        head = "POST / HTTP/1.1\r\nHost: a\r\n"
        head += f"Content-Encoding: {encoding}\r\n{framing}\r\n\r\n"
        writer.write(head.encode() + data)
        async with asyncio.timeout(5.0):
            return await self.bodies.get()

    async def test_body_is_read_as_it_was_sent(self):
        """Guards against a target that gets another body than its caller sent."""
        bodies = [
            ("gzip", gzip.compress(b"text" * 100)),
            ("deflate", zlib.compress(b"text" * 100)),
            ("br", b"not packed at all"),
            ("gzip", gzip.compress(bytes(60_000_000))),
        ]
        for encoding, body in bodies:
            size = b"%x" % len(body)
            for framing, data in (
                (f"Content-Length: {len(body)}", body),
                (
                    "Transfer-Encoding: chunked",
                    size + b"\r\n" + body + b"\r\n0\r\n\r\n",
                ),
            ):
                with self.subTest(encoding, framing=framing):
                    self.assertEqual(await self.read(encoding, framing, data), body)

    async def test_limit_holds_for_the_body_as_it_was_sent(self):
        """Guards against a body without a limit as it is not unpacked."""
        chunk = b"ffff\r\n" + bytes(0xFFFF) + b"\r\n"
        for framing, data in (
            ("Content-Length: 100001", b""),
            ("Transfer-Encoding: chunked", 2 * chunk + b"0\r\n\r\n"),
        ):
            with self.subTest(framing):
                code = await self.read("gzip", framing, data)
                self.assertIs(code, ResultCode.BODY_TOO_LARGE)
