"""Relays callers' requests to a peer while this instance reaches no target.

A peer handles a relayed request like one of its own callers', with the same key,
request id and remaining time. It never relays it again.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import aiohttp
import orjson
from aiohttp import web

from fulmarward.observability import log_event
from fulmarward_core.attempts import must_reuse_targets
from fulmarward_core.isolation import RelayPeer, choose_relay_peers
from fulmarward_core.results import ResultCode
from fulmarward_core.routes import RouteKind
from fulmarward_router.exchange._admission import (
    compute_resume_end,
    compute_resume_start,
)
from fulmarward_router.exchange._contact_monitor import ContactMonitor
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._crash_monitor import CrashMonitor
from fulmarward_router.exchange._events import Event, EventSplitter, is_next
from fulmarward_router.exchange._forwarding import StreamForwarder, is_of_caller
from fulmarward_router.exchange._request_state import (
    CutCause,
    EndedAttempt,
    RejectedRequest,
    RequestState,
    TruncatedResponse,
)
from fulmarward_router.exchange._send import AnswerLost, NotSent, is_unsent

#: Peers that a request is relayed to in turn. The first may be isolated as well, or may
#: have ended, which is not known here yet.
MAX_PEERS = 4

#: Seconds for which a peer that rejected a relayed request for a reason of its own (it
#: does not reach the service, is not ready, or stops) is asked after the others.
UNREACHED_PEER_DURATION_S = 1.0

#: Retry delay, in seconds, of a request that no peer can serve either.
UNREACHED_RETRY_S = 1.0

#: Retry delay, in seconds, of a relayed request: the peer that relayed it has others.
RELAYED_RETRY_S = 0.1


#: Seconds between two checks whether targets are reached again that a started stream
#: waits for, and between two requests to all peers, doubled up to the maximum.
CONTACT_CHECK_INTERVAL_S = 0.1
MIN_ASK_INTERVAL_S = 0.1
MAX_ASK_INTERVAL_S = 0.4

#: Seconds between two checks whether the stream of a silent peer can go on elsewhere,
#: at most after ones without success, of silence before the first one, and by which a
#: check may be late.
SILENCE_CHECK_INTERVAL_S = 0.1
MAX_SILENCE_CHECK_INTERVAL_S = 0.4
MIN_SILENCE_S = 1.0
MAX_LATENESS_S = 0.03

#: Multiple of the objective for a first event within which another peer has to bring
#: one beside a silent one.
EVENT_TIMEOUT_OBJECTIVES = 2

#: Seconds without an event after which a relayed stream is given back: half of the time
#: for which callers wait, so that the peer that relayed it can ask another one.
GIVEN_BACK_AFTER_S = 1.0

#: Statuses of a peer that mean that no target has run a request.
_NOT_RUN_STATUSES = frozenset({401, 404, 503})

#: Codes with which a peer rejects a request that another one may serve.
_LOCAL_CODES = frozenset(
    {ResultCode.TARGET_UNREACHABLE, ResultCode.NOT_READY, ResultCode.STOPPING}
)

#: Codes with which a peer rejects a request that it has sent to no target.
_UNSENT_CODES = _LOCAL_CODES | {ResultCode.QUEUE_FULL, ResultCode.NO_TARGET}


class _PeerFailed(Exception):
    """A peer did not serve a relayed request completely."""

    def __init__(
        self,
        cause: str,
        *,
        is_not_run: bool,
        is_rejection: bool = False,
        is_refused: bool = False,
        has_retry: bool = False,
        successor: "RelayedStream | None" = None,
    ) -> None:
        super().__init__(cause)
        self.cause = cause
        #: Whether no target has received the request through this peer.
        self.is_not_run = is_not_run
        #: Whether the peer rejected it for a reason of its own.
        self.is_rejection = is_rejection
        #: Whether a target may have refused it, which is a send as any other.
        self.is_refused = is_refused
        #: Whether a retry was consumed before the response was given up.
        self.has_retry = has_retry
        #: What goes on with the stream in its place.
        self.successor = successor

    @property
    def is_sent(self) -> bool:
        """Whether a target may have received the request, and so a send that counts."""
        return not self.is_not_run or self.is_refused


class _NoSuccessor(Exception):
    """No other peer goes on with the stream of a silent one."""


class NoPeerServes(Exception):
    """No peer goes on with a stream."""

    def __init__(self, *, is_sent: bool) -> None:
        super().__init__()
        #: Whether a target may have received the request through one of them.
        self.is_sent = is_sent


@dataclass(frozen=True, kw_only=True)
class RelayedStream:
    """A started stream that a peer goes on with."""

    peer: RelayPeer
    response: aiohttp.ClientResponse
    splitter: EventSplitter
    #: Events that have arrived and were not forwarded.
    events: list[Event]


class PeerRelay:
    """Serves requests through peers."""

    def __init__(
        self,
        *,
        context: ServiceContext,
        contact_monitor: ContactMonitor,
        forwarder: StreamForwarder,
        crash_monitor: CrashMonitor,
        list_peers: Callable[[], Sequence[RelayPeer]],
        count_relay: Callable[[str, str], None],
    ) -> None:
        self._context = context
        self._contacts = context.contacts
        self._contact_monitor = contact_monitor
        self._forwarder = forwarder
        self._crash_monitor = crash_monitor
        #: Returns the peers that callers are sent to.
        self._list_peers = list_peers
        #: Counts a relayed request, by service and outcome.
        self._count_relay = count_relay
        self._client = context.client
        self._dialect = context.dialect
        self._read_clock = context.read_clock
        #: When a peer last rejected a request to a service, by service and peer.
        self._rejected_at: dict[tuple[str, str], float] = {}

    def has_peers(self) -> bool:
        """Return whether there is a peer that callers are sent to."""
        return bool(self._list_peers())

    def is_needed(self, state: RequestState) -> bool:
        """Return whether to use `serve` instead of the targets of a service.

        Guards against refusing requests everywhere because all targets were slow for a
        moment: until it is certain that none answers, they are tried after the peers,
        here and at peers that get a request as the last resort.
        """
        if self._contacts.is_reached(state.service):
            return False
        is_last = state.is_relay_tried or state.facts.is_last_resort
        return not is_last or self._is_certain(state)

    def _is_certain(self, state: RequestState) -> bool:
        now = self._read_clock()
        return self._contacts.is_unreached_for_certain(state.service, now=now)

    async def serve(self, state: RequestState) -> web.StreamResponse | None:
        """Return the response of a peer, or go on with a stream that has started.

        Returns `None` if no peer has served it and its targets may be tried. Raises
        `RejectedRequest`, or `TruncatedResponse` if the response has started and its
        caller is about to leave. Cancelling it closes the connection, so that the peer
        stops its target.
        """
        state.is_relay_tried = True
        if state.facts.relayed_by is None:
            answer = await self._ask_peers(state)
            if answer is not None:
                return answer
        elif not state.has_begun:
            # Its runs are those at other instances, so that nothing has run here.
            raise RejectedRequest(
                ResultCode.TARGET_UNREACHABLE,
                cause="relayed",
                retry_after_s=RELAYED_RETRY_S,
            )
        if state.has_begun:
            return await self._await_contact(state)
        if not self._is_certain(state):
            return None
        raise self._make_rejection(state, "no target answers")

    async def _await_contact(self, state: RequestState) -> web.StreamResponse | None:
        """Return `None` once the targets of a started stream may be tried again.

        Peers are asked again meanwhile, and the response is returned if one serves it.
        Raises `TruncatedResponse` once its caller is about to leave. Guards against
        streams that are cut because this instance, or a peer that it asked, was short
        of processor time for a moment, and has found no target that answers.
        """
        interval_s = MIN_ASK_INTERVAL_S
        ask_at = self._read_clock() + interval_s
        while self._is_without_targets(state):
            now = self._read_clock()
            until = self._compute_wait_end(state)
            if now >= until:
                detail = "relayed" if state.facts.relayed_by else "no target answers"
                raise TruncatedResponse(CutCause.NO_PEER, detail=detail)
            await asyncio.sleep(min(CONTACT_CHECK_INTERVAL_S, until - now))
            if state.facts.relayed_by is not None or self._read_clock() < ask_at:
                continue
            answer = await self._ask_peers(state)
            if answer is not None:
                return answer
            interval_s = min(2 * interval_s, MAX_ASK_INTERVAL_S)
            ask_at = self._read_clock() + interval_s
        return None

    def is_bound(self, state: RequestState) -> bool:
        """Return whether a stream may only go on where it has run; no peer knows it.

        One that was relayed here can go on at other peers of the one that relayed it.
        """
        is_own = state.facts.relayed_by is None
        return is_own and must_reuse_targets(self._context.make_tally(state))

    def _is_without_targets(self, state: RequestState) -> bool:
        """Return whether the targets of a started stream need not be tried now."""
        if self.is_bound(state):
            return False
        if state.facts.relayed_by is not None:
            # The peer that relayed it can ask others.
            return not self._contacts.is_reached(state.service)
        return self._is_certain(state)

    @staticmethod
    def _compute_wait_end(state: RequestState) -> float:
        """Return until when a started stream waits for its targets."""
        until = compute_resume_end(state)
        if state.facts.relayed_by is None:
            return until
        written_at = state.last_write_at
        active_at = state.arrived_at if written_at is None else written_at
        return min(until, active_at + GIVEN_BACK_AFTER_S)

    async def _ask_peers(self, state: RequestState) -> web.StreamResponse | None:
        """Return the response of a peer, or `None`; raises as `serve` does."""
        peers = self._choose_peers(state.service)
        for is_last_resort in (False, True):
            answer, peers = await self._try_peers(
                state, peers, is_last_resort=is_last_resort
            )
            if answer is not None:
                return answer
        return None

    async def _try_peers(
        self, state: RequestState, peers: Sequence[RelayPeer], *, is_last_resort: bool
    ) -> tuple[web.StreamResponse | None, list[RelayPeer]]:
        """Return the response of the first peer that serves, and those that rejected.

        Raises as `serve` does.
        """
        rejecting = []
        for peer in peers:
            if self.is_bound(state):
                break
            # It may have crashed a target of the peer before.
            await self._check_crashes(state)
            self._context.check_may_begin(state)
            self._log_relayed(state, peer, peers, is_last_resort=is_last_resort)
            try:
                async with asyncio.timeout(state.count_left(self._read_clock())):
                    answer = await self._relay(
                        state, peer, is_last_resort=is_last_resort
                    )
                self._count_relay(state.service, "served")
                return answer, []
            except TimeoutError:
                # The peer has the same deadline, so nothing more can come.
                failure = _PeerFailed("deadline", is_not_run=False)
            except _PeerFailed as error:
                failure = error
            except (Exception, asyncio.CancelledError) as error:
                if not state.has_begun or is_of_caller(error):
                    # With a connection, it is under way, and may run.
                    state.runs += not is_unsent(error)
                    raise
                failure = _make_own_failure(state, error)
            self._record_failed(state, peer, failure)
            if failure.successor is not None:
                return await self.go_on(state, failure.successor), rejecting
            if failure.is_sent and not failure.has_retry:
                await self._require_retry(state, failure)
            if failure.is_rejection:
                rejecting.append(peer)
            if failure.is_refused:
                # Others may refuse it as well; the next one is asked a little later.
                break
        return None, rejecting

    def _log_relayed(
        self,
        state: RequestState,
        peer: RelayPeer,
        peers: Sequence[RelayPeer],
        *,
        is_last_resort: bool,
    ) -> None:
        """Log that a request is sent to a peer, and record that for its last line."""
        state.relayed_to = peer.name
        state.sends += 1
        log_event(
            "request_relayed",
            request=state.facts.request_id,
            peer=peer.name,
            peers=len(peers),
            data_centres=sorted({each.data_centre for each in peers}),
            service=state.service,
            runs=state.runs,
            last_event=state.last_event,
            is_last_resort=is_last_resort,
            left_s=round(state.count_left(self._read_clock()), 3),
        )

    def _record_failed(
        self, state: RequestState, peer: RelayPeer, failure: _PeerFailed
    ) -> None:
        """Count and log that a peer did not serve a request completely."""
        state.runs += not failure.is_not_run
        state.sends -= failure.is_not_run
        ended = EndedAttempt(
            target=peer.name,
            progress="relayed",
            may_have_run=not failure.is_not_run,
        )
        state.ended_attempts.append(ended)
        outcome = "not run" if failure.is_not_run else "may have run"
        self._count_relay(state.service, outcome)
        log_event(
            "relay_failed",
            request=state.facts.request_id,
            peer=peer.name,
            cause=failure.cause,
            is_not_run=failure.is_not_run,
            last_event=state.last_event,
        )
        if failure.is_rejection or failure.is_refused or failure.has_retry:
            self._rejected_at[state.service, peer.name] = self._read_clock()

    async def open_stream(
        self, state: RequestState, *, open_runs: int, silent_peer: str = ""
    ) -> RelayedStream:
        """Return a started stream that a peer goes on with, other than a silent one.

        It is returned once its next event has arrived, with its response open. The peer
        gets the number of `open_runs` beside those that have ended.

        Raises `NoPeerServes`.
        """
        peers = self._choose_peers(state.service)
        peers = [peer for peer in peers if peer.name != silent_peer]
        for peer in peers:
            self._log_relayed(state, peer, peers, is_last_resort=False)
            try:
                return await self._open_at(state, peer, open_runs)
            except _PeerFailed as error:
                self._record_failed(state, peer, error)
                if error.is_sent:
                    raise NoPeerServes(is_sent=True) from error
            except asyncio.CancelledError:
                # It is under way, and may run.
                state.runs += 1
                raise
        raise NoPeerServes(is_sent=False)

    async def _open_at(
        self, state: RequestState, peer: RelayPeer, open_runs: int
    ) -> RelayedStream:
        """Return a started stream of one peer; raises `_PeerFailed`."""
        response = await self._open(
            state, peer, is_last_resort=False, open_runs=open_runs
        )
        splitter, events = EventSplitter(), []
        is_opened = False
        try:
            await self._evaluate_head(state, peer, response)
            while not any(is_next(event, state.last_event) for event in events):
                try:
                    events = await self._forwarder.read_events(response, splitter)
                except (aiohttp.ClientError, OSError) as error:
                    raise _PeerFailed(repr(error), is_not_run=False) from error
                if events is None:
                    raise _PeerFailed("ended without an event", is_not_run=False)
            is_opened = True
        finally:
            if not is_opened:
                response.close()
        return RelayedStream(
            peer=peer, response=response, splitter=splitter, events=events
        )

    async def go_on(
        self, state: RequestState, stream: RelayedStream
    ) -> web.StreamResponse | None:
        """Forward a stream that a peer has taken over, and return its response.

        Returns `None` if it failed and another attempt may follow. Raises
        `TruncatedResponse`.
        """
        answer = state.request["answer"]
        going_on: RelayedStream | None = stream
        while going_on is not None:
            failure = await self._forward_relayed(state, going_on, answer)
            if failure is None:
                return answer
            self._record_failed(state, going_on.peer, failure)
            going_on = failure.successor
        if failure.is_sent and not failure.has_retry:
            await self._require_retry(state, failure)
        return None

    async def _forward_relayed(
        self, state: RequestState, stream: RelayedStream, answer: web.StreamResponse
    ) -> _PeerFailed | None:
        """Forward a stream that a peer has taken over; return why it failed."""
        try:
            async with asyncio.timeout(state.count_left(self._read_clock())):
                await self._forwarder.forward_events(state, stream.events, answer)
                await self._forward_rest(
                    state, stream.peer, stream.response, stream.splitter, answer
                )
            self._count_relay(state.service, "served")
            return None
        except TimeoutError:
            return _PeerFailed("deadline", is_not_run=False)
        except _PeerFailed as error:
            return error
        except (Exception, asyncio.CancelledError) as error:
            if is_of_caller(error):
                raise
            return _make_own_failure(state, error)
        finally:
            stream.response.close()

    async def _check_crashes(self, state: RequestState) -> None:
        """Check a request as `CrashMonitor.check`; a started response waits for it."""
        if not state.has_begun:
            self._crash_monitor.check(state)
            return
        until = compute_resume_end(state)
        await self._crash_monitor.await_clearance(state, until=until)

    def _choose_peers(self, service: str) -> list[RelayPeer]:
        since = self._read_clock() - UNREACHED_PEER_DURATION_S
        self._rejected_at = {
            key: at for key, at in self._rejected_at.items() if at > since
        }
        return choose_relay_peers(
            self._list_peers(),
            unreached={peer for of, peer in self._rejected_at if of == service},
            data_centre=self._context.data_centre,
            count=MAX_PEERS,
            offset=random.randrange(1 << 16),
        )

    def _make_rejection(
        self, state: RequestState, cause: str, *, detail: str = ""
    ) -> RejectedRequest:
        """Return the rejection of a request that no peer has served."""
        if state.runs > 0:
            return self._context.make_rejection(
                state, cause=cause, retry_after_s=UNREACHED_RETRY_S, detail=detail
            )
        return RejectedRequest(
            ResultCode.TARGET_UNREACHABLE,
            cause=cause,
            retry_after_s=UNREACHED_RETRY_S,
            detail=detail,
        )

    async def _require_retry(self, state: RequestState, failure: _PeerFailed) -> None:
        """Consume a retry, or raise the exception that ends the request."""
        if state.has_begun:
            until = compute_resume_end(state)
            is_taken = await self._context.await_retry(state, until=until)
        else:
            is_taken = self._context.take_retry(state)
        if is_taken:
            return
        if state.has_begun:
            raise TruncatedResponse(
                self._context.find_cut_cause(state), detail=failure.cause
            )
        raise self._make_rejection(state, "no more peers", detail=failure.cause)

    async def _relay(
        self, state: RequestState, peer: RelayPeer, *, is_last_resort: bool
    ) -> web.StreamResponse:
        """Return the response of one peer; raises `_PeerFailed`."""
        response = await self._open(state, peer, is_last_resort=is_last_resort)
        try:
            return await self._forward(state, peer, response)
        finally:
            response.close()

    async def _open(
        self,
        state: RequestState,
        peer: RelayPeer,
        *,
        is_last_resort: bool,
        open_runs: int = 0,
    ) -> aiohttp.ClientResponse:
        """Send a request to one peer; raises `_PeerFailed`."""
        headers = self._dialect.make_relay_headers(
            state.headers,
            relayed_by=self._context.instance,
            runs=state.runs + open_runs,
            is_last_resort=is_last_resort,
            deadline_s=state.count_left(self._read_clock()),
            last_event=state.last_event,
        )
        try:
            return await self._client.open_relay(state, peer.address, headers)
        except NotSent as error:
            raise _PeerFailed(repr(error), is_not_run=True) from error
        except AnswerLost as error:
            raise _PeerFailed(repr(error), is_not_run=False) from error

    async def _forward(
        self, state: RequestState, peer: RelayPeer, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Forward the response of a peer to the caller."""
        whole = await self._evaluate_head(state, peer, response)
        if whole is not None:
            return whole
        return await self._forward_stream(state, peer, response)

    async def _evaluate_head(
        self, state: RequestState, peer: RelayPeer, response: aiohttp.ClientResponse
    ) -> web.Response | None:
        """Return the whole response of a peer, `None` if a stream follows.

        Raises `_PeerFailed`.
        """
        facts = self._dialect.read_answer(response.status, response.headers)
        if facts.is_signed:
            self._contact_monitor.record_served_by_peer(state.service, peer=peer.name)
        if response.status == 200:
            if not facts.is_signed or facts.request_id != state.facts.request_id:
                raise _PeerFailed("not a target's answer", is_not_run=False)
            if state.route.kind is RouteKind.STREAM:
                return None
        try:
            body = await self._client.read_body(response)
        except AnswerLost as error:
            raise _PeerFailed(repr(error), is_not_run=False) from error
        if _is_local_rejection(response.status, body):
            raise _PeerFailed(
                "rejected by the peer", is_not_run=True, is_rejection=True
            )
        if state.has_begun:
            code = _find_code(response.status, body)
            raise _PeerFailed(
                f"status {response.status}",
                is_not_run=response.status in _NOT_RUN_STATUSES,
                is_refused=response.status == 503 and code not in _UNSENT_CODES,
            )
        headers = self._dialect.select_answer_headers(response.headers)
        return web.Response(status=response.status, body=body, headers=headers)

    async def _forward_stream(
        self, state: RequestState, peer: RelayPeer, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        answer = state.request.get("answer")
        if answer is None:
            answer = await self._forwarder.begin_answer(state, response)
        await self._forward_rest(state, peer, response, EventSplitter(), answer)
        return answer

    async def _forward_rest(
        self,
        state: RequestState,
        peer: RelayPeer,
        response: aiohttp.ClientResponse,
        splitter: EventSplitter,
        answer: web.StreamResponse,
    ) -> None:
        """Forward what follows of a stream; raises `_PeerFailed`."""
        while True:
            try:
                events = await self._read_events(state, peer, response, splitter)
            except (aiohttp.ClientError, OSError) as error:
                raise _PeerFailed(repr(error), is_not_run=False) from error
            if events is None:
                break
            await self._forwarder.forward_events(state, events, answer)
        if splitter.pending:
            raise _PeerFailed("ended inside an event", is_not_run=False)
        await self._forwarder.end_answer(answer)

    async def _read_events(
        self,
        state: RequestState,
        peer: RelayPeer,
        response: aiohttp.ClientResponse,
        splitter: EventSplitter,
    ) -> list[Event] | None:
        """Return events as `StreamForwarder.read_events` does.

        Raises `_PeerFailed` once another peer goes on with the stream of a silent one,
        or once it can go on at targets of this instance. Otherwise it is left at its
        peer, which may go on as well.
        """
        # A peer that has just begun needs time for its first event.
        may_end_at = self._read_clock() + MIN_SILENCE_S
        interval_s = SILENCE_CHECK_INTERVAL_S
        has_asked = False
        while True:
            began_at = self._read_clock()
            left_s = max(may_end_at, compute_resume_start(state)) - began_at
            wait_s = max(left_s, interval_s)
            try:
                async with asyncio.timeout(wait_s) as timeout:
                    return await self._forwarder.read_events(response, splitter)
            except TimeoutError:
                if not timeout.expired():
                    raise
            late_s = self._read_clock() - began_at - wait_s
            # After a pause of this instance, events may wait in its sockets.
            if late_s > MAX_LATENESS_S or not self._take_way_out(state, peer):
                continue
            if self._may_use_targets(state, peer, has_asked=has_asked):
                raise _PeerFailed("silent", is_not_run=False, has_retry=True)
            try:
                return await self._read_beside(state, peer, response, splitter)
            except _NoSuccessor:
                has_asked = True
                interval_s = min(2 * interval_s, MAX_SILENCE_CHECK_INTERVAL_S)

    async def _read_beside(
        self,
        state: RequestState,
        peer: RelayPeer,
        response: aiohttp.ClientResponse,
        splitter: EventSplitter,
    ) -> list[Event] | None:
        """Return events of a silent peer, while another is asked to go on.

        Raises `_PeerFailed` with the stream of the other once that has brought an
        event, and `_NoSuccessor` if it brings none while the silent one stays open.
        """
        further = asyncio.create_task(self._open_beside(state, peer))
        reading = asyncio.create_task(self._forwarder.read_events(response, splitter))
        is_adopted = False
        try:
            await asyncio.wait({further, reading}, return_when=asyncio.FIRST_COMPLETED)
            if reading.done() and reading.exception() is None:
                return reading.result()
            # A peer that has broken off leaves the stream to the other.
            left_s = compute_resume_end(state) - self._read_clock()
            await asyncio.wait({further}, timeout=max(0.0, left_s))
            successor = further.result() if further.done() else None
            if successor is not None:
                is_adopted = True
                raise _PeerFailed(
                    "silent", is_not_run=False, has_retry=True, successor=successor
                )
            if reading.done():
                return reading.result()
            raise _NoSuccessor
        finally:
            reading.cancel()
            if not is_adopted:
                state.relayed_to = peer.name
                self._discard(state, further)
            await asyncio.wait({reading})

    async def _open_beside(
        self, state: RequestState, peer: RelayPeer
    ) -> RelayedStream | None:
        """Return a stream that another peer than a silent one goes on with, if any.

        The retry is returned if no target has got the request.
        """
        timeout_s = EVENT_TIMEOUT_OBJECTIVES * state.route.objective_s
        try:
            async with asyncio.timeout(timeout_s):
                return await self.open_stream(state, open_runs=1, silent_peer=peer.name)
        except TimeoutError:
            pass
        except NoPeerServes as error:
            if not error.is_sent:
                self._context.return_retry(state)
        except Exception as error:
            _make_own_failure(state, error)
        return None

    @staticmethod
    def _discard(
        state: RequestState, further: asyncio.Task[RelayedStream | None]
    ) -> None:
        """Close what another peer has brought, or stop asking it."""
        if not further.done():
            further.cancel()
        elif (stream := further.result()) is not None:
            state.runs += 1
            stream.response.close()

    def _may_use_targets(
        self, state: RequestState, peer: RelayPeer, *, has_asked: bool
    ) -> bool:
        """Return whether to give up a silent peer for the targets of this instance.

        Those that are not reached, but not for certain, come after the other peers.
        """
        if self._contacts.is_reached(state.service):
            return True
        has_others = any(each.name != peer.name for each in self._list_peers())
        return not self._is_certain(state) and (has_asked or not has_others)

    def _take_way_out(self, state: RequestState, peer: RelayPeer) -> bool:
        """Consume a retry for the stream of a silent peer that can go on elsewhere."""
        lost_state = replace(state, runs=state.runs + 1)
        if not state.route.is_resumable or self.is_bound(lost_state):
            return False
        others = [each for each in self._list_peers() if each.name != peer.name]
        if not others and self._is_certain(state):
            return False
        return self._context.take_retry_early(
            state, lost_state=lost_state, is_last=True
        )


def _make_own_failure(state: RequestState, error: BaseException) -> _PeerFailed:
    """Log a fault of this program, and return it as the failure of a peer."""
    log_event("internal_error_caught", exc_info=error, request=state.facts.request_id)
    return _PeerFailed(repr(error), is_not_run=False)


def _is_local_rejection(status: int, body: bytes) -> bool:
    """Return whether a peer rejected a request for a reason of its own."""
    return _find_code(status, body) in _LOCAL_CODES


def _find_code(status: int, body: bytes) -> ResultCode | None:
    """Return the code of a rejection by a peer, `None` if it is none."""
    if status != 503:
        return None
    try:
        return ResultCode(orjson.loads(body)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return None
