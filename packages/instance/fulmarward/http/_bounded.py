"""Bounds what is received of one response, whatever its framing or compression.

A source may send without end, in a head or in a body. The bounds hold where the bytes
arrive, so that they apply to every reader of a connection alike. A response that
exceeds one ends with `ResponseTooLarge`, and its connection is reset.
"""

import asyncio
import re
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import ClassVar

import aiohttp
import orjson
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from fulmarward.http._heads import (
    MalformedHeadError,
    check_heads,
    check_transfer_codings,
)
from fulmarward.observability import log_event

_MIB = 1 << 20


@dataclass(frozen=True, kw_only=True)
class ResponseLimits:
    """What is accepted of one response; the defaults suit a client of targets."""

    #: Bytes of a response that is read as a whole.
    whole_bytes: int = 4 * _MIB
    #: Bytes of any response, as sent and as unpacked.
    total_bytes: int = 64 * _MIB
    #: Bytes of one event of a stream, with the comments before it.
    event_bytes: int = 256 << 10
    #: Bytes of all responses that are being read as a whole at the same time.
    held_bytes: int = 24 * _MIB
    #: Bytes sent beyond those of the body: the head, and the framing of chunks. Each
    #: chunk blocks the event loop for some microseconds.
    framing_bytes: int = 256 << 10
    #: Interim responses before the final one.
    interim_responses: int = 8
    #: Seconds from the first byte of a head to its end, interim responses included.
    head_s: float = 2.0

    def __post_init__(self) -> None:
        for name, value in vars(self).items():
            if not value > 0:
                raise ValueError(f"{name}: expected more than 0, found {value}")


#: Bytes of a response from which on it is checked. Most responses end before, and
#: streams arrive in thousands of small parts.
CHECKED_BYTES = 8 << 10

#: Bytes that may be sent for each byte of a body, beyond `framing_bytes`. Chunks of
#: five bytes or more need no more; of smaller ones only few are accepted, as each chunk
#: costs the same to read.
FRAMING_RATIO = 2


#: Where another response begins.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}(?: |$)")


class JoinedHeads(aiohttp.ClientPayloadError):
    """A head that was cut, and completed by the start of another response."""


class ResponseTooLarge(aiohttp.ClientPayloadError):
    """A response exceeded one of its limits; the message names the limit."""


class ResponseGuard:
    """Applies the limits to the connections of a client, and counts what exceeds them.

    `limits` may be replaced at any time, for example by a reload of the settings.
    """

    def __init__(self, *, limits: ResponseLimits = ResponseLimits()) -> None:
        self.limits = limits
        #: Number of responses that were ended, by limit.
        self.excesses: Counter[str] = Counter()
        #: Bytes held of each response that is being read as a whole.
        self._held: dict[aiohttp.ClientResponse, int] = {}

    def make_session(
        self,
        *,
        connector_options: Mapping[str, object],
        make_handler: Callable[..., "BoundedHandler"] | None = None,
        **options: object,
    ) -> aiohttp.ClientSession:
        """Return a client whose responses are bounded; needs a running loop."""
        connector = aiohttp.TCPConnector(**connector_options)
        connector._factory = partial(
            make_handler or BoundedHandler,
            loop=asyncio.get_running_loop(),
            guard=self,
        )
        return aiohttp.ClientSession(
            connector=connector,
            response_class=type("_Response", (BoundedResponse,), {"guard": self}),
            **options,
        )

    async def read_whole(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the body of a response; raises `aiohttp.ClientError` or `OSError`.

        If all bodies together exceed their limit, the largest one is given up, and not
        the one that happened to need more memory.
        """
        parts = []
        self._held[response] = 0
        try:
            while data := await response.content.readany():
                parts.append(data)
                self._held[response] += len(data)
                if self._held[response] > self.limits.whole_bytes:
                    raise self.reject(response, "whole_bytes")
                if sum(self._held.values()) > self.limits.held_bytes:
                    largest = max(self._held, key=self._held.__getitem__)
                    error = self._record(largest, "held_bytes")
                    if largest is not response:
                        # Its reader gets the error instead of the closing.
                        largest.content.set_exception(error)
                    largest.close()
                    if largest is response:
                        raise error
            return b"".join(parts)
        finally:
            # An error refers to this frame, and may be kept: its bytes must not be.
            parts.clear()
            del self._held[response]

    def reject(self, response: aiohttp.ClientResponse, limit: str) -> ResponseTooLarge:
        """End a response that exceeded a limit; return the error for its reader."""
        error = self._record(response, limit)
        response.close()
        return error

    def _record(self, response: aiohttp.ClientResponse, limit: str) -> ResponseTooLarge:
        address = f"{response.url.host}:{response.url.port}"
        return self.record_excess(limit, address)

    def record_excess(self, limit: str, address: str) -> ResponseTooLarge:
        """Log and count a response that exceeded a limit; return the error for it."""
        self.excesses[limit] += 1
        bound = getattr(self.limits, limit)
        log_event("response_rejected", address=address, limit=limit, bound=bound)
        return ResponseTooLarge(f"more than {limit} = {bound}")


class BoundedResponse(aiohttp.ClientResponse):
    """A response whose body is bounded if it is read as a whole."""

    guard: ClassVar[ResponseGuard]

    async def read(self) -> bytes:
        """Return the whole body; raises `aiohttp.ClientError` or `OSError`."""
        if self._body is None:
            try:
                self._body = await self.guard.read_whole(self)
            except BaseException:
                self.close()
                raise
        return self._body

    async def json(self, **options: object) -> object:
        """Return the body as JSON, which is in UTF-8 whatever the headers say.

        Raises `aiohttp.ClientError`, `OSError` or `ValueError`, the last also if it is
        nested too deeply.
        """
        options = {"encoding": "utf-8", "loads": orjson.loads} | options
        return await super().json(**options)


class BoundedHandler(ResponseHandler):
    """A connection that ends a response which exceeds its limits."""

    def __init__(self, loop: asyncio.AbstractEventLoop, guard: ResponseGuard) -> None:
        super().__init__(loop=loop)
        self._guard = guard
        self._sent_bytes = 0
        self._interim_responses = 0
        #: What was received until the end of the head; empty after it.
        self._heads = bytearray()
        self._body: aiohttp.StreamReader | None = None
        self._head_timer: asyncio.TimerHandle | None = None

    def set_response_params(self, **options: object) -> None:
        """Prepare for the response to the next request."""
        self._sent_bytes = 0
        self._interim_responses = 0
        self._heads = bytearray()
        self._body = None
        super().set_response_params(**options)

    def feed_data(self, data: tuple, size: int = 0) -> None:
        """Pass on a parsed head and its body, unless the head is an interim one."""
        message, body = data
        if 100 <= message.code < 200 and message.code != 101:
            self._interim_responses += 1
            return
        try:
            if self._body is None:
                self._check_head(message)
        except MalformedHeadError as error:
            self._reject_head("malformed_head_rejected", error)
            return
        if _has_status_line(message):
            error = JoinedHeads("another response begins inside its head")
            self._reject_head("joined_heads_rejected", error)
            return
        self._heads = bytearray()
        self._body = body
        self._stop_head_timer()
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse what was received, and check it against the limits."""
        if self._sent_bytes == 0 and data:
            self._head_timer = self._loop.call_later(
                self._guard.limits.head_s, self._end, "head_s"
            )
        self._sent_bytes += len(data)
        if self._body is None:
            self._heads += data
        super().data_received(data)
        if self._sent_bytes < CHECKED_BYTES and not self._interim_responses:
            return
        limit = self._find_excess()
        if limit is not None:
            self._end(limit)

    def _find_excess(self) -> str | None:
        """Return the limit that the response exceeds, `None` if it exceeds none."""
        limits = self._guard.limits
        body_bytes = 0 if self._body is None else self._body.total_bytes
        used = {
            "interim_responses": self._interim_responses,
            "total_bytes": max(self._sent_bytes, body_bytes),
            "framing_bytes": self._sent_bytes - body_bytes * FRAMING_RATIO,
        }
        exceeded = (
            name for name, value in used.items() if value > getattr(limits, name)
        )
        return next(exceeded, None)

    def _end(self, limit: str) -> None:
        """End the response, whose reader gets the error, and reset the connection."""
        self._stop_head_timer()
        transport, body = self.transport, self._body
        if transport is None or transport.is_closing():
            return
        error = self._guard.record_excess(limit, self._find_address())
        if body is not None and not body.is_eof():
            body.set_exception(error)
        self.set_exception(error)
        transport.abort()

    def _check_head(self, message: RawResponseMessage) -> None:
        """Raise `MalformedHeadError` unless the received head is well-formed."""
        check_heads(self._heads, interim_responses=self._interim_responses)
        codings = message.headers.getall("Transfer-Encoding", ())
        check_transfer_codings(codings)

    def _reject_head(self, event: str, error: aiohttp.ClientPayloadError) -> None:
        """End a response whose head is invalid, and reset the connection."""
        self._stop_head_timer()
        log_event(event, address=self._find_address(), cause=str(error))
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def _find_address(self) -> str:
        """Return the address of the other host, as `HOST:PORT`."""
        peer = self.transport and self.transport.get_extra_info("peername")
        host, port = (peer or ("", 0))[:2]
        return f"{host}:{port}"

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer of the head."""
        self._stop_head_timer()
        super().connection_lost(exc)


def _has_status_line(message: RawResponseMessage) -> bool:
    """Return whether another response begins inside a parsed head."""
    reason = message.reason.encode("utf-8", "surrogateescape")
    values = [value for _, value in message.raw_headers]
    return any(map(_STATUS_LINE.search, (reason, *values)))
