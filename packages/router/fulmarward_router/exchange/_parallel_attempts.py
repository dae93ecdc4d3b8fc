"""Attempts of one request that are open beside each other.

A target that is slow may still answer, so that its attempt stays open until another one
has brought an answer.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from aiohttp import web

from fulmarward.observability import log_event
from fulmarward_router.exchange._request_state import RejectedRequest, RequestState


@dataclass(kw_only=True, eq=False)
class Attempt:
    """An attempt of a request that may have further attempts beside it."""

    #: Name of its target, empty while one is sought and if it goes to a peer.
    target: str = ""
    #: When it was sent, in seconds on the monotonic clock; `None` before.
    sent_at: float | None = None
    #: Whether it is among the runs of the request already while it is open.
    is_counted: bool = False


#: Sends an attempt; returns the response of its target, or `None` if it has none.
Send = Callable[[Attempt], Coroutine[None, None, web.Response | None]]


class ParallelAttempts:
    """The open attempts of one request, and the best failure so far."""

    def __init__(
        self,
        *,
        state: RequestState,
        send_next: Send,
        find_patience_s: Callable[[], float],
        record_overtaken: Callable[[Attempt, Attempt], None],
    ) -> None:
        self._state = state
        #: Looks for another target and sends to it.
        self._send_next = send_next
        #: Returns after how many seconds another attempt may begin.
        self._find_patience_s = find_patience_s
        #: Called with each attempt that is closed as another one has won, and that one.
        self._record_overtaken = record_overtaken
        self._open: dict[asyncio.Task[web.Response | None], Attempt] = {}
        #: How many attempts in a row found no target, or no retry.
        self._unsent = 0
        self._failure: web.Response | None = None
        self._error: Exception | None = None

    async def run(
        self, first: Attempt, send: Send, *, check_after_s: float
    ) -> web.Response | None:
        """Return the first good response; the other attempts are closed by then.

        If there is none, returns the latest failure that a target answered, else raises
        the latest exception of an attempt, else returns `None`. The patience is asked
        for after `check_after_s`, which it is no shorter than. Cancelling it closes all
        attempts.
        """
        loop = asyncio.get_running_loop()
        self._begin(first, send)
        began_at = loop.time()
        check_at = began_at + check_after_s
        patience_s = None
        try:
            while self._open:
                done = await self._wait(check_at - loop.time())
                for task in done:
                    if self._take_result(task):
                        return task.result()
                if done or loop.time() < check_at:
                    continue
                if patience_s is None:
                    patience_s = self._find_patience_s()
                    check_at = began_at + patience_s
                if loop.time() >= check_at:
                    self._begin_next()
                    # Each look for a target costs more the larger the fleet is.
                    check_at = loop.time() + patience_s * 2**self._unsent
        finally:
            await self._close()
        if self._failure is None and self._error is not None:
            raise self._error
        return self._failure

    def _begin(self, attempt: Attempt, send: Send) -> None:
        self._open[asyncio.create_task(self._send(attempt, send))] = attempt

    async def _send(self, attempt: Attempt, send: Send) -> web.Response | None:
        try:
            return await send(attempt)
        finally:
            if attempt.is_counted:
                # Whether it ran was counted when it ended.
                self._state.runs -= 1

    def _begin_next(self) -> None:
        """Begin another attempt unless one still seeks its target."""
        if any(attempt.sent_at is None for attempt in self._open.values()):
            return
        for attempt in self._open.values():
            if not attempt.is_counted:
                # It may run, which the limit of the route and later answers depend on.
                attempt.is_counted = True
                self._state.runs += 1
        self._begin(Attempt(), self._send_next)

    async def _wait(self, timeout_s: float) -> list[asyncio.Task[web.Response | None]]:
        """Return the attempts that have ended, in the order in which they began."""
        done, _ = await asyncio.wait(
            self._open,
            timeout=max(0.0, timeout_s),
            return_when=asyncio.FIRST_COMPLETED,
        )
        return [task for task in self._open if task in done]

    def _take_result(self, task: asyncio.Task[web.Response | None]) -> bool:
        """Return whether an attempt that has ended has a good response."""
        attempt = self._open.pop(task)
        self._unsent = self._unsent + 1 if attempt.sent_at is None else 0
        if task.cancelled():
            # By something else than its request, which would not be here any more.
            return False
        error = task.exception()
        if isinstance(error, Exception):
            self._error = error
            if not isinstance(error, RejectedRequest) and self._open:
                log_event(
                    "internal_error_caught",
                    exc_info=error,
                    request=self._state.facts.request_id,
                )
            return False
        answer = task.result()
        if answer is None:
            return False
        if answer.status >= 500:
            self._failure = answer
            return False
        for other_task, other in self._open.items():
            if other.sent_at is not None and not other_task.done():
                self._record_overtaken(other, attempt)
        return True

    async def _close(self) -> None:
        """Close the open attempts; returns once their connections are closed."""
        for task in self._open:
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)
        self._open.clear()
