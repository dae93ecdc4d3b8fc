import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from aiohttp.test_utils import make_mocked_request

from fulmarward_core.results import ResultCode
from fulmarward_core.shutdown import StopSchedule
from fulmarward_router.exchange import _caller_handler
from fulmarward_router.exchange._request_state import CutCause, RejectedRequest
from fulmarward_router.exchange.tests.test_ended_streams import _EndedStreamTest
from fulmarward_router.ports import CallerFacts
from fulmarward_router.tests._routing_peer import (
    RoutingPeer,
    make_configuration_row,
    make_target_row,
)

#: Seconds that callers of a `RoutingPeer` wait for an answer.
_DEADLINE_S = 5.0


def _make_facts(*, runs_before):
    return CallerFacts(
        request_id="a",
        deadline_s=_DEADLINE_S,
        key=None,
        last_event=None,
        prompt_tokens=0,
        max_answer_tokens=0,
        hinted_answer_tokens=None,
        relayed_by="two",
        runs_before=runs_before,
        is_last_resort=False,
    )


async def _connect(state, call):
    """Open a request whose connection is never made, as `TargetClient.open` does."""
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError as error:
        error.connections = 0
        raise


class _StoppingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.peer = RoutingPeer("one")
        self.gate = self.peer.stop_gate
        self.peer.configuration.record_confirmation(at=self.peer.now)

    async def asyncSetUp(self):
        row = make_configuration_row(1)
        await self.peer.configuration.apply_row(row, source="store")
        self.peer.read_targets([make_target_row("t1", 1)], 1)

    def begin_stop(self, grace_s):
        self.gate.begin(StopSchedule(began_at=self.peer.now, grace_s=grace_s))

    def ask(self, facts=None):
        """Return the task that serves a caller's request."""
        if facts is not None:
            self.peer.handler._dialect.read_caller = lambda headers: facts
        request = make_mocked_request("POST", "/v1/x", headers={"Host": ""})
        return asyncio.create_task(self.peer.handler.handle(request))

    async def hang(self, state, call):
        self.peer.client.reached.append(call.target)
        await asyncio.Event().wait()

    async def await_sent(self):
        async with asyncio.timeout(5.0):
            while not self.peer.client.reached:
                await asyncio.sleep(0.01)

    async def end(self, asked):
        """End what is open; return the answer to `asked`."""
        self.gate.end_all()
        async with asyncio.timeout(5.0):
            return await asked

    def check_refused(self, answer):
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        self.assertIn(b"%d" % ResultCode.STOPPING, answer.body)


class TakenRequestTest(_StoppingTest):
    async def test_request_that_may_last_until_its_deadline_is_not_taken(self):
        """Guards against a request that is passed on and cut by SIGKILL."""
        self.begin_stop(_DEADLINE_S)
        self.check_refused(await self.ask())
        self.assertEqual(self.peer.client.reached, [])

    async def test_request_whose_deadline_is_before_the_end_is_taken(self):
        self.begin_stop(_DEADLINE_S + 2.0)
        self.assertEqual((await self.ask()).status, 200)

    async def test_quick_answers_before_the_stop_are_no_bound(self):
        """Guards against a request that outlasts all known ones, and is cut."""
        for _ in range(3):
            self.assertEqual((await self.ask()).status, 200)
        reached = list(self.peer.client.reached)
        self.begin_stop(4.0)
        self.check_refused(await self.ask())
        self.assertEqual(self.peer.client.reached, reached)

    async def test_waiting_request_is_refused_as_the_stop_begins(self):
        """Guards against a refusal that comes only once the request has waited."""
        full = mock.patch.object(
            self.peer.handler._plain, "_choose_target", return_value=(None, True)
        )
        with full:
            asked = self.ask()
            await asyncio.sleep(0.02)
            self.begin_stop(2.0)
            async with asyncio.timeout(5.0):
                self.check_refused(await asked)
        self.assertEqual(self.peer.client.reached, [])
        self.assertEqual(asked.cancelling(), 0)

    async def test_request_that_is_being_read_is_refused_as_the_stop_begins(self):
        """Guards against a refusal that waits for the rest of a body."""

        async def read(*args, **options):
            await asyncio.Event().wait()

        with mock.patch.object(self.peer.handler, "_read_body", read):
            asked = self.ask()
            await asyncio.sleep(0.02)
            self.begin_stop(2.0)
            async with asyncio.timeout(5.0):
                self.check_refused(await asked)

    async def test_refused_request_that_waits_is_refused_as_the_stop_begins(self):
        """Guards against a late refusal of what its target has not run."""
        dialect, plain = self.peer.handler._dialect, self.peer.handler._plain
        facts = replace(dialect.read_answer(503, {}), is_not_run=True)
        dialect.read_answer = lambda status, headers: facts
        poll_target = plain._poll_target

        async def poll(state, tried, is_last):
            if tried:
                await asyncio.Event().wait()
            return await poll_target(state, tried, is_last)

        plain._poll_target = poll
        asked = self.ask()
        await self.await_sent()
        await asyncio.sleep(0.02)
        self.begin_stop(2.0)
        async with asyncio.timeout(5.0):
            self.check_refused(await asked)

    async def test_request_at_its_target_goes_on_as_the_stop_begins(self):
        """Guards against ending what was taken before the stop."""
        with mock.patch.object(self.peer.client, "open", self.hang):
            asked = self.ask()
            await self.await_sent()
            self.begin_stop(2.0)
            await asyncio.sleep(0.02)
            self.assertFalse(asked.done())
        self.assertEqual((await self.end(asked)).status, 502)

    async def test_caller_without_another_instance_returns_after_the_stop(self):
        """Guards against a retry delay after which nobody else serves."""
        self.gate._has_peers = lambda: False
        self.begin_stop(4.0)
        answer = await self.ask()
        self.check_refused(answer)
        self.assertGreaterEqual(float(answer.headers["Retry-After"]), 4.0)

    async def test_request_that_has_waited_for_a_target_is_judged_again(self):
        """Guards against waiting requests that are sent with too little time left."""
        self.begin_stop(_DEADLINE_S + 2.0)
        full = mock.patch.object(
            self.peer.handler._plain, "_choose_target", return_value=(None, True)
        )
        with full:
            asked = self.ask()
            await asyncio.sleep(0.02)
        self.gate.begin(StopSchedule(began_at=self.peer.now, grace_s=1.0))
        self.check_refused(await asked)
        self.assertEqual(self.peer.client.reached, [])


class EndedRequestTest(_StoppingTest):
    async def test_request_under_way_may_have_run(self):
        """Guards against a closed connection, or a promise that it has not run."""
        self.peer.client.open = self.hang
        asked = self.ask()
        await self.await_sent()
        answer = await self.end(asked)
        self.assertEqual(answer.status, 502)
        self.assertNotIn("Retry-After", answer.headers)
        self.assertEqual(self.peer.handler.ended, {"unknown": 1})

    async def test_request_without_a_connection_is_refused(self):
        """Guards against an unknown outcome of a request that was sent nowhere."""
        self.peer.client.open = _connect
        asked = self.ask()
        await asyncio.sleep(0.02)
        self.check_refused(await self.end(asked))

    async def test_waiting_request_is_refused(self):
        """Guards against runs at other instances that are taken for runs here."""
        for runs_before in (0, 1):
            with (
                self.subTest(runs_before=runs_before),
                mock.patch.object(
                    self.peer.handler._plain,
                    "_await_target",
                    lambda *args: asyncio.sleep(60.0),
                ),
            ):
                asked = self.ask(_make_facts(runs_before=runs_before))
                await asyncio.sleep(0.02)
                self.check_refused(await self.end(asked))
                self.assertEqual(self.peer.client.reached, [])

    async def test_last_line_says_how_far_the_request_had_come(self):
        """Guards against requests that a stop ends without a line in the log."""

        async def wait(*args, **options):
            await asyncio.Event().wait()

        cases = (
            (lambda peer: peer.handler, "_read_body", "reading"),
            (lambda peer: peer.handler._plain, "_await_target", "waiting"),
            (lambda peer: peer.client, "open", "sent"),
        )
        for find_owner, name, phase in cases:
            self.setUp()
            await self.asyncSetUp()
            with (
                self.subTest(phase),
                mock.patch.object(find_owner(self.peer), name, wait),
                mock.patch.object(_caller_handler, "log_event") as log_event,
            ):
                asked = self.ask()
                await asyncio.sleep(0.02)
                self.begin_stop(1.0)
                await self.end(asked)
                last = log_event.call_args_list[-1]
                self.assertEqual(last.args, ("request_ended",))
                self.assertEqual(last.kwargs["ended_in"], phase)
                self.assertEqual(last.kwargs["stopping_s"], 0.0)

    async def test_answer_that_is_not_read_ends_at_its_deadline(self):
        """Guards against an answer that is taken for its deadline, and outlasts it."""

        async def write(*args):
            await asyncio.Event().wait()

        facts = replace(_make_facts(runs_before=0), deadline_s=0.2)
        with (
            mock.patch.object(_caller_handler, "_write", write),
            mock.patch.object(_caller_handler, "log_event") as log_event,
        ):
            async with asyncio.timeout(5.0):
                await self.ask(facts)
        last = log_event.call_args_list[-1]
        self.assertEqual(last.kwargs["cut_cause"], CutCause.DEADLINE.value)
        self.assertEqual(self.gate.count_open(), 0)

    async def test_request_that_catches_its_end_is_ended_again(self):
        """Guards against a stop that waits for a request without end."""
        caught = asyncio.Event()

        async def serve(state):
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                caught.set()
            await asyncio.Event().wait()

        self.peer.handler._serve = serve
        asked = self.ask()
        await asyncio.sleep(0.02)
        self.gate.end_all()
        async with asyncio.timeout(5.0):
            await caught.wait()
        self.check_refused(await self.end(asked))
        self.assertEqual(self.gate.count_open(), 0)
        self.assertEqual(asked.cancelling(), 0)

    async def test_request_after_the_end_reaches_no_target(self):
        self.begin_stop(60.0)
        self.gate.end_all()
        self.check_refused(await self.ask())
        self.assertEqual(self.peer.client.reached, [])

    async def test_request_that_its_caller_has_left_is_not_answered(self):
        """Guards against a caller's end that is taken for that of the instance."""
        self.peer.client.open = self.hang
        asked = self.ask()
        await self.await_sent()
        asked.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await asked
        self.assertEqual(self.gate.count_open(), 0)


class StreamTest(_EndedStreamTest):
    def make_stopping(self):
        gate = self.service._context.stop_gate
        gate.begin(StopSchedule(began_at=self.read_clock(), grace_s=1.0))

    async def test_stream_that_cannot_be_ended_is_not_sent(self):
        """Guards against waiting streams that are sent when too little time is left."""
        admit = mock.AsyncMock(side_effect=lambda state: self.make_stopping())
        with mock.patch(
            "fulmarward_router.exchange._crash_monitor.CrashMonitor.admit", admit
        ):
            self.begin()
            async with asyncio.timeout(5.0):
                await asyncio.wait([self.serving])
        error = self.serving.exception()
        self.assertIsInstance(error, RejectedRequest)
        self.assertIs(error.code, ResultCode.STOPPING)
        self.assertEqual(self.calls, [])
        self.assertFalse(self.service._context.ledger.has_own())

    async def test_stream_under_way_may_have_run(self):
        self.statuses = [None]
        self.begin()
        await self.await_attempt(1)
        state = next(iter(self.service.supervisor._attempts.values())).state
        self.serving.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await self.serving
        self.assertEqual(state.runs, 1)

    async def test_stream_without_a_connection_has_not_run(self):
        """Guards against an unknown outcome of a stream that was sent nowhere."""
        self.open = _connect
        self.begin()
        await asyncio.sleep(0.1)
        state = next(iter(self.service.supervisor._attempts.values())).state
        self.serving.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await self.serving
        self.assertEqual(state.runs, 0)

    async def test_stream_that_its_caller_does_not_read_ends_at_its_deadline(self):
        """Guards against a stream that is taken for its deadline, and outlasts it."""

        async def admit(monitor, state):
            state.deadline = self.read_clock() + 0.3

        async def write(data):
            await asyncio.Event().wait()

        with mock.patch(
            "fulmarward_router.exchange._crash_monitor.CrashMonitor.admit", admit
        ):
            self.begin()
            await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.request["answer"].write = write
        self.streams[0].events.put_nowait(b"id: 2\ndata: x\n\n")
        await self.check_cut(CutCause.DEADLINE)
