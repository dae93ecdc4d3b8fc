import time
import unittest

from websockets.exceptions import ConnectionClosedError

from fulmarward_router.mesh import (
    CompressedConfiguration,
    ConfigurationDeferred,
    ConfigurationReceived,
    ConfigurationSnapshot,
    FetchCompressedConfiguration,
    MemberTable,
    Mesh,
    RowSnapshot,
    SupportsCompression,
    decode_message,
    encode_message,
)
from fulmarward_router.mesh.tests.test_members import make_heartbeat

_ROW = CompressedConfiguration(key="config", version=4, packed=b"x")


class _Link:
    """A link on which `messages` come before it ends, in order or broken.

    Nothing can be sent on it if there is a `send_error`.
    """

    remote_address = ("10.0.0.1", 1)

    def __init__(self, messages, steps, *, is_broken, send_error):
        self._messages = messages
        self._steps = steps
        self._is_broken = is_broken
        self._send_error = send_error

    async def __aiter__(self):
        for message in self._messages:
            yield encode_message(message)
        if self._is_broken:
            raise ConnectionClosedError(None, None)

    async def send(self, data):
        if self._send_error is not None:
            raise self._send_error
        self._steps.append(decode_message(data))


class _State:
    """Notes what the mesh gives to the instance, in order."""

    def __init__(self, steps):
        self._steps = steps

    def merge_heartbeat(self, heartbeat):
        return [FetchCompressedConfiguration(sender="own", version=0)]

    def answer(self, question):
        return ConfigurationDeferred(sender="own")

    def merge_snapshot(self, news):
        self._steps.append(("taken", news))

    def note_deferred(self, told):
        self._steps.append(("taken", told))

    def note_supports_compression(self, told):
        self._steps.append(("taken", told))

    def note_received(self, told):
        self._steps.append(("taken", told))

    def note_link_lost(self, peer):
        self._steps.append(("lost", peer))


class AcceptedLinkTest(unittest.IsolatedAsyncioTestCase):
    async def _accept(self, *messages, is_broken=False, send_error=None):
        own = make_heartbeat("own").sender
        steps = []
        mesh = Mesh(
            own=own,
            members=MemberTable(own=own),
            state=_State(steps),
            read_clock=time.monotonic,
            count_bytes=lambda way, size: None,
        )
        link = _Link(messages, steps, is_broken=is_broken, send_error=send_error)
        await mesh.accept(link)
        return steps

    async def test_row_is_acknowledged_before_it_is_read(self):
        # Reading thousands of routes takes a while, in which the teller could tell the
        # next peer.
        heard = ConfigurationReceived(sender="own")
        self.assertEqual(await self._accept(_ROW), [heard, ("taken", _ROW)])

    async def test_row_of_the_code_before_is_taken_in_without_a_receipt(self):
        # Its sender does not know the receipt.
        told = RowSnapshot(key="config", version=4, value=b"x")
        news = ConfigurationSnapshot(row=told)
        self.assertEqual(await self._accept(news), [("taken", news)])

    async def test_row_is_taken_in_though_its_receipt_finds_no_way_out(self):
        # A small instance whose way out is full hears of a revoked key: the row has
        # come, its receipt waits for a second, the link ends, and the row was dropped
        # with it: the receipt was awaited before the row was taken in. The instance
        # asked once more, and served the key meanwhile.
        errors = (TimeoutError(), ConnectionClosedError(None, None))
        found = [await self._accept(_ROW, send_error=error) for error in errors]
        self.assertEqual(found, [[("taken", _ROW)]] * 2)

    async def test_what_peers_say_of_a_row_on_its_way_is_taken_in(self):
        for message in (
            ConfigurationDeferred(sender="peer"),
            ConfigurationReceived(sender="peer"),
            SupportsCompression(sender="peer", boot=1),
        ):
            with self.subTest(message):
                self.assertEqual(await self._accept(message), [("taken", message)])

    async def test_peer_that_asks_while_others_are_told_is_answered_at_once(self):
        question = FetchCompressedConfiguration(sender="peer", version=0)
        deferred = ConfigurationDeferred(sender="own")
        self.assertEqual(await self._accept(question), [deferred])

    async def test_question_does_not_outlive_its_link(self):
        # The peer that was asked is killed, or ends a link that it does not need any
        # more; without this the next peer would be asked a second later.
        asked = FetchCompressedConfiguration(sender="own", version=0)
        for is_broken in (False, True):
            with self.subTest(is_broken):
                steps = await self._accept(make_heartbeat(), is_broken=is_broken)
                self.assertEqual(steps, [asked, ("lost", "peer")])
