"""Forwards the streams of services without an engine, whose targets need no path."""

import asyncio
from functools import partial

import aiohttp
from aiohttp import web

from fulmarward_router.exchange._admission import (
    compute_resume_end,
    compute_resume_start,
)
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._crash_monitor import CrashMonitor
from fulmarward_router.exchange._events import Event, EventSplitter
from fulmarward_router.exchange._forwarding import StreamForwarder
from fulmarward_router.exchange._relay import PeerRelay
from fulmarward_router.exchange._request_state import (
    CutCause,
    RejectedRequest,
    RequestState,
    TruncatedResponse,
)
from fulmarward_router.exchange._send import AnswerLost, close_response
from fulmarward_router.exchange._whole_responses import (
    AttemptLeft,
    Placement,
    TargetChoice,
    WholeResponses,
)
from fulmarward_router.ports import TargetCall

#: Seconds between two looks for a target that goes on with a stream, and at most after
#: ones that found none. Each look costs more the larger the fleet is.
SEARCH_INTERVAL_S = 0.1
MAX_SEARCH_INTERVAL_S = 0.4


class PlainStreams:
    """Sends streams to targets, and forwards their events as they arrive.

    A stream that breaks off goes on at another target if its route allows that, and is
    cut otherwise. One that is silent is left once another target can take it.
    """

    def __init__(
        self,
        *,
        context: ServiceContext,
        forwarder: StreamForwarder,
        relay: PeerRelay,
        crash_monitor: CrashMonitor,
        responses: WholeResponses,
    ) -> None:
        self._context = context
        self._forwarder = forwarder
        self._relay = relay
        self._crash_monitor = crash_monitor
        #: Sends the attempts, and delivers responses that are no streams.
        self._responses = responses
        self._client = context.client
        self._dialect = context.dialect
        self._read_clock = context.read_clock

    async def serve(
        self, state: RequestState, targets: TargetChoice
    ) -> web.StreamResponse:
        """Stream a complete response to the caller.

        Raises `RejectedRequest` before the response starts, `TruncatedResponse`
        afterwards.
        """
        await self._crash_monitor.admit(state)
        last_failure: web.Response | None = None
        placement: Placement | None = None
        while True:
            if placement is None:
                if self._relay.is_needed(state):
                    relayed = await self._relay.serve(state)
                    if relayed is not None:
                        return relayed
                placement = await self._choose(state, targets, last_failure)
                if placement is None:
                    return last_failure
            answer, placement = await self._run(state, targets, placement)
            if isinstance(answer, web.Response):
                if answer.status < 500:
                    return answer
                last_failure = answer
            elif answer is not None:
                return answer
            if placement is not None:
                continue
            if state.runs == 0 and self._relay.is_needed(state):
                # No target has received it, so that it takes no retry.
                continue
            if not await self._take_retry(state, targets):
                if last_failure is not None and not state.has_begun:
                    return last_failure
                raise self._responses.make_end(state, targets, "no more attempts")

    async def _choose(
        self,
        state: RequestState,
        targets: TargetChoice,
        last_failure: web.Response | None,
    ) -> Placement | None:
        """Return where to send a stream, `None` if an earlier failure is the answer.

        A begun stream waits for a target about as long as its caller does.
        """
        if not state.has_begun:
            return await targets.choose(is_last=last_failure is not None)
        while True:
            placement = await targets.choose(is_last=True)
            if placement is not None:
                return placement
            left_s = compute_resume_end(state) - self._read_clock()
            if left_s <= 0:
                raise TruncatedResponse(CutCause.NO_PATH)
            await asyncio.sleep(min(SEARCH_INTERVAL_S, left_s))

    async def _run(
        self, state: RequestState, targets: TargetChoice, placement: Placement
    ) -> tuple[web.StreamResponse | None, Placement | None]:
        """Run one attempt.

        Returns its response, `None` if another may be tried, and where the stream goes
        on if the attempt was left for that, with a retry.
        """
        successors: list[Placement] = []
        try:
            until = compute_resume_end(state)
            await self._crash_monitor.await_clearance(state, until=until)
            self._context.check_may_begin(state)
            state.resumes += state.has_begun
            answer = await self._responses.send(
                state,
                targets,
                placement,
                open_response=partial(self._open, state, targets, successors),
                read=partial(self._read, state, targets, successors),
            )
            if state.has_begun and isinstance(answer, web.Response):
                # Another status is too late.
                answer = None
        except BaseException:
            for successor in successors:
                targets.release(successor)
            raise
        finally:
            targets.release(placement)
        return answer, successors[0] if successors else None

    async def _open(
        self,
        state: RequestState,
        targets: TargetChoice,
        successors: list[Placement],
        call: TargetCall,
    ) -> aiohttp.ClientResponse:
        """Send an attempt, as `ServiceContext.open` does.

        Raises `AttemptLeft` if a target that does not respond is left for another.
        """
        opening = asyncio.create_task(self._context.open(state, call))
        interval_s = SEARCH_INTERVAL_S
        try:
            while True:
                left_s = compute_resume_start(state) - self._read_clock()
                await asyncio.wait([opening], timeout=max(interval_s, left_s))
                if opening.done():
                    return opening.result()
                await self._leave(state, targets, successors)
                interval_s = min(2 * interval_s, MAX_SEARCH_INTERVAL_S)
        except BaseException:
            opening.cancel()
            opening.add_done_callback(close_response)
            raise

    async def _leave(
        self, state: RequestState, targets: TargetChoice, successors: list[Placement]
    ) -> None:
        """Raise `AttemptLeft` if a silent stream can go on at another target now."""
        # The open attempt counts as a run.
        state.runs += 1
        try:
            successor = await targets.choose_beside()
        except (RejectedRequest, TruncatedResponse):
            return
        finally:
            state.runs -= 1
        if successor is not None:
            successors.append(successor)
            raise AttemptLeft("silent")

    async def _read(
        self,
        state: RequestState,
        targets: TargetChoice,
        successors: list[Placement],
        response: aiohttp.ClientResponse,
    ) -> bytes | web.StreamResponse:
        """Forward a stream until its end; return the body of another response.

        Raises `AnswerLost`.
        """
        if not self._is_stream(state, response):
            return await self._client.read_body(response)
        answer = state.request.get("answer")
        if answer is None:
            answer = await self._forwarder.begin_answer(state, response)
        splitter, has_events = EventSplitter(), False
        while True:
            events = await self._read_events(
                state, targets, successors, response, splitter
            )
            if events is None:
                break
            has_events = has_events or bool(events)
            await self._forwarder.forward_events(state, events, answer)
        headers = response.headers
        is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if splitter.pending or not (is_framed or has_events):
            raise AnswerLost("ended inside an event")
        await self._forwarder.end_answer(answer)
        return answer

    def _is_stream(self, state: RequestState, response: aiohttp.ClientResponse) -> bool:
        """Return whether a response is a stream of the target that was asked."""
        facts = self._dialect.read_answer(response.status, response.headers)
        is_own = facts.request_id == state.facts.request_id and facts.is_plain
        return (
            response.status == 200
            and is_own
            and facts.is_signed
            and not facts.is_not_run
        )

    async def _read_events(
        self,
        state: RequestState,
        targets: TargetChoice,
        successors: list[Placement],
        response: aiohttp.ClientResponse,
        splitter: EventSplitter,
    ) -> list[Event] | None:
        """Return events as `StreamForwarder.read_events` does.

        Raises `AnswerLost`, as `AttemptLeft` if a silent target is left for another.
        """
        interval_s = SEARCH_INTERVAL_S
        while True:
            left_s = compute_resume_start(state) - self._read_clock()
            try:
                async with asyncio.timeout(max(interval_s, left_s)) as silence:
                    return await self._forwarder.read_events(response, splitter)
            except TimeoutError:
                if not silence.expired():
                    raise
            except (aiohttp.ClientError, OSError) as error:
                raise AnswerLost(repr(error)) from error
            await self._leave(state, targets, successors)
            interval_s = min(2 * interval_s, MAX_SEARCH_INTERVAL_S)

    async def _take_retry(self, state: RequestState, targets: TargetChoice) -> bool:
        """Consume a retry; a begun stream waits for one as long as its caller."""
        if not state.has_begun:
            return targets.take_retry()
        until = compute_resume_end(state)
        return await self._context.await_retry(state, until=until)
