"""HTTP server for callers: parses each request and responds to it exactly once."""

import asyncio
import math
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping

import orjson
from aiohttp import web

from fulmarward.http import BoundedServer, ConnectionBudget, RequestLimits
from fulmarward.observability import log_event
from fulmarward_core.quotas import RetryBudget
from fulmarward_core.results import ResultCode
from fulmarward_core.routes import (
    RoutingConfiguration,
    choose_service,
    find_class_urgency,
    find_key_waiver,
    find_route,
    find_team,
    find_urgency,
)
from fulmarward_router.exchange._admission import compute_resume_end
from fulmarward_router.exchange._caller_connection import (
    CallerConnection,
    ClosedBy,
    announce_close,
    await_delivery,
    close_after,
    find_close_cause,
    find_closer,
    hold_body,
    is_close_announced,
)
from fulmarward_router.exchange._engines import EngineService
from fulmarward_router.exchange._plain import PlainService
from fulmarward_router.exchange._request_state import (
    CutCause,
    LeaveCause,
    RejectedRequest,
    RequestState,
    TruncatedResponse,
)
from fulmarward_router.exchange._stop_gate import OpenRequest, Phase, StopGate
from fulmarward_router.ports import CallerFacts, TargetDialect
from fulmarward_router.state import ConfigurationHolder, Denial

#: Seconds that a request without a deadline may take.
DEFAULT_TIMEOUT_S = 30.0

#: Retry delay, in seconds, while there is no configuration.
NOT_READY_RETRY_S = 0.5

#: Seconds since the configuration was last confirmed after which an unknown route or
#: key may belong to a newer configuration.
MAX_CONFIRMATION_AGE_S = 2.0

#: Default of the seconds in which a new configuration must be in force.
DEFAULT_CONFIGURATION_S = 2.0

#: Share of that time for which a configuration is still applied after a peer reported a
#: newer one.
MAX_OUTDATED_SHARE = 0.75

#: Seconds that a connection may stay idle while there is no configuration.
DEFAULT_IDLE_TIMEOUT_S = 60.0

#: Seconds for which the rest of a rejected request is read, so that its caller gets the
#: rejection before the connection is reset.
LINGERING_TIME_S = 2.0

#: Bytes of a body that are read although callers hold as much as they may.
MAX_UNHELD_BYTES = 64 << 10

#: Characters of a cause that are kept for operators, and of a detail that is logged.
MAX_KEPT_CAUSE = 256

#: HTTP status of each rejection by this instance. 503 promises that no target executed
#: the request.
_STATUSES = {
    ResultCode.NOT_READY: 503,
    ResultCode.STOPPING: 503,
    ResultCode.NO_TARGET: 503,
    ResultCode.QUEUE_FULL: 503,
    ResultCode.TARGET_REFUSED: 503,
    ResultCode.TARGET_UNREACHABLE: 503,
    ResultCode.PROMPT_SUSPENDED: 503,
    ResultCode.PATH_UNKNOWN: 404,
    ResultCode.TEAM_KEY_WRONG: 401,
    ResultCode.HEADER_MALFORMED: 400,
    ResultCode.HEADERS_TOO_LARGE: 431,
    ResultCode.PROMPT_BLOCKED: 400,
    ResultCode.PROMPT_CRASHED: 400,
    ResultCode.REQUEST_BLOCKED: 400,
    ResultCode.REQUEST_CRASHED: 400,
    ResultCode.BODY_MALFORMED: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.BODY_TOO_SLOW: 408,
    ResultCode.DEADLINE_PASSED: 504,
    ResultCode.OUTCOME_UNKNOWN: 502,
}

#: Outcomes of requests without a state that have a line `request_refused`.
_LOGGED_OUTCOMES = frozenset(code.name.lower() for code in ResultCode)


class CallerServer(BoundedServer):
    """Accepts callers' connections, with the configured idle timeout."""

    make_connection = CallerConnection

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        *,
        budget: ConnectionBudget,
        read_idle_timeout_s: Callable[[], float],
        max_header_bytes: int,
    ) -> None:
        super().__init__(
            handler,
            budget=budget,
            handler_cancellation=True,
            # Targets get bodies as they were sent.
            auto_decompress=False,
            max_field_size=max_header_bytes,
            max_line_size=max_header_bytes,
            lingering_time=LINGERING_TIME_S,
        )
        self._read_idle_timeout_s = read_idle_timeout_s
        #: The number of the last request that counts, by connection.
        self._last_read: dict[CallerConnection, int] | None = None

    def __call__(self) -> CallerConnection:
        """Return the handler of a new connection."""
        self._kwargs["keepalive_timeout"] = self._read_idle_timeout_s()
        return super().__call__()

    def count_read(self) -> int:
        """Return how many requests were read behind those that are being served."""
        last_read = self._last_read
        return sum(
            connection.count_read(
                until=None if last_read is None else last_read.get(connection, 0)
            )
            for connection in self.connections
        )

    def end_counting(self) -> None:
        """Leave what is read from now on out of `count_read`.

        Guards against a stop that does not end while callers send on.
        """
        self._last_read = {
            connection: connection.last_read for connection in self.connections
        }


class CallerHandler:
    """Routes each request to its service and records how it ended."""

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        configuration: ConfigurationHolder,
        engines: EngineService,
        plain: PlainService,
        find_budget: Callable[[str], RetryBudget],
        read_clock: Callable[[], float],
        is_stopping: Callable[[], bool],
        observe: Callable[[RequestState | None, str, float], None],
        stop_gate: StopGate | None = None,
        record_denial: Callable[[Denial], None] = lambda denial: None,
        configuration_s: float = DEFAULT_CONFIGURATION_S,
        describe_conditions: Callable[[str], Mapping[str, object]] = lambda service: {},
    ) -> None:
        self._dialect = dialect
        self._max_outdated_s = configuration_s * MAX_OUTDATED_SHARE
        self._configuration = configuration
        self._engines = engines
        self._plain = plain
        self._find_budget = find_budget
        self._read_clock = read_clock
        self._is_stopping = is_stopping
        self._stop_gate = stop_gate or StopGate()
        self._observe = observe
        #: Keeps a rejection for operators.
        self._record_denial = record_denial
        #: Returns the conditions at this instance that may end a request to a service.
        self._describe_conditions = describe_conditions
        #: How many requests the end of a stop has ended, by what their callers got.
        self.ended: Counter[str] = Counter()

    def read_idle_timeout_s(self) -> float:
        """Return the seconds that a caller's connection may stay idle."""
        current = self._configuration.current
        return DEFAULT_IDLE_TIMEOUT_S if current is None else current.limits.idle_s

    def read_request_limits(self) -> RequestLimits:
        """Return the limits of what a caller's connection sends."""
        current = self._configuration.current
        if current is None:
            return RequestLimits()
        return RequestLimits(
            head_s=current.limits.header_s, idle_s=current.limits.idle_s
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to a request."""
        arrived_at = self._read_clock()
        state: RequestState | None = None
        outcome = "left"
        open_request = self._stop_gate.open(request)
        try:
            state = await self._parse_request(request, arrived_at)
            open_request.state = state
            if isinstance(request.protocol, CallerConnection):
                request.protocol.answer_until = state.deadline
            answer = await self._serve(state)
            outcome = f"status {answer.status}"
            if self._is_stopping() and not answer.prepared:
                announce_close(request, answer)
            open_request.is_answered = True
            await self._write_in_time(state, answer)
            if self._is_stopping():
                await self._await_delivery(request, open_request)
                close_after(request, answer)
            return answer
        except RejectedRequest as rejection:
            if state is not None and state.has_begun:
                # No status can be sent any more.
                truncated = TruncatedResponse(
                    CutCause.INTERNAL_ERROR, detail=rejection.cause
                )
                outcome = _record_cut(state, truncated)
                return _close_connection(request)
            outcome = rejection.code.name.lower()
            if state is not None and rejection.retry_after_s is not None:
                # Without a retry delay, it may have run or is not to be repeated.
                self._record_denial(self._describe_denial(state, rejection))
            if self._is_stopping():
                # The connection may be closed after the rejection.
                await self._await_delivery(request, open_request)
            return self._make_error_response(request, state, rejection)
        except TruncatedResponse as truncated:
            outcome = _record_cut(state, truncated)
            return _close_connection(request)
        except asyncio.CancelledError as error:
            if open_request.is_ended:
                outcome, answer = self._end_by_stop(request, open_request)
                await self._await_delivery(request, open_request)
                return answer
            outcome = self._record_interruption(request, state, error)
            raise
        except ConnectionError as error:
            outcome = self._record_interruption(request, state, error)
            return _close_connection(request)
        except Exception as error:
            outcome = f"error: {error!r}"
            if state is not None and state.has_begun:
                state.cut_cause = CutCause.INTERNAL_ERROR
            log_event(
                "internal_error_caught", exc_info=error, request=_get_request_id(state)
            )
            if open_request.is_answered or request.get("answer") is not None:
                return _close_connection(request)
            answer = web.Response(status=500)
            answer.force_close()
            return answer
        finally:
            self._stop_gate.close(open_request)
            if not request.content.is_eof():
                until = self._read_clock() + LINGERING_TIME_S
                self._stop_gate.record_unread(request, until=until)
            self._record_end(request, open_request, outcome, arrived_at)

    async def _write_in_time(
        self, state: RequestState, answer: web.StreamResponse
    ) -> None:
        """Write an answer; raises `TruncatedResponse` at the deadline."""
        try:
            async with asyncio.timeout(state.count_left(self._read_clock())):
                await _write(state.request, answer)
        except TimeoutError as error:
            raise TruncatedResponse(CutCause.DEADLINE, detail="not read") from error

    async def _await_delivery(
        self, request: web.BaseRequest, open_request: OpenRequest
    ) -> None:
        """Wait until earlier answers have arrived, or until the stop ends all."""
        while not self._stop_gate.has_ended:
            try:
                return await await_delivery(request)
            except asyncio.CancelledError:
                # One that was to wait for a target may be ended, with its answer known.
                if not open_request.is_ended:
                    raise

    def _end_by_stop(
        self, request: web.BaseRequest, open_request: OpenRequest
    ) -> tuple[str, web.StreamResponse]:
        """Return the outcome and the answer of a request that the stop has ended.

        What ran at other instances is known to the one that relayed the request.
        """
        state = open_request.state
        open_request.ended_in = phase = _find_phase(open_request)
        if phase in (Phase.RESPONDING, Phase.WRITING):
            self.ended["cut"] += 1
            outcome = _record_cut(state, TruncatedResponse(CutCause.STOPPING))
            return outcome, _close_connection(request)
        if phase is Phase.SENT:
            self.ended["unknown"] += 1
            rejection = RejectedRequest(
                ResultCode.OUTCOME_UNKNOWN, cause="the instance stops"
            )
        else:
            self.ended["refused"] += 1
            rejection = self._stop_gate.make_rejection(now=self._read_clock())
        answer = self._make_error_response(request, state, rejection)
        return rejection.code.name.lower(), answer

    def _record_interruption(
        self,
        request: web.BaseRequest,
        state: RequestState | None,
        error: BaseException,
    ) -> str:
        """Return the outcome of a request whose handler was interrupted.

        Its caller has left only if it closed the connection first.
        """
        if find_closer(request) is not ClosedBy.CALLER:
            # The error alone does not say whose it was.
            log_event(
                "request_interrupted", exc_info=error, request=_get_request_id(state)
            )
            if isinstance(error, asyncio.CancelledError):
                return "interrupted: handler cancelled"
            return f"interrupted: {error!r}"
        if state is not None and state.has_begun:
            is_silent = self._read_clock() >= compute_resume_end(state)
            state.leave_cause = LeaveCause.SILENCE if is_silent else LeaveCause.OWN
        return "caller left"

    async def _serve(self, state: RequestState) -> web.StreamResponse:
        spec = state.configuration.services.get(state.service)
        if spec is None:
            raise RejectedRequest(
                ResultCode.NO_TARGET, cause="service", retry_after_s=1.0
            )
        if state.facts.relayed_by is None:
            # A relayed request is counted where the caller sent it.
            self._find_budget(state.service).note_request(now=state.arrived_at)
        if spec.engine is None:
            return await self._plain.serve(state)
        return await self._engines.serve(state)

    async def _parse_request(
        self, request: web.BaseRequest, arrived_at: float
    ) -> RequestState:
        """Parse and route a request; raises `RejectedRequest`."""
        configuration = self._configuration.current
        if configuration is None:
            raise RejectedRequest(
                ResultCode.NOT_READY,
                cause="no configuration yet",
                retry_after_s=NOT_READY_RETRY_S,
            )
        outdated_s = self._configuration.find_outdated_s(now=arrived_at)
        if outdated_s > self._max_outdated_s:
            # It may allow what is not allowed any more, such as a revoked key.
            raise RejectedRequest(
                ResultCode.NOT_READY,
                cause=f"a newer configuration is missing for {outdated_s:.1f} s",
                retry_after_s=NOT_READY_RETRY_S,
            )
        self._check_headers(request, configuration)
        try:
            facts = self._dialect.read_caller(request.headers)
        except ValueError as error:
            raise RejectedRequest(
                ResultCode.HEADER_MALFORMED, cause=str(error)
            ) from error
        # A denied request has no state; its log line needs the id all the same.
        request["request_id"] = facts.request_id
        raw_path = request.raw_path
        if not raw_path.startswith("/"):
            raise RejectedRequest(ResultCode.HEADER_MALFORMED, cause="no path")
        path = raw_path.partition("?")[0]
        host = request.headers.get("Host", "")
        route = find_route(configuration, host=host, path=path)
        if route is None:
            raise self._make_denial(ResultCode.PATH_UNKNOWN, "no route", arrived_at)
        team = None
        key_waiver = find_key_waiver(configuration, route)
        if key_waiver is None:
            team = find_team(configuration, facts.key)
            if team is None:
                raise self._make_denial(
                    ResultCode.TEAM_KEY_WRONG, "no team", arrived_at
                )
        deadline_s = _find_deadline_s(facts)
        deadline = arrived_at + min(deadline_s, route.timeout_s)
        service = choose_service(route, facts.request_id)
        if is_close_announced(request):
            # Its caller may send it again elsewhere.
            raise self._stop_gate.make_rejection(now=self._read_clock())
        self._stop_gate.check(
            deadline=deadline, request_id=facts.request_id, now=self._read_clock()
        )
        request["deadline"] = deadline
        body = await self._read_body(
            request, configuration, timeout_s=deadline - self._read_clock()
        )
        return RequestState(
            request=request,
            headers=request.headers,
            body=body,
            facts=facts,
            configuration=configuration,
            route=route,
            team=team,
            key_waiver=key_waiver,
            service=service,
            urgency=find_urgency(route, team),
            class_urgency=find_class_urgency(route, team),
            arrived_at=arrived_at,
            deadline=deadline,
            last_event=facts.last_event,
            attempts=facts.runs_before,
            runs=facts.runs_before,
        )

    def _make_denial(self, code: ResultCode, cause: str, now: float) -> RejectedRequest:
        """Return the rejection of a request that the configuration does not allow.

        Guards against a final error from an outdated configuration: if it may be out of
        date, the caller is asked to retry instead.
        """
        age_s = now - self._configuration.confirmed_at
        if self._configuration.is_outdated:
            doubt = "a newer configuration is in force at a peer"
        elif age_s > MAX_CONFIRMATION_AGE_S:
            doubt = f"configuration confirmed {age_s:.1f} s ago"
        else:
            return RejectedRequest(code, cause=cause)
        return RejectedRequest(
            ResultCode.NOT_READY,
            cause=f"{cause}, {doubt}",
            retry_after_s=NOT_READY_RETRY_S,
        )

    def _check_headers(
        self, request: web.BaseRequest, configuration: RoutingConfiguration
    ) -> None:
        size = len(request.method) + len(request.raw_path) + 12
        size += sum(len(k) + len(v) + 4 for k, v in request.raw_headers)
        if size > configuration.limits.header_bytes:
            raise RejectedRequest(
                ResultCode.HEADERS_TOO_LARGE, cause="headers too large"
            )

    async def _read_body(
        self,
        request: web.BaseRequest,
        configuration: RoutingConfiguration,
        *,
        timeout_s: float,
    ) -> bytes:
        """Return the body of a request; raises `RejectedRequest`."""
        limit = configuration.limits.body_bytes
        if request.content_length is not None and request.content_length > limit:
            raise RejectedRequest(ResultCode.BODY_TOO_LARGE, cause="body too large")
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        parts, size = [], 0
        try:
            async with asyncio.timeout(timeout_s):
                async for part in request.content.iter_any():
                    parts.append(part)
                    size += len(part)
                    if not hold_body(request, size) and size > MAX_UNHELD_BYTES:
                        raise RejectedRequest(
                            ResultCode.QUEUE_FULL,
                            cause="callers hold too much",
                            retry_after_s=NOT_READY_RETRY_S,
                        )
                    if size > limit:
                        raise RejectedRequest(
                            ResultCode.BODY_TOO_LARGE, cause="body too large"
                        )
        except TimeoutError as error:
            raise RejectedRequest(
                ResultCode.BODY_TOO_SLOW, cause="the body did not arrive in time"
            ) from error
        except (web.HTTPException, ValueError) as error:
            raise RejectedRequest(
                ResultCode.BODY_MALFORMED, cause=repr(error)
            ) from error
        return b"".join(parts)

    def _make_error_response(
        self,
        request: web.BaseRequest,
        state: RequestState | None,
        rejection: RejectedRequest,
    ) -> web.Response:
        status = _STATUSES.get(rejection.code, 503)
        headers = {"Content-Type": "application/json"}
        if rejection.retry_after_s is not None:
            headers["Retry-After"] = f"{rejection.retry_after_s:g}"
        body = {"error": {"code": int(rejection.code), "message": rejection.cause}}
        answer = web.Response(status=status, body=orjson.dumps(body), headers=headers)
        if state is None and not request.content.is_eof():
            answer.force_close()
        elif self._is_stopping():
            close_after(request, answer)
        log_event(
            "request_refused",
            request=request.get("request_id"),
            status=status,
            code=int(rejection.code),
            cause=rejection.cause,
            detail=rejection.detail[:MAX_KEPT_CAUSE] or None,
            retry_after_s=rejection.retry_after_s,
            shortage=None if rejection.shortage is None else rejection.shortage.value,
            configuration=self._configuration.version,
            reported=self._configuration.reported_version,
            confirmed_s_ago=self._find_confirmation_age_s(),
        )
        return answer

    def _describe_denial(
        self, state: RequestState, rejection: RejectedRequest
    ) -> Denial:
        now = self._read_clock()
        return Denial(
            request_id=state.facts.request_id,
            denied_at=now,
            service=state.service,
            urgency=state.class_urgency,
            cause=rejection.cause[:MAX_KEPT_CAUSE],
            shortage=None if rejection.shortage is None else rejection.shortage.value,
            waited_s=now - state.arrived_at,
            estimate_s=rejection.values.estimate_s,
            return_s=rejection.retry_after_s,
            is_return_promised=rejection.values.is_return_promised,
            is_relayed=state.facts.relayed_by is not None,
            values=rejection.values.measured,
        )

    def _find_confirmation_age_s(self) -> float | None:
        """Return the seconds since the configuration was last confirmed, or `None`."""
        age_s = self._read_clock() - self._configuration.confirmed_at
        return round(age_s, 3) if math.isfinite(age_s) else None

    def _record_end(
        self,
        request: web.BaseRequest,
        open_request: OpenRequest,
        outcome: str,
        arrived_at: float,
    ) -> None:
        state = open_request.state
        now = self._read_clock()
        took_s = now - arrived_at
        self._observe(state, outcome, took_s)
        closed_by = find_closer(request)
        ended_in = open_request.ended_in
        end = {
            "outcome": outcome,
            "closed_by": None if closed_by is None else closed_by.value,
            "close_cause": find_close_cause(request),
            "took_s": round(took_s, 4),
            "stopping_s": None,
            "ended_in": None if ended_in is None else ended_in.value,
            **self._stop_gate.describe(now=now),
        }
        if state is None:
            if outcome not in _LOGGED_OUTCOMES or ended_in is not None:
                log_event("request_ended", request=request.get("request_id"), **end)
            return
        first_s = (
            None if state.first_event_at is None else state.first_event_at - arrived_at
        )
        log_event(
            "request_ended",
            **end,
            request=state.facts.request_id,
            cut_cause=None if state.cut_cause is None else state.cut_cause.value,
            leave_cause=None if state.leave_cause is None else state.leave_cause.value,
            route=state.route.name,
            service=state.service,
            team=None if state.team is None else state.team.name,
            key_waiver=None if state.key_waiver is None else state.key_waiver.value,
            configuration=state.configuration.version,
            attempts=state.attempts,
            repaths=state.repaths,
            resumes=state.resumes,
            targets=list(state.targets),
            ended_attempts=state.describe_attempts(),
            relayed_by=state.facts.relayed_by,
            relayed_to=state.relayed_to,
            last_event=state.last_event,
            pause_s=round(state.longest_pause_s, 4),
            silent_s=round(now - (state.last_write_at or arrived_at), 4),
            first_s=None if first_s is None else round(first_s, 4),
            **self._describe_conditions(state.service),
        )


def _find_phase(open_request: OpenRequest) -> Phase:
    state = open_request.state
    if state is None:
        return Phase.READING
    if open_request.is_answered:
        return Phase.WRITING
    if state.has_begun:
        return Phase.RESPONDING
    is_sent = state.runs > state.facts.runs_before
    return Phase.SENT if is_sent else Phase.WAITING


def _find_deadline_s(facts: CallerFacts) -> float:
    """Return the seconds that a request may take; raises `RejectedRequest`."""
    if facts.deadline_s is None:
        return DEFAULT_TIMEOUT_S
    if facts.deadline_s <= 0:
        raise RejectedRequest(
            ResultCode.DEADLINE_TOO_NEAR, cause="the caller has no time left"
        )
    return facts.deadline_s


def _record_cut(state: RequestState, truncated: TruncatedResponse) -> str:
    """Record why a started response is cut; return the outcome for the log."""
    state.cut_cause = truncated.cause
    return f"cut: {truncated.describe()}"


async def _write(request: web.BaseRequest, answer: web.StreamResponse) -> None:
    """Return once the whole of an answer is handed to the operating system.

    Guards against a stop that takes an answer for complete while a slow reader has yet
    to get it. Raises `ConnectionError`.
    """
    transport = request.transport
    if transport is None:
        return
    if isinstance(answer, web.Response) and isinstance(
        request.protocol, CallerConnection
    ):
        request.protocol.hold_answer(answer.content_length or 0)
    # Writing waits until the buffer is empty, and not until it is short.
    transport.set_write_buffer_limits(high=0)
    try:
        await answer.prepare(request)
        await answer.write_eof()
        await request.writer.drain()
    finally:
        transport.set_write_buffer_limits()


def _close_connection(request: web.BaseRequest) -> web.StreamResponse:
    """Close the connection, so that a started response is seen as incomplete.

    The returned response is left unfinished, as nothing can be written to a closing
    connection. Guards against the traceback that aiohttp writes outside the log when a
    handler raises an error.
    """
    if isinstance(request.protocol, CallerConnection):
        request.protocol.close_here("response cut")
    elif request.transport is not None:
        request.transport.close()
    return request.get("answer") or web.StreamResponse()


def _get_request_id(state: RequestState | None) -> str | None:
    return None if state is None else state.facts.request_id
