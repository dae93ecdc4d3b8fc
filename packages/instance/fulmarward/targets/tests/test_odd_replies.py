import asyncio
import unittest

import orjson

from fulmarward.http import ResponseGuard
from fulmarward.targets._engine import StreamBroken, cancel_stream
from fulmarward.targets._orders import read_held
from fulmarward.targets._reports import read_cache_events, read_load
from fulmarward.targets._steps import close_steps

_HELD = {
    "model": "m",
    "version": "v1",
    "layers": [0, 4],
    "adapters": ["a"],
    "role": "serving",
    "fencing": 1,
    "loading": False,
}
_LOAD = {"running": 1, "waiting": 0, "leaving": False, "held": _HELD}

#: Values of another kind than the fields' that count as a value by being not empty, or
#: by having items.
_WRONG_HELD = [
    {"layers": "04"},
    {"layers": [0.5, 4]},
    {"adapters": "ab"},
    {"adapters": {"a": 1}},
    {"loading": "false"},
    {"loading": 0},
    {"fencing": "1"},
    {"version": 1},
]
_WRONG_LOAD = [{"leaving": "false"}, {"leaving": None}, {"running": "1"}]

#: Replies of an engine that describe nothing, each with its content type.
_REPLIES = {
    "nested": (b"[" * 200_000, b"application/json"),
    "digits": (b'{"state": ' + b"9" * 5000 + b"}", b"application/json"),
    "list": (b"[1]", b"application/json"),
    "null": (b"null", b"application/json"),
    "bytes": (b'{"state": "\xff"}', b"application/json"),
    "encoding": (b'{"state": "ended"', b"application/json; charset=hex"),
}

_CALLS = {
    "cancel": lambda session, address: cancel_stream(
        session, address, request="r", attempt=1
    ),
    "close": lambda session, address: close_steps(
        session, address, request="r", attempt=1, term=1
    ),
    "held": read_held,
    "load": lambda session, address: read_load(session, address, now=0.0),
    "cache": lambda session, address: read_cache_events(session, address, after=0),
}


class OddRepliesTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % (self.content_type, len(self.body)) + self.body)
        await writer.drain()
        writer.close()

    async def listen(self):
        """Return the address of an engine, and a session for calls to it."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        session = ResponseGuard().make_session(connector_options={"limit": 0})
        self.addAsyncCleanup(session.close)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}", session

    async def test_report_with_a_value_of_another_kind_is_a_broken_one(self):
        """Guards against an engine that is drained by the text 'false'."""
        address, session = await self.listen()
        self.content_type = b"application/json"
        for changes in _WRONG_HELD:
            for name, body in (
                ("held", {"held": {**_HELD, **changes}}),
                ("load", {**_LOAD, "held": {**_HELD, **changes}}),
            ):
                with self.subTest(call=name, changes=changes):
                    self.body = orjson.dumps(body)
                    found = await _CALLS[name](session, address)
                    self.assertIsInstance(found, StreamBroken)
        for changes in _WRONG_LOAD:
            with self.subTest(changes=changes):
                self.body = orjson.dumps({**_LOAD, **changes})
                found = await _CALLS["load"](session, address)
                self.assertIsInstance(found, StreamBroken)
        self.body = orjson.dumps(_LOAD)
        found = await _CALLS["load"](session, address)
        self.assertEqual(found.held.state.layers, (0, 4))

    async def test_reply_that_describes_nothing_is_a_broken_one(self):
        """Guards against a reply that raises what no caller of an engine expects."""
        address, session = await self.listen()
        for reply, (self.body, self.content_type) in _REPLIES.items():
            for name, call in _CALLS.items():
                with self.subTest(reply=reply, call=name):
                    found = await call(session, address)
                    self.assertIsInstance(found, StreamBroken)
