"""Forwards the events of a stream to the caller."""

from collections.abc import Callable

import aiohttp
from aiohttp import web

from fulmarward_router.exchange._events import EventSplitter, is_after
from fulmarward_router.exchange._request_state import RequestState
from fulmarward_router.ports import TargetDialect


class StreamForwarder:
    """Begins responses, and forwards complete events as they arrive."""

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        is_stopping: Callable[[], bool],
        read_clock: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._is_stopping = is_stopping
        self._read_clock = read_clock

    async def begin_answer(
        self, state: RequestState, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Start the response to the caller with the headers of `response`."""
        headers = self._dialect.select_answer_headers(response.headers)
        answer = web.StreamResponse(status=response.status, headers=headers)
        if self._is_stopping():
            answer.force_close()
        await answer.prepare(state.request)
        state.request["answer"] = answer
        return answer

    async def forward_events(
        self,
        state: RequestState,
        splitter: EventSplitter,
        data: bytes,
        answer: web.StreamResponse,
    ) -> None:
        """Forward the events that `data` completes, without those already sent."""
        chunks = []
        last = state.last_event
        for event in splitter.feed(data):
            if not is_after(event.id, last):
                continue
            chunks.append(event.data)
            last = event.id if event.id is not None else last
        if not chunks:
            return
        state.record_write(now=self._read_clock())
        await answer.write(b"".join(chunks))
        state.last_event = last
