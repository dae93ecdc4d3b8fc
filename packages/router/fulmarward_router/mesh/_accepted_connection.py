"""Connections that peers, or others that reach the port for peers, open to it."""

from weakref import WeakKeyDictionary

from websockets.asyncio.server import Server, ServerConnection

from fulmarward.http import limit_reads

#: Seconds that a handshake may take.
HANDSHAKE_TIMEOUT_S = 3.0

#: Upper bound on the connections whose handshake is not complete.
MAX_HANDSHAKES = 32

#: Bytes that are read in one turn of the event loop before a handshake is complete, and
#: afterwards.
HANDSHAKE_READ_BYTES = 16 << 10
LINK_READ_BYTES = 256 << 10

#: The connections of each server whose handshake is not complete, oldest first.
_pending: WeakKeyDictionary[Server, dict[ServerConnection, None]] = WeakKeyDictionary()


class AcceptedConnection(ServerConnection):
    """A connection that is closed if too many others have not begun a handshake."""

    async def handshake(self, *args: object, **options: object) -> None:
        """Perform the handshake, one of `MAX_HANDSHAKES` at most.

        The oldest is ended for a new one: those of peers are complete within a moment.
        """
        pending = _pending.setdefault(self.server, {})
        while len(pending) >= MAX_HANDSHAKES:
            oldest = next(iter(pending))
            del pending[oldest]
            oldest.transport.abort()
        pending[self] = None
        limit_reads(self.transport, HANDSHAKE_READ_BYTES)
        try:
            await super().handshake(*args, **options)
        finally:
            pending.pop(self, None)
            limit_reads(self.transport, LINK_READ_BYTES)
