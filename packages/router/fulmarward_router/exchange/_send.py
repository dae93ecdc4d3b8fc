"""Sends each attempt to a target over a new connection.

Guards against late and extra responses, which on a reused connection would be read as
the response to the next request, and against connections that the target has already
closed, where it is unknown whether the request was executed. A new connection costs a
target 1 ms, and a caller one round trip inside the platform.
"""

import asyncio
from collections import defaultdict
from contextvars import ContextVar
from enum import Enum

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from fulmarward.http import (
    BoundedConnection,
    BoundedHandler,
    ResponseGuard,
    limit_reads,
    send_once,
)
from fulmarward.observability import log_event
from fulmarward_router._sockets import (
    has_unacknowledged,
    limit_unacknowledged,
    reset_connection,
)
from fulmarward_router.exchange._request_state import RequestState
from fulmarward_router.ports import TargetCall, TargetDialect

#: Seconds to wait for a connection to a target. The round trip is under 1 ms, but a
#: lost SYN packet is retransmitted only after 1 s.
CONNECT_TIMEOUT_S = 0.35

_SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


#: Seconds for which a target's host may leave bytes of a request unacknowledged. On a
#: saturated or lossy link they might arrive when the target has left.
UNACKNOWLEDGED_TIMEOUT_S = 1.5


#: Bytes of a response that are read in one turn of the event loop, and that are kept
#: for a caller that does not read.
MAX_READ_BYTES = 64 << 10

#: Characters that are logged of an error, as it may quote a target.
MAX_CAUSE_LENGTH = 512


class SendFailed(Exception):
    """A request had no complete response."""

    #: Number of connections that were made for the request.
    connections = 0


class NotSent(SendFailed):
    """No connection was made, so the target has not received the request.

    Neither a refused connection nor a timeout shows whose fault it is: the target's or
    that of this instance's own link.
    """


class AnswerLost(SendFailed):
    """The request was sent but no complete response came: it may have been executed."""


def is_unsent(error: BaseException) -> bool:
    """Return whether an error ended a request before it had a connection."""
    return getattr(error, "connections", None) == 0


class _Opening:
    """A request whose response has not started, and its connection once it is made."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        #: Number of connections that were made for it.
        self.connections = 0


#: The request for which the current task makes a connection.
_current_opening: ContextVar[_Opening | None] = ContextVar("opening", default=None)


class _ResettingHandler(BoundedHandler):
    """Connection of one attempt; it is reset unless the response is complete."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Attach the connection to its request, and bound its delivery."""
        limit_unacknowledged(transport, UNACKNOWLEDGED_TIMEOUT_S)
        limit_reads(transport, MAX_READ_BYTES)
        opening = _current_opening.get()
        if opening is not None:
            opening.transport = transport
            opening.connections += 1
        super().connection_made(transport)

    def close(self) -> None:
        """Close the connection; one without a complete response is reset.

        Guards against a request that is still in the send buffer before a saturated
        link when its attempt is abandoned: an orderly close would deliver it, and the
        target would execute it after its deadline.
        """
        is_answered = self._payload is not None and self._payload.is_eof()
        if self.transport is not None and not is_answered:
            reset_connection(self.transport)
        super().close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark a response as failed if its connection was reset.

        Guards against a response without a length: the caller would receive a part of
        it as if it were complete.
        """
        if exc is not None and self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(
                aiohttp.ClientPayloadError(f"connection lost: {exc!r}")
            )
        super().connection_lost(exc)


def make_target_session(guard: ResponseGuard) -> aiohttp.ClientSession:
    """Return a client that opens one connection per request; needs a running loop."""
    return guard.make_session(
        connector_options={
            "limit": 0,
            "force_close": True,
            "enable_cleanup_closed": False,
        },
        make_handler=_ResettingHandler,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        middlewares=[send_once],
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        read_bufsize=MAX_READ_BYTES,
    )


class TargetClient:
    """Sends requests to targets and reads their responses."""

    def __init__(
        self, *, session: aiohttp.ClientSession, dialect: TargetDialect
    ) -> None:
        self._session = session
        self._dialect = dialect
        #: Requests whose responses have not started, by address of the target.
        self._openings: defaultdict[str, set[_Opening]] = defaultdict(set)

    async def open(
        self, state: RequestState, call: TargetCall
    ) -> aiohttp.ClientResponse:
        """Send a request and return its response once the headers have arrived.

        Raises `NotSent` or `AnswerLost`. Cancelling it closes the connection; the
        `CancelledError` has the number of `connections` that were made.
        """
        headers = self._dialect.make_headers(state.headers, call)
        return await self._open(state, call.address, headers)

    async def open_relay(
        self, state: RequestState, address: str, headers: list[tuple[str, str]]
    ) -> aiohttp.ClientResponse:
        """Send a request to a peer, as `open` does to a target."""
        return await self._open(state, address, headers)

    async def _open(
        self, state: RequestState, address: str, headers: list[tuple[str, str]]
    ) -> aiohttp.ClientResponse:
        opening = _Opening()
        self._openings[address].add(opening)
        token = _current_opening.set(opening)
        try:
            response = await self._request(state, address, headers)
            # A target may respond before it reads the whole body.
            if opening.transport is not None and not opening.transport.is_closing():
                limit_unacknowledged(opening.transport, 0)
            caller = getattr(state.request, "protocol", None)
            if isinstance(caller, BoundedConnection):
                size = response.content_length or 0
                if not await caller.await_answer_room(size):
                    response.close()
                    raise AnswerLost(f"no room for an answer of {size} bytes")
            return response
        except (SendFailed, asyncio.CancelledError) as error:
            error.connections = opening.connections
            raise
        finally:
            _current_opening.reset(token)
            self._remove_opening(address, opening)
            if opening.connections > 1:
                log_event(
                    "request_resent",
                    request=state.facts.request_id,
                    method=state.request.method,
                    address=address,
                    connections=opening.connections,
                )

    def _remove_opening(self, address: str, opening: _Opening) -> None:
        openings = self._openings[address]
        openings.discard(opening)
        if not openings:
            del self._openings[address]

    def reset_undelivered(self, address: str) -> bool:
        """Reset the requests to a target that its host has not acknowledged.

        Their `open` raises `AnswerLost`. Returns whether there were any.
        """
        undelivered = [
            opening.transport
            for opening in self._openings.get(address, ())
            if opening.transport is not None and has_unacknowledged(opening.transport)
        ]
        for transport in undelivered:
            reset_connection(transport)
        return bool(undelivered)

    async def _request(
        self, state: RequestState, address: str, headers: list[tuple[str, str]]
    ) -> aiohttp.ClientResponse:
        path = state.request.raw_path
        try:
            return await self._session.request(
                state.request.method,
                URL(f"http://{address}{path}", encoded=True),
                headers=CIMultiDict(headers),
                data=state.body or None,
                skip_auto_headers=_SKIPPED_HEADERS,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSent(_describe(error)) from error
        except (aiohttp.ClientError, ValueError, OSError) as error:
            raise AnswerLost(_describe(error)) from error

    async def read_body(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the complete body of a response; raises `AnswerLost`."""
        try:
            return await response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise AnswerLost(_describe(error)) from error


def close_response(head_task: asyncio.Task[aiohttp.ClientResponse]) -> None:
    """Close a response, also one whose head nobody has awaited."""
    if not head_task.cancelled() and head_task.exception() is None:
        head_task.result().close()


def _describe(error: Exception) -> str:
    """Format an error for the log: bounded, and without the headers that were sent."""
    return f"{type(error).__name__}: {error}"[:MAX_CAUSE_LENGTH]


class ConnectOutcome(Enum):
    """How an attempt to connect ended."""

    ACCEPTED = "accepted"
    #: Nothing listens at the address, as after its process has ended.
    REFUSED = "refused"
    #: The host has not answered in time.
    UNANSWERED = "unanswered"
    #: Nothing that concerns the process, as for an address that is none.
    FAILED = "failed"


async def try_connection(address: str, *, timeout_s: float) -> ConnectOutcome:
    """Return how an attempt to connect to an address ends; nothing is sent."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
    except ConnectionRefusedError:
        return ConnectOutcome.REFUSED
    except TimeoutError:
        return ConnectOutcome.UNANSWERED
    except (OSError, ValueError):
        return ConnectOutcome.FAILED
    writer.close()
    return ConnectOutcome.ACCEPTED
