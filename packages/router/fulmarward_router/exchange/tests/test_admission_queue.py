"""Admission of requests under contention, in simulated time."""

import asyncio
import functools
import unittest
from types import SimpleNamespace
from unittest import mock

from fulmarward_core.demand import DemandTable
from fulmarward_core.paths import KvCapacity, PathRequest
from fulmarward_core.reservations import ClassSettings
from fulmarward_core.routes import RoutingConfiguration, ServiceShare, Team
from fulmarward_core.team_shares import TeamSettings, TeamTable, TeamUse
from fulmarward_router.exchange import _engine_paths, _engines
from fulmarward_router.exchange._request_state import RejectedRequest
from fulmarward_router.state import PromisedReturns
from fulmarward_router.tests._simulated_time import run_simulated
from fulmarward_router.tests._target_limits import make_target_limits

#: Parts of `EngineService` that admission does not use.
_UNUSED = (
    "failure_detector",
    "forwarder",
    "relay",
    "crash_monitor",
    "count_broken_attempt",
    "count_denial",
    "observe_wait",
)

_ENGINE = SimpleNamespace(layers=2)

#: KV cache that paths may plan with, in tokens x layers.
_PLANNED_KV = 100.0

#: Seconds within which a request is admitted that need not wait for a poll.
_AT_ONCE_S = 0.01

#: The same for one that is admitted at its next poll.
_POLLED_S = 0.06


def _make_configuration(priorities):
    shares = (ServiceShare(service="pool", weight=1.0),)
    routes = tuple(
        SimpleNamespace(prefix="/", priority=p, shares=shares, is_public=False)
        for p in priorities
    )
    return RoutingConfiguration(
        version=1,
        routes={"": routes},
        services={},
        limits=None,
        # With a team of priority 0, the classes have the priorities of the routes.
        teams_by_key={"k": Team(name="t", priority=0)},
        requires_team_key=True,
    )


def _make_fingerprint(name):
    return f"request-{name.encode().hex():0<16}"


class _Finder:
    """Finds a path while the share of the KV cache allows it, and reserves it."""

    def __init__(self):
        #: The draws of the requests that sought a path, in order.
        self.draws = []

    used_kv = 0.0
    #: Capacity of other data centres for requests that have waited.
    remote_kv = 0.0

    def choose(self, service, engine, wanted, **options):
        self.draws.append(wanted.overflow_draw)
        kv = (wanted.prompt + wanted.answer) * engine.layers
        if wanted.has_waited and self.remote_kv >= kv:
            self.remote_kv -= kv
            return (SimpleNamespace(target="t2"),)
        if self.used_kv + kv > _PLANNED_KV * wanted.kv_share:
            return None
        self.used_kv += kv
        return (SimpleNamespace(target="t1"),)

    def estimate_duration_s(self, service, engine, wanted, path):
        return None

    def measure_capacity(self, service, engine):
        return KvCapacity(planned=_PLANNED_KV, free=_PLANNED_KV - self.used_kv)

    def has_whole_model(self, service, engine):
        return True


class _Instance:
    """The admission at an instance whose targets have a given capacity."""

    def __init__(self, read_clock, *, used_kv, priorities=(0, 1, 2)):
        self.read_clock = read_clock
        self.started_at = read_clock()
        self.configuration = _make_configuration(priorities)
        self.settings = ClassSettings()
        self.demands = DemandTable(own="one")
        self.teams = TeamTable(own="one")
        self.team_settings = TeamSettings()
        self.balances_data_centres = False
        self.promised = PromisedReturns(source="one", read_clock=read_clock)
        self.finder = _Finder()
        self.finder.used_kv = used_kv
        #: Times of admission, and time and retry delay of rejections, by request.
        self.admitted = {}
        self.rejected = {}
        self.tasks = []
        context = mock.Mock(
            read_clock=read_clock,
            demands=self.demands,
            promised_returns=self.promised,
            target_limits=make_target_limits(read_clock),
            read_class_settings=lambda: self.settings,
            teams=self.teams,
            read_team_settings=lambda: self.team_settings,
            balances_data_centres=lambda: self.balances_data_centres,
        )
        context.catalogue.may_be_incomplete.return_value = False
        pipe = SimpleNamespace(reserve=lambda *args: True)
        with (
            mock.patch.object(
                _engine_paths, "PathFinder", lambda **options: self.finder
            ),
            mock.patch.object(_engine_paths, "PipeLimiter", lambda **options: pipe),
        ):
            self.service = _engines.EngineService(
                context=context,
                **dict.fromkeys(_UNUSED, mock.Mock()),
            )

    def count_elapsed(self):
        return self.read_clock() - self.started_at

    async def advance_to(self, elapsed_s):
        await asyncio.sleep(max(0.0, elapsed_s - self.count_elapsed()))

    def make_state(self, name, *, urgency=0, objective_s=1.0, team=""):
        return SimpleNamespace(
            facts=SimpleNamespace(request_id=name, relayed_by=None),
            configuration=self.configuration,
            route=SimpleNamespace(objective_s=objective_s),
            service="pool",
            team_name=team,
            urgency=urgency,
            class_urgency=urgency,
            arrived_at=self.read_clock(),
            deadline=self.read_clock() + 30.0,
            has_begun=False,
            last_event=None,
            fingerprint=_make_fingerprint(name),
            has_sought_path=False,
            runs=0,
        )

    def send(self, name, *, kv=10, label=None, **options):
        """Let a request arrive; the same name stands for an equal request."""
        wanted = PathRequest(prompt=0, answer=kv // _ENGINE.layers, data_centre="a")
        state = self.make_state(name, **options)
        work = self._admit(label or name, state, wanted)
        self.tasks.append(asyncio.create_task(work))

    async def _admit(self, label, state, wanted):
        try:
            await self.service._paths.admission.await_path(
                state, _ENGINE, lambda: wanted
            )
        except RejectedRequest as error:
            self.rejected[label] = self.count_elapsed(), error.retry_after_s
        else:
            self.admitted[label] = self.count_elapsed()

    def finish(self, kv, *, state=None):
        """End an answer; it releases its KV cache."""
        self.finder.used_kv -= kv
        wanted = PathRequest(prompt=0, answer=kv / _ENGINE.layers, data_centre="a")
        state = state or self.make_state("ended")
        self.service._paths.record_released(state, _ENGINE, wanted)

    def merge_report(self, *, urgency, on_time_kv, age_s):
        now = self.read_clock()
        peer = DemandTable(own="two")
        peer.set_waiting("pool", urgency, on_time_kv=on_time_kv, late_kv=0.0, now=now)
        demands = peer.list_own(now=now)
        self.demands.merge_report("two", demands, boot=1, at=now - age_s, now=now)


def _promise(promised, name, *, urgency=1, kv=10.0, return_s=1.0):
    fingerprint = _make_fingerprint(name)
    promised.promise(
        fingerprint, "pool", urgency, kv, return_s=return_s, request_id=name
    )


def _simulate(work):
    """Run a test in simulated time, without the log and with the mean retry delay."""

    @functools.wraps(work)
    def run_test(self):
        with (
            mock.patch("fulmarward_router.exchange._admission.log_event"),
            mock.patch("fulmarward_router.state._return_promises.log_event"),
            mock.patch("random.random", return_value=0.5),
        ):
            run_simulated(functools.partial(work, self))

    return run_test


class UrgencyTest(unittest.TestCase):
    @_simulate
    async def test_late_urgent_request_precedes_lower_one_on_time(self, read_clock):
        """Guards against an order in which the wait class precedes the urgency."""
        it = _Instance(read_clock, used_kv=100)
        it.send("low", urgency=2, objective_s=1.0)
        await it.advance_to(0.1)
        it.send("urgent", urgency=0, objective_s=0.5)
        await it.advance_to(0.5)
        # Released by answers of other instances, so that no wait is estimated.
        it.finder.used_kv -= 10
        await it.advance_to(0.55)
        self.assertEqual(list(it.admitted), ["urgent"])
        it.finder.used_kv -= 40
        await it.advance_to(0.6)
        self.assertEqual(list(it.admitted), ["urgent", "low"])

    @_simulate
    async def test_reported_demand_of_higher_classes_is_reserved(self, read_clock):
        """Guards against taking what waits elsewhere, and against outdated reports."""
        # Reports are valid for 1.5 s, and these are 1.0 s old.
        for reported, admitted_s in ((0, 0.5), (1, 0.0), (2, 0.0)):
            with self.subTest(reported=reported):
                it = _Instance(read_clock, used_kv=70)
                it.merge_report(urgency=reported, on_time_kv=40.0, age_s=1.0)
                it.send("request", urgency=1)
                await it.advance_to(0.8)
                self.assertGreaterEqual(it.admitted["request"], admitted_s)
                self.assertLess(it.admitted["request"], admitted_s + _POLLED_S)

    @_simulate
    async def test_instance_without_reports_decides_by_its_own_demand(self, read_clock):
        """Guards against an instance that admits nothing while its peers are silent."""
        it = _Instance(read_clock, used_kv=70)
        it.send("urgent", urgency=0, kv=40)
        await it.advance_to(0.5)
        it.send("low", urgency=1)
        await it.advance_to(0.89)
        self.assertEqual(it.admitted, {})
        await it.advance_to(1.0)
        self.assertEqual([*it.rejected, *it.admitted], ["urgent", "low"])

    @_simulate
    async def test_lowest_class_gets_its_minimum_share(self, read_clock):
        """Guards against starvation while higher classes fill all capacity."""
        for is_measured in (True, False):
            with self.subTest(is_measured=is_measured):
                it = _Instance(read_clock, used_kv=100)
                for step in range(100):
                    await it.advance_to(step * 0.05)
                    it.send(f"urgent{step}", urgency=0)
                    if step % 2:
                        it.send(f"low{step}", urgency=2)
                        await asyncio.sleep(0.01)
                        if is_measured:
                            it.finish(10)
                        else:
                            it.finder.used_kv -= 10
                await it.advance_to(6.0)
                # A quarter of 50; the lowest class gets no more beside the urgent one.
                count = sum(name.startswith("low") for name in it.admitted)
                self.assertIn(count, (12, 13))


class OtherDataCentreTest(unittest.TestCase):
    @_simulate
    async def test_waiting_request_uses_another_data_centre(self, read_clock):
        """Guards against rejections while another data centre has capacity."""
        for priorities, is_admitted in (((0, 1, 2), True), ((0, 0), False)):
            with self.subTest(priorities=priorities):
                it = _Instance(read_clock, used_kv=100, priorities=priorities)
                it.finder.remote_kv = 10
                it.send("request", urgency=0)
                await it.advance_to(0.1)
                self.assertEqual(it.admitted == {}, not is_admitted)
                await it.advance_to(1.0)


class UniformTest(unittest.TestCase):
    @_simulate
    async def test_service_with_equal_priorities_is_served_as_before(self, read_clock):
        """Guards against a change for services without classes."""
        it = _Instance(read_clock, used_kv=100, priorities=(1, 1))
        it.finish(0)
        it.send("late", urgency=1, objective_s=0.5)
        await it.advance_to(0.4)
        it.send("on time", urgency=1, objective_s=1.0)
        await it.advance_to(0.5)
        it.finish(20)
        await it.advance_to(1.5)
        # Late requests fill 85 of 100, and 90 are used once the other is admitted.
        self.assertEqual(list(it.admitted), ["on time"])
        ended_s, retry_after_s = it.rejected["late"]
        self.assertAlmostEqual(ended_s, 0.9, delta=0.05)
        self.assertAlmostEqual(retry_after_s, 3.0)
        self.assertEqual(it.demands.list_own(now=read_clock()), {})
        self.assertEqual(it.promised.counts.made, 0)


class BalanceTest(unittest.TestCase):
    @_simulate
    async def test_demand_and_overflow_follow_the_setting(self, read_clock):
        """Guards against a change for services without classes and setting."""
        for priorities, is_balanced, is_in_force in (
            ((1, 1), False, False),
            ((1, 1), True, True),
            ((0, 1), False, True),
        ):
            with self.subTest(priorities, is_balanced=is_balanced):
                it = _Instance(read_clock, used_kv=100, priorities=priorities)
                it.balances_data_centres = is_balanced
                it.send("request", urgency=1)
                await it.advance_to(0.1)
                # Only its first search may overflow.
                draws = [0.5, 1.0] if is_in_force else [None, None]
                self.assertEqual(it.finder.draws[:2], draws)
                waiting = it.demands.list_own(now=read_clock())
                self.assertEqual(list(waiting), ["pool"] if is_in_force else [])
                for (demand,) in waiting.values():
                    self.assertEqual((demand.urgency, demand.on_time_kv), (1, 10.0))
                    self.assertGreater(demand.arriving_kv_per_s, 0.0)
                it.finish(20, state=it.make_state("ended", urgency=1))
                await it.advance_to(0.2)
                self.assertEqual(list(it.admitted), ["request"])
                for (demand,) in it.demands.list_own(now=read_clock()).values():
                    self.assertEqual(demand.on_time_kv, 0.0)
                    self.assertGreater(demand.released_kv_per_s, 0.0)


class TeamTest(unittest.TestCase):
    def _report(self, it, *uses, urgency=0):
        """Merge what a peer reports of teams with their used and waiting KV cache."""
        teams = tuple(
            TeamUse(urgency=urgency, team=team, used_kv=used, waiting_kv=waiting)
            for team, used, waiting in uses
        )
        now = it.read_clock()
        it.teams.merge_report("two", {"pool": teams}, boot=1, at=now, now=now)

    @_simulate
    async def test_order_and_share_by_the_use_of_teams(self, read_clock):
        """Guards against a team that takes what others wait for.

        Without the setting, order and share are those of arrival.
        """
        cases = [
            # priorities, whether shares are enabled, order
            ((1, 1), True, ["other"]),
            ((0, 1), True, ["other"]),
            ((1, 1), False, ["large", "other"]),
            ((0, 1), False, ["large", "other"]),
        ]
        for priorities, is_enabled, order in cases:
            with self.subTest(priorities, is_enabled=is_enabled):
                it = _Instance(read_clock, used_kv=100, priorities=priorities)
                it.team_settings = TeamSettings(is_enabled=is_enabled)
                self._report(it, ("large", 80.0, 0.0), ("other", 10.0, 20.0))
                it.send("large", team="large")
                await it.advance_to(0.1)
                it.send("other", team="other")
                await it.advance_to(0.2)
                # Two have room, but a peer's requests of the other team wait for one.
                it.finder.used_kv -= 20
                await it.advance_to(0.3)
                self.assertEqual(list(it.admitted), order)
                await it.advance_to(1.2)
                uses = it.teams.list_uses("pool", now=read_clock())
                waiting_kv = {use.team: use.waiting_kv for use in uses}
                # The peer's report is valid until 1.5 s.
                self.assertEqual(waiting_kv, {"large": 0.0, "other": 20.0})

    @_simulate
    async def test_team_with_less_use_is_not_rejected_for_the_queue_of_another(
        self, read_clock
    ):
        """Guards against an estimate that counts requests that are served later."""
        for is_enabled in (True, False):
            with self.subTest(is_enabled=is_enabled):
                it = _Instance(read_clock, used_kv=113)
                it.team_settings = TeamSettings(is_enabled=is_enabled)
                it.finish(13)
                it.merge_report(urgency=0, on_time_kv=50.0, age_s=0.0)
                self._report(it, ("large", 80.0, 50.0))
                it.send("other", team="other")
                await it.advance_to(_AT_ONCE_S)
                self.assertEqual(list(it.rejected), [] if is_enabled else ["other"])

    @_simulate
    async def test_requests_are_grouped_by_team_with_shares_only(self, read_clock):
        """Guards against searches that take longer the more teams there are."""
        for is_enabled, count in ((True, 3), (False, 1)):
            with self.subTest(is_enabled=is_enabled):
                it = _Instance(read_clock, used_kv=100)
                it.team_settings = TeamSettings(is_enabled=is_enabled)
                for team in ("a", "b", "c"):
                    it.send(team, urgency=1, team=team)
                await it.advance_to(0.1)
                groups = it.service._paths._class_requests["pool"]._queue._groups
                self.assertEqual(sum(map(bool, groups.values())), count)
                await it.advance_to(1.2)

    @_simulate
    async def test_rejection_has_the_values_of_the_team(self, read_clock):
        """Guards against a rejection that operators cannot explain."""
        for priorities in ((1, 1), (0, 1)):
            it = _Instance(read_clock, used_kv=100, priorities=priorities)
            it.team_settings = TeamSettings(is_enabled=True)
            self._report(it, ("large", 80.0, 0.0), ("other", 10.0, 20.0))
            with (
                self.subTest(priorities),
                mock.patch("fulmarward_router.exchange._admission.log_event") as log,
            ):
                it.send("large", team="large")
                await it.advance_to(1.0)
                values = log.call_args.kwargs
                self.assertEqual(log.call_args.args, ("admission_denied",))
                self.assertEqual(values["team_share"], 0.8)
                self.assertEqual(values["team_relative_use"], 80)


class ReturnTest(unittest.TestCase):
    @_simulate
    async def test_request_without_capacity_in_time_is_rejected(self, read_clock):
        """Guards against a rejection after the wait, and a delay without reason."""
        # 13.5 released count as 15 per second: the window begins with 0.9 s. The
        # estimated return is the wait divided by the promised share of 0.4.
        cases = (
            (13.5, 24, 0.0, 4.0, 1),
            (13.5, 80, 0.0, 5.0, 0),
            (0, 24, 0.9, 3.0, 0),
        )
        for released_kv, kv, ended_s, retry_after_s, promises in cases:
            with self.subTest(released_kv=released_kv, kv=kv):
                it = _Instance(read_clock, used_kv=100 + released_kv)
                if released_kv:
                    it.finish(released_kv)
                it.send("request", kv=kv, objective_s=0.5)
                await it.advance_to(1.2)
                found_s, found_retry_s = it.rejected["request"]
                self.assertAlmostEqual(found_s, ended_s, delta=0.5 / 8)
                self.assertAlmostEqual(found_retry_s, retry_after_s, delta=0.1)
                self.assertEqual(it.promised.counts.made, promises)

    @_simulate
    async def test_estimate_applies_to_waiting_requests(self, read_clock):
        """Guards against a wait to the end when the first release shows it is too long.

        5 released per second leave 75 of 80 missing with 0.7 s left.
        """
        it = _Instance(read_clock, used_kv=100)
        it.send("request", kv=80)
        await it.advance_to(0.2)
        it.finish(5)
        await it.advance_to(1.2)
        self.assertAlmostEqual(it.rejected["request"][0], 0.2, delta=_POLLED_S)

    @_simulate
    async def test_single_arrival_of_a_higher_class_rejects_no_waiting_request(
        self, read_clock
    ):
        """Guards against rates that are equal for a moment.

        10 are released and 10 of the higher class arrive in the last second.
        """
        it = _Instance(read_clock, used_kv=110)
        it.finish(10)
        it.send("low", urgency=1)
        await it.advance_to(0.2)
        it.send("urgent", urgency=0)
        await it.advance_to(0.4)
        it.finder.used_kv -= 40
        await it.advance_to(0.6)
        self.assertEqual(list(it.admitted), ["urgent", "low"])

    @_simulate
    async def test_later_requests_elsewhere_do_not_count(self, read_clock):
        """Guards against the rejection of a request that is next.

        8 of the 10 that it needs are free after the first release, and 8 are released
        per second; a peer reports 40 more for its class, before or after it arrived.
        """
        for is_admitted in (True, False):
            with self.subTest(is_admitted=is_admitted):
                it = _Instance(read_clock, used_kv=100)
                if is_admitted:
                    it.send("request", urgency=1)
                await it.advance_to(0.1)
                it.merge_report(urgency=1, on_time_kv=40.0, age_s=0.0)
                if not is_admitted:
                    it.send("request", urgency=1)
                await it.advance_to(0.2)
                it.finish(8)
                await it.advance_to(0.4)
                it.finish(10)
                await it.advance_to(0.4 + _AT_ONCE_S)
                self.assertEqual("request" in it.admitted, is_admitted)
                self.assertEqual("request" in it.rejected, not is_admitted)

    @_simulate
    async def test_caller_that_returns_when_told_precedes_its_level(self, read_clock):
        """Guards against a promise that is not kept, or is kept twice."""
        it = _Instance(read_clock, used_kv=100)
        _promise(it.promised, "promised")
        await it.advance_to(0.7)
        it.send("first", urgency=1)
        await it.advance_to(1.0)
        it.send("promised", urgency=1)
        it.send("promised", urgency=1, label="equal")
        it.finish(10)
        await it.advance_to(1.1)
        self.assertEqual(list(it.admitted), ["promised"])
        self.assertEqual(it.promised.counts.kept, 1)
        it.finish(10)
        it.finish(10)
        await it.advance_to(1.2)
        self.assertEqual(it.promised.counts.kept, 1)
        self.assertEqual(len(it.promised.take_changes(9)[1]), 1)

    @_simulate
    async def test_returned_caller_does_not_wait_for_those_behind_it(self, read_clock):
        """Guards against an estimate that counts requests that a promise precedes."""
        it = _Instance(read_clock, used_kv=110)
        _promise(it.promised, "promised")
        await it.advance_to(0.9)
        it.finish(10)
        it.merge_report(urgency=1, on_time_kv=120.0, age_s=0.0)
        await it.advance_to(1.0)
        it.send("promised", urgency=1)
        await it.advance_to(1.1)
        it.finish(10)
        await it.advance_to(1.1 + _AT_ONCE_S)
        self.assertEqual(list(it.admitted), ["promised"])

    @_simulate
    async def test_caller_that_returns_early(self, read_clock):
        """Guards against early returns that wait, or are rejected beside capacity."""
        for used_kv, is_admitted in ((100, False), (80, True)):
            with self.subTest(used_kv=used_kv):
                it = _Instance(read_clock, used_kv=used_kv)
                _promise(it.promised, "promised")
                await it.advance_to(0.2)
                it.send("promised", urgency=1)
                await it.advance_to(0.2 + _AT_ONCE_S)
                open_kv = it.promised.sum_kv("pool", due_within_s=9.0)
                self.assertEqual("promised" in it.admitted, is_admitted)
                self.assertEqual(open_kv, {} if is_admitted else {1: 10.0})
                if not is_admitted:
                    self.assertAlmostEqual(it.rejected["promised"][1], 0.8, delta=0.01)

    @_simulate
    async def test_promise_of_a_peer_that_is_gone_counts(self, read_clock):
        """Guards against promises that end with the instance that made them."""
        peer = PromisedReturns(source="two", read_clock=read_clock)
        _promise(peer, "promised", urgency=0, kv=40.0, return_s=0.2)
        promises, redeemed = peer.take_changes(9)
        for arrived_kv in (1.0, 0.0):
            with self.subTest(arrived_kv=arrived_kv):
                it = _Instance(read_clock, used_kv=70)
                it.demands.record_arrival("pool", 0, arrived_kv, now=read_clock())
                it.merge_report(urgency=0, on_time_kv=1.0, age_s=0.0)
                it.promised.merge(promises, redeemed, source="two", delay_s=0.0)
                it.demands.remove("two")
                it.send("low", urgency=1)
                await asyncio.sleep(_AT_ONCE_S)
                self.assertEqual(it.admitted, {}, "reserved for the promise")
                it.finish(15)
                it.send("promised", urgency=0, kv=40)
                await asyncio.sleep(_AT_ONCE_S)
                self.assertEqual(list(it.admitted), ["promised"])
                self.assertEqual(it.promised.counts.kept, 1)


class WakeTest(unittest.TestCase):
    @_simulate
    async def test_end_of_an_answer_wakes_waiting_requests(self, read_clock):
        """Guards against capacity that is unused until the next poll."""
        orders = [("a", 0), ("b", 0)], [("a", 0), ("b", 1)], [("a", 1), ("b", 0)]
        for order in orders:
            with self.subTest(order=order):
                it = _Instance(read_clock, used_kv=100)
                for name, urgency in order:
                    it.send(name, urgency=urgency)
                await it.advance_to(0.085)
                it.finish(40)
                await asyncio.sleep(_AT_ONCE_S)
                self.assertEqual(len(it.admitted), len(order))


class ChangeTest(unittest.TestCase):
    @_simulate
    async def test_changed_setting_applies_to_waiting_requests(self, read_clock):
        """Guards against a minimum share that is that of the start."""
        for share, first in ((0.0, "urgent"), (1.0, "low")):
            with self.subTest(share=share):
                it = _Instance(read_clock, used_kv=100)
                it.settings = ClassSettings(min_class_share=0.0)
                it.send("low", urgency=2)
                it.send("urgent", urgency=0)
                await it.advance_to(0.1)
                it.settings = ClassSettings(min_class_share=share)
                it.send("next", urgency=2)
                await it.advance_to(0.2)
                it.finish(10)
                await it.advance_to(0.3)
                self.assertEqual(list(it.admitted), [first])

    @_simulate
    async def test_changed_configuration_applies_to_waiting_requests(self, read_clock):
        """Guards against the classes of an earlier configuration.

        Late requests of the lowest class fill 85 of 100, those of others 100.
        """
        for is_old_answer in (False, True):
            with self.subTest(is_old_answer=is_old_answer):
                it = _Instance(read_clock, used_kv=100, priorities=(0, 1))
                old_state = it.make_state("old", urgency=1)
                it.send("request", urgency=1, objective_s=0.5)
                await it.advance_to(0.5)
                it.configuration = _make_configuration((0, 1, 2))
                it.send("next", urgency=2, kv=80)
                await it.advance_to(0.6)
                it.finish(10, state=old_state if is_old_answer else None)
                await it.advance_to(0.6 + _AT_ONCE_S)
                self.assertEqual(list(it.admitted), ["request"])

    @_simulate
    async def test_service_that_gains_classes_is_served_by_urgency(self, read_clock):
        """Guards against requests that wait by the order of two configurations."""
        for is_old_answer in (False, True):
            with self.subTest(is_old_answer=is_old_answer):
                it = _Instance(read_clock, used_kv=100, priorities=(1,))
                old_state = it.make_state("old", urgency=1)
                it.send("low", urgency=1)
                await it.advance_to(0.1)
                it.configuration = _make_configuration((0, 1))
                it.send("urgent", urgency=0)
                await it.advance_to(0.145)
                it.finish(10, state=old_state if is_old_answer else None)
                await it.advance_to(0.3)
                self.assertEqual(list(it.admitted), ["urgent"])
