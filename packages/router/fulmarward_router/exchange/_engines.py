"""Requests of engine services: a stream that runs along a path of targets."""

import asyncio
import bisect
from collections.abc import Callable, Coroutine
from dataclasses import replace
from itertools import pairwise

import aiohttp
from aiohttp import web

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import EngineModel
from fulmarward_core.loads import LoadLedger, Promise, RepeatAllowance
from fulmarward_core.paths import Hop, PathRequest, count_tokens_held
from fulmarward_core.results import ResultCode
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange._events import EventSplitter, is_after
from fulmarward_router.exchange._send import AnswerLost, NotSent, TargetClient
from fulmarward_router.exchange._stages import PathFinder
from fulmarward_router.exchange._watching import LossWatch
from fulmarward_router.exchange._work import Cut, Refused, Work
from fulmarward_router.ports import OrderOutcome, TargetCall, TargetDialect

#: Seconds for which a request waits for room on a path before it is refused. Load: a
#: burst, or a data centre without a whole path; harm: a caller that is refused has one
#: more try and often meets the same crowd, one that waits too long leaves by itself
#: after two seconds without an event; reason: answers end every 0.1 s or so at each
#: instance, and half of the time that callers wait is left for the first event.
FULL_PATIENCE_S = 0.9

#: Seconds for which it waits while the list of targets may be short of living ones.
#: Load: all instances begin anew, or the store comes back, and targets write their
#: rows again within two seconds; harm: everything is refused although nothing is
#: lost; reason: the first event then comes just before the caller leaves.
SHORT_PATIENCE_S = 1.6

#: Seconds for which a stream that has begun waits for a path to go on. Reason: its
#: caller leaves after two seconds without an event.
RESUME_PATIENCE_S = 1.7

#: Seconds without a first event, and between events, after which the first target is
#: asked what the request waits for. Load: usual first events come after 100 to 200 ms
#: and pauses are 30 to 60 ms, on paths with a lost target nothing comes at all; harm:
#: each check is paid for; reason: several times the usual, and leaves time to go on
#: before the caller leaves after two seconds.
FIRST_CHECK_S = 0.45
PAUSE_CHECK_S = 0.3

#: Seconds between two looks for a path of a request that waits.
WAIT_LOOK_S = 0.04

#: Seconds between two looks at all open streams.
LOOK_S = 0.025

#: Seconds by which a look may be late. Harm: an instance that is short of processor
#: time takes its own lateness for a target's silence; reason: as long as a look.
MOST_LATE_S = 0.03

#: Silence after which a stream counts as standing still, as a multiple of the mean
#: pause and at least. Load: a target in the middle of a path that falls silent, with
#: about five streams of each instance passing through; harm: a pause of more than
#: 0.2 s makes an answer late, a look at sound targets is paid for; reason: the longest
#: pause of a calm day is 85 ms, the mean 35 ms.
STILL_FACTOR = 3.0
LEAST_STILL_S = 0.095

#: The same, where at least this many streams stand still at one target. Harm: one
#: stream in a hundred pauses that long by chance, three of them at once do not.
MANY_STILL = 3
MANY_STILL_S = 0.06

#: Weight of the newest pause in the mean.
_PAUSE_WEIGHT = 0.02

#: Seconds between two checks of the same stream; a report is some hundred ms old.
CHECK_AGAIN_S = 0.25

#: Seconds for which transfers between data centres may queue before a path that crosses
#: counts as having no room. Load: some thirty streams pass through one target, and a
#: way around it through another data centre moves each one's activations there and
#: back, 37 ms each, one after another; or all instances begin anew and the first few
#: targets that are known make a path that crosses ten times; harm: all that crosses
#: stands still for 1.0 to 1.6 s, after a start for 6 s; reason: reading a prompt again
#: on a whole path of another data centre takes about as long.
MOST_PIPE_S = 0.12

#: Seconds between two streams that are led off leaving targets. Load: some five of each
#: instance's streams pass through a target that leaves in two seconds; harm: their
#: prompts are read again all at once, while others wait; reason: ten of them a second.
LEAD_PAUSE_S = 0.1

#: Checks that found nothing, after which the stream waits for what comes.
MOST_CHECKS = 4

#: Seconds after which a refused caller should come back. Reason: a caller has one more
#: try; loading a range of layers, or the end of a few answers, takes about as long.
FULL_RETRY_S = 0.8
ABSENT_RETRY_S = 1.5

#: Part by which an answer is expected to be longer than hinted.
HINT_MARGIN = 1.25


class _Attempt:
    """One attempt of a stream: its path, and what it holds."""

    def __init__(
        self,
        *,
        work: Work,
        engine: EngineModel,
        wanted: PathRequest,
        path: tuple[Hop, ...],
        promise: Promise,
    ) -> None:
        self.work = work
        self.engine = engine
        self.wanted = wanted
        self.path = path
        self.promise = promise
        #: The task that waits for the answer's head, and then the answer.
        self.head: asyncio.Task | None = None
        self.response: aiohttp.ClientResponse | None = None
        #: Why the attempt was ended from outside, `None` while it was not.
        self.end: _AttemptEnded | None = None
        #: The task that checks the path, `None` when none does.
        self.checking: asyncio.Task | None = None
        #: Seconds on the steady clock of the last sign of life.
        self.heard_at = 0.0
        self.checks = 0
        self.has_begun = False
        #: Ends the attempt at the request's deadline.
        self.timer: asyncio.TimerHandle | None = None

    @property
    def first(self) -> Hop:
        return self.path[0]

    def end_now(self, end: "_AttemptEnded") -> None:
        """End the attempt: whoever waits for its answer is told why."""
        if self.end is not None:
            return
        self.end = end
        if self.response is not None:
            self.response.close()
        elif self.head is not None:
            self.head.cancel()


class _AttemptEnded(Exception):
    """An attempt ended without the whole answer; another may follow."""

    def __init__(
        self, *, cause: str, is_not_run: bool, is_target_lost: bool = False
    ) -> None:
        super().__init__(cause)
        self.cause = cause
        self.is_not_run = is_not_run
        self.is_target_lost = is_target_lost


class EngineService:
    """Serves requests of services whose targets hold layers of a model."""

    def __init__(
        self,
        *,
        client: TargetClient,
        dialect: TargetDialect,
        catalogue: TargetCatalogue,
        suspicions: SuspicionTable,
        ledger: LoadLedger,
        watch: LossWatch,
        find_allowance: Callable[[str], RepeatAllowance],
        count_instances: Callable[[], int],
        data_centre: str,
        read_clock: Callable[[], float],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._client = client
        self._dialect = dialect
        self._catalogue = catalogue
        self._suspicions = suspicions
        self._ledger = ledger
        self._watch = watch
        self._find_allowance = find_allowance
        self._count_instances = count_instances
        self._data_centre = data_centre
        self._read_clock = read_clock
        self._is_stopping = is_stopping
        #: When a stream was last led off a leaving target.
        self._led_at = float("-inf")
        #: Until when transfers between data centres queue, as far as known here.
        self._pipe_until = float("-inf")
        #: Mean pause between events lately, seconds.
        self._mean_pause_s = 0.035
        #: Urgency and arrival of the requests that wait for a path, first ones first.
        self._waiting: list[tuple[int, float]] = []
        #: Attempts under way, by the id of their object.
        self._open: dict[int, _Attempt] = {}
        self._finder = PathFinder(
            catalogue=catalogue,
            suspicions=suspicions,
            ledger=ledger,
            read_clock=read_clock,
        )

    async def serve(self, work: Work) -> web.StreamResponse:
        """Stream an answer to its end; raises `Refused` before it begins, or `Cut`."""
        engine = work.configuration.services[work.service].engine
        wanted = self._want_path(work, engine)
        work.last_event = work.facts.last_event
        answer: web.StreamResponse | None = None
        while True:
            path = await self._await_path(work, engine, wanted, answer)
            promise = self._ledger.promise(path, count_tokens_held(wanted))
            attempt = _Attempt(
                work=work, engine=engine, wanted=wanted, path=path, promise=promise
            )
            work.attempts += 1
            work.targets = tuple(hop.target for hop in path)
            log_event(
                "path_chosen",
                request=work.facts.request_id,
                attempt=work.attempts,
                path=_describe(path),
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
                await answer.write_eof()
                return answer
            except _AttemptEnded as end:
                work.runs += not end.is_not_run
                work.lost_attempts += end.is_target_lost
                answer = work.request.get("answer")
                self._note_end(work, attempt, end)
                self._require_repeat(work, end, answer)
                # A first target that broke off once is likely to do it again.
                avoided = wanted.avoided | {attempt.first.target}
                wanted = replace(wanted, avoided=avoided)
            finally:
                self._finish(attempt)
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
            data_centre=self._data_centre,
        )

    async def _await_path(
        self,
        work: Work,
        engine: EngineModel,
        wanted: PathRequest,
        answer: web.StreamResponse | None,
    ) -> tuple[Hop, ...]:
        """Return a path, waiting a little for room; raises `Refused` or `Cut`."""
        began_at = self._read_clock()
        rank = (work.urgency, work.arrived_at)
        try:
            while True:
                if not any(other < rank for other in self._waiting):
                    path = self._choose_path(work, engine, wanted)
                    if path is not None:
                        return path
                now = self._read_clock()
                patience_s = self._choose_patience(answer, now)
                if now >= min(work.deadline, began_at + patience_s):
                    break
                if rank not in self._waiting:
                    bisect.insort(self._waiting, rank)
                await asyncio.sleep(WAIT_LOOK_S)
        finally:
            if rank in self._waiting:
                self._waiting.remove(rank)
        if answer is not None:
            raise Cut(cause="no path to go on")
        if self._finder.has_whole_model(work.service, engine):
            raise Refused(
                ResultCode.QUEUE_FULL,
                cause="no path has room",
                retry_after_s=FULL_RETRY_S,
            )
        raise Refused(
            ResultCode.NO_TARGET,
            cause="no path holds all layers",
            retry_after_s=ABSENT_RETRY_S,
        )

    def _choose_path(
        self, work: Work, engine: EngineModel, wanted: PathRequest
    ) -> tuple[Hop, ...] | None:
        """Return the best path, one within a data centre when the pipe is taken."""
        path = self._finder.choose(work.service, engine, wanted)
        if path is None or self._take_pipe(engine, wanted, path):
            return path
        within = replace(wanted, may_cross=False)
        return self._finder.choose(work.service, engine, within)

    def _choose_patience(self, answer: web.StreamResponse | None, now: float) -> float:
        """Return the seconds for which a request may wait for a path."""
        if answer is not None:
            return RESUME_PATIENCE_S
        if self._catalogue.may_be_short(now=now):
            return SHORT_PATIENCE_S
        return FULL_PATIENCE_S

    def _require_repeat(
        self, work: Work, end: _AttemptEnded, answer: web.StreamResponse | None
    ) -> None:
        """Take one more attempt; raises what the caller is told if there is none."""
        now = self._read_clock()
        most_attempts = work.route.most_attempts + work.lost_attempts
        may_run = end.is_not_run or (
            work.route.may_repeat and work.runs < most_attempts
        )
        if now < work.deadline and may_run:
            if work.attempts <= most_attempts and self._find_allowance(
                work.service
            ).take_repeat(instances=self._count_instances(), now=now):
                return
        if answer is not None:
            raise Cut(cause=end.cause)
        if now >= work.deadline:
            raise Refused(ResultCode.DEADLINE_PASSED, cause=end.cause)
        if work.runs == 0:
            raise Refused(
                ResultCode.TARGET_REFUSED,
                cause=end.cause,
                retry_after_s=FULL_RETRY_S,
            )
        raise Refused(ResultCode.OUTCOME_UNKNOWN, cause=end.cause)

    async def _run_attempt(
        self, work: Work, attempt: _Attempt, answer: web.StreamResponse | None
    ) -> web.StreamResponse:
        """Run one attempt to the stream's end; raises `_AttemptEnded` or `Refused`."""
        now = attempt.heard_at = self._read_clock()
        self._open[id(attempt)] = attempt
        end = _AttemptEnded(cause="deadline", is_not_run=False)
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
            self._watch.note_lost(attempt.first.target, cause=repr(error))
            raise _AttemptEnded(cause=repr(error), is_not_run=True) from error
        except AnswerLost as error:
            self._suspicions.note_failed(attempt.first.target, now=self._read_clock())
            raise _AttemptEnded(cause=repr(error), is_not_run=False) from error
        refusal = await self._judge_head(work, attempt, response, answer)
        if refusal is not None:
            return refusal
        if answer is None:
            answer = await self._begin_answer(work, response)
        await self._relay(work, attempt, answer)
        for hop in attempt.path:
            self._suspicions.note_served(hop.target, now=self._read_clock())
        return answer

    def _finish(self, attempt: _Attempt) -> None:
        """Let go of all that an attempt holds; closing the connection ends its work."""
        self._open.pop(id(attempt), None)
        self._ledger.release(attempt.promise)
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.checking is not None:
            attempt.checking.cancel()
        if attempt.head is not None:
            attempt.head.cancel()
        if attempt.response is not None:
            attempt.response.close()

    def _make_call(self, work: Work, attempt: _Attempt) -> TargetCall:
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
        attempt: _Attempt,
        response: aiohttp.ClientResponse,
        answer: web.StreamResponse | None,
    ) -> web.Response | None:
        """Return a failure to be given on as it is, `None` if a stream follows."""
        facts = self._dialect.read_answer(response.status, response.headers)
        now = self._read_clock()
        if facts.is_not_run:
            self._note_refusing(attempt, facts.address_at_fault, response.status)
            cause = f"not run, {response.status}, {facts.address_at_fault}"
            raise _AttemptEnded(cause=cause, is_not_run=True)
        is_own = facts.request_id == work.facts.request_id and facts.is_plain
        if response.status == 200 and is_own and facts.is_signed:
            return None
        self._suspicions.note_failed(attempt.first.target, now=now)
        may_repeat = (
            work.route.may_repeat
            and work.runs + 1 < work.route.most_attempts
            and now < work.deadline
        )
        if answer is not None or may_repeat or not (is_own and facts.is_signed):
            cause = f"failed, {response.status}"
            raise _AttemptEnded(cause=cause, is_not_run=False)
        try:
            body = await self._client.read_body(response)
        except AnswerLost as error:
            raise _AttemptEnded(cause=repr(error), is_not_run=False) from error
        headers = self._dialect.select_answer_headers(response.headers)
        return web.Response(status=response.status, body=body, headers=headers)

    def _note_refusing(
        self, attempt: _Attempt, address: str | None, status: int
    ) -> None:
        """Hold a refusal against the target at fault, not against the first one."""
        now = self._read_clock()
        at_fault = attempt.first.target
        for hop in attempt.path:
            if hop.address == address:
                at_fault = hop.target
        is_elsewhere = at_fault != attempt.first.target
        waited_s = now - attempt.heard_at
        if is_elsewhere and status == 503 and waited_s > FIRST_CHECK_S:
            self._watch.note_lost(at_fault, cause="refused after a stall")
        else:
            self._suspicions.note_full(at_fault, now=now)

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
        self, work: Work, attempt: _Attempt, answer: web.StreamResponse
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
                raise _AttemptEnded(cause=repr(error), is_not_run=False) from error
            if attempt.end is not None:
                raise attempt.end
            if not data:
                break
            now = self._read_clock()
            if work.answered_at is not None:
                pause_s = now - attempt.heard_at
                self._mean_pause_s += _PAUSE_WEIGHT * (pause_s - self._mean_pause_s)
                work.longest_pause_s = max(work.longest_pause_s, pause_s)
            attempt.heard_at = now
            attempt.checks = 0
            attempt.has_begun = True
            await self._give_on(work, splitter, data, answer)
        if splitter.pending:
            raise _AttemptEnded(cause="ended inside an event", is_not_run=False)

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
        if work.answered_at is None:
            work.answered_at = self._read_clock()
        await answer.write(b"".join(chunks))
        work.last_event = last

    def _note_broken(self, attempt: _Attempt) -> None:
        """The first target closed the connection in the middle of its answer."""
        self._suspicions.note_failed(attempt.first.target, now=self._read_clock())

    async def watch_streams(self) -> None:
        """Look at all open streams again and again, until cancelled.

        Guards against a target of a path that is lost: nothing comes any more, and the
        caller leaves after two seconds. The path is led around it, or the attempt is
        ended so that another can go on where this one stopped.
        """
        looked_at = self._read_clock()
        while True:
            await asyncio.sleep(LOOK_S)
            now = self._read_clock()
            is_late = now - looked_at > LOOK_S + MOST_LATE_S
            looked_at = now
            if not is_late:
                self._probe_still(now)
            self._lead_off_leaving(now)
            for attempt in list(self._open.values()):
                is_silent = now - attempt.heard_at >= LEAST_STILL_S
                if is_silent and attempt.checking is None and attempt.end is None:
                    self._start_check(attempt)

    def _lead_off_leaving(self, now: float) -> None:
        """Lead streams around targets that are about to leave, a few at a time.

        Guards against a planned leave that cuts streams: a leaving target serves on
        for two seconds or a little longer, and answers take up to seven.
        """
        if now - self._led_at < LEAD_PAUSE_S:
            return
        leaving = {
            record.name
            for record in self._catalogue.list_targets(now=now)
            if record.is_leaving
        }
        if not leaving:
            return
        for attempt in list(self._open.values()):
            hops = [hop for hop in attempt.path[1:] if hop.target in leaving]
            is_free = attempt.has_begun and attempt.checking is None
            if not hops or not is_free or attempt.end is not None:
                continue
            self._led_at = now
            self._start_task(attempt, self._repath(attempt, hops, must=False))
            return

    def _probe_still(self, now: float) -> None:
        """Ask the targets at which all streams stand still whether they live.

        A target that is lost silences every stream that passes through it; one through
        which any stream moves is sound. What is left is asked at once, all together:
        the one that does not answer is the lost one.
        """
        limit_s = max(LEAST_STILL_S, self._mean_pause_s * STILL_FACTOR)
        moving: set[str] = set()
        still: dict[str, int] = {}
        long_still: set[str] = set()
        for attempt in self._open.values():
            if not attempt.has_begun:
                continue
            names = [hop.target for hop in attempt.path]
            silent_s = now - attempt.heard_at
            if silent_s < MANY_STILL_S:
                moving.update(names)
            elif attempt.checking is None:
                for name in names:
                    still[name] = still.get(name, 0) + 1
                if silent_s >= limit_s:
                    long_still.update(names)
        suspects = [
            name
            for name, count in still.items()
            if name not in moving and (name in long_still or count >= MANY_STILL)
        ]
        if suspects:
            self._watch.probe(suspects)

    def _start_check(self, attempt: _Attempt) -> None:
        if self._must_check(attempt):
            self._start_task(attempt, self._keep_alive(attempt))

    def _start_task(self, attempt: _Attempt, task: Coroutine[None, None, None]) -> None:
        """Start the one task that checks or moves an attempt."""

        def note_end(task: asyncio.Task) -> None:
            attempt.checking = None
            if task.cancelled() or task.exception() is None:
                return
            error = task.exception()
            if not isinstance(error, _AttemptEnded):
                log_event("request_error", exc_info=error, request=None)
                error = _AttemptEnded(cause=repr(error), is_not_run=False)
            attempt.end_now(error)

        attempt.checking = asyncio.create_task(task)
        attempt.checking.add_done_callback(note_end)

    def _list_lost(self, attempt: _Attempt) -> list[Hop]:
        now = self._read_clock()
        return [
            hop for hop in attempt.path if self._suspicions.is_lost(hop.target, now=now)
        ]

    def _must_check(self, attempt: _Attempt) -> bool:
        """Whether a stream is silent for too long, or on a path with a lost target."""
        if self._list_lost(attempt):
            return True
        silent_s = self._read_clock() - attempt.heard_at
        first_s = PAUSE_CHECK_S if attempt.has_begun else FIRST_CHECK_S
        due_s = first_s + attempt.checks * CHECK_AGAIN_S
        return silent_s >= due_s and attempt.checks < MOST_CHECKS

    async def _keep_alive(self, attempt: _Attempt) -> None:
        """Find the lost target of a path, and lead the request around it."""
        lost = self._list_lost(attempt)
        if not lost:
            attempt.checks += 1
            record = self._catalogue.find_target(attempt.first.target)
            if record is None:
                return
            await self._watch.ask(record)
            lost = self._list_lost(attempt)
            if not lost:
                return
        if attempt.first in lost:
            if not attempt.has_begun or attempt.work.route.is_resumable:
                raise _AttemptEnded(
                    cause="the first target is lost",
                    is_not_run=False,
                    is_target_lost=True,
                )
            return
        await self._repath(attempt, lost)

    async def _repath(
        self, attempt: _Attempt, lost: list[Hop], *, must: bool = True
    ) -> None:
        """Lead a stream around targets; if it `must`, the attempt ends otherwise."""
        work, engine, wanted = attempt.work, attempt.engine, attempt.wanted
        avoided = frozenset(hop.target for hop in lost)
        around = replace(wanted, first=attempt.first, avoided=avoided)
        path = self._finder.choose(work.service, engine, around)
        record = self._catalogue.find_target(attempt.first.target)
        if not must and (
            path is None or record is None or self._crosses_anew(path, attempt.path)
        ):
            return
        if path is None or record is None:
            raise _AttemptEnded(cause="no way around a lost target", is_not_run=False)
        if (
            must
            and self._may_resume(work)
            and not self._take_pipe(engine, wanted, path, known=attempt.path)
        ):
            raise _AttemptEnded(
                cause="a lost target, others go around it", is_not_run=False
            )
        result = await self._dialect.order_path(record, work.facts.request_id, path)
        log_event(
            "path_changed",
            request=work.facts.request_id,
            lost=[hop.target for hop in lost],
            path=_describe(path),
            outcome=result.outcome.value,
            at_fault=result.address_at_fault,
            last_event=work.last_event,
        )
        if result.outcome is not OrderOutcome.TAKEN:
            if result.address_at_fault is not None:
                self._hold_against(path, result.address_at_fault)
            if not must:
                return
            cause = f"no other path: {result.outcome.value}"
            raise _AttemptEnded(cause=cause, is_not_run=False)
        work.repaths += 1
        promise = self._ledger.promise(path, count_tokens_held(wanted))
        self._ledger.release(attempt.promise)
        attempt.promise, attempt.path = promise, path
        attempt.heard_at = self._read_clock()
        attempt.checks = 0
        work.targets = tuple(hop.target for hop in path)

    def _may_resume(self, work: Work) -> bool:
        """Return whether one more attempt would be allowed after this one."""
        most_attempts = work.route.most_attempts + work.lost_attempts
        return work.route.may_repeat and work.runs + 1 < most_attempts

    def _take_pipe(
        self,
        engine: EngineModel,
        wanted: PathRequest,
        path: tuple[Hop, ...],
        known: tuple[Hop, ...] = (),
    ) -> bool:
        """Reserve the transfers that a path takes; return whether they fit in.

        All instances send requests the same way at the same time, so each counts its
        own transfers as often as there are instances. `known` is the path that the
        request had: between two targets of it nothing is transferred anew.
        """
        crossings = self._crosses_anew(path, known)
        transfer_s = (
            wanted.prompt * engine.activation_bytes * 8 / (engine.pipe_mbps * 1e6)
        )
        now = self._read_clock()
        begins_at = max(now, self._pipe_until)
        if crossings and begins_at - now > MOST_PIPE_S:
            return False
        taken_s = crossings * transfer_s * self._count_instances()
        self._pipe_until = begins_at + taken_s
        return True

    def _crosses_anew(self, path: tuple[Hop, ...], known: tuple[Hop, ...]) -> int:
        """Return how often a path goes on in another data centre, where it is new."""
        centres = [self._find_centre(hop.target) for hop in path]
        old = {hop.target for hop in known}
        return sum(
            one != other and not (a.target in old and b.target in old)
            for (a, one), (b, other) in pairwise(zip(path, centres, strict=True))
        )

    def _find_centre(self, target: str) -> str:
        record = self._catalogue.find_target(target)
        return "" if record is None else record.data_centre

    def _hold_against(self, path: tuple[Hop, ...], address: str) -> None:
        for hop in path:
            if hop.address == address:
                self._suspicions.note_full(hop.target, now=self._read_clock())

    def _note_end(self, work: Work, attempt: _Attempt, end: _AttemptEnded) -> None:
        log_event(
            "attempt_failed",
            request=work.facts.request_id,
            target=attempt.first.target,
            outcome="not run" if end.is_not_run else "may have run",
            cause=end.cause,
            attempt=work.attempts,
            last_event=work.last_event,
        )


def _describe(path: tuple[Hop, ...]) -> str:
    """Return a path for the log."""
    return " ".join(f"{h.target}:{h.layers.start}-{h.layers.end}" for h in path)
