"""Plain requests at targets that are slow, hang, fail or reject."""

import asyncio
import unittest
from dataclasses import dataclass, field
from types import SimpleNamespace
from unittest import mock

from aiohttp import web
from hypothesis import given, settings, strategies as st

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.isolation import ContactTable
from fulmarward_core.loads import LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.quotas import RetryBudget
from fulmarward_core.results import ResultCode
from fulmarward_core.routes import Route, RouteKind, ServiceShare
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange import (
    PlainService,
    ServiceContext,
    _parallel_attempts,
)
from fulmarward_router.exchange._request_state import RejectedRequest, RequestState
from fulmarward_router.exchange._send import AnswerLost
from fulmarward_router.exchange.tests.test_late_sends import _make_row
from fulmarward_router.ports import AnswerFacts
from fulmarward_router.tests._poison import make_poison_knowledge
from fulmarward_router.tests._simulated_time import run_simulated
from fulmarward_router.tests._target_limits import (
    make_leaving_targets,
    make_target_limits,
)

#: Seconds that a request has, and by which simulated timers may overrun in that time.
_DEADLINE_S = 3.0
_OVERRUN_S = 0.1

_HANGS = 1e6


@dataclass(frozen=True, kw_only=True)
class _Plan:
    """What a target does with each request, and after how many seconds."""

    after_s: float
    status: int = 200
    is_not_run: bool = False
    #: Whether it breaks the connection off instead.
    is_lost: bool = False

    @property
    def rejects(self):
        return self.is_not_run and not self.is_lost


@dataclass(kw_only=True)
class _Targets:
    """Targets that follow their plans; the connections to them."""

    plans: dict[str, _Plan]
    #: When each request reached which target, in seconds since the start.
    arrivals: list[tuple[str, float]] = field(default_factory=list)
    #: Targets whose connections were closed before they answered.
    closed: list[str] = field(default_factory=list)
    #: Called when a connection is closed.
    on_close: object = lambda: None

    async def open(self, state, call):
        now = asyncio.get_running_loop().time()
        self.arrivals.append((call.target, now))
        plan = self.plans[call.target]
        try:
            await asyncio.sleep(plan.after_s)
        except asyncio.CancelledError:
            self.closed.append(call.target)
            self.on_close()
            raise
        if plan.is_lost:
            raise AnswerLost("reset")
        return SimpleNamespace(
            status=plan.status,
            headers={"target": call.target, "not-run": plan.is_not_run},
            close=lambda: None,
        )

    async def read_body(self, response):
        return response.headers["target"].encode()

    @property
    def reached(self):
        return [target for target, _ in self.arrivals]


class _Dialect:
    def read_answer(self, status, headers):
        return AnswerFacts(
            request_id="a",
            is_signed=not headers["not-run"],
            is_not_run=headers["not-run"],
            address_at_fault=None,
            is_misdirected=False,
            is_plain=True,
        )

    def select_answer_headers(self, headers):
        return []


class _Instance:
    """Plain requests before targets with plans, on a simulated clock."""

    def __init__(self, *, plans, retries, read_clock, most_attempts=2):
        self.read_clock = read_clock
        self.targets = _Targets(plans=plans)
        self.most_attempts = most_attempts
        self.ledger = LoadLedger()
        self.suspicions = SuspicionTable()
        self.relay = mock.Mock(is_needed=mock.Mock(return_value=False))
        budget = RetryBudget(ratio=0.0, slack=retries, window_s=1000.0)
        context = ServiceContext(
            poison=make_poison_knowledge(),
            target_limits=make_target_limits(),
            leaving_targets=make_leaving_targets(),
            client=self.targets,
            dialect=_Dialect(),
            catalogue=TargetCatalogue(),
            suspicions=self.suspicions,
            contacts=ContactTable(),
            paces=PaceTable(),
            ledger=self.ledger,
            find_budget=lambda service: budget,
            find_share=lambda: 1.0,
            is_large=lambda: False,
            instance="one",
            data_centre="a",
            read_clock=read_clock,
        )
        for version, name in enumerate(sorted(plans), start=1):
            row = _make_row(f"{name}:1", version, is_leaving=False, name=name)
            context.catalogue.apply_changes([row], version, now=read_clock())
        self.plain = PlainService(
            context=context,
            failure_detector=mock.Mock(),
            forwarder=mock.Mock(),
            relay=self.relay,
            crash_monitor=mock.Mock(admit=mock.AsyncMock()),
        )

    def make_state(self, *, kind=RouteKind.IDEMPOTENT):
        route = Route(
            name="r",
            host="",
            prefix="/",
            kind=kind,
            timeout_s=20.0,
            objective_s=0.5,
            pause_s=0.1,
            priority=0,
            shares=(ServiceShare(service="plain", weight=1.0),),
            most_attempts=self.most_attempts,
            is_public=True,
            is_resumable=False,
        )
        now = self.read_clock()
        return RequestState(
            request=SimpleNamespace(raw_path="/x", method="GET", get=lambda key: None),
            headers={},
            body=b"",
            facts=SimpleNamespace(request_id="a", shared_parts=(), relayed_by=None),
            configuration=None,
            route=route,
            team=None,
            service="plain",
            urgency=0,
            class_urgency=0,
            arrived_at=now,
            deadline=now + _DEADLINE_S,
        )

    async def serve(self, state=None):
        """Return the status and the body, or the code of the rejection."""
        try:
            answer = await self.plain.serve(state or self.make_state())
        except RejectedRequest as rejection:
            return rejection.code, b""
        return answer.status, answer.body

    def check_nothing_is_left(self, case):
        case.assertEqual(dict(self.ledger.list_own()), {})
        case.assertEqual(asyncio.all_tasks(), {asyncio.current_task()})


def _run(work, plans, *, retries=10.0, **options):
    async def play(read_clock):
        instance = _Instance(
            plans=plans, retries=retries, read_clock=read_clock, **options
        )
        return await work(instance)

    return run_simulated(play)


class SlowTargetTest(unittest.TestCase):
    def serve(self, plans, **options):
        """Serve one request; return the outcome, the instance and the state."""

        async def work(instance):
            state = instance.make_state(kind=kind)
            outcome = await instance.serve(state)
            instance.check_nothing_is_left(self)
            return outcome, instance, state

        kind = options.pop("kind", RouteKind.IDEMPOTENT)
        return _run(work, plans, **options)

    def test_request_without_a_retry_waits_for_its_slow_target(self):
        """Guards against a failure while the target is at work."""
        plans = {"t1": _Plan(after_s=1.2), "t2": _Plan(after_s=1.2)}
        outcome, instance, state = self.serve(plans, retries=0.0)
        self.assertEqual(outcome, (200, b"t1"))
        self.assertEqual((instance.targets.reached, state.runs), (["t1"], 1))

    def test_rejected_second_attempt_leaves_the_first_open(self):
        """Guards against an attempt that is ended before another target has taken
        the request."""
        plans = {
            "t1": _Plan(after_s=1.2),
            "t2": _Plan(after_s=0.1, status=503, is_not_run=True),
        }
        outcome, instance, state = self.serve(plans)
        self.assertEqual(outcome, (200, b"t1"))
        self.assertEqual(instance.targets.closed, [])
        self.assertEqual((state.attempts, state.runs), (2, 1))

    def test_lost_second_attempt_leaves_the_first_open(self):
        """Guards against the failure of one attempt that ends all."""
        plans = {"t1": _Plan(after_s=1.2), "t2": _Plan(after_s=0.1, is_lost=True)}
        outcome, instance, state = self.serve(plans)
        self.assertEqual(outcome, (200, b"t1"))
        self.assertEqual((state.attempts, state.runs), (2, 2))

    def test_first_attempt_is_closed_when_the_second_has_answered(self):
        """Guards against targets that stay at work for an answered request."""
        plans = {"t1": _Plan(after_s=_HANGS), "t2": _Plan(after_s=0.1)}
        outcome, instance, state = self.serve(plans)
        self.assertEqual(outcome, (200, b"t2"))
        self.assertEqual(instance.targets.closed, ["t1"])
        self.assertEqual((state.attempts, state.runs, state.targets), (2, 2, ("t2",)))

    def test_second_attempt_is_closed_when_the_first_has_answered(self):
        """Guards against a first answer that is not taken any more."""
        plans = {"t1": _Plan(after_s=0.6), "t2": _Plan(after_s=_HANGS)}
        outcome, instance, state = self.serve(plans)
        self.assertEqual(outcome, (200, b"t1"))
        self.assertEqual(instance.targets.closed, ["t2"])
        self.assertEqual((state.attempts, state.runs, state.targets), (2, 2, ("t1",)))

    def test_failure_of_one_waits_for_the_answer_of_the_other(self):
        """Guards against a failure that is passed on while an attempt is open."""
        plans = {"t1": _Plan(after_s=0.6), "t2": _Plan(after_s=0.1, status=500)}
        self.assertEqual(self.serve(plans)[0], (200, b"t1"))
        plans = {"t1": _Plan(after_s=0.6, status=500), "t2": _Plan(after_s=1.0)}
        self.assertEqual(self.serve(plans)[0], (200, b"t2"))

    def test_failure_is_passed_on_if_no_attempt_has_an_answer(self):
        """Guards against a lost answer that replaces the failure a target reported."""
        plans = {"t1": _Plan(after_s=0.6, status=500), "t2": _Plan(after_s=_HANGS)}
        outcome, instance, state = self.serve(plans)
        self.assertEqual(outcome, (500, b"t1"))
        self.assertEqual(state.runs, 2)

    def test_request_that_may_run_once_stays_at_its_target(self):
        """Guards against a second run of a request that is not idempotent."""
        plans = {"t1": _Plan(after_s=1.2), "t2": _Plan(after_s=0.1)}
        outcome, instance, state = self.serve(plans, kind=RouteKind.NON_IDEMPOTENT)
        self.assertEqual(outcome, (200, b"t1"))
        self.assertEqual((instance.targets.reached, state.runs), (["t1"], 1))

    def test_no_more_targets_than_the_route_allows(self):
        """Guards against open attempts that the limit of the route leaves out."""
        plans = {f"t{number}": _Plan(after_s=_HANGS) for number in range(1, 6)}
        for most in (1, 2, 3):
            outcome, instance, state = self.serve(plans, most_attempts=most)
            self.assertEqual(outcome[0], ResultCode.DEADLINE_PASSED)
            self.assertEqual((len(instance.targets.reached), state.runs), (most, most))

    def test_targets_that_hang_are_avoided(self):
        """Guards against an attempt at a hanging target for each further request."""

        async def work(instance):
            for _ in range(10):
                self.assertEqual(await instance.serve(), (200, b"t2"))
            return instance.targets.reached.count("t1")

        plans = {"t1": _Plan(after_s=_HANGS), "t2": _Plan(after_s=0.1)}
        self.assertLessEqual(_run(work, plans), 2)

    def test_slower_targets_are_not_avoided(self):
        """Guards against sound targets that are excluded for answers that take long."""

        async def work(instance):
            for _ in range(10):
                await instance.serve()
            names, now = ["t1", "t2"], instance.read_clock()
            return instance.suspicions.list_suspects(names, now=now)

        plans = {"t1": _Plan(after_s=1.2), "t2": _Plan(after_s=1.0)}
        self.assertFalse(_run(work, plans))

    def test_both_attempts_are_closed_when_the_caller_leaves(self):
        """Guards against targets that stay at work for a caller that is gone."""

        async def work(instance):
            state = instance.make_state()
            serving = asyncio.create_task(instance.serve(state))
            await asyncio.sleep(1.0)
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
            instance.check_nothing_is_left(self)
            self.assertEqual(sorted(instance.targets.closed), ["t1", "t2"])
            self.assertEqual((state.attempts, state.runs), (2, 2))

        _run(work, {"t1": _Plan(after_s=_HANGS), "t2": _Plan(after_s=_HANGS)})

    def test_second_attempt_of_an_unreached_service_goes_to_a_peer(self):
        """Guards against callers that an isolated instance does not answer in time."""

        async def work(instance, served):
            instance.relay.is_needed = lambda state: state.runs > 0
            instance.relay.serve = mock.AsyncMock(side_effect=served)
            outcome = await instance.serve()
            instance.check_nothing_is_left(self)
            return outcome, instance.targets.closed

        answer = web.Response(status=200, body=b"peer")
        plans = {"t1": _Plan(after_s=1.2), "t2": _Plan(after_s=0.1)}
        outcome = _run(lambda instance: work(instance, [answer]), plans)
        self.assertEqual(outcome, ((200, b"peer"), ["t1"]))
        rejection = RejectedRequest(
            ResultCode.TARGET_UNREACHABLE, cause="relayed", retry_after_s=1.0
        )
        outcome = _run(lambda instance: work(instance, rejection), plans)
        self.assertEqual(outcome, ((200, b"t1"), []))

    def test_internal_error_beside_an_attempt_is_logged_and_ends_nothing(self):
        """Guards against faults of this program that end a sound attempt, or that
        nobody sees."""

        async def work(instance):
            instance.plain._find_other_target = fail
            with mock.patch.object(_parallel_attempts, "log_event") as log_event:
                outcome = await instance.serve()
            events = {call.args[0] for call in log_event.call_args_list}
            instance.check_nothing_is_left(self)
            return outcome, events

        async def fail(state, tried):
            await asyncio.sleep(0.4)
            raise KeyError

        for status, after_s in ((200, 0.9), (500, 0.9), (500, 0.6)):
            plans = {"t1": _Plan(after_s=after_s, status=status)}
            outcome, events = _run(work, plans, retries=10.0)
            self.assertEqual(outcome, (status, b"t1"))
            self.assertEqual(events, {"internal_error_caught"})

    def test_request_that_finds_no_retry_looks_seldom_for_targets(self):
        """Guards against looks through a large fleet for all that their targets keep
        waiting."""

        async def work(instance):
            choose = mock.Mock(wraps=instance.plain._choose_target)
            instance.plain._choose_target = choose
            await instance.serve()
            return choose.call_count

        plans = {"t1": _Plan(after_s=_HANGS), "t2": _Plan(after_s=0.1)}
        self.assertLessEqual(_run(work, plans, retries=0.0), 5)


class UsualDurationTest(unittest.TestCase):
    def count_arrivals(self, plans, *, requests, retries=100.0):
        async def work(instance):
            for _ in range(requests):
                self.assertEqual((await instance.serve())[0], 200)
            return len(instance.targets.reached)

        return _run(work, plans, retries=retries)

    def test_sound_targets_run_each_request_once(self):
        """Guards against a second run of each request that usually takes long."""
        for took_s in (0.6, 1.2, 2.0):
            plans = {"t1": _Plan(after_s=took_s), "t2": _Plan(after_s=took_s)}
            self.assertEqual(self.count_arrivals(plans, requests=60), 61)

    def test_one_late_answer_does_not_delay_further_ones(self):
        """Guards against waits at a hanging target as others took long before."""

        async def work(instance):
            plans = instance.targets.plans
            for after_s in (2.0, *[0.1] * 20):
                plans["t1"] = plans["t2"] = _Plan(after_s=after_s)
                await instance.serve()
            plans["t1"] = _Plan(after_s=_HANGS)
            began_at = instance.read_clock()
            await instance.serve()
            return instance.read_clock() - began_at

        plans = {"t1": _Plan(after_s=0.0), "t2": _Plan(after_s=0.0)}
        self.assertLess(_run(work, plans), 0.6)


_PLANS = st.builds(
    _Plan,
    after_s=st.one_of(st.floats(0.0, 1.5 * _DEADLINE_S), st.just(_HANGS)),
    status=st.sampled_from([200, 200, 404, 500]),
    is_not_run=st.sampled_from([False, False, True]),
    is_lost=st.sampled_from([False, False, True]),
)


class ScheduleTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(
        plans=st.lists(_PLANS, min_size=2, max_size=3),
        retries=st.sampled_from([0.0, 10.0]),
    )
    def test_answer_in_time_of_any_target_that_was_asked_is_passed_on(
        self, plans, retries
    ):
        """Guards against a failure while a target would have answered in time."""

        async def work(instance):
            began_at = instance.read_clock()
            state = instance.make_state()
            status, _ = await instance.serve(state)
            instance.check_nothing_is_left(self)
            self.check_runs(instance, state)
            in_time = [
                target
                for target, at in instance.targets.arrivals
                if _is_good(instance.targets.plans[target])
                and at + instance.targets.plans[target].after_s
                < began_at + _DEADLINE_S - _OVERRUN_S
            ]
            if in_time:
                self.assertIn(status, (200, 404))

        _run(work, _name(plans), retries=retries)

    @settings(max_examples=100, deadline=None)
    @given(
        plans=st.lists(_PLANS, min_size=2, max_size=3),
        leaves_at_s=st.floats(0.0, _DEADLINE_S),
    )
    def test_nothing_is_left_when_the_caller_leaves(self, plans, leaves_at_s):
        """Guards against open connections and loads of requests that are gone."""

        async def work(instance):
            state = instance.make_state()
            serving = asyncio.create_task(instance.serve(state))
            await asyncio.sleep(leaves_at_s)
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
            instance.check_nothing_is_left(self)
            self.check_runs(instance, state)

        _run(work, _name(plans))

    def check_runs(self, instance, state):
        """Check that the targets that may have run a request are those it counts."""
        targets = instance.targets
        rejected = [
            target
            for target in targets.reached
            if targets.plans[target].rejects and target not in targets.closed
        ]
        self.assertEqual(state.attempts, len(targets.reached))
        self.assertEqual(state.runs, len(targets.reached) - len(rejected))
        self.assertLessEqual(state.runs, instance.most_attempts)


def _name(plans):
    return dict(zip(("t1", "t2", "t3"), plans, strict=False))


def _is_good(plan):
    return plan.status < 500 and not plan.is_lost and not plan.is_not_run
