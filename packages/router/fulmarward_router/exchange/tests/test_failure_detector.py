import asyncio
import contextlib
import math
import socketserver
import threading
import time
import unittest
from collections import Counter
from dataclasses import dataclass
from unittest import mock

from fulmarward_core.isolation import ContactTable
from fulmarward_core.probing import PROBE_CALLS, PROBE_TIMEOUT_S, count_calls
from fulmarward_core.probing.decisions import MAX_PAUSE_S
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_core.suspicion._table import FIRST_PROBE_PAUSE_S, SUSPECT_DURATION_S
from fulmarward_router.exchange import FailureDetector
from fulmarward_router.exchange._contact_monitor import ACCEPTANCE_DURATION_S
from fulmarward_router.exchange._failure_detector import (
    BUSY_RECHECK_INTERVAL_S,
    MAX_STALL_PROBE_INTERVAL_S,
    PROBE_INTERVAL_S,
    RECHECK_AHEAD_S,
)
from fulmarward_router.ports import TargetReport


@dataclass(frozen=True)
class _Record:
    name: str
    data_centre: str = "north"
    is_leaving: bool = False
    layers: str = "0-10"
    service: str = "pool"
    started_ms: int = 1


class _Catalogue:
    """Targets `a` to `z`, or those that are named."""

    def __init__(self, names="abcdefghijklmnopqrstuvwxyz"):
        self._names = names

    def find_target(self, name):
        return _Record(name)

    def list_targets(self, *, now):
        return [_Record(name) for name in self._names]


class _Dialect:
    """Targets that answer at once, or let a call time out on a simulated clock."""

    def __init__(self, clock, silent):
        self._clock = clock
        self._silent = silent
        self.calls = []

    async def read_report(self, record, timeout_s):
        # A missing report times out only after the probe that runs in the meantime.
        if await self._answer(record, timeout_s, wait_s=2 * PROBE_TIMEOUT_S):
            return TargetReport(layers=None, orders_accepted=0, pace=1.0)
        return None

    async def is_responding(self, record, timeout_s):
        return await self._answer(record, timeout_s, wait_s=0)

    async def is_accepting(self, record, timeout_s):
        return await self.is_responding(record, timeout_s)

    async def _answer(self, record, timeout_s, *, wait_s):
        self.calls.append((record.name, timeout_s))
        if record.name not in self._silent(self._clock.now):
            return True
        ends_at = self._clock.now + timeout_s
        await asyncio.sleep(wait_s)
        self._clock.now = max(self._clock.now, ends_at)
        return False


class _ZeroPauseMeter:
    """Reports no pauses, since those of the real loop do not affect simulated time.

    Guards against verdicts that depend on how busy the machine is.
    """

    def stop(self):
        return 0.0


_without_loop_pauses = mock.patch(
    "fulmarward_router.exchange._failure_detector.PauseMeter", _ZeroPauseMeter
)


class _Clock:
    def __init__(self):
        self.now = 100.0


class _Instance:
    """An instance's failure detector, with what it would tell its peers."""

    def __init__(
        self,
        silent,
        names="abcdefghijklmnopqrstuvwxyz",
        *,
        is_large=False,
        is_observer=lambda target: True,
    ):
        self.clock = _Clock()
        self.table = SuspicionTable()
        self.notifications = 0
        #: Targets of which it notified its peers that they answer.
        self.regained = []
        #: Targets of which it notified its peers at once that they are lost.
        self.lost = []
        self.dialect = _Dialect(self.clock, silent)
        self.detector = FailureDetector(
            dialect=self.dialect,
            catalogue=_Catalogue(names),
            suspicions=self.table,
            contacts=ContactTable(),
            read_clock=lambda: self.clock.now,
            notify_peers=self._count_notification,
            notify_lost=self.lost.append,
            notify_regained=lambda targets, asked_at: self.regained.extend(targets),
            is_large=lambda: is_large,
            is_observer=is_observer,
        )

    def _count_notification(self):
        self.notifications += 1

    def list_direct_failures(self):
        unreachable = self.table.list_direct_failures(now=self.clock.now)
        return "".join(sorted(item.target for item in unreachable))


def _silence_all_until(end):
    return lambda now: "abcdefghijklmnopqrstuvwxyz" if now < end else ""


def _probe(names, silent, table=None):
    """Return the targets found unreachable by a probe, and its duration in seconds."""
    clock = _Clock()
    table = SuspicionTable() if table is None else table

    async def run():
        detector = FailureDetector(
            dialect=_Dialect(clock, silent),
            catalogue=_Catalogue(),
            suspicions=table,
            contacts=ContactTable(),
            read_clock=lambda: clock.now,
            notify_peers=lambda: None,
        )
        detector.probe(names)
        await detector.probe_and_wait(names)

    asyncio.run(run())
    unreachable = "".join(
        item.target for item in table.list_direct_failures(now=clock.now)
    )
    return unreachable, clock.now - 100.0


@_without_loop_pauses
class RejectedPathTest(unittest.TestCase):
    def test_probe_and_wait_finds_all_unreachable_targets_of_a_path(self):
        """Guards against targets that failed together and use up all attempts."""
        clock = _Clock()
        table = SuspicionTable()

        async def run():
            detector = FailureDetector(
                dialect=_Dialect(clock, lambda now: "abcd"),
                catalogue=_Catalogue(),
                suspicions=table,
                contacts=ContactTable(),
                read_clock=lambda: clock.now,
                notify_peers=lambda: None,
            )
            await asyncio.gather(
                detector.probe_and_wait("abcdefghij"),
                detector.probe_and_wait("cdefghijkl"),
            )

        asyncio.run(run())
        found = {item.target for item in table.list_direct_failures(now=clock.now)}
        self.assertEqual(found, set("abcd"))


@_without_loop_pauses
class ProbeTest(unittest.TestCase):
    def test_targets_that_fail_together_are_found_in_one_probe(self):
        """Guards against a second, longer probe that prolongs a pause of streams."""
        unreachable, took_s = _probe("abcdefghij", lambda now: "abcd")
        self.assertEqual(unreachable, "abcd")
        self.assertLess(took_s, 0.08)

    def test_isolation_for_a_moment_makes_no_target_unreachable(self):
        # The instance's own link is saturated for 0.03 s of simulated time: most probes
        # fail at first although every target is healthy.
        unreachable, _ = _probe("abcd", lambda now: "abc" if now < 100.03 else "")
        self.assertEqual(unreachable, "")

    def test_probe_confirms_or_clears_a_peers_report(self):
        """Guards against excluding a healthy target by a peer's report alone."""
        table = SuspicionTable()
        for name in "ab":
            table.record_indirect_failure(name, duration_s=2.0, now=100.0)
        _probe("abcd", lambda now: "b", table)
        found = {
            n: (table.is_suspect(n, now=100.1), table.is_unreachable(n, now=100.1))
            for n in "ab"
        }
        self.assertEqual(found, {"a": (False, False), "b": (True, True)})
        self.assertEqual(table.list_direct_failures(now=100.1), [])

    def test_single_silent_target_is_unreachable_at_once(self):
        unreachable, took_s = _probe("abcd", lambda now: "b")
        self.assertEqual(unreachable, "b")
        self.assertLess(took_s, 0.04)


@_without_loop_pauses
class IsolatedObserverTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an instance with a saturated link that accuses healthy targets.

    A new configuration saturates the links of a few instances for seconds. Their probes
    and report requests get no answer; if that counted without the answer of a control,
    they would report healthy targets as unreachable, and all instances would truncate
    responses.
    """

    async def test_isolated_instance_finds_no_target_unreachable(self):
        """Guards against an isolated instance that probes repeatedly."""
        for names in ("a", "abcd", "abcdefghijklmnopqrstuvwxyz"):
            instance = _Instance(_silence_all_until(102.0))
            while instance.clock.now < 102.0:
                instance.detector.probe(names)
                await instance.detector.probe_and_wait(names)
                self.assertEqual(
                    instance.list_direct_failures(), "", f"probed: {names}"
                )
                await instance.detector.fetch_report(_Record("a"))
                self.assertEqual(
                    instance.list_direct_failures(), "", f"report, after: {names}"
                )
                instance.clock.now += 0.012
            self.assertEqual(instance.notifications, 0)

    async def test_target_without_a_report_while_controls_answer_is_unreachable(self):
        instance = _Instance(lambda now: "a")
        await instance.detector.fetch_report(_Record("a"))
        self.assertEqual(instance.list_direct_failures(), "a")
        self.assertLess(instance.clock.now - 100.0, 0.36)

    async def test_failure_is_found_once_controls_answer_again(self):
        # One target fails while the instance is isolated.
        instance = _Instance(
            lambda now: "a" if now > 101.0 else _silence_all_until(101.0)(now)
        )
        while instance.clock.now < 101.6:
            instance.detector.probe("abcd")
            await instance.detector.probe_and_wait("abcd")
            instance.clock.now += 0.012
        self.assertEqual(instance.list_direct_failures(), "a")

    async def test_target_probed_alone_is_found_as_quickly(self):
        # After a peer's report, the other targets of the path are not probed.
        instance = _Instance(lambda now: "a")
        instance.detector.probe("a")
        await instance.detector.probe_and_wait("a")
        self.assertEqual(instance.list_direct_failures(), "a")
        self.assertLess(instance.clock.now - 100.0, 0.04)

    async def test_isolated_instance_does_not_extend_a_suspicion(
        self,
    ):
        instance = _Instance(_silence_all_until(110.0))
        instance.table.record_failure("a", now=instance.clock.now)
        instance.clock.now += 1.5
        task = asyncio.create_task(instance.detector.run())
        await asyncio.sleep(0.5)
        task.cancel()
        self.assertFalse(instance.table.is_unreachable("a", now=102.1))

    async def test_no_target_is_probed_for_a_moment_after_isolation(self):
        """Guards against probes that add to a saturated link."""
        instance = _Instance(_silence_all_until(110.0))
        instance.detector.probe("abcd")
        await instance.detector.probe_and_wait("abcd")
        count, silent_at = len(instance.dialect.calls), instance.clock.now
        for later_s, is_asked in ((0.0, False), (0.2, False), (0.26, True)):
            instance.clock.now = silent_at + later_s
            instance.detector.probe("abcd")
            await instance.detector.record_connect_failure("e", timeout_s=9.0)
            await instance.detector.probe_and_wait("abcde")
            with self.subTest(later_s=later_s):
                self.assertEqual(len(instance.dialect.calls) > count, is_asked)


@_without_loop_pauses
class AnswerAndReportTest(unittest.IsolatedAsyncioTestCase):
    async def test_answer_does_not_clear_a_later_report(self):
        """Guards against an answer that clears a report made after it."""
        instance = _Instance(lambda now: "b")
        instance.table.record_indirect_failure("c", duration_s=2.0, now=99.9)
        instance.detector.probe("abc")
        while instance.clock.now == 100.0:
            await asyncio.sleep(0)
        instance.table.record_indirect_failure(
            "a", duration_s=2.0, now=instance.clock.now
        )
        await instance.detector.probe_and_wait("abc")
        now = instance.clock.now
        self.assertEqual(instance.list_direct_failures(), "b")
        self.assertTrue(
            instance.table.is_indirect("a", now=now), "reported after the answer"
        )
        self.assertFalse(instance.table.is_indirect("c", now=now), "reported before")


@_without_loop_pauses
class ObserverTest(unittest.IsolatedAsyncioTestCase):
    async def _recheck_silent(self, *, is_observer):
        """Return which targets are probed again after one was found silent."""
        instance = _Instance(
            lambda now: "b", is_large=True, is_observer=lambda target: is_observer
        )
        await instance.detector.probe_and_wait("abc")
        self.assertEqual(instance.list_direct_failures(), "b")
        instance.dialect.calls.clear()
        instance.clock.now += FIRST_PROBE_PAUSE_S
        checking = asyncio.create_task(instance.detector.run())
        await asyncio.sleep(2 * BUSY_RECHECK_INTERVAL_S)
        checking.cancel()
        return {name for name, _ in instance.dialect.calls}

    async def test_silent_target_is_probed_again_by_its_observers_only(self):
        """Guards against probes of a failed target by each instance."""
        self.assertIn("b", await self._recheck_silent(is_observer=True))
        self.assertEqual(await self._recheck_silent(is_observer=False), set())

    async def test_target_that_answers_a_peer_is_probed_by_each_instance(self):
        """Guards against avoiding a target that peers reach again."""
        instance = _Instance(
            lambda now: "b" if now < 100.2 else "",
            is_large=True,
            is_observer=lambda target: False,
        )
        await instance.detector.probe_and_wait("abc")
        self.assertEqual(instance.list_direct_failures(), "b")
        instance.clock.now += 0.3
        now = instance.clock.now
        instance.table.merge_regained("b", answered_at=now, now=now)
        checking = asyncio.create_task(instance.detector.run())
        await asyncio.sleep(2 * BUSY_RECHECK_INTERVAL_S)
        checking.cancel()
        self.assertEqual(instance.list_direct_failures(), "")

    async def test_suspicion_that_expires_is_checked_by_each_instance(self):
        """Guards against requests to a target that nobody has seen answer."""
        instance = _Instance(
            lambda now: "b", is_large=True, is_observer=lambda target: False
        )
        await instance.detector.probe_and_wait("abc")
        instance.clock.now += SUSPECT_DURATION_S - RECHECK_AHEAD_S + 0.1
        checking = asyncio.create_task(instance.detector.run())
        await asyncio.sleep(2 * BUSY_RECHECK_INTERVAL_S)
        checking.cancel()
        self.assertEqual(instance.list_direct_failures(), "b")

    async def test_slow_target_is_probed_less_often_for_stalled_streams(self):
        """Guards against probes of slow targets by each instance all the time."""
        for is_large, expected in ((True, 3), (False, 10)):
            with self.subTest(is_large=is_large):
                instance = _Instance(lambda now: "", is_large=is_large)
                for _ in range(10):
                    instance.detector.probe_stalled("abc")
                    while instance.detector._probe_tasks:
                        await asyncio.sleep(0.001)
                    instance.clock.now += 1.01 * PROBE_INTERVAL_S
                calls = Counter(name for name, _ in instance.dialect.calls)
                self.assertEqual(calls["a"], expected)

    async def test_slow_target_that_fails_is_found_by_its_next_probe(self):
        """Guards against a failed target that counts as slow for ever."""
        instance = _Instance(lambda now: "b" if now > 104.0 else "", is_large=True)
        for wait_s in (2 * PROBE_INTERVAL_S + 0.1, MAX_STALL_PROBE_INTERVAL_S + 0.1, 0):
            instance.detector.probe_stalled("abc")
            while instance.detector._probe_tasks:
                await asyncio.sleep(0.01)
            instance.clock.now += wait_s
        self.assertEqual(instance.list_direct_failures(), "b")

    async def test_loss_is_sent_at_once_in_a_large_fleet_only(self):
        """Guards against instances that each find the same loss by their own probes."""
        for is_large in (True, False):
            with self.subTest(is_large=is_large):
                instance = _Instance(lambda now: "b", is_large=is_large)
                await instance.detector.probe_and_wait("abc")
                self.assertEqual(instance.lost, ["b"] if is_large else [])
                self.assertEqual(instance.notifications, 1, "heartbeats as before")

    async def test_observer_prolongs_the_exclusion_that_a_peer_reported(self):
        """Guards against an exclusion that ends although the target is still lost, and
        against a report to all instances for each time that it is prolonged."""
        for is_observer in (True, False):
            with self.subTest(is_observer=is_observer):
                instance = _Instance(
                    lambda now: "b",
                    is_large=True,
                    is_observer=lambda target, result=is_observer: result,
                )
                instance.table.record_indirect_failure("b", duration_s=2.0, now=99.9)
                await instance.detector.probe_and_wait("abc")
                found = instance.list_direct_failures()
                self.assertEqual(found, "b" if is_observer else "", "others confirm")
                instance.clock.now += SUSPECT_DURATION_S - RECHECK_AHEAD_S + 0.1
                checking = asyncio.create_task(instance.detector.run())
                await asyncio.sleep(2 * BUSY_RECHECK_INTERVAL_S)
                checking.cancel()
                self.assertEqual("".join(instance.lost), "b")
                if is_observer:
                    later = instance.clock.now + RECHECK_AHEAD_S
                    self.assertTrue(instance.table.is_unreachable("b", now=later))
                    [found] = instance.table.list_direct_failures(now=later)
                    self.assertEqual(found.target, "b", "for its heartbeats")

    async def test_observer_refutes_the_report_of_an_isolated_peer(self):
        """Guards against a healthy target that all others avoid on a peer's word."""
        for is_large in (True, False):
            with self.subTest(is_large=is_large):
                instance = _Instance(lambda now: "", is_large=is_large)
                instance.table.record_indirect_failure("a", duration_s=2.0, now=99.9)
                await instance.detector.probe_and_wait("abc")
                self.assertEqual(instance.regained, ["a"] if is_large else [])


@_without_loop_pauses
class ControlsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a failure that is never found while all controls are suspected."""

    async def test_failure_is_found_while_all_controls_are_suspected(self):
        for reason in ("reported", "saturated"):
            instance = _Instance(lambda now: "a", names="abcdefgh")
            for name in "bcdefgh":
                if reason == "reported":
                    instance.table.record_indirect_failure(
                        name, duration_s=2.0, now=100.0
                    )
                else:
                    instance.table.record_saturated(name, now=100.0)
            instance.detector.probe("a")
            await instance.detector.probe_and_wait("a")
            with self.subTest(reason):
                self.assertEqual(instance.list_direct_failures(), "a")


class _TargetHandler(socketserver.StreamRequestHandler):
    """Handles a call: `a` answers once the pause has begun, or never if it is dead."""

    def handle(self):
        is_slow = self.rfile.readline() == b"a\n"
        if is_slow and self.server.is_dead:
            self.rfile.read()
            return
        if is_slow:
            self.server.pause.wait()
        with contextlib.suppress(ConnectionError):
            self.wfile.write(b"here\n")


class _TargetServer(socketserver.ThreadingTCPServer):
    """Does not wait for calls that are still open when it is closed."""

    daemon_threads = True


@contextlib.contextmanager
def _serve_targets(*, is_dead):
    """Serve targets in other threads, which a pause of this thread does not stop."""
    with _TargetServer(("127.0.0.1", 0), _TargetHandler) as server:
        server.is_dead = is_dead
        server.pause = threading.Event()
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        try:
            yield server
        finally:
            server.pause.set()
            server.shutdown()
            thread.join()


class _PausingDialect:
    """Calls targets over real sockets; blocks the loop once all but one have answered.

    The pause lasts until `pause_until_s` after the first call, but at least twice
    `MAX_PAUSE_S`, so that it counts as one however late the others answer.
    """

    def __init__(self, server, pause_until_s):
        self._server = server
        self._pause_until_s = pause_until_s
        self._called_at = None
        self._answered = set()
        self.calls = Counter()

    async def is_accepting(self, record, timeout_s):
        return await self.is_responding(record, timeout_s)

    async def is_responding(self, record, timeout_s):
        self.calls[record.name] += 1
        if self._called_at is None:
            self._called_at = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(record.name)
        except TimeoutError:
            return False

    async def _call(self, name):
        address = self._server.server_address
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(f"{name}\n".encode())
            is_responding = await reader.readline() == b"here\n"
        finally:
            writer.close()
        self._answered.add(name)
        if self._answered == set("bcd"):
            asyncio.get_running_loop().call_soon(self._pause)
        return is_responding

    def _pause(self):
        if not self._server.pause.is_set():
            self._server.pause.set()
            pause_s = self._called_at + self._pause_until_s - time.monotonic()
            time.sleep(max(2 * MAX_PAUSE_S, pause_s))


class OwnPauseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers that arrive while the event loop is blocked."""

    async def test_answer_that_comes_during_a_pause_counts(self):
        for pause_until_s in (0.038, 0.04, 0.042):
            with self.subTest(pause_until_s=pause_until_s):
                unreachable, _ = await self._probe(pause_until_s)
                self.assertEqual(unreachable, [])

    async def test_target_that_died_is_found_beside_a_pause(self):
        unreachable, calls = await self._probe(0.038, is_dead=True)
        self.assertEqual(unreachable, ["a"])
        self.assertGreaterEqual(calls["a"], 2)

    async def _probe(self, pause_until_s, *, is_dead=False):
        """Return the unreachable targets, and the number of calls to each.

        The pause lasts until `pause_until_s` after the first call.
        """
        table = SuspicionTable()
        with _serve_targets(is_dead=is_dead) as server:
            dialect = _PausingDialect(server, pause_until_s)
            detector = FailureDetector(
                dialect=dialect,
                catalogue=_Catalogue("abcd"),
                suspicions=table,
                contacts=ContactTable(),
                read_clock=time.monotonic,
                notify_peers=lambda: None,
            )
            detector.probe("abcd")
            await detector.probe_and_wait("abcd")
        unreachable = table.list_direct_failures(now=time.monotonic())
        return [item.target for item in unreachable], dialect.calls


@_without_loop_pauses
class ConnectFailureTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a recent answer that keeps a silent target in use."""

    async def test_target_that_fails_after_an_answer_is_probed_at_once(self):
        instance = _Instance(lambda now: "a" if now > 100.1 else "")
        instance.detector.probe("a")
        await instance.detector.probe_and_wait("a")
        instance.clock.now = 100.45
        await instance.detector.record_connect_failure("a", timeout_s=9.0)
        await instance.detector.probe_and_wait("a")
        self.assertEqual(instance.list_direct_failures(), "a")

    async def test_simultaneous_connect_failures_cause_one_probe(self):
        instance = _Instance(lambda now: "")
        record = instance.detector.record_connect_failure
        failures = [asyncio.create_task(record("a", timeout_s=9.0)) for _ in range(5)]
        await asyncio.sleep(0)
        await asyncio.gather(*failures, *(record("a", timeout_s=9.0) for _ in "12345"))
        calls = [name for name, _ in instance.dialect.calls]
        self.assertEqual(calls.count("a"), 1)

    async def test_target_that_answered_is_not_probed_again_at_once(self):
        instance = _Instance(lambda now: "")
        for _ in range(3):
            instance.detector.probe("a")
            await instance.detector.probe_and_wait("a")
        calls = [name for name, _ in instance.dialect.calls]
        self.assertEqual(calls.count("a"), 1)


@_without_loop_pauses
class MissingReportTest(unittest.IsolatedAsyncioTestCase):
    """Guards against one missing report that makes a healthy target unreachable."""

    async def test_target_that_only_misses_a_report_is_not_unreachable(self):
        silent_targets = iter("a")
        instance = _Instance(lambda now: next(silent_targets, ""))
        report = await instance.detector.fetch_report(_Record("a"))
        self.assertIsNone(report)
        self.assertEqual(instance.list_direct_failures(), "")


#: Upper bound on the seconds that a lost call takes.
_MAX_CALL_S = 5.0


class _LossyDialect:
    """Targets that answer at once, except for calls that a lossy link drops."""

    def __init__(self, is_lost, *, calls_per_probe=PROBE_CALLS):
        self._is_lost = is_lost
        self._calls_per_probe = calls_per_probe
        self.calls = Counter()

    async def is_accepting(self, record, timeout_s):
        return await self.is_responding(record, timeout_s)

    async def is_responding(self, record, timeout_s):
        self.calls[record.name] += 1
        call = self.calls[record.name]
        if not self._is_lost(record.name, call):
            return True
        # The lost call times out once the last call of its probe has been made.
        last_call = math.ceil(call / self._calls_per_probe) * self._calls_per_probe
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_MAX_CALL_S):
                while self.calls[record.name] < last_call:
                    await asyncio.sleep(0.001)
        return False


@_without_loop_pauses
class LostPacketTest(unittest.IsolatedAsyncioTestCase):
    async def probe(self, is_lost, *, is_large=False):
        """Return the targets found unreachable by a probe of `a` and two controls."""
        table = SuspicionTable()
        calls = count_calls(PROBE_TIMEOUT_S, is_large=is_large)
        detector = FailureDetector(
            dialect=_LossyDialect(is_lost, calls_per_probe=calls),
            is_large=lambda: is_large,
            catalogue=_Catalogue("acd"),
            suspicions=table,
            contacts=ContactTable(),
            read_clock=lambda: 100.0,
            notify_peers=lambda: None,
        )
        detector.probe("a")
        for name in "acd":
            await detector.probe_and_wait(name)
        failures = table.list_direct_failures(now=100.0)
        return [failure.target for failure in failures]

    async def test_target_whose_first_call_is_lost_is_healthy(self):
        """Guards against a single lost packet that aborts a target's streams."""
        for is_large in (False, True):
            with self.subTest(is_large=is_large):
                found = await self.probe(
                    lambda name, call: name == "a" and call == 1, is_large=is_large
                )
                self.assertEqual(found, [])

    async def test_dead_target_is_found(self):
        """Guards against repeated calls that hide a failure."""
        for is_large in (False, True):
            with self.subTest(is_large=is_large):
                found = await self.probe(
                    lambda name, call: name == "a", is_large=is_large
                )
                self.assertEqual(found, ["a"])

    async def test_control_that_misses_one_round_is_healthy(self):
        """Guards against excluding a target that was probed for comparison only."""
        found = await self.probe(lambda name, call: name == "c" and call <= PROBE_CALLS)
        self.assertEqual(found, [])


class _SlowDialect:
    """Targets that accept connections but answer none of the requests."""

    def __init__(self, *, accepts):
        self._accepts = accepts

    async def is_responding(self, record, timeout_s):
        return False

    async def is_accepting(self, record, timeout_s):
        return self._accepts


class ContactTest(unittest.IsolatedAsyncioTestCase):
    async def test_slow_service_that_accepts_connections_is_reached_for_a_moment(self):
        """Guards against targets that are all slow and count as unreached."""
        cases = [
            # whether targets accept connections, seconds since one has answered
            (True, 0.0, True),
            (False, 0.0, False),
            (True, ACCEPTANCE_DURATION_S, False),
        ]
        for accepts, answer_age_s, is_reached in cases:
            contacts = ContactTable()
            contacts.record_response("pool", now=time.monotonic() - answer_age_s)
            detector = FailureDetector(
                dialect=_SlowDialect(accepts=accepts),
                catalogue=_Catalogue("abcd"),
                suspicions=SuspicionTable(),
                contacts=contacts,
                read_clock=time.monotonic,
                notify_peers=lambda: None,
            )
            detector.probe("abcd")
            await detector.probe_and_wait("abcd")
            await detector.contact_monitor.wait("pool", timeout_s=9.0)
            with self.subTest(accepts=accepts, answer_age_s=answer_age_s):
                self.assertEqual(contacts.is_reached("pool"), is_reached)
