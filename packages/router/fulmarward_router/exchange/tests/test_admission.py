"""Requests of a service with classes that ask for a path."""

import asyncio
import time
import unittest
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from fulmarward_core.demand import DemandTable
from fulmarward_core.paths import KvCapacity, PathRequest
from fulmarward_core.reservations import ClassSettings
from fulmarward_core.routes import RouteKind
from fulmarward_router.exchange._admission import AdmissionQueue
from fulmarward_router.exchange._request_state import (
    RejectedRequest,
    RequestState,
    Shortage,
)
from fulmarward_router.exchange._waiting import ClassRequests, UniformRequests
from fulmarward_router.state import PromisedReturns

_ENGINE = SimpleNamespace(layers=2)
_PATH = (SimpleNamespace(target="t1"),)


class _Request(dict):
    raw_path = "/x"
    method = "POST"


class _AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.is_incomplete = False
        self.has_pipe = True
        #: Estimated duration of any path, in seconds.
        self.duration_s = None
        self.wanted = PathRequest(prompt=30, answer=20, data_centre="a")
        self.demands = DemandTable(own="a")
        self.promised = PromisedReturns()
        self.waiting = ClassRequests(
            service="pool",
            demands=self.demands,
            sum_promised=lambda due_within_s: self.promised.sum_kv(
                "pool", due_within_s=due_within_s
            ),
            settings=ClassSettings(),
        )
        self.waiting.configure(
            settings=ClassSettings(),
            lowest_urgency=2,
            measure_capacity=lambda: KvCapacity(planned=1000.0, free=0.0),
        )
        #: Chooses a path; `None` if none has room.
        self.choose = mock.Mock(return_value=None)
        self.admission = AdmissionQueue(
            finder=mock.Mock(
                choose=self.choose, estimate_duration_s=lambda *_: self.duration_s
            ),
            pipe=mock.Mock(reserve=lambda engine, wanted, path: self.has_pipe),
            catalogue=mock.Mock(may_be_incomplete=lambda now: self.is_incomplete),
            limits=mock.Mock(
                acquire=mock.AsyncMock(return_value=True),
                list_throttled=lambda: frozenset(),
            ),
            find_waiting=lambda state, engine: self.waiting,
            promised_returns=self.promised,
            count_denial=mock.Mock(),
            observe_wait=mock.Mock(),
            read_clock=time.monotonic,
        )

    def make_state(self, *, urgency=1, relayed_by=None, waited_s=0.0):
        now = time.monotonic() - waited_s
        return RequestState(
            request=_Request(),
            headers={},
            body=b"",
            facts=SimpleNamespace(request_id="a", relayed_by=relayed_by),
            configuration=SimpleNamespace(class_services=frozenset({"pool"})),
            route=SimpleNamespace(objective_s=1.0, kind=RouteKind.STREAM),
            team=None,
            service="pool",
            urgency=urgency,
            class_urgency=urgency,
            arrived_at=now,
            deadline=now + 20.0,
        )

    async def await_path(self, state):
        return await self.admission.await_path(state, _ENGINE, lambda: self.wanted)

    def make_contention(self):
        """Let requests of the class need all of the release for 20 s."""
        now = time.monotonic()
        self.demands.record_released("pool", 0, 50.0, now=now)
        self.demands.set_waiting("pool", 1, on_time_kv=1000.0, late_kv=0.0, now=now)


class IncompleteTest(_AdmissionTest):
    async def test_request_waits_while_targets_may_be_missing(self):
        """Guards against rejections while targets write their rows after an outage."""
        self.is_incomplete = True
        self.make_contention()
        self.choose.side_effect = [None, _PATH]
        self.assertEqual(await self.await_path(self.make_state()), _PATH)


class PipeTest(_AdmissionTest):
    async def test_no_kv_cache_is_promised_for_a_full_pipe(self):
        """Guards against callers that return at once although the link stays full."""
        self.has_pipe = False
        self.choose.side_effect = lambda service, engine, wanted, **options: (
            _PATH if wanted.may_cross else None
        )
        now = time.monotonic()
        self.demands.record_released("pool", 0, 600.0, now=now)
        with self.assertRaises(RejectedRequest) as caught:
            await self.await_path(self.make_state(waited_s=0.5))
        self.assertGreaterEqual(caught.exception.retry_after_s, 2.0)
        self.assertEqual(self.promised.counts.made, 0)
        self.assertEqual(caught.exception.shortage, Shortage.PIPE)


class SpeedTest(_AdmissionTest):
    async def test_request_gets_no_path_that_ends_after_its_deadline(self):
        """Guards against streams that are cut at their deadline, which is in 20 s.

        A request that is rejected for it must not hold up others meanwhile.
        """
        self.choose.return_value, self.duration_s = _PATH, 25.0
        slow = asyncio.create_task(self.await_path(self.make_state()))
        await asyncio.sleep(0.1)
        other = self.make_state()
        other.deadline += 10.0
        async with asyncio.timeout(0.1):
            self.assertEqual(await self.await_path(other), _PATH)
        self.assertFalse(slow.done())
        with self.assertRaises(RejectedRequest) as caught:
            await slow
        self.assertEqual(caught.exception.cause, "no path is fast enough")
        self.assertEqual(caught.exception.shortage, Shortage.SPEED)
        self.assertGreaterEqual(caught.exception.retry_after_s, 2.0)
        self.assertEqual(self.promised.counts.made, 0)

    async def test_others_take_any_path(self):
        """Guards against started answers that end, and against a change by default."""
        self.choose.return_value, self.duration_s = _PATH, 25.0
        for changes in (
            {"runs": 1},
            {"last_event": "1"},
            {"configuration": SimpleNamespace(class_services=frozenset())},
        ):
            state = replace(self.make_state(), **changes)
            async with asyncio.timeout(0.1):
                self.assertEqual(await self.await_path(state), _PATH)
            self.assertEqual(state.path_estimate_s, 25.0)


class MissingLayersTest(_AdmissionTest):
    async def test_missing_layers_of_each_service_are_logged(self):
        """Guards against a service whose missing layers hide those of another."""
        finder = self.admission._finder
        finder.has_whole_model.return_value = False
        finder.describe_exclusions.return_value = SimpleNamespace(
            missing=(), reasons={}
        )
        with mock.patch("fulmarward_router.exchange._admission.log_event") as log:
            for service in ("pool", "other", "pool"):
                state = replace(self.make_state(), service=service)
                state.deadline = state.arrived_at
                with self.assertRaises(RejectedRequest):
                    await self.await_path(state)
        services = [
            call.kwargs["service"]
            for call in log.call_args_list
            if call.args == ("layers_unavailable",)
        ]
        self.assertEqual(services, ["pool", "other"])


class PromisedReturnTest(_AdmissionTest):
    async def test_due_return_is_not_rejected_for_those_that_it_precedes(self):
        """Guards against callers that return on time and are rejected on arrival."""
        self.make_contention()
        state = self.make_state()
        self.promised.promise(
            state.fingerprint, "pool", 1, 100.0, return_s=0.1, request_id="a"
        )
        self.choose.side_effect = [None, _PATH]
        self.assertEqual(await self.await_path(state), _PATH)
        self.assertEqual(self.promised.counts.kept, 1)

    async def test_others_are_rejected_on_arrival(self):
        """Guards against requests that wait although they can't be served in time."""
        self.make_contention()
        with self.assertRaisesRegex(RejectedRequest, "no path will have room in time"):
            await self.await_path(self.make_state())

    async def test_rejected_request_is_promised_capacity_unless_relayed(self):
        """Guards against promises of several peers to a caller that hears of none."""
        for relayed_by, count in ((None, 1), ("b", 0)):
            with self.subTest(relayed_by=relayed_by):
                self.setUp()
                self.make_contention()
                self.demands.record_released("pool", 0, 600.0, now=time.monotonic())
                with self.assertRaises(RejectedRequest) as caught:
                    await self.await_path(self.make_state(relayed_by=relayed_by))
                self.assertEqual(self.promised.counts.made, count)
                values = caught.exception.values
                self.assertEqual(values.is_return_promised, bool(count))

    async def test_due_return_that_is_rejected_gets_no_second_promise(self):
        """Guards against capacity that is reserved for callers that do not return."""
        self.demands.record_released("pool", 0, 600.0, now=time.monotonic())
        state = self.make_state()
        self.promised.promise(
            state.fingerprint, "pool", 1, 100.0, return_s=0.1, request_id="a"
        )
        with self.assertRaises(RejectedRequest):
            await self.await_path(state)
        self.assertEqual(self.promised.counts.made, 1)

    async def test_promise_of_another_service_has_no_effect(self):
        """Guards against precedence without capacity on routes to two services."""
        self.make_contention()
        for return_s in (0.1, 5.0):
            with self.subTest(return_s=return_s):
                state = self.make_state()
                state.request.raw_path = f"/{return_s}"
                self.promised.promise(
                    state.fingerprint, "b", 1, 9.0, return_s=return_s, request_id="a"
                )
                with self.assertRaisesRegex(RejectedRequest, "room in time"):
                    await self.await_path(state)


class RepeatedTest(_AdmissionTest):
    async def test_request_that_needs_another_path_counts_once(self):
        """Guards against retries that raise the demand of their class."""
        self.choose.return_value = _PATH
        state = self.make_state()
        for _ in range(3):
            await self.await_path(state)
        [demand] = self.demands.list_own(now=time.monotonic())["pool"]
        self.assertLess(demand.arriving_kv_per_s, 1.5 * 100)

    async def test_request_that_needs_another_path_redeems_one_promise(self):
        """Guards against retries that take what callers with equal requests got."""
        self.choose.return_value = _PATH
        state = self.make_state()
        for _ in range(2):
            self.promised.promise(
                state.fingerprint, "pool", 1, 100.0, return_s=0.1, request_id="a"
            )
        for _ in range(2):
            await self.await_path(state)
        self.assertEqual(self.promised.counts.kept, 1)

    async def test_request_that_may_have_run_waits_for_its_retry(self):
        """Guards against callers that hear too soon that no target has run it."""
        self.make_contention()
        self.choose.side_effect = [None, _PATH]
        state = self.make_state()
        state.runs = 1
        self.assertEqual(await self.await_path(state), _PATH)


class SizeTest(_AdmissionTest):
    async def test_any_number_of_tokens_is_admitted_or_rejected(self):
        """Guards against headers of callers that end a request by an exception."""
        for prompt, answer in ((10**400, 20), (10**16, 20), (0, -100)):
            with self.subTest(prompt=prompt, answer=answer):
                self.wanted = PathRequest(prompt=prompt, answer=answer, data_centre="a")
                self.choose.side_effect = [None, _PATH]
                self.assertEqual(await self.await_path(self.make_state()), _PATH)


class UniformTest(_AdmissionTest):
    """Guards against changes for services whose routes have equal priorities."""

    def setUp(self):
        super().setUp()
        self.waiting = UniformRequests()
        self.make_contention()

    def make_state(self, **values):
        state = super().make_state(**values)
        state.configuration = SimpleNamespace(class_services=frozenset())
        return state

    async def test_request_waits_and_returns_without_a_promise(self):
        """Guards against rejections on arrival, and against promises."""
        state = self.make_state()
        self.promised.promise(
            state.fingerprint, "pool", 1, 100.0, return_s=5.0, request_id="a"
        )
        with self.assertRaisesRegex(RejectedRequest, "no path has room") as caught:
            await self.await_path(state)
        self.assertGreaterEqual(time.monotonic() - state.arrived_at, 0.9)
        self.assertGreaterEqual(caught.exception.retry_after_s, 2.0)
        self.assertLessEqual(caught.exception.retry_after_s, 4.0)
        counts = self.promised.counts
        self.assertEqual((counts.made, counts.early, counts.kept), (1, 0, 0))

    async def test_only_late_requests_leave_capacity_free(self):
        """Guards against capacity that is reserved for other urgencies."""
        self.choose.return_value = _PATH
        for waited_s, share in ((0.0, 1.0), (0.8, 0.85)):
            with self.subTest(waited_s=waited_s):
                await self.await_path(self.make_state(urgency=2, waited_s=waited_s))
                self.assertEqual(self.choose.call_args.args[2].kv_share, share)

    async def test_request_on_time_precedes_a_more_urgent_late_one(self):
        """Guards against the order of classes."""
        served = []

        def choose(service, engine, wanted, **options):
            return _PATH if time.monotonic() >= opens_at else None

        async def run(state):
            await self.await_path(state)
            served.append(state.urgency)

        opens_at = time.monotonic() + 0.1
        self.choose.side_effect = choose
        late = self.make_state(urgency=0, waited_s=0.8)
        await asyncio.gather(run(late), run(self.make_state(urgency=2)))
        self.assertEqual(served, [2, 0])
