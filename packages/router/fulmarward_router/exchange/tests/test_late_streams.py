"""Orders of late events around an attempt at a stream."""

import asyncio
import time
import unittest
from types import SimpleNamespace

from fulmarward.http import ResponseGuard
from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.fleet import (
    AcceleratorKind,
    EngineModel,
    LayerRange,
    ServiceSpec,
    TargetRecord,
)
from fulmarward_core.isolation import ContactTable
from fulmarward_core.loads import LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.quotas import RetryBudget
from fulmarward_core.routes import Route, RouteKind, ServiceShare
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange import (
    EngineService,
    FailureDetector,
    PeerRelay,
    ServiceContext,
    StreamForwarder,
    TargetClient,
    make_target_session,
)
from fulmarward_router.exchange._request_state import RejectedRequest, RequestState
from fulmarward_router.exchange.tests.test_send import _BODY, _StalledTarget
from fulmarward_router.ports import AnswerFacts, OrderOutcome, OrderResult, TargetReport
from fulmarward_router.tests._poison import make_crash_monitor, make_poison_knowledge
from fulmarward_router.tests._target_limits import (
    make_leaving_targets,
    make_target_limits,
)

#: Seconds after an acknowledged leaving in which a target still takes requests.
_DRAIN_S = 3.0

#: Seconds in which an attempt notices a change: its first check and its probes.
_NOTICE_S = 1.2

_ENGINE = EngineModel(
    model="m",
    slots=8,
    layers=2,
    layer_mb=1.0,
    kv_bytes_per_token=10.0,
    activation_bytes=1.0,
    pipe_mbps=1000.0,
    step_ms=1.0,
    sequence_ms=0.1,
    context_ms_per_k=0.1,
    prefill_tokens_per_s=1e5,
    mean_prompt_tokens=10,
    mean_answer_tokens=10,
    kinds={
        "big": AcceleratorKind(
            name="big", memory_mb=1000.0, step_factor=1.0, prefill_factor=1.0
        )
    },
)


class _Dialect:
    """Targets that answer reports, apart from the `silent` ones."""

    def __init__(self):
        #: Names of the targets whose answers do not arrive.
        self.silent = set()
        #: Called with each order; returns its result.
        self.order = None

    def make_headers(self, headers, call):
        return []

    def read_answer(self, status, headers):
        return AnswerFacts(
            request_id="a",
            is_signed=True,
            is_not_run=False,
            address_at_fault=None,
            is_misdirected=False,
            is_plain=True,
        )

    async def is_accepting(self, record, timeout_s):
        return await self.is_responding(record, timeout_s)

    async def is_responding(self, record, timeout_s):
        if record.name in self.silent:
            await asyncio.sleep(timeout_s)
        return record.name not in self.silent

    async def read_report(self, record, timeout_s):
        if not await self.is_responding(record, timeout_s):
            return None
        return TargetReport(
            layers=record.layers, orders_accepted=0, pace=1.0, kv_used=0.0, stalled=()
        )

    async def order_path(self, record, request_id, path):
        return await self.order(path)


class _Stream:
    """The response of a first target; `events` puts bytes on it, `b""` ends it."""

    status = 200

    def __init__(self):
        self.headers = {}
        self.events = asyncio.Queue()
        self.content = self

    async def readany(self):
        data = await self.events.get()
        if data is None:
            raise OSError("closed")
        return data

    def close(self):
        self.events.put_nowait(None)


class _Answer:
    """What a caller receives."""

    prepared = True

    def __init__(self):
        self.received = b""
        self.is_complete = False

    async def write(self, data):
        self.received += data

    async def write_eof(self):
        self.is_complete = True


class _Forwarder(StreamForwarder):
    async def begin_answer(self, state, response):
        state.request["answer"] = _Answer()
        return state.request["answer"]


class _Request(dict):
    raw_path = "/x"
    method = "POST"


class _StreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        #: Seconds by which the instance's clock has been put forward.
        self.skipped_s = 0.0
        self.session = make_target_session(ResponseGuard())
        self.addAsyncCleanup(self.session.close)
        self.dialect = _Dialect()
        self.catalogue = TargetCatalogue()
        self.suspicions = SuspicionTable()
        self.version = 0

    def read_clock(self):
        return time.monotonic() + self.skipped_s

    def list_target(self, name, address, layers, *, is_leaving=False, started_ms=1):
        self.version += 1
        now = self.read_clock()
        record = TargetRecord(
            name=name,
            service="pool",
            address=address,
            data_centre="a",
            is_leaving=is_leaving,
            slots=8,
            remaining_warmup_s=0.0,
            started_ms=started_ms,
            kind="big",
            layers=LayerRange(start=layers[0], end=layers[1]),
        )
        row = KnownRow(
            name=name, version=self.version, value=b"", record=record, heard_at=now
        )
        self.catalogue.apply_changes([row], self.version, now=now)

    def remove_target(self, name):
        self.version += 1
        now = self.read_clock()
        row = KnownRow(
            name=name, version=self.version, value=None, record=None, heard_at=now
        )
        self.catalogue.apply_changes([row], self.version, now=now)

    def start_service(self, client, *, slack, find_share=lambda: 1.0, **options):
        budget = RetryBudget(ratio=0.0, slack=slack, window_s=10.0)
        context = ServiceContext(
            poison=make_poison_knowledge(),
            target_limits=make_target_limits(),
            leaving_targets=make_leaving_targets(),
            client=client,
            dialect=self.dialect,
            catalogue=self.catalogue,
            suspicions=self.suspicions,
            contacts=(contacts := ContactTable()),
            paces=PaceTable(),
            ledger=LoadLedger(),
            find_budget=lambda service: budget,
            find_share=find_share,
            is_large=lambda: False,
            instance="one",
            data_centre="a",
            read_clock=self.read_clock,
            **options,
        )
        detector = FailureDetector(
            dialect=self.dialect,
            catalogue=self.catalogue,
            suspicions=self.suspicions,
            contacts=contacts,
            read_clock=self.read_clock,
            notify_peers=lambda: None,
        )
        forwarder = _Forwarder(
            dialect=self.dialect,
            read_clock=self.read_clock,
        )
        crash_monitor = make_crash_monitor(context, detector)
        relay = PeerRelay(
            context=context,
            contact_monitor=detector.contact_monitor,
            forwarder=forwarder,
            crash_monitor=crash_monitor,
            list_peers=lambda: [],
            count_relay=lambda service, outcome: None,
        )
        self.service = EngineService(
            context=context,
            failure_detector=detector,
            forwarder=forwarder,
            relay=relay,
            crash_monitor=crash_monitor,
            count_broken_attempt=lambda service, progress: None,
            count_denial=lambda service, urgency, cause: None,
            observe_wait=lambda service, urgency, waited_s: None,
        )
        self.start(self.service.supervisor.run())

    def start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.addAsyncCleanup(_cancel, task)
        return task

    def serve(self, *, body=b"", most_attempts=3):
        """Start to serve a stream that has 20 s; return its task and its request."""
        route = Route(
            name="r",
            host="",
            prefix="/",
            kind=RouteKind.STREAM,
            timeout_s=20.0,
            objective_s=0.5,
            pause_s=0.1,
            priority=0,
            shares=(ServiceShare(service="pool", weight=1.0),),
            most_attempts=most_attempts,
            is_public=True,
            is_resumable=True,
        )
        facts = SimpleNamespace(
            request_id="a",
            last_event=None,
            prompt_tokens=10,
            max_answer_tokens=10,
            hinted_answer_tokens=None,
            relayed_by=None,
            runs_before=0,
            is_last_resort=False,
            shared_parts=(),
        )
        services = {"pool": ServiceSpec(name="pool", engine=_ENGINE)}
        now = self.read_clock()
        request = _Request()
        state = RequestState(
            request=request,
            headers={},
            body=body,
            facts=facts,
            configuration=SimpleNamespace(
                services=services, class_services=frozenset()
            ),
            route=route,
            team=None,
            service="pool",
            urgency=0,
            class_urgency=0,
            arrived_at=now,
            deadline=now + 20.0,
        )
        return self.start(self.service.serve(state)), request


class UnsentStreamTest(_StreamTest):
    async def stall(self, *, silent):
        """Start a stream whose request waits for a link until its target has left.

        The answers of the `silent` targets wait too. Returns what reaches the target.
        """
        target = _StalledTarget()
        self.addCleanup(target.close)
        self.list_target("t1", target.address, (0, 2))
        client = TargetClient(session=self.session, dialect=self.dialect)
        self.start_service(client, slack=0.0)
        self.dialect.silent = silent
        self.serve(body=_BODY)
        connection = await target.accept()
        connection.setblocking(False)
        for name in ("t2", "t3"):
            self.list_target(name, "127.0.0.1:1", (0, 2))
        self.list_target("t1", target.address, (0, 2), is_leaving=True)
        self.skipped_s += _DRAIN_S
        await asyncio.sleep(_NOTICE_S)
        return await self.count_received(connection)

    async def test_unsent_stream_is_reset_if_only_its_target_is_silent(self):
        """A connection, a full link of the target, 3 s, the link recovers."""
        self.assertLess(await self.stall(silent={"t1"}), len(_BODY))

    async def test_unsent_stream_is_not_delivered_after_its_target_has_left(self):
        """A connection, a full link, the leaving is known, 3 s, the link recovers."""
        count = await self.stall(silent={"t1", "t2", "t3"})
        self.assertLess(count, len(_BODY))

    async def count_received(self, connection):
        """Return how many bytes reach the target once the link recovers."""
        loop = asyncio.get_running_loop()
        count = 0
        try:
            async with asyncio.timeout(2.0):
                while count < len(_BODY):
                    data = await loop.sock_recv(connection, 1 << 16)
                    if not data:
                        break
                    count += len(data)
        except (ConnectionResetError, TimeoutError):
            pass
        return count


class _FedStreamTest(_StreamTest):
    """A test that puts the events of the first target on its stream."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.stream = _Stream()
        #: The first target of each attempt.
        self.opened_at = []

    async def open(self, state, call):
        self.opened_at.append(call.target)
        return self.stream

    def send(self, number):
        self.stream.events.put_nowait(b"id: %d\ndata: x\n\n" % number)


class LateOrderTest(_FedStreamTest):
    async def run_order(self, outcome, *, slack):
        """Lose the second target of a stream; return what its caller receives.

        The first target takes the order and goes on 0.1 s later on the new path.
        """
        self.list_target("first", "h:1", (0, 1))
        self.list_target("second", "h:2", (1, 2))
        client = SimpleNamespace(open=self.open)
        self.start_service(client, slack=slack)
        ordered = asyncio.Event()

        async def order(path):
            ordered.set()
            return OrderResult(outcome=outcome)

        self.dialect.order = order
        serving, request = self.serve()
        for number in (1, 2):
            self.send(number)
            await asyncio.sleep(0.03)
        self.list_target("third", "h:3", (1, 2))
        self.suspicions.record_failure("second", now=self.read_clock())
        async with asyncio.timeout(2.0):
            await ordered.wait()
        await asyncio.sleep(0.1)
        self.send(3)
        self.stream.events.put_nowait(b"")
        await asyncio.wait([serving], timeout=2.5)
        return request["answer"]

    async def test_stream_goes_on_after_an_order_that_is_confirmed(self):
        """A second target is lost, the order is confirmed, the stream goes on."""
        answer = await self.run_order(OrderOutcome.TAKEN, slack=0.0)
        self.assertIn(b"id: 3", answer.received)
        self.assertTrue(answer.is_complete)

    async def test_stream_goes_on_after_an_order_whose_confirmation_is_late(self):
        """A second target is lost, its order is answered late, no retry is left."""
        answer = await self.run_order(OrderOutcome.UNKNOWN, slack=0.0)
        self.assertIn(b"id: 3", answer.received)
        self.assertTrue(answer.is_complete)


class LateTargetTest(_FedStreamTest):
    async def run_silence(self, *, slack):
        """Let a first target's link hold everything for 0.7 s; return the answer."""
        for name, address in (("first", "h:1"), ("t2", "h:2"), ("t3", "h:3")):
            self.list_target(name, address, (0, 2))
        self.start_service(SimpleNamespace(open=self.open), slack=slack)
        serving, request = self.serve()
        for number in (1, 2):
            self.send(number)
            await asyncio.sleep(0.03)
        first = self.opened_at[0]
        self.dialect.silent = {first}
        await asyncio.sleep(0.7)
        self.dialect.silent = set()
        self.send(3)
        self.stream.events.put_nowait(b"")
        await asyncio.wait([serving], timeout=2.5)
        return request["answer"]

    async def test_stream_without_a_retry_waits_for_a_late_first_target(self):
        """A first target's link is full for 0.7 s, no retry is left, it goes on."""
        answer = await self.run_silence(slack=0.0)
        self.assertIn(b"id: 3", answer.received)
        self.assertTrue(answer.is_complete)


class ReportedFailureTest(_FedStreamTest):
    async def run_crash(self, *, is_reported, layers=(0, 2)):
        """Let the first target of a stream crash; return what its caller receives.

        The other target that holds its layers is healthy; a peer may report that it is
        lost. Four more targets hold the layers that these two do not.
        """
        for name, address in (("t1", "h:1"), ("t2", "h:2")):
            self.list_target(name, address, layers)
        for number in range(3, 7) if layers[1] < 2 else ():
            self.list_target(f"t{number}", f"h:{number}", (layers[1], 2))
        self.start_service(SimpleNamespace(open=self.open), slack=100.0)
        serving, request = self.serve()
        for number in (1, 2):
            self.send(number)
            await asyncio.sleep(0.03)
        other = "t2" if self.opened_at[0] == "t1" else "t1"
        if is_reported:
            self.suspicions.record_indirect_failure(
                other, duration_s=2.5, now=self.read_clock()
            )
        crashed, self.stream = self.stream, _Stream()
        self.send(3)
        self.stream.events.put_nowait(b"")
        crashed.close()
        await asyncio.wait([serving], timeout=2.5)
        return request["answer"]

    async def test_stream_resumes_on_the_other_target(self):
        """A first target crashes, the other one is healthy."""
        answer = await self.run_crash(is_reported=False)
        self.assertIn(b"id: 3", answer.received)
        self.assertTrue(answer.is_complete)

    async def test_stream_resumes_on_the_other_holder_of_its_layers(self):
        """A first target crashes, the only other holder of its layers is healthy."""
        answer = await self.run_crash(is_reported=False, layers=(0, 1))
        self.assertIn(b"id: 3", answer.received)
        self.assertTrue(answer.is_complete)

    async def test_stream_resumes_on_a_target_that_only_a_peer_takes_for_lost(self):
        """A peer with a full link reports a healthy target, the other one crashes."""
        answer = await self.run_crash(is_reported=True)
        self.assertIn(b"id: 3", answer.received)
        self.assertTrue(answer.is_complete)

    async def test_stream_resumes_on_the_only_other_holder_of_its_first_layers(self):
        """The same, of six targets two of which hold the first layers."""
        answer = await self.run_crash(is_reported=True, layers=(0, 1))
        self.assertIn(b"id: 3", answer.received)
        self.assertTrue(answer.is_complete)


class WaitingStreamTest(_FedStreamTest):
    async def test_waiting_stream_is_not_sent_to_a_target_that_leaves_meanwhile(self):
        """A full target, a stream waits, the target leaves, it has room again."""
        self.list_target("t1", "h:1", (0, 2))
        self.list_target("t2", "h:2", (0, 2), is_leaving=True)
        self.start_service(SimpleNamespace(open=self.open), slack=0.0)
        self.suspicions.record_saturated("t1", now=self.read_clock())
        serving, _ = self.serve()
        await asyncio.sleep(0.1)
        self.list_target("t1", "h:1", (0, 2), is_leaving=True)
        await asyncio.wait([serving], timeout=2.0)
        self.assertIsInstance(serving.exception(), RejectedRequest)
        self.assertEqual(self.opened_at, [])


async def _cancel(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
