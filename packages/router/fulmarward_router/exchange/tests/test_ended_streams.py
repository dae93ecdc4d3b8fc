"""Losses after which a stream that has begun must go on, and those that end it."""

import asyncio
import socket
import time
import unittest
from types import SimpleNamespace
from unittest import mock

import aiohttp
from aiohttp import web
from aiohttp.test_utils import RawTestServer

from fulmarward_core.poison import MIN_PROVEN_EVENTS
from fulmarward_core.results import ResultCode
from fulmarward_core.routes import Route, RouteKind
from fulmarward_core.suspicion._table import MAX_ERRORS
from fulmarward_router.exchange import CallerHandler
from fulmarward_router.exchange._admission import compute_resume_end
from fulmarward_router.exchange._request_state import (
    MAX_ENDED_RUNS,
    CutCause,
    RejectedRequest,
    TruncatedResponse,
)
from fulmarward_router.exchange.tests import test_late_streams
from fulmarward_router.exchange.tests.test_late_streams import _Stream, _StreamTest
from fulmarward_router.ports import AnswerFacts

#: Seconds for which a target is silent: longer than a stream waits for a path.
_SILENCE_S = 2.2

_LAST = b"id: 9\ndata: x\n\n"


class _Dialect(test_late_streams._Dialect):
    def read_answer(self, status, headers):
        return AnswerFacts(
            request_id="a",
            is_signed=status == 200,
            is_not_run=status == 421,
            address_at_fault=None,
            is_misdirected=False,
            is_plain=True,
        )


class _EndedStreamTest(_StreamTest):
    """Targets whose streams are written, refused and broken off by the test."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.dialect = _Dialect()
        #: The first target, the path and the stream of each attempt.
        self.calls = []
        self.streams = []
        #: Status of the attempts to come; 200 once it is empty, `None` for no response.
        self.statuses = []

    async def open(self, state, call):
        stream = _Stream()
        status = self.statuses.pop(0) if self.statuses else 200
        self.calls.append(call)
        self.streams.append(stream)
        if status is None:
            await asyncio.Event().wait()
        stream.status = status
        return stream

    def begin(self, *, targets=4, slack=100.0, most_attempts=2, port=None):
        """Serve a stream; its targets are on loopback addresses if `port` is given."""
        for number in range(1, targets + 1):
            address = f"h:{number}" if port is None else f"127.0.0.{number}:{port}"
            self.list_target(f"t{number}", address, (0, 2))
        self.begin_listed(slack=slack, most_attempts=most_attempts)

    def begin_listed(self, *, slack=100.0, most_attempts=2):
        self.start_service(SimpleNamespace(open=self.open), slack=slack)
        self.serving, self.request = self.serve(most_attempts=most_attempts)

    async def await_attempt(self, number):
        """Return once an attempt was made; fails if the request has ended."""
        async with asyncio.timeout(5.0):
            while len(self.calls) < number:
                if self.serving.done():
                    self.fail(f"ended: {self.serving.exception()!r}")
                await asyncio.sleep(0.01)

    async def send(self, number, *, attempt):
        """Put an event on the stream of an attempt; return once it is forwarded."""
        event = b"id: %d\ndata: x\n\n" % number
        self.streams[attempt - 1].events.put_nowait(event)
        async with asyncio.timeout(5.0):
            while event not in getattr(self.request.get("answer"), "received", b""):
                await asyncio.sleep(0.01)

    async def lose(self, attempt, *, removed):
        """Break off the response of an attempt, whose target may be gone."""
        if removed:
            self.remove_target(self.calls[attempt - 1].target)
        self.streams[attempt - 1].close()

    async def check_completes(self, *, attempt):
        """Check that the caller gets the rest from an attempt."""
        stream = self.streams[attempt - 1]
        stream.events.put_nowait(_LAST)
        stream.events.put_nowait(b"")
        async with asyncio.timeout(5.0):
            await asyncio.wait([self.serving])
        self.assertIsNone(self.serving.exception())
        self.assertTrue(self.request["answer"].is_complete)
        self.assertIn(_LAST, self.request["answer"].received)

    async def check_cut(self, cause):
        async with asyncio.timeout(5.0):
            await asyncio.wait([self.serving])
        error = self.serving.exception()
        self.assertIsInstance(error, TruncatedResponse)
        self.assertIs(error.cause, cause)


class RunTest(_EndedStreamTest):
    async def test_stream_is_not_cut_because_its_resumptions_were_refused(self):
        """Guards against attempts that never ran and count like runs."""
        self.statuses = [200, 421, 421, 421]
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        await self.lose(1, removed=False)
        await self.await_attempt(5)
        await self.check_completes(attempt=5)

    async def test_refused_resumptions_spare_the_retry_budget(self):
        """Guards against a refused stream that takes all retries at once."""
        self.statuses = [200, *[421] * 100]
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        await self.lose(1, removed=False)
        await asyncio.sleep(0.5)
        self.assertLessEqual(len(self.calls), 8)

    async def test_runs_at_targets_that_ended_do_not_count(self):
        """Guards against a stream that is cut although two targets really ended."""
        self.begin(port=1)
        for attempt in (1, 2, 3):
            await self.await_attempt(attempt)
            await self.send(attempt, attempt=attempt)
            await self.lose(attempt, removed=True)
        await self.await_attempt(4)
        await self.check_completes(attempt=4)

    async def test_runs_at_targets_that_broke_off_and_refuse_do_not_count(self):
        """Guards against a row of an ended target that is removed seconds later."""
        self.begin(port=1)
        for attempt in (1, 2):
            await self.await_attempt(attempt)
            await self.send(attempt, attempt=attempt)
            self.dialect.silent.add(self.calls[attempt - 1].target)
            await self.lose(attempt, removed=False)
        await self.await_attempt(3)
        await self.check_completes(attempt=3)

    async def test_runs_at_targets_that_broke_off_and_are_silent_count(self):
        """Guards against more runs than the route allows, beside silent targets."""
        port = 0
        for number in range(1, 5):
            listener = socket.create_server((f"127.0.0.{number}", port))
            self.addCleanup(listener.close)
            port = listener.getsockname()[1]
        self.begin(port=port)
        for attempt in (1, 2):
            await self.await_attempt(attempt)
            await self.send(attempt, attempt=attempt)
            self.dialect.silent.add(self.calls[attempt - 1].target)
            await self.lose(attempt, removed=False)
        await self.check_cut(CutCause.NO_PATH)
        self.assertEqual(len(self.calls), 2)

    async def test_stream_that_ends_its_targets_is_cut(self):
        """Guards against a stream that is resumed until no target is left."""
        self.begin(targets=12, port=1)
        for attempt in range(1, 3 + MAX_ENDED_RUNS):
            await self.await_attempt(attempt)
            await self.send(attempt, attempt=attempt)
            await self.lose(attempt, removed=True)
        await self.check_cut(CutCause.NO_RUN)
        self.assertEqual(len(self.calls), 2 + MAX_ENDED_RUNS)

    async def test_stream_without_runs_left_goes_on_where_it_has_run(self):
        """Guards against a cut of a stream whose targets are all sound."""
        self.begin()
        for attempt in range(1, 4):
            await self.await_attempt(attempt)
            await self.send(attempt, attempt=attempt)
            await self.lose(attempt, removed=False)
        await self.await_attempt(4)
        await self.check_completes(attempt=4)
        self.assertEqual(len({call.target for call in self.calls}), 2)

    async def test_stream_runs_at_no_more_targets_than_its_route_allows(self):
        """Guards against a third target while the two that have run it live."""
        self.begin()
        for attempt in (1, 2):
            await self.await_attempt(attempt)
            await self.send(attempt, attempt=attempt)
            for _ in range(MAX_ERRORS):
                target = self.calls[attempt - 1].target
                self.suspicions.record_error(target, now=self.read_clock())
            await self.lose(attempt, removed=False)
        await self.check_cut(CutCause.NO_PATH)
        self.assertEqual(len(self.calls), 2)


class LaterHopTest(_EndedStreamTest):
    async def test_loss_behind_the_first_target_is_not_charged_to_the_first(self):
        """Guards against a stream whose only first target is avoided."""
        self.list_target("first", "h:1", (0, 1))
        for number in range(2, 6):
            self.list_target(f"later{number}", f"h:{number}", (1, 2))
        self.begin_listed()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        later = self.calls[0].path[1].target
        self.suspicions.record_failure(later, now=self.read_clock())
        await self.lose(1, removed=False)
        await self.await_attempt(2)
        self.assertEqual(self.calls[1].target, "first")
        self.assertNotEqual(self.calls[1].path[1].target, later)
        self.assertFalse(self.suspicions.is_suspect("first", now=self.read_clock()))
        await self.check_completes(attempt=2)


class CallerTimeoutTest(unittest.TestCase):
    def test_stream_waits_as_long_as_its_caller(self):
        """Guards against a stream that is cut while its caller waits for it."""
        cases = [
            # objective, pause, seconds left, how long the stream waits
            (0.5, 0.2, 20.0, 1.7),
            (1.0, 0.2, 20.0, 3.7),
            (0.5, 0.5, 20.0, 3.7),
            (1.0, 0.2, 2.0, 2.0),
        ]
        for objective_s, pause_s, left_s, expected_s in cases:
            with self.subTest(objective_s=objective_s, pause_s=pause_s, left_s=left_s):
                route = SimpleNamespace(objective_s=objective_s, pause_s=pause_s)
                state = SimpleNamespace(
                    deadline=left_s, last_write_at=0.0, arrived_at=0.0, route=route
                )
                self.assertAlmostEqual(compute_resume_end(state), expected_s)


class OnlyTargetTest(_EndedStreamTest):
    async def test_stream_resumes_at_the_only_target_that_broke_it_off(self):
        """Guards against a stream without a path beside a target that lives."""
        self.begin(targets=1)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        await self.lose(1, removed=False)
        await self.await_attempt(2)
        await self.check_completes(attempt=2)


class SilentTargetTest(_EndedStreamTest):
    async def test_silence_does_not_end_a_stream_without_a_retry(self):
        """Guards against an instance that ends a stream before its caller does."""
        self.begin(slack=0.0)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.dialect.silent = {self.calls[0].target}
        await asyncio.sleep(_SILENCE_S)
        self.dialect.silent = set()
        await self.check_completes(attempt=1)
        self.assertEqual(len(self.calls), 1)

    async def test_stream_leaves_a_silent_target_that_has_ended(self):
        """Guards against a stream that waits for a process that has ended."""
        self.begin(most_attempts=1, port=1)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        first = self.calls[0].target
        self.dialect.silent = {first}
        self.suspicions.record_failure(first, now=self.read_clock())
        await self.await_attempt(2)
        await self.check_completes(attempt=2)

    async def test_stream_stays_at_a_silent_target_that_was_removed(self):
        """Guards against a second target beside one that serves on unannounced."""
        self.begin(most_attempts=1)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        first = self.calls[0].target
        self.dialect.silent = {first}
        self.suspicions.record_failure(first, now=self.read_clock())
        self.remove_target(first)
        await asyncio.sleep(1.0)
        self.assertEqual(len(self.calls), 1)
        await self.check_completes(attempt=1)

    async def test_stream_stays_at_a_silent_target_whose_entry_lapsed(self):
        """Guards against a stream that is ended, without a retry, for a lapsed row."""
        self.begin(slack=0.0)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        first = self.calls[0].target
        self.dialect.silent = {first}
        self.suspicions.record_failure(first, now=self.read_clock())
        self.remove_target(first)
        await asyncio.sleep(0.5)
        self.dialect.silent = set()
        await self.check_completes(attempt=1)
        self.assertEqual(len(self.calls), 1)

    async def test_attempt_is_not_aborted_before_there_is_a_path_to_resume_on(self):
        """Guards against a silent target that goes on, and whose stream is gone."""
        self.begin(targets=1)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        now = self.read_clock()
        self.suspicions.record_failure("t1", now=now)
        await asyncio.sleep(0.5)
        await self.check_completes(attempt=1)
        self.assertEqual(len(self.calls), 1)


class OwnErrorTest(_EndedStreamTest):
    async def test_error_of_a_check_does_not_end_a_stream(self):
        """Guards against a stream that is cut by a fault of this program."""
        self.begin(slack=0.0)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.dialect.read_report = mock.AsyncMock(side_effect=RuntimeError("fault"))
        await asyncio.sleep(0.6)
        self.dialect.read_report.assert_awaited()
        self.assertLess(self.dialect.read_report.await_count, 6)
        await self.check_completes(attempt=1)

    async def test_error_while_a_loss_is_examined_does_not_end_a_stream(self):
        """Guards against a fault in what is only recorded about a loss."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        monitor = self.service._crash_monitor
        monitor.examine_attempt = mock.AsyncMock(side_effect=RuntimeError("fault"))
        await self.lose(1, removed=False)
        await self.await_attempt(2)
        await self.check_completes(attempt=2)

    async def test_error_in_an_attempt_is_a_failed_attempt(self):
        """Guards against a stream that is not resumed after a fault of this program."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        monitor = self.service._crash_monitor
        record_events = monitor.record_events
        monitor.record_events = mock.Mock(side_effect=RuntimeError("fault"))
        self.streams[0].events.put_nowait(b"id: 2\ndata: x\n\n")
        await self.await_attempt(2)
        monitor.record_events = record_events
        await self.check_completes(attempt=2)


class ProvenStreamTest(_EndedStreamTest):
    async def test_proven_stream_is_not_cut_for_a_suspended_part(self):
        """Guards against a stream that is cut for the crashes of another request."""
        self.begin()
        await self.await_attempt(1)
        for number in range(1, MIN_PROVEN_EVENTS + 1):
            await self.send(number, attempt=1)
        poison = self.service._crash_monitor._poison
        finding = SimpleNamespace(
            patterns=["x"], verdict=mock.Mock(), evidence=[], last_crash_at=0.0
        )
        poison.find_rejection = lambda patterns, team: finding
        await self.lose(1, removed=False)
        await self.await_attempt(2)
        await self.check_completes(attempt=2)


class RelayedStreamTest(_EndedStreamTest):
    async def test_relayed_stream_without_contact_is_cut_and_not_rejected(self):
        """Guards against a second response head inside of a response that has begun."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        state = next(iter(self.service.supervisor._attempts.values())).state
        state.facts.relayed_by = "two"
        self.service._context.contacts.is_reached = lambda service: False
        await self.lose(1, removed=False)
        await self.check_cut(CutCause.NO_PEER)


class BegunResponseTest(unittest.IsolatedAsyncioTestCase):
    async def test_rejection_after_the_response_began_writes_no_second_head(self):
        """Guards against a rejection that the caller reads as part of its answer."""

        async def serve(state):
            answer = web.StreamResponse()
            answer.force_close()
            await answer.prepare(state.request)
            state.request["answer"] = answer
            await answer.write(b"begun")
            raise RejectedRequest(ResultCode.QUEUE_FULL, cause="late")

        seen = []
        handler = CallerHandler(
            dialect=None,
            configuration=SimpleNamespace(
                version=1, reported_version=1, confirmed_at=0.0
            ),
            engines=SimpleNamespace(serve=serve),
            plain=None,
            find_budget=lambda service: mock.Mock(),
            read_clock=time.monotonic,
            is_stopping=lambda: False,
            observe=lambda state, outcome, took_s: seen.append(outcome),
        )
        spec = SimpleNamespace(engine=object())
        route = mock.Mock(spec=Route, kind=RouteKind.STREAM)
        route.name = "r"

        async def parse(request, arrived_at):
            return test_late_streams.RequestState(
                request=request,
                headers={},
                body=b"",
                facts=SimpleNamespace(request_id="a", relayed_by=None),
                configuration=SimpleNamespace(
                    services={"pool": spec}, version=1, class_services=frozenset()
                ),
                route=route,
                team=None,
                service="pool",
                urgency=0,
                class_urgency=0,
                arrived_at=arrived_at,
                deadline=arrived_at + 9.0,
            )

        handler._parse_request = parse
        async with RawTestServer(handler.handle) as server:
            async with aiohttp.ClientSession() as session:
                async with session.get(server.make_url("/")) as answer:
                    with self.assertRaises(aiohttp.ClientPayloadError):
                        body = await answer.read()
                        self.fail(f"looks complete: {body!r}")
        self.assertEqual(seen, ["cut: internal error: late"])
