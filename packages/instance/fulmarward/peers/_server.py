"""The listening side of peer links, with one task for each call."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable

import websockets
from websockets.asyncio.server import Server, ServerConnection, serve

from fulmarward._instance import Instance
from fulmarward.observability import count_frame, log_event
from fulmarward.peers._codec import InvalidMessageError, decode_message, encode_message
from fulmarward.peers._frames import Frame, FrameKind, pack_frame, unpack_frame
from fulmarward.peers._handshake import HandshakeRefused, authenticate_dialler
from fulmarward_core.membership import Member

#: Maximum frame size in bytes; a declaration's body has to fit.
MAX_FRAME_BYTES = 16 * 1024 * 1024

#: Timeout of the handshake in seconds.
HANDSHAKE_TIMEOUT_S = 3.0

#: A handler answers a message with one message or a stream of messages.
PeerHandler = Callable[[Member, object], Awaitable[object] | AsyncIterator[object]]

#: Handlers by message type.
PeerHandlers = dict[type, PeerHandler]


#: Sends a frame to the calling peer.
Send = Callable[[Frame], Awaitable[None]]


async def _answer_call(
    send: Send, handlers: PeerHandlers, peer: Member, frame: Frame
) -> None:
    try:
        message = decode_message(frame.message)
        result = handlers[type(message)](peer, message)
        if isinstance(result, AsyncIterator):
            async for item in result:
                await send(_make_frame(FrameKind.ITEM, frame.call, item))
            await send(Frame(kind=FrameKind.REPLY, call=frame.call))
            return
        await send(_make_frame(FrameKind.REPLY, frame.call, await result))
    except (InvalidMessageError, KeyError) as error:
        log_event("peer_call_refused", level=logging.WARNING, reason=str(error))
        await send(Frame(kind=FrameKind.FAULT, call=frame.call))
    except websockets.ConnectionClosed:
        return


def _make_frame(kind: FrameKind, call: int, message: object) -> Frame:
    return Frame(kind=kind, call=call, message=encode_message(message))


async def _serve_connection(
    instance: Instance, handlers: PeerHandlers, connection: ServerConnection
) -> None:
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            peer = await authenticate_dialler(
                connection,
                own=instance.member,
                accepted=instance.secrets.peer_secrets,
            )
    except (HandshakeRefused, TimeoutError, websockets.ConnectionClosed) as error:
        log_event(
            "peer_refused",
            level=logging.WARNING,
            address=str(connection.remote_address),
            reason=str(error) or type(error).__name__,
        )
        return
    calls: dict[int, asyncio.Task] = {}

    async def send(frame: Frame) -> None:
        data = pack_frame(frame)
        count_frame(instance.metrics, "sent", len(data))
        await connection.send(data)

    try:
        async for data in connection:
            count_frame(instance.metrics, "received", len(data))
            frame = unpack_frame(data)
            if frame is None:
                return
            if frame.kind is FrameKind.CANCEL and frame.call in calls:
                calls[frame.call].cancel()
            if frame.kind is FrameKind.CALL:
                answering = _answer_call(send, handlers, peer, frame)
                task = asyncio.create_task(answering)
                calls[frame.call] = task
                task.add_done_callback(lambda _, call=frame.call: calls.pop(call, None))
    except websockets.ConnectionClosed:
        return
    finally:
        for task in list(calls.values()):
            task.cancel()


async def serve_peers(instance: Instance, handlers: PeerHandlers) -> Server:
    """Listen for peers and dispatch their calls to `handlers`."""

    async def serve_connection(connection: ServerConnection) -> None:
        await _serve_connection(instance, handlers, connection)

    host, port = instance.settings.peer_address.rsplit(":", 1)
    return await serve(
        serve_connection,
        host,
        int(port),
        compression=None,
        ping_interval=None,
        max_size=MAX_FRAME_BYTES,
    )
