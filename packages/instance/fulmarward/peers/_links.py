"""The dialling side of peer links: connections are opened on demand."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from itertools import count

import websockets
from websockets.asyncio.client import ClientConnection, connect

from fulmarward.observability import log_event
from fulmarward.peers._codec import InvalidMessageError, decode_message, encode_message
from fulmarward.peers._frames import Frame, FrameKind, pack_frame, unpack_frame
from fulmarward.peers._handshake import HandshakeRefused, authenticate_to_listener
from fulmarward.peers._server import MAX_FRAME_BYTES
from fulmarward_core.membership import Member

#: Timeout in seconds for the connection and the handshake.
CONNECT_TIMEOUT_S = 2.0

#: Maximum size in bytes of all answers to one call.
MAX_ANSWER_BYTES = 64 << 20


class PeerLost(Exception):
    """A call to a peer got no answer; it may have been executed."""

    def __init__(self, detail: str, *, is_sent: bool, is_refused: bool = False) -> None:
        super().__init__(detail)
        #: Whether the peer's host refused the connection: nothing listens there.
        self.is_refused = is_refused
        #: Whether the call was sent; if not, it was not executed.
        self.is_sent = is_sent


@dataclass(kw_only=True)
class _OpenCall:
    #: Received frames; `None` marks the loss of the link.
    frames: asyncio.Queue[Frame | None] = field(default_factory=asyncio.Queue)
    #: Bytes of all frames that were received.
    received_bytes: int = 0


@dataclass(kw_only=True)
class _Link:
    connection: ClientConnection
    peer: Member
    #: The open calls, by number.
    calls: dict[int, _OpenCall] = field(default_factory=dict)
    numbers: count = field(default_factory=count)
    reader: asyncio.Task | None = None


@dataclass(kw_only=True)
class PeerLinks:
    """All links that this instance has dialled, by address."""

    #: Returns this instance's own member record.
    read_own: Callable[[], Member]
    #: Returns the current peer secrets.
    read_secrets: Callable[[], Sequence[bytes]]
    #: Called with the direction and the number of bytes of each frame.
    count_bytes: Callable[[str, int], None]
    links: dict[str, _Link] = field(default_factory=dict)
    locks: dict[str, asyncio.Lock] = field(default_factory=dict)

    async def call(self, address: str, message: object, timeout_s: float) -> object:
        """Call the peer at `address` and return its answer; raises `PeerLost`."""
        link, number, frames = await self._start_call(address, message)
        try:
            async with asyncio.timeout(timeout_s):
                return self._decode_answer(await frames.get())
        except TimeoutError as error:
            raise PeerLost("no answer in time", is_sent=True) from error
        finally:
            link.calls.pop(number, None)

    async def stream(
        self, address: str, message: object, silence_s: float
    ) -> AsyncIterator[object]:
        """Call the peer and yield its answers; raises `PeerLost`.

        `silence_s` is the timeout between two answers.
        """
        link, number, frames = await self._start_call(address, message)
        is_over = False
        try:
            while True:
                async with asyncio.timeout(silence_s):
                    frame = await frames.get()
                is_over = frame is None or frame.kind is not FrameKind.ITEM
                if frame is not None and is_over and not frame.message:
                    if frame.kind is FrameKind.REPLY:
                        return
                yield self._decode_answer(frame)
                if is_over:
                    return
        except TimeoutError as error:
            raise PeerLost("no answer in time", is_sent=True) from error
        finally:
            link.calls.pop(number, None)
            if not is_over:
                await self._send_if_open(
                    link, Frame(kind=FrameKind.CANCEL, call=number)
                )

    async def find_member(self, address: str) -> Member:
        """Return the member at `address`, connecting if needed; raises `PeerLost`."""
        return (await self._get_link(address)).peer

    def has_link(self, address: str) -> bool:
        """Return whether a link to `address` is open."""
        return address in self.links

    async def drop_idle(self, address: str) -> None:
        """Close the link to `address` unless it has open calls."""
        link = self.links.get(address)
        if link is not None and not link.calls:
            await self.drop(address)

    async def drop(self, address: str) -> None:
        """Close the link to `address`; the next call opens a new one.

        A connection may hang because its packets are lost on a path that a new
        connection need not take; every call on it would run into its timeout.
        """
        link = self.links.pop(address, None)
        lock = self.locks.get(address)
        if lock is not None and not lock.locked():
            del self.locks[address]
        if link is not None:
            link.connection.transport.abort()

    async def close(self) -> None:
        """Close all links."""
        for link in list(self.links.values()):
            await link.connection.close()

    async def _start_call(
        self, address: str, message: object
    ) -> tuple[_Link, int, asyncio.Queue[Frame | None]]:
        link = await self._get_link(address)
        number = next(link.numbers)
        call = link.calls[number] = _OpenCall()
        data = encode_message(message)
        frame = pack_frame(Frame(kind=FrameKind.CALL, call=number, message=data))
        try:
            await link.connection.send(frame)
        except websockets.ConnectionClosed as error:
            link.calls.pop(number, None)
            raise PeerLost("link closed", is_sent=True) from error
        self.count_bytes("sent", len(frame))
        return link, number, call.frames

    def _decode_answer(self, frame: Frame | None) -> object:
        if frame is None:
            raise PeerLost("link closed", is_sent=True)
        if frame.kind is FrameKind.FAULT:
            raise PeerLost("the peer refused the call", is_sent=True)
        try:
            return decode_message(frame.message)
        except InvalidMessageError as error:
            raise PeerLost(str(error), is_sent=True) from error

    async def _send_if_open(self, link: _Link, frame: Frame) -> None:
        try:
            await link.connection.send(pack_frame(frame))
        except websockets.ConnectionClosed:
            return

    async def _get_link(self, address: str) -> _Link:
        lock = self.locks.setdefault(address, asyncio.Lock())
        async with lock:
            link = self.links.get(address)
            if link is None:
                link = await self._dial(address)
                self.links[address] = link
            return link

    async def _dial(self, address: str) -> _Link:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await connect(
                    f"ws://{address}",
                    compression=None,
                    ping_interval=None,
                    max_size=MAX_FRAME_BYTES,
                    proxy=None,
                )
                peer = await self._authenticate(connection)
        except (
            OSError,
            TimeoutError,
            HandshakeRefused,
            websockets.WebSocketException,
        ) as error:
            detail = f"{type(error).__name__} at {address}"
            is_refused = isinstance(error, ConnectionRefusedError)
            raise PeerLost(detail, is_sent=False, is_refused=is_refused) from error
        link = _Link(connection=connection, peer=peer)
        link.reader = asyncio.create_task(self._read_frames(address, link))
        return link

    async def _authenticate(self, connection: ClientConnection) -> Member:
        """Run the handshake on a new connection, and close it on failure.

        A frozen peer accepts connections and sends nothing, so that each attempt
        would otherwise leak a connection.
        """
        try:
            return await authenticate_to_listener(
                connection, own=self.read_own(), accepted=self.read_secrets()
            )
        except BaseException:
            connection.transport.abort()
            raise

    async def _read_frames(self, address: str, link: _Link) -> None:
        """Dispatch received frames to their calls until the link is lost."""
        try:
            async for data in link.connection:
                self.count_bytes("received", len(data))
                frame = unpack_frame(data)
                call = None if frame is None else link.calls.get(frame.call)
                if call is None:
                    continue
                call.received_bytes += len(data)
                if call.received_bytes > MAX_ANSWER_BYTES:
                    log_event(
                        "peer_answer_rejected", peer=address, limit="answer_bytes"
                    )
                    link.connection.transport.abort()
                    return
                call.frames.put_nowait(frame)
        except websockets.ConnectionClosed:
            pass
        finally:
            if self.links.get(address) is link:
                del self.links[address]
            for call in link.calls.values():
                call.frames.put_nowait(None)
