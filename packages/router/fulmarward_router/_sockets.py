"""Options and queues of TCP connections."""

import asyncio
import fcntl
import socket
import struct
import termios

#: `SO_LINGER` with a timeout of 0: closing discards unsent bytes and sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_connection(transport: asyncio.Transport) -> None:
    """End a connection at once, without delivering what is still in its send buffer."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


def limit_unacknowledged(transport: asyncio.Transport, timeout_s: float) -> None:
    """Break a connection once written bytes stay unacknowledged for that long.

    A timeout of 0 removes the limit.
    """
    transport.get_extra_info("socket").setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1000)
    )


def has_unacknowledged(transport: asyncio.Transport) -> bool:
    """Return whether the other host has not acknowledged all that was written."""
    if transport.is_closing():
        return False
    if transport.get_write_buffer_size() > 0:
        return True
    connection = transport.get_extra_info("socket")
    queued = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
    return struct.unpack("i", queued)[0] > 0
