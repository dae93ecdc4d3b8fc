"""Requests of engine services: a stream that runs along a path of targets."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import aiohttp
from aiohttp import web

from fulmarward.observability import log_event
from fulmarward_core.attempts import may_run_again
from fulmarward_core.fleet import EngineModel
from fulmarward_core.paths import PathRequest, count_tokens_held
from fulmarward_core.quotas import UNSTARTED_SHARE
from fulmarward_router.exchange._admission import (
    AdmissionQueue,
    find_resume_end,
)
from fulmarward_router.exchange._attempt import Attempt, AttemptEnded, describe_path
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._events import EventSplitter, is_after
from fulmarward_router.exchange._failover import FIRST_CHECK_S, StreamSupervisor
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._path_finder import PathFinder
from fulmarward_router.exchange._pipe_limiter import PipeLimiter
from fulmarward_router.exchange._send import AnswerLost, NotSent
from fulmarward_router.exchange._work import TruncatedResponse, Work
from fulmarward_router.ports import TargetCall

#: Part by which an answer is expected to be longer than hinted.
HINT_MARGIN = 1.25


class EngineService:
    """Serves requests of services whose targets hold layers of a model."""

    def __init__(
        self,
        *,
        context: ServiceContext,
        watch: FailureDetector,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._context = context
        self._client = context.client
        self._dialect = context.dialect
        self._catalogue = context.catalogue
        self._suspicions = context.suspicions
        self._ledger = context.ledger
        self._read_clock = context.read_clock
        self._watch = watch
        self._is_stopping = is_stopping
        self._finder = finder = PathFinder(
            instance=context.instance,
            catalogue=context.catalogue,
            suspicions=context.suspicions,
            paces=context.paces,
            ledger=context.ledger,
            is_large=context.is_large,
            read_clock=context.read_clock,
        )
        pipe = PipeLimiter(
            catalogue=context.catalogue,
            find_share=context.find_share,
            read_clock=context.read_clock,
        )
        self._admission = AdmissionQueue(
            finder=finder,
            pipe=pipe,
            catalogue=context.catalogue,
            read_clock=context.read_clock,
        )
        #: Looks after the open streams; the instance runs it.
        self.supervisor = StreamSupervisor(
            context=context, watch=watch, finder=finder, pipe=pipe
        )

    async def serve(self, work: Work) -> web.StreamResponse:
        """Stream an answer to its end.

        Raises `RejectedRequest` before it begins, `TruncatedResponse` afterwards.
        """
        engine = work.configuration.services[work.service].engine
        wanted = self._want_path(work, engine)
        work.last_event = work.facts.last_event
        answer: web.StreamResponse | None = None
        while True:
            path = await self._admission.await_path(work, engine, wanted)
            reservation = self._ledger.reserve(path, count_tokens_held(wanted))
            attempt = Attempt(
                work=work,
                engine=engine,
                wanted=wanted,
                path=path,
                reservation=reservation,
            )
            work.attempts += 1
            work.targets = tuple(hop.target for hop in path)
            log_event(
                "path_chosen",
                request=work.facts.request_id,
                attempt=work.attempts,
                path=describe_path(path),
                targets_version=self._catalogue.version,
                targets_age_s=round(
                    self._read_clock() - self._catalogue.confirmed_at, 3
                ),
                prompt=wanted.prompt,
                answer=wanted.answer,
                last_event=work.last_event,
            )
            try:
                answer = await self._run_attempt(work, attempt, answer)
                if answer.prepared:
                    await answer.write_eof()
                return answer
            except AttemptEnded as error:
                end = error
            finally:
                # Whoever waits for a retry holds nothing.
                self._finish(attempt)
            work.runs += not end.is_not_run
            answer = work.request.get("answer")
            self._note_end(work, attempt, end)
            await self._require_retry(work, wanted, end, answer)
            if not end.is_not_run or end.is_not_sent:
                # A first target that broke off, or was not reached, once is likely to
                # do it again.
                avoided = wanted.avoided | {attempt.first.target}
                wanted = replace(wanted, avoided=avoided)
            if work.last_event is not None and answer is not None:
                work.resumes += 1

    def _want_path(self, work: Work, engine: EngineModel) -> PathRequest:
        facts = work.facts
        expected = facts.most_answer_tokens or engine.usual_answer
        if facts.hinted_answer_tokens:
            expected = min(expected, int(facts.hinted_answer_tokens * HINT_MARGIN))
        return PathRequest(
            prompt=facts.prompt_tokens or engine.usual_prompt,
            answer=expected,
            data_centre=self._context.data_centre,
        )

    async def _require_retry(
        self,
        work: Work,
        wanted: PathRequest,
        end: AttemptEnded,
        answer: web.StreamResponse | None,
    ) -> None:
        """Take one more attempt; raises what the caller is told if there is none.

        An answer that has begun cannot be refused any more: it waits for a retry as
        long as its caller does.
        """
        if end.has_retry:
            return
        if answer is not None:
            until = find_resume_end(work)
            if await self._context.await_retry(work, until=until):
                return
            raise TruncatedResponse(cause=end.cause)
        if self._context.take_retry(work, part=UNSTARTED_SHARE):
            return
        engine = work.configuration.services[work.service].engine
        raise self._context.make_refusal(
            work,
            cause=end.cause,
            retry_after_s=self._admission.find_retry_after_s(work, engine, wanted),
        )

    async def _run_attempt(
        self, work: Work, attempt: Attempt, answer: web.StreamResponse | None
    ) -> web.StreamResponse:
        """Run one attempt to the stream's end.

        Raises `AttemptEnded` or `RejectedRequest`.
        """
        self.supervisor.add(attempt)
        now = self._read_clock()
        end = AttemptEnded(cause="deadline", is_not_run=False)
        loop = asyncio.get_running_loop()
        attempt.timer = loop.call_later(work.deadline - now, attempt.end_now, end)
        call = self._make_call(work, attempt)
        attempt.head = asyncio.create_task(self._client.open(work, call))
        try:
            response = attempt.response = await attempt.head
        except asyncio.CancelledError:
            if attempt.end is None:
                raise
            raise attempt.end from None
        except NotSent as error:
            self._watch.record_connect_failure(
                attempt.first.target, is_refused=error.is_refused, cause=repr(error)
            )
            raise AttemptEnded(
                cause=repr(error), is_not_run=True, is_not_sent=True
            ) from error
        except AnswerLost as error:
            self._suspicions.record_error(attempt.first.target, now=self._read_clock())
            raise AttemptEnded(cause=repr(error), is_not_run=False) from error
        refusal = await self._judge_head(work, attempt, response, answer)
        if refusal is not None:
            return refusal
        if answer is None:
            answer = await self._begin_answer(work, response)
        await self._relay(work, attempt, answer)
        for hop in attempt.path:
            self._suspicions.record_success(hop.target, now=self._read_clock())
        return answer

    def _finish(self, attempt: Attempt) -> None:
        """Let go of all that an attempt holds; closing the connection ends its work."""
        self.supervisor.remove(attempt)
        self._ledger.release(attempt.reservation)
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.checking is not None:
            attempt.checking.cancel()
        if attempt.head is not None:
            attempt.head.cancel()
        if attempt.response is not None:
            attempt.response.close()

    def _make_call(self, work: Work, attempt: Attempt) -> TargetCall:
        return TargetCall(
            target=attempt.first.target,
            address=attempt.first.address,
            team=None if work.team is None else work.team.name,
            deadline_s=work.deadline - self._read_clock(),
            urgency=work.urgency,
            path=attempt.path,
            last_event=work.last_event,
        )

    async def _judge_head(
        self,
        work: Work,
        attempt: Attempt,
        response: aiohttp.ClientResponse,
        answer: web.StreamResponse | None,
    ) -> web.Response | None:
        """Return a failure to be given on as it is, `None` if a stream follows."""
        facts = self._dialect.read_answer(response.status, response.headers)
        now = self._read_clock()
        if facts.is_not_run:
            await self._note_refusing(attempt, facts.address_at_fault, response.status)
            cause = f"not run, {response.status}, {facts.address_at_fault}"
            raise AttemptEnded(cause=cause, is_not_run=True)
        is_own = facts.request_id == work.facts.request_id and facts.is_plain
        if response.status == 200 and is_own and facts.is_signed:
            self._suspicions.refusals.record_accepted(
                hop.target for hop in attempt.path
            )
            return None
        self._suspicions.record_error(attempt.first.target, now=now)
        may_retry = may_run_again(work.make_tally(), now=now)
        if answer is not None or may_retry or not (is_own and facts.is_signed):
            cause = f"failed, {response.status}"
            raise AttemptEnded(cause=cause, is_not_run=False)
        try:
            body = await self._client.read_body(response)
        except AnswerLost as error:
            raise AttemptEnded(cause=repr(error), is_not_run=False) from error
        headers = self._dialect.select_answer_headers(response.headers)
        return web.Response(status=response.status, body=body, headers=headers)

    async def _note_refusing(
        self, attempt: Attempt, address: str | None, status: int
    ) -> None:
        """Hold a refusal against the target at fault, not against the first one."""
        at_fault = attempt.first.target
        for hop in attempt.path:
            if hop.address == address:
                at_fault = hop.target
        is_elsewhere = at_fault != attempt.first.target
        waited_s = self._read_clock() - attempt.heard_at
        path = [hop.target for hop in attempt.path]
        # A refusal comes after a stall where a target is lost, and also where this
        # instance's own link delays it: the path is asked.
        is_stalled = is_elsewhere and status == 503 and waited_s > FIRST_CHECK_S
        if is_stalled:
            await self._watch.check(path)
            if self._suspicions.is_unreachable(at_fault, now=self._read_clock()):
                return
        now = self._read_clock()
        self._suspicions.record_saturated(at_fault, now=now)
        if self._finder.has_room(at_fault, attempt.engine):
            if self._suspicions.refusals.record_refusal(at_fault, now=now):
                log_event("target_refusing", target=at_fault, status=status)
        if is_elsewhere and status == 503 and not is_stalled:
            await self._watch.check(path)

    async def _begin_answer(
        self, work: Work, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        headers = self._dialect.select_answer_headers(response.headers)
        answer = web.StreamResponse(status=response.status, headers=headers)
        if self._is_stopping():
            answer.force_close()
        await answer.prepare(work.request)
        work.request["answer"] = answer
        return answer

    async def _relay(
        self, work: Work, attempt: Attempt, answer: web.StreamResponse
    ) -> None:
        """Give on whole events as they come, up to the end of the stream."""
        splitter = EventSplitter()
        content = attempt.response.content
        while True:
            try:
                data = await content.readany()
            except (aiohttp.ClientError, OSError) as error:
                if attempt.end is not None:
                    raise attempt.end from error
                self._note_broken(attempt)
                raise AttemptEnded(cause=repr(error), is_not_run=False) from error
            if attempt.end is not None:
                raise attempt.end
            if not data:
                break
            self.supervisor.note_heard(attempt)
            await self._give_on(work, splitter, data, answer)
        if splitter.pending:
            raise AttemptEnded(cause="ended inside an event", is_not_run=False)

    async def _give_on(
        self, work: Work, splitter: EventSplitter, data: bytes, answer: object
    ) -> None:
        chunks = []
        last = work.last_event
        for event in splitter.feed(data):
            if not is_after(event.id, last):
                continue
            chunks.append(event.data)
            last = event.id if event.id is not None else last
        if not chunks:
            return
        work.note_given(now=self._read_clock())
        await answer.write(b"".join(chunks))
        work.last_event = last

    def _note_broken(self, attempt: Attempt) -> None:
        """The first target closed the connection in the middle of its answer."""
        self._suspicions.record_error(attempt.first.target, now=self._read_clock())

    def _note_end(self, work: Work, attempt: Attempt, end: AttemptEnded) -> None:
        log_event(
            "attempt_failed",
            request=work.facts.request_id,
            target=attempt.first.target,
            outcome="not run" if end.is_not_run else "may have run",
            cause=end.cause,
            attempt=work.attempts,
            last_event=work.last_event,
        )
