import asyncio
import unittest

from fulmarward.http import ResponseGuard
from fulmarward.targets._service import (
    ServiceRequest,
    ServiceUncertain,
    call_service,
)

_REQUEST = ServiceRequest(
    method="POST",
    path="/x",
    query="",
    body=b"",
    content_type="",
    request="r",
    attempt=1,
    team="a",
)

_STARTS = (
    b"HTTP/1.1 000 broken\r\n",
    b"HTTP/1.1 200 OK\r\n X-Not-Run: 1\r\n",
    b"HTTP/1.1 200 OK\r\nX-broken : 1\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: broken\r\n",
)


class BrokenReplyTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.start + b"X-Not-Run: 1\r\n\r\nbroken")
        writer.close()

    async def test_broken_reply_is_lost_and_not_quoted(self):
        """Guards against a broken reply, or an error that quotes one, at a caller."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        session = ResponseGuard().make_session(connector_options={"limit": 0})
        self.addAsyncCleanup(session.close)
        for self.start in _STARTS:
            with self.subTest(self.start):
                outcome = await call_service(
                    session, address, _REQUEST, connect_s=1.0, timeout_s=2.0
                )
                self.assertIsInstance(outcome, ServiceUncertain)
                self.assertNotRegex(outcome.detail, r"broken|\d")
