import asyncio
import unittest

import aiohttp

from fulmarward.http import ResponseGuard

_STATUS = b"HTTP/1.1 200 OK\r\n"

_REST = b"Content-Length: 2\r\n\r\nok"

_INVALID_STATUS_LINES = (
    b"HTTP/1.1 000 Trouble",
    b"HTTP/1.1 000",
    b"HTTP/1.1 099 Trouble",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 600 Trouble",
    b"HTTP/1.1 999 Trouble",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 +20 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"RTSP/1.0 200 OK",
    b"ICY 200 OK",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble",
    b"RTSP/1.0 100 Continue\r\n\r\nHTTP/1.1 200 OK",
)


class HeadTest(unittest.IsolatedAsyncioTestCase):
    """Responses of a source that writes raw bytes and then closes."""

    async def asyncSetUp(self):
        options = {"limit": 0, "force_close": True}
        self.session = ResponseGuard().make_session(connector_options=options)
        self.addAsyncCleanup(self.session.close)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for part in self.parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)
        writer.close()

    async def read(self, *parts, method="GET"):
        """Return the status and the body of a response that consists of bytes."""
        self.parts = parts
        url = f"http://127.0.0.1:{self.port}/"
        async with asyncio.timeout(5), self.session.request(method, url) as response:
            return response.status, await response.read()

    async def check_rejected(self, data):
        """Check that a response is rejected, also if it arrives a byte at a time."""
        head = data[: data.rindex(b"\r\n\r\n") + 4]
        for method, sent in (("GET", data), ("POST", data), ("HEAD", head)):
            for parts in ([sent], [sent[i : i + 1] for i in range(len(sent))]):
                with self.subTest(data, method=method, parts=len(parts)):
                    with self.assertRaises(aiohttp.ClientError):
                        await self.read(*parts, method=method)

    async def test_invalid_status_line(self):
        """Guards against an invalid status code, or another protocol, read as HTTP."""
        for line in _INVALID_STATUS_LINES:
            await self.check_rejected(line + b"\r\n" + _REST)

    async def test_valid_status_lines(self):
        """Guards against a valid response that is refused for its status."""
        for status in range(200, 600):
            for reason in ("", " Nicht gefunden: \xe9"):
                line = f"HTTP/1.1 {status}{reason}\r\n".encode("latin-1")
                rest, body = _REST, b"ok"
                if status in (204, 304):
                    rest, body = b"\r\n", b""
                with self.subTest(line):
                    found = await self.read(line + rest)
                    self.assertEqual(found, (status, body))

    async def test_valid_response_after_interim_ones(self):
        """Guards against a valid response that is refused for what precedes it."""
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        data = interim * 2 + _STATUS + _REST
        self.assertEqual(await self.read(data), (200, b"ok"))
        parts = [data[i : i + 1] for i in range(len(data))]
        self.assertEqual(await self.read(*parts), (200, b"ok"))

    async def test_invalid_field_name(self):
        """Guards against a line that is passed on, and framing that is ignored."""
        names = [b"", b" X-Odd", b"\tX-Odd", b"X-Odd\t"]
        for name in (b"X-Odd", b"Content-Length", b"Transfer-Encoding", b"Connection"):
            names += [name + b" ", name[:4] + b" " + name[4:]]
        for byte in (0, 1, 11, 27, 34, 64, 91, 127, 233):
            names += [b"X-O" + bytes([byte]) + b"dd", b"Upgrade" + bytes([byte])]
        for name in names:
            await self.check_rejected(_STATUS + name + b": 2\r\nX-A: 1\r\n\r\nok")
        await self.check_rejected(_STATUS + b"X-A: 1\r\nno colon\r\n\r\nok")
        await self.check_rejected(
            b"HTTP/1.1 103 Hints\r\n Link: a\r\n\r\n" + _STATUS + _REST
        )

    async def test_invalid_field_value(self):
        """Guards against a value that cannot be passed on."""
        for byte in (0, 1, 11, 13, 27, 127):
            for value in (b"a%cb", b"%c", b"a\r\n b%cc"):
                field = b"X-Odd: " + value % byte + b"\r\n"
                await self.check_rejected(_STATUS + field + _REST)

    async def test_valid_fields(self):
        """Guards against a valid response that is refused for its fields."""
        fields = [
            b"!#$%&'*+-.^_`|~09azAZ: 1\r\n",
            b"X-Empty:\r\nX-Long: " + b"a" * 7000 + b"\r\n",
            b"X-Folded: a\r\n b: c\r\n\td\r\n",
            b'Content-Type: text/plain; a="b:c"\r\n' * 2,
            b"X-Text: \xe9\xff\r\n",
            b"X-A: 1\n",
            b"".join(b"X-%d: 1\r\n" % number for number in range(120)),
        ]
        for field in fields:
            with self.subTest(field[:40]):
                self.assertEqual(await self.read(_STATUS + field + _REST), (200, b"ok"))

    async def test_unsupported_transfer_coding(self):
        """Guards against a body that is passed on as it was encoded."""
        for codings in (b"gzip", b"xchunked", b"chunked, gzip", b"chunked, chunked"):
            for field in (codings, b"chunked\r\nTransfer-Encoding: " + codings):
                await self.check_rejected(
                    _STATUS + b"Transfer-Encoding: " + field + b"\r\n\r\n"
                    b"2\r\nok\r\n0\r\n\r\n"
                )

    async def test_chunks(self):
        """Guards against a valid response that is refused for its framing."""
        for coding in (b"chunked", b"Chunked ", b"\tchunked"):
            with self.subTest(coding):
                head = _STATUS + b"Transfer-Encoding: " + coding + b"\r\n\r\n"
                found = await self.read(head, b"2\r\nok\r\n0\r\n\r\n")
                self.assertEqual(found, (200, b"ok"))
