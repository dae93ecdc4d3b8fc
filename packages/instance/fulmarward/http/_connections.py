"""Connections that others open to an instance, bounded in what they make it hold."""

import asyncio
import socket
import ssl
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from enum import Enum

from aiohttp import StreamReader, web

from fulmarward.observability import log_event
from fulmarward_core.connections import (
    HARD_FACTOR,
    MIN_IDLE_S,
    ConnectionLimits,
    Holding,
    choose_closed,
)

#: Bytes that the kernel may keep of each direction of a connection; it doubles them.
KERNEL_BUFFER_BYTES = 128 << 10

#: Bytes that are counted for a connection while its caller does not read, or is not
#: read: its buffers in the kernel, and those of the connection that feeds it.
STALLED_BYTES = 3 * KERNEL_BUFFER_BYTES

#: Bytes that are read from a connection in one turn of the event loop, so that costly
#: ones of many connections do not hold it up.
MAX_READ_BYTES = 4 << 10

#: Bytes behind a request that are read before it is answered.
MAX_AHEAD_BYTES = 64 << 10

#: Bytes of memory that a byte of a parsed head takes, and one of an answer: it is
#: joined from parts, and copied into the buffer of the connection.
HEAD_FACTOR = 4
ANSWER_FACTOR = 2

#: Bytes of an answer that is read whether or not there is room for it.
MAX_UNHELD_BYTES = 64 << 10

#: Seconds for which an answer waits for room.
ROOM_TIMEOUT_S = 0.25

#: Seconds between two looks whether there is room for an answer, and at least between
#: two searches for connections to close.
ROOM_POLL_INTERVAL_S = 0.02

#: Connections that are accepted in one turn of the event loop, and that wait in the
#: kernel.
ACCEPTED_PER_TURN = 8
WAITING_CONNECTIONS = 1024

#: Upper bound on the bytes beside the content of a body, such as extensions of chunks
#: and trailers: so many in any case, and for each byte of content.
MAX_FRAMING_BYTES = 64 << 10
FRAMING_FACTOR = 8

#: Seconds after its deadline for which an answer may still be read.
LATE_READ_S = 1.0

_DEFAULT_LIMITS = ConnectionLimits()

#: Seconds between two checks of all connections.
CHECK_INTERVAL_S = 0.25


class CloseReason(Enum):
    """Why a connection was closed that was outside the limits."""

    HEAD_TOO_LARGE = "head too large"
    HEAD_TOO_SLOW = "head too slow"
    ANSWER_UNREAD = "answer not read"
    #: All connections together held too much, or were too many.
    BUDGET = "budget"


@dataclass(frozen=True, kw_only=True)
class RequestLimits:
    """Bounds on what one caller sends."""

    #: Bytes of a head, and seconds from its first byte to its last.
    head_bytes: int = 64 << 10
    head_s: float = 10.0
    #: Seconds without progress after which an unread answer without a deadline ends.
    idle_s: float = 60.0


class ConnectionBudget:
    """What all connections of callers hold, at all ports."""

    def __init__(
        self,
        *,
        limits: ConnectionLimits = _DEFAULT_LIMITS,
        read_clock: Callable[[], float] = time.monotonic,
        read_request_limits: Callable[[], RequestLimits] = RequestLimits,
    ) -> None:
        self.limits = limits
        self.read_clock = read_clock
        self.read_request_limits = read_request_limits
        #: How many connections were closed, by reason.
        self.closed: Counter[CloseReason] = Counter()
        self._held: dict[BoundedConnection, int] = {}
        self._held_bytes = 0
        self._relieved_at = float("-inf")

    @property
    def held_bytes(self) -> int:
        """The bytes that all connections hold."""
        return self._held_bytes

    @property
    def count(self) -> int:
        """The number of connections."""
        return len(self._held)

    @property
    def is_full(self) -> bool:
        """Whether more is held than may be, as all of it is needed."""
        return self._held_bytes > self.limits.held_bytes

    def add(self, connection: "BoundedConnection") -> None:
        """Count a new connection."""
        self._held[connection] = 0
        if len(self._held) > self.limits.connections:
            self._relieve()
        if len(self._held) > self.limits.connections and connection in self._held:
            connection.close_for(CloseReason.BUDGET)

    def remove(self, connection: "BoundedConnection") -> None:
        """Count a connection no more."""
        self._held_bytes -= self._held.pop(connection, 0)

    def update(self, connection: "BoundedConnection") -> None:
        """Count what a connection holds now, and close others if that is too much."""
        if connection not in self._held:
            return
        held_bytes = connection.held_bytes
        grown_by = held_bytes - self._held[connection]
        self._held[connection] = held_bytes
        self._held_bytes += grown_by
        if grown_by > 0 and self.is_full:
            is_due = self.read_clock() - self._relieved_at >= ROOM_POLL_INTERVAL_S
            if is_due or self._held_bytes > self.limits.held_bytes * HARD_FACTOR:
                self._relieve()

    async def await_room(self, size: int) -> bool:
        """Return whether there is room for `size` more bytes, or nothing else is held.

        Connections without progress are closed for it. The wait is short, as a target
        is kept busy meanwhile.
        """
        until = self.read_clock() + ROOM_TIMEOUT_S
        while self._held_bytes > 0 and self._held_bytes + size > self.limits.held_bytes:
            if self.read_clock() >= until:
                return False
            self._relieve(wanted_bytes=size)
            await asyncio.sleep(ROOM_POLL_INTERVAL_S)
        return True

    def check(self) -> None:
        """Close the connections that are outside the limits now."""
        now, limits = self.read_clock(), self.read_request_limits()
        for connection in list(self._held):
            reason = connection.find_fault(limits, now=now)
            if reason is not None:
                connection.close_for(reason)
            else:
                self.update(connection)

    async def run(self) -> None:
        """Check all connections at a fixed interval, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def _relieve(self, *, wanted_bytes: int = 0) -> None:
        """Close connections until there is room for `wanted_bytes` more."""
        self._relieved_at = now = self.read_clock()
        holdings = [connection.make_holding(now=now) for connection in self._held]
        wanted = Holding(key=None, held_bytes=wanted_bytes, idle_s=0.0, is_served=True)
        limits = self.limits
        if wanted_bytes:
            holdings.append(wanted)
            limits = replace(limits, connections=limits.connections + 1)
        for connection in choose_closed(holdings, limits=limits):
            connection.close_for(CloseReason.BUDGET)


class BoundedConnection(web.RequestHandler):
    """A connection that is closed when it is outside the limits."""

    __slots__ = (
        "_ahead_bytes",
        "_answer_bytes",
        "_body_bytes",
        "_budget",
        "_framed_bytes",
        "_head_bytes",
        "_head_since",
        "_is_serving",
        "_last_body",
        "_progressed_at",
        "_unsent_bytes",
        "answer_until",
    )

    def __init__(
        self, *args: object, budget: ConnectionBudget, **options: object
    ) -> None:
        super().__init__(*args, **options)
        # What was read behind a request is answered before more is read.
        self._msg_queue_resume_size = 0
        self._budget = budget
        #: Bytes of the head that is being read, and when it began.
        self._head_bytes = 0
        self._head_since: float | None = None
        #: Bytes that were read behind the request that is served.
        self._ahead_bytes = 0
        #: Bytes of its body that are kept, and those of the body with its framing.
        self._body_bytes = 0
        self._framed_bytes = 0
        #: Bytes of its answer that are kept until they are written.
        self._answer_bytes = 0
        self._is_serving = False
        #: Body of the latest request that was parsed, of which a part may follow its
        #: answer.
        self._last_body: StreamReader | None = None
        #: When the caller last sent or read something, and what it had not read then.
        self._progressed_at = budget.read_clock()
        self._unsent_bytes = 0
        #: Deadline of the request that is served, `None` if it has none.
        self.answer_until: float | None = None

    @property
    def held_bytes(self) -> int:
        """The bytes of memory that the connection takes, about."""
        held = (self._head_bytes + self._ahead_bytes) * HEAD_FACTOR
        held += self._body_bytes + self._find_unsent_bytes()
        held += self._answer_bytes * ANSWER_FACTOR
        return held + self._is_stalled * STALLED_BYTES

    @property
    def has_part_of_head(self) -> bool:
        """Whether bytes of a head were read that is not whole.

        A head that begins behind a body in the same bytes is not recognized.
        """
        return self._head_since is not None

    @property
    def _is_stalled(self) -> bool:
        """Whether buffers beside those that are counted are full, not for a moment."""
        if not (self._paused or self._buffer_paused or self._reading_paused):
            return False
        return self._budget.read_clock() - self._progressed_at >= MIN_IDLE_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, and bound what the kernel keeps for it."""
        super().connection_made(transport)
        limit_reads(transport, MAX_READ_BYTES)
        self._budget.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection has held."""
        self._budget.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what was received, within the limits."""
        parsed = self._request_count
        body = self._find_unfinished_body()
        super().data_received(data)
        if not data and self._request_count == parsed:
            # Reading was resumed, which is frequent for a body in tiny chunks.
            return
        if self._messages:
            self._last_body = self._messages[-1][1]
        now = self._budget.read_clock()
        if self._request_count > parsed:
            self._progressed_at = now
            self._head_bytes, self._head_since = 0, None
            self._framed_bytes = 0
        elif body is not None:
            self._progressed_at = now
            self._framed_bytes += len(data)
            bound = MAX_FRAMING_BYTES + FRAMING_FACTOR * body.total_bytes
            if self._framed_bytes > max(bound, len(data)) and not self._buffer_paused:
                # Its caller gets its answer once the time for the body has passed.
                self._pause_reading_for_buffer()
        elif data:
            self._head_bytes += len(data)
            if self._head_since is None:
                self._head_since = now
        if data and self._is_serving and body is None:
            self._ahead_bytes += len(data)
            if self._ahead_bytes > MAX_AHEAD_BYTES and not self._buffer_paused:
                self._pause_reading_for_buffer()
        if self._head_bytes > self._budget.read_request_limits().head_bytes:
            self.close_for(CloseReason.HEAD_TOO_LARGE)
        self._budget.update(self)

    def begin_request(self) -> None:
        """Record that a request is served from now on."""
        self._is_serving = True
        self._ahead_bytes *= bool(self._messages)

    def end_request(self) -> None:
        """Give back what the request has held, and read on."""
        self._is_serving, self.answer_until = False, None
        self._body_bytes = self._answer_bytes = 0
        self._progressed_at = now = self._budget.read_clock()
        if self._head_since is not None:
            # Reading may have been paused until now.
            self._head_since = now
        if not self._messages:
            self._ahead_bytes = 0
            if self._buffer_paused and self.transport is not None:
                self._resume_reading_if_drained()
        self._budget.update(self)

    def hold_body(self, size: int) -> bool:
        """Count bytes of a body that are kept; return whether there is room."""
        self._body_bytes = size
        self._budget.update(self)
        return not self._budget.is_full

    async def await_answer_room(self, size: int) -> bool:
        """Return whether there is room for an answer, which is counted from then on."""
        if size > MAX_UNHELD_BYTES:
            if not await self._budget.await_room(size * ANSWER_FACTOR):
                return False
        self.hold_answer(size)
        return True

    def hold_answer(self, size: int) -> None:
        """Count bytes of an answer that are kept until the caller has read them."""
        self._answer_bytes = size
        self._budget.update(self)

    def pause_writing(self) -> None:
        """Count the buffers that are full as the caller does not read."""
        super().pause_writing()
        self._progressed_at = self._budget.read_clock()
        self._unsent_bytes = self._find_unsent_bytes()
        self._budget.update(self)

    def resume_writing(self) -> None:
        """Record that the caller has read."""
        super().resume_writing()
        self._progressed_at = self._budget.read_clock()
        self._budget.update(self)

    def find_fault(self, limits: RequestLimits, *, now: float) -> CloseReason | None:
        """Return why the connection has to be closed, `None` if it need not be."""
        if self._head_since is not None and not self._is_serving:
            if now - self._head_since > limits.head_s:
                return CloseReason.HEAD_TOO_SLOW
        if not self._paused:
            return None
        unsent_bytes = self._find_unsent_bytes()
        if unsent_bytes < self._unsent_bytes:
            self._progressed_at = now
        self._unsent_bytes = unsent_bytes
        until = self.answer_until
        if self.transport is not None and self.transport.is_closing():
            # Its answer has ended; what is unsent is kept until it is read.
            until = self._progressed_at
        elif until is None:
            until = self._progressed_at + limits.idle_s - LATE_READ_S
        return CloseReason.ANSWER_UNREAD if now > until + LATE_READ_S else None

    def make_holding(self, *, now: float) -> Holding:
        """Return what the connection holds."""
        body = self._find_unfinished_body()
        is_served = self._is_serving and body is None and not self._paused
        since = self._progressed_at
        if self._head_since is not None and not is_served:
            since = self._head_since
        return Holding(
            key=self,
            held_bytes=self.held_bytes,
            idle_s=0.0 if is_served else now - since,
            is_served=is_served and not self._ahead_bytes,
        )

    def close_for(self, reason: CloseReason) -> None:
        """Close the connection as it is outside the limits; discard what is unsent."""
        if self.transport is None:
            return
        self._budget.closed[reason] += 1
        log_event(
            "connection_closed",
            reason=reason.value,
            peer=str(self.peername),
            held_bytes=self.held_bytes,
            all_held_bytes=self._budget.held_bytes,
            connections=self._budget.count,
            is_serving=self._is_serving,
        )
        self._budget.remove(self)
        transport = self.transport
        self.close_here(reason.value)
        transport.abort()

    def close_here(self, cause: str) -> None:
        """Close the connection, for a cause that a subclass records."""
        self.force_close()

    def _find_unfinished_body(self) -> StreamReader | None:
        """Return the body that is being received, `None` if none is."""
        body = self._last_body
        return None if body is None or body.is_eof() else body

    def _find_unsent_bytes(self) -> int:
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()


class BoundedServer(web.Server):
    """Accepts connections that a budget bounds."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        *,
        budget: ConnectionBudget,
        **options: object,
    ) -> None:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            connection = request.protocol
            connection.begin_request()
            try:
                return await handler(request)
            finally:
                connection.end_request()

        super().__init__(handle, access_log=None, **options)
        self._budget = budget

    def __call__(self) -> BoundedConnection:
        """Return the handler of a new connection."""
        return self.make_connection(
            self, loop=self._loop, budget=self._budget, **self._kwargs
        )

    #: Makes the handler of a connection.
    make_connection: Callable[..., BoundedConnection] = BoundedConnection


class BoundedAppRunner(web.AppRunner):
    """Runs an application whose connections a budget bounds."""

    def __init__(
        self, app: web.Application, *, budget: ConnectionBudget, shutdown_timeout: float
    ) -> None:
        super().__init__(app, access_log=None, shutdown_timeout=shutdown_timeout)
        self._budget = budget

    async def _make_server(self) -> web.Server:
        """Start the application; return its server."""
        await super()._make_server()
        return BoundedServer(
            self.app._handle,
            budget=self._budget,
            request_factory=self.app._make_request,
            handler_cancellation=True,
        )


def limit_reads(transport: asyncio.BaseTransport, size: int) -> None:
    """Bound how many bytes of a TCP connection are read in one turn of the loop."""
    if hasattr(transport, "max_size"):
        transport.max_size = size


async def start_bounded(
    runner: web.BaseRunner, address: str, *, ssl_context: ssl.SSLContext | None = None
) -> None:
    """Have a server listen at `IP:PORT`, with bounded buffers of its connections."""
    listener = listen_bounded(address)
    site = web.SockSite(
        runner, listener, backlog=ACCEPTED_PER_TURN, ssl_context=ssl_context
    )
    await site.start()
    # The event loop accepts as many connections in one turn as may wait.
    listener.listen(WAITING_CONNECTIONS)


def listen_bounded(address: str) -> socket.socket:
    """Return a socket bound to `IP:PORT` whose connections have bounded buffers."""
    host, port = address.rsplit(":", 1)
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listener.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
    try:
        listener.bind((host, int(port)))
    except OSError:
        listener.close()
        raise
    return listener
