"""Forwards the events of a stream to the caller."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import aiohttp
from aiohttp import web

from fulmarward.http import BoundedResponse, ResponseLimits
from fulmarward_router.exchange._events import Event, EventSplitter, is_after
from fulmarward_router.exchange._request_state import RequestState
from fulmarward_router.ports import TargetDialect

#: Bytes of a stream that are split into events between two turns of the event loop.
BYTES_PER_STEP = 16 << 10


class CallerLeft(ConnectionError):
    """Nothing more can be written to the caller's connection."""


def is_of_caller(error: BaseException) -> bool:
    """Return whether an error of the current task means that its caller has left.

    Its connection cancels the task, or cannot be written to. Other connection errors
    and cancellations are those of targets, peers or tasks of this program.
    """
    if isinstance(error, asyncio.CancelledError):
        task = asyncio.current_task()
        return task is None or task.cancelling() > 0
    return isinstance(error, CallerLeft)


@contextmanager
def _writing() -> Iterator[None]:
    """Raise `CallerLeft` for an error of the caller's connection."""
    try:
        yield
    except ConnectionError as error:
        raise CallerLeft(repr(error)) from error


class StreamForwarder:
    """Begins responses, and forwards complete events as they arrive."""

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        read_clock: Callable[[], float],
        read_limits: Callable[[], ResponseLimits] = ResponseLimits,
    ) -> None:
        self._dialect = dialect
        self._read_clock = read_clock
        #: Returns the limits of responses that are in force.
        self._read_limits = read_limits

    async def begin_answer(
        self, state: RequestState, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Start the response to the caller with the headers of `response`.

        Raises `CallerLeft`.
        """
        headers = self._dialect.select_answer_headers(response.headers)
        answer = web.StreamResponse(status=response.status, headers=headers)
        with _writing():
            await answer.prepare(state.request)
        state.request["answer"] = answer
        return answer

    async def read_events(
        self, response: BoundedResponse, splitter: EventSplitter
    ) -> list[Event] | None:
        """Return the events that have arrived, `None` at the end of the stream.

        Raises `aiohttp.ClientError` or `OSError`. Nothing is lost if it is cancelled:
        the next call goes on.
        """
        if not splitter.unsplit:
            splitter.unsplit = await response.content.readany()
            if not splitter.unsplit:
                return None
        while splitter.unsplit:
            if splitter.feed_step(BYTES_PER_STEP) > self._read_limits().event_bytes:
                raise response.guard.reject(response, "event_bytes")
            if splitter.unsplit:
                await asyncio.sleep(0)
        return splitter.take_events()

    async def forward_events(
        self,
        state: RequestState,
        events: Iterable[Event],
        answer: web.StreamResponse,
    ) -> None:
        """Forward events to the caller, without those already sent.

        Raises `CallerLeft`.
        """
        chunks = []
        last = state.last_event
        for event in events:
            if not is_after(event.id, last):
                continue
            chunks.append(event.data)
            if event.is_unnumbered:
                state.is_unresumable = True
            last = event.id if event.id is not None else last
        if not chunks:
            return
        state.record_write(now=self._read_clock())
        with _writing():
            await answer.write(b"".join(chunks))
        state.last_event = last

    async def end_answer(self, answer: web.StreamResponse) -> None:
        """End the response to the caller; raises `CallerLeft`."""
        with _writing():
            await answer.write_eof()
