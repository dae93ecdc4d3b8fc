"""Connections of callers, and who closed them first."""

import asyncio
from enum import Enum

from aiohttp import web

from fulmarward.http import BoundedConnection
from fulmarward.observability import log_event
from fulmarward_router._sockets import has_unacknowledged

#: Seconds between two looks at what a caller has yet to get.
_DELIVERY_POLL_INTERVAL_S = 0.02


class ClosedBy(Enum):
    """Who closed a caller's connection first."""

    #: The caller: it closed or reset the connection, or is not reachable any more.
    CALLER = "caller"
    #: This instance.
    INSTANCE = "instance"


class CallerConnection(BoundedConnection):
    """A caller's connection, which records who closed it first."""

    __slots__ = ("close_cause", "closed_by", "is_close_announced")

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        #: `None` while the connection is open.
        self.closed_by: ClosedBy | None = None
        #: How it was closed, empty while it is open.
        self.close_cause = ""
        #: Whether an answer said that it will be closed.
        self.is_close_announced = False

    def eof_received(self) -> None:
        """Record that the caller closed the connection."""
        self._record_closed(ClosedBy.CALLER, "end of file")
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record who closed the connection, and end its request.

        Without an error and an end of file before, it was closed here.
        """
        if exc is None:
            self._record_closed(ClosedBy.INSTANCE, "closed")
        else:
            self._record_closed(ClosedBy.CALLER, repr(exc))
        is_dropped = self._messages or self.has_part_of_head
        if is_dropped and self.closed_by is ClosedBy.INSTANCE:
            log_event(
                "read_requests_dropped",
                count=len(self._messages),
                has_part_of_head=self.has_part_of_head,
                peer=str(self.peername),
                close_cause=self.close_cause,
            )
        super().connection_lost(exc)

    def close_here(self, cause: str) -> None:
        """Close the connection, unless that is under way."""
        if self._is_open:
            self._record_closed(ClosedBy.INSTANCE, cause)
            self.transport.close()

    def force_close(self) -> None:
        """Record that the connection is closed here, and close it."""
        if self._is_open:
            self._record_closed(ClosedBy.INSTANCE, "closed")
        super().force_close()

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Record that the connection is closed here, and end its request."""
        if self._is_open:
            self._record_closed(ClosedBy.INSTANCE, "shut down")
        await super().shutdown(timeout)

    def find_closer(self) -> ClosedBy | None:
        """Return who closed the connection, `None` while it is open.

        A failed write closes the transport before `connection_lost` is called. All that
        this instance closes is recorded.
        """
        if self.closed_by is None and not self._is_open:
            return ClosedBy.CALLER
        return self.closed_by

    def announce_close(self, answer: web.StreamResponse) -> None:
        """Say in an answer that it is the last, unless requests behind it were read.

        Requests may still be read while it is written; they get an answer too.
        """
        if not self._messages:
            answer.headers["Connection"] = "close"
            self.is_close_announced = True

    def close_after(self, answer: web.StreamResponse) -> None:
        """Close the connection after an answer, unless requests behind it were read."""
        if not self._messages:
            answer.force_close()

    @property
    def has_undelivered(self) -> bool:
        """Whether the caller's system does not have all that was written yet.

        Guards against answers that the kernel drops: it resets a connection that was
        closed here once its caller sends another request.
        """
        return self.transport is not None and has_unacknowledged(self.transport)

    @property
    def last_read(self) -> int:
        """The number of the last request that was read; the first one has 1."""
        return self._request_count

    def count_read(self, *, until: int | None = None) -> int:
        """Return how many requests up to the number `until` were read and not begun.

        There are none that can be answered once the connection is being closed.
        """
        if not self._is_open:
            return 0
        last = self._request_count if until is None else until
        return max(0, last - (self._request_count - len(self._messages)))

    @property
    def _is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def _record_closed(self, closed_by: ClosedBy, cause: str) -> None:
        if self.closed_by is None:
            self.closed_by, self.close_cause = closed_by, cause


def find_closer(request: web.BaseRequest) -> ClosedBy | None:
    """Return who closed the connection of a request, `None` while it is open."""
    connection = request.protocol
    if isinstance(connection, CallerConnection):
        return connection.find_closer()
    transport: asyncio.Transport | None = request.transport
    is_open = transport is not None and not transport.is_closing()
    return None if is_open else ClosedBy.CALLER


def find_close_cause(request: web.BaseRequest) -> str:
    """Return how the connection of a request was closed, empty while it is open."""
    return getattr(request.protocol, "close_cause", "")


def announce_close(request: web.BaseRequest, answer: web.StreamResponse) -> None:
    """Announce the close of a connection as `CallerConnection.announce_close` does."""
    if isinstance(request.protocol, CallerConnection):
        request.protocol.announce_close(answer)
    else:
        answer.force_close()


def is_close_announced(request: web.BaseRequest) -> bool:
    """Return whether an earlier answer said that the connection will be closed."""
    connection = request.protocol
    return isinstance(connection, CallerConnection) and connection.is_close_announced


async def await_delivery(request: web.BaseRequest) -> None:
    """Return once earlier answers on a connection have arrived, or it is closed.

    If requests were read behind this one, it stays open, and there is no need to wait.
    """
    connection = request.protocol
    if isinstance(connection, CallerConnection):
        while connection.has_undelivered and not connection.count_read():
            await asyncio.sleep(_DELIVERY_POLL_INTERVAL_S)


def close_after(request: web.BaseRequest, answer: web.StreamResponse) -> None:
    """Close the connection of a request as `CallerConnection.close_after` does."""
    if isinstance(request.protocol, CallerConnection):
        request.protocol.close_after(answer)
    else:
        answer.force_close()


def hold_body(request: web.BaseRequest, size: int) -> bool:
    """Count bytes of a body that are kept; return whether there is room for them."""
    connection = request.protocol
    if not isinstance(connection, CallerConnection):
        return True
    return connection.hold_body(size)
