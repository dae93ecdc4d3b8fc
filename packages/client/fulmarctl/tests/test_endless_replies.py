import asyncio
import contextlib
import unittest

from fulmarctl._client import Fleet, _call_first
from fulmarward_core.results import Failure, ResultCode

_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json"

#: Bytes that the other program sends at most.
_MAX_SENT_BYTES = 160 << 20


class EndlessRepliesTest(unittest.IsolatedAsyncioTestCase):
    """Another program may listen at the address of an instance."""

    async def call(self, head, block, *, sent_bytes):
        """Return the outcome of a call, and how many bytes were accepted of it."""
        accepted = 0
        ended = asyncio.Event()

        async def serve(reader, writer):
            nonlocal accepted
            with contextlib.suppress(ConnectionError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(head)
                while accepted < sent_bytes:
                    writer.write(block)
                    await writer.drain()
                    accepted += len(block)
            writer.close()
            ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        fleet = Fleet(addresses=(f"127.0.0.1:{port}",), token="t")
        outcome = await _call_first(fleet, "/v1/status", None)
        await ended.wait()
        return outcome, accepted

    async def test_reply_without_end_is_given_up(self):
        """Guards against a reply that takes the memory of the operator's machine."""
        outcome, accepted = await self.call(
            _HEAD + b'\r\n\r\n"', b"x" * (1 << 20), sent_bytes=_MAX_SENT_BYTES
        )
        self.assertIsInstance(outcome, Failure)
        self.assertIs(outcome.code, ResultCode.INSTANCE_UNREACHABLE)
        self.assertLess(accepted, _MAX_SENT_BYTES)

    async def test_reply_that_is_not_readable_is_a_failure(self):
        """Guards against a stack trace in place of the address that is at fault."""
        cases = {
            "nested": (b"\r\n\r\n", b"[" * 200_000),
            "encoding": (b"; charset=hex\r\n\r\n", b'["\xff"]'),
        }
        for name, (head, block) in cases.items():
            with self.subTest(name):
                outcome, _ = await self.call(_HEAD + head, block, sent_bytes=1)
                self.assertIsInstance(outcome, Failure)
                self.assertIs(outcome.code, ResultCode.INSTANCE_UNREACHABLE)

    async def test_malformed_reply_is_a_failure(self):
        """Guards against an apply that may stand and is reported as refused."""
        body = b'{"result": 2003, "error": {"message": ""}}'
        rest = b"\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        for start in (b"HTTP/1.1 000 OK", b"HTTP/1.1 200 OK\r\n X-A: x"):
            with self.subTest(start):
                outcome, _ = await self.call(
                    start + rest % len(body), body, sent_bytes=1
                )
                self.assertIsInstance(outcome, Failure)
                self.assertIs(outcome.code, ResultCode.INSTANCE_UNREACHABLE)
