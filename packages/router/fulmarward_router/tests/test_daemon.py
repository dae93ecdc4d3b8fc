import asyncio
import gc
import time
import unittest
from operator import attrgetter
from types import SimpleNamespace
from unittest import mock

from fulmarward.http import ResponseGuard
from fulmarward_core.routes import RoutingConfiguration
from fulmarward_router import daemon
from fulmarward_router._status import describe_status
from fulmarward_router.ports import RouterSettings, RowsRead, StoreRefused
from fulmarward_router.tests._simulated_time import run_simulated

#: A call that each pass of a background task makes, by the name of the task.
PASSES = [
    ("configuration", "watch._must_follow_configuration"),
    ("targets", "watch._must_read_targets"),
    ("mesh", "mesh._choose_links"),
    ("mesh", "mesh._sender._begin_round"),
    ("instances", "rows._read_clock"),
    ("poison", "poison._begin_sync"),
    ("poison_rows", "poison_rows._read"),
    ("lease", "lease._step"),
    ("placement", "placer._lease.is_held"),
    ("streams", "engines.supervisor._await_stream"),
    ("losses", "failure_detector._suspicions.list_direct_failures"),
    ("contacts", "failure_detector.contact_monitor._check_idle"),
    ("occupancy", "_is_occupancy_reader"),
    ("readiness", "life.become_ready"),
    ("settings", "_adapter.load_settings"),
]

#: Seconds within which each task makes a pass although its first ones fail.
RESTART_S = 20.0

#: An error that is raised by no call, and the end of a task that a pass awaits.
ERRORS = [RecursionError("too deep"), asyncio.CancelledError()]


class _Store:
    """A store without rows."""

    configuration_table = "configuration"
    targets_table = "targets"
    era = None

    def note_era(self, era):
        pass

    async def read_table(self, table):
        return RowsRead(rows=(), version=5)

    async def follow_table(self, table, after, wait_s):
        await asyncio.sleep(wait_s)
        return RowsRead(rows=(), version=after)

    async def transact(self, conditions, writes):
        raise StoreRefused("out")

    def decode_configuration(self, row):
        return None

    def decode_target(self, row):
        return None


def make_instance(read_clock):
    """Return an instance without addresses on a simulated clock."""
    settings = RouterSettings(
        name="one",
        data_centre="near",
        region="r",
        regions={"near": "r"},
        caller_address="127.0.0.1:1",
        ready_address="",
        lookup_address="",
        peer_address="",
        seeds=(),
        metrics_address="",
        store_address="",
        is_first_start=True,
        heartbeat_s=0.3,
        max_lookup_duration_s=3.0,
        grace_s=8.0,
        configuration_s=3.0,
        retry_ratio=0.1,
        retry_slack=3.0,
        retry_window_s=10.0,
        stall_s=1.0,
    )
    adapter = SimpleNamespace(
        make_store=lambda *arguments: _Store(),
        make_dialect=lambda *arguments: mock.Mock(),
        load_settings=lambda: settings,
    )
    clocks = SimpleNamespace(
        monotonic=read_clock, time=time.time, perf_counter=time.perf_counter
    )
    with mock.patch.object(daemon, "time", clocks):
        instance = daemon._Instance(
            settings=settings,
            adapter=adapter,
            target_session=mock.Mock(),
            store_session=mock.Mock(),
            guard=ResponseGuard(limits=settings.response_limits),
            store_guard=ResponseGuard(limits=daemon.STORE_LIMITS),
            signals=daemon._Signals(stop=asyncio.Event(), reload=asyncio.Event()),
        )
    instance.placer._lease = SimpleNamespace(is_held=instance.lease.is_held)
    instance.configuration.current = RoutingConfiguration(
        version=1, routes={}, services={}, limits=mock.Mock()
    )
    instance.configuration.available.set()
    instance._listen = mock.AsyncMock(return_value=[])
    return instance


def fail_first_calls(instance, path, error):
    """Let the first two calls of a method fail; return the replaced method."""
    *owners, name = path.split(".")
    owner = attrgetter(".".join(owners))(instance) if owners else instance
    errors = [error, error]
    call = getattr(owner, name)

    def answer(*arguments, **options):
        if errors:
            raise errors.pop()
        return call(*arguments, **options)

    replaced = mock.Mock(side_effect=answer)
    setattr(owner, name, replaced)
    return replaced


class UnforeseenErrorTest(unittest.TestCase):
    def test_instance_becomes_ready_although_its_first_check_fails(self):
        """Guards against instances that all start and none of which serves."""

        async def play(read_clock):
            instance = make_instance(read_clock)
            check = mock.AsyncMock(side_effect=UnicodeError)
            instance.failure_detector.contact_monitor.check_all = check
            running = asyncio.create_task(instance.run())
            await asyncio.sleep(RESTART_S)
            is_ready = instance.is_ready()
            described = describe_status(instance, now=read_clock())
            instance._signals.stop.set()
            await running
            return is_ready, [task["duty"] for task in described["failed_tasks"]]

        self.assertEqual(run_simulated(play), (True, ["readiness"]))

    def test_unforeseen_error_of_a_pass_ends_no_instance(self):
        """Guards against a single odd value that ends all instances."""

        async def play(read_clock, path, error):
            instance = make_instance(read_clock)
            replaced = fail_first_calls(instance, path, error)
            running = asyncio.create_task(instance.run())
            await asyncio.sleep(RESTART_S)
            is_stopped = instance._signals.stop.is_set()
            instance._signals.stop.set()
            await running
            return is_stopped, replaced.call_count

        for duty, path in PASSES:
            for error in ERRORS:
                with self.subTest(duty=duty, call=path, error=repr(error)):
                    is_stopped, calls = run_simulated(
                        lambda clock, path=path, error=error: play(clock, path, error)
                    )
                    self.assertFalse(is_stopped)
                    self.assertGreater(calls, 2)

    def test_task_that_ends_is_started_again(self):
        """Guards against following that ends without a line in the log."""

        async def play(read_clock):
            instance = make_instance(read_clock)
            instance.rows.follow = mock.AsyncMock()
            running = asyncio.create_task(instance.run())
            await asyncio.sleep(RESTART_S)
            instance._signals.stop.set()
            await running
            return instance.rows.follow.await_count, instance.supervisor.failures

        runs, failures = run_simulated(play)
        self.assertGreater(runs, 2)
        self.assertLess(runs, 20)
        self.assertEqual(failures["instances"].total, runs)

    def test_errors_of_callbacks_and_forgotten_tasks_are_recorded(self):
        """Guards against internal errors that no operator sees."""

        async def fail():
            raise KeyError

        def fail_at_once():
            raise ValueError

        async def play(read_clock):
            instance = make_instance(read_clock)
            running = asyncio.create_task(instance.run())
            await asyncio.sleep(1.0)
            asyncio.get_running_loop().call_soon(fail_at_once)
            forgotten = asyncio.create_task(fail())
            await asyncio.sleep(1.0)
            del forgotten
            gc.collect()
            instance._signals.stop.set()
            await running
            return instance.supervisor.failures

        failures = run_simulated(play)
        self.assertEqual(failures["callbacks"].total, 2)
