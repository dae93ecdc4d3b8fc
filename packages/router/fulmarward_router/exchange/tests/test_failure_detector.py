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

from fulmarward_core.probing import PROBE_CALLS, PROBE_TIMEOUT_S
from fulmarward_core.probing.decisions import MAX_PAUSE_S
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange import FailureDetector
from fulmarward_router.ports import TargetReport


@dataclass(frozen=True)
class _Record:
    name: str
    data_centre: str = "north"
    is_leaving: bool = False
    layers: str = "0-10"


class _Catalogue:
    """Targets from a to z, as many as are asked for."""

    def __init__(self, names="abcdefghijklmnopqrstuvwxyz"):
        self._names = names

    def find_target(self, name):
        return _Record(name)

    def list_targets(self, *, now):
        return [_Record(name) for name in self._names]


class _Dialect:
    """Targets that answer or not; a call takes no time but its time-out."""

    def __init__(self, clock, silent):
        self._clock = clock
        self._silent = silent
        self.asked = []

    async def read_report(self, record, timeout_s):
        # A report is waited for while others are asked: its time-out comes after that.
        if await self._answer(record, timeout_s, wait_s=2 * PROBE_TIMEOUT_S):
            return TargetReport(layers=None, orders_accepted=0, pace=1.0)
        return None

    async def is_there(self, record, timeout_s):
        return await self._answer(record, timeout_s, wait_s=0)

    async def _answer(self, record, timeout_s, *, wait_s):
        self.asked.append((record.name, timeout_s))
        if record.name not in self._silent(self._clock.now):
            return True
        ends_at = self._clock.now + timeout_s
        await asyncio.sleep(wait_s)
        self._clock.now = max(self._clock.now, ends_at)
        return False


class _CalmMeter:
    """Measures no pause: those of the test's own loop say nothing of played time.

    Guards against a verdict that turns on how busy the machine is.
    """

    def stop(self):
        return 0.0


_on_a_calm_loop = mock.patch(
    "fulmarward_router.exchange._failure_detector._PauseMeter", _CalmMeter
)


class _Clock:
    def __init__(self):
        self.now = 100.0


class _Instance:
    """The watch of an instance, and what it would tell its peers."""

    def __init__(self, silent, names="abcdefghijklmnopqrstuvwxyz"):
        self.clock = _Clock()
        self.table = SuspicionTable()
        self.told = 0
        self.dialect = _Dialect(self.clock, silent)
        self.watch = FailureDetector(
            dialect=self.dialect,
            catalogue=_Catalogue(names),
            suspicions=self.table,
            read_clock=lambda: self.clock.now,
            note_change=self._tell,
        )

    def _tell(self):
        self.told += 1

    def list_direct_failures(self):
        lost = self.table.list_direct_failures(now=self.clock.now)
        return "".join(sorted(item.target for item in lost))


def _hear_nobody_until(end):
    return lambda now: "abcdefghijklmnopqrstuvwxyz" if now < end else ""


def _probe(names, silent, table=None):
    """Return the targets believed lost after a probe, and the seconds it took."""
    clock = _Clock()
    table = SuspicionTable() if table is None else table

    async def run():
        watch = FailureDetector(
            dialect=_Dialect(clock, silent),
            catalogue=_Catalogue(),
            suspicions=table,
            read_clock=lambda: clock.now,
            note_change=lambda: None,
        )
        watch.probe(names)
        await watch.check(names)

    asyncio.run(run())
    lost = "".join(item.target for item in table.list_direct_failures(now=clock.now))
    return lost, clock.now - 100.0


@_on_a_calm_loop
class CheckTest(unittest.TestCase):
    def test_refused_path_is_known_whole_before_the_next_one_is_chosen(self):
        """Guards against attempts used up by targets that failed together."""
        clock = _Clock()
        table = SuspicionTable()

        async def run():
            watch = FailureDetector(
                dialect=_Dialect(clock, lambda now: "abcd"),
                catalogue=_Catalogue(),
                suspicions=table,
                read_clock=lambda: clock.now,
                note_change=lambda: None,
            )
            await asyncio.gather(watch.check("abcdefghij"), watch.check("cdefghijkl"))

        asyncio.run(run())
        found = {item.target for item in table.list_direct_failures(now=clock.now)}
        self.assertEqual(found, set("abcd"))


@_on_a_calm_loop
class ProbeTest(unittest.TestCase):
    def test_targets_that_fail_together_are_found_before_a_pause_is_too_long(self):
        """Guards against a pause of streams that a second, longer probe prolongs."""
        lost, took_s = _probe("abcdefghij", lambda now: "abcd")
        self.assertEqual(lost, "abcd")
        self.assertLess(took_s, 0.08)

    def test_instance_that_hears_nobody_for_a_moment_believes_nobody_lost(self):
        # Its own link is full for a tenth of a second: most probes fail, none is lost.
        lost, _ = _probe("abcd", lambda now: "abc" if now < 100.03 else "")
        self.assertEqual(lost, "")

    def test_word_of_a_peer_is_settled_by_a_probe(self):
        """Guards against a healthy target being excluded by a report alone."""
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

    def test_single_silent_target_is_lost_at_once(self):
        lost, took_s = _probe("abcd", lambda now: "b")
        self.assertEqual(lost, "b")
        self.assertLess(took_s, 0.04)


@_on_a_calm_loop
class IsolatedObserverTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an instance whose link is saturated accusing healthy targets."""

    # Answers were cut in the middle at all instances, beside a new configuration. The
    # links of a few instances were full with it for seconds; their probes and reports
    # went unanswered, they noted sound targets as lost and told all others. Cause: a
    # silence counted without an answer beside it. Evidence: nearly all losses were told
    # by the few whose own readiness checks failed and whose links sent all they could;
    # the targets that they named answered others all the while.

    async def test_instance_that_hears_nobody_believes_nobody_lost(self):
        """Guards against an isolated observer that probes again and again."""
        for names in ("a", "abcd", "abcdefghijklmnopqrstuvwxyz"):
            instance = _Instance(_hear_nobody_until(102.0))
            while instance.clock.now < 102.0:
                instance.watch.probe(names)
                await instance.watch.check(names)
                self.assertEqual(
                    instance.list_direct_failures(), "", f"probed: {names}"
                )
                await instance.watch.fetch_report(_Record("a"))
                self.assertEqual(
                    instance.list_direct_failures(), "", f"asked, of: {names}"
                )
                instance.clock.now += 0.012
            self.assertEqual(instance.told, 0)

    async def test_target_that_gives_no_report_while_others_answer_is_lost(self):
        instance = _Instance(lambda now: "a")
        await instance.watch.fetch_report(_Record("a"))
        self.assertEqual(instance.list_direct_failures(), "a")
        self.assertLess(instance.clock.now - 100.0, 0.36)

    async def test_loss_is_found_once_others_are_heard_again(self):
        # One target is really lost while the instance hears nobody.
        instance = _Instance(
            lambda now: "a" if now > 101.0 else _hear_nobody_until(101.0)(now)
        )
        while instance.clock.now < 101.6:
            instance.watch.probe("abcd")
            await instance.watch.check("abcd")
            instance.clock.now += 0.012
        self.assertEqual(instance.list_direct_failures(), "a")

    async def test_single_target_is_lost_beside_others_as_quickly(self):
        # A peer told of it, so that nobody else of its path is asked.
        instance = _Instance(lambda now: "a")
        instance.watch.probe("a")
        await instance.watch.check("a")
        self.assertEqual(instance.list_direct_failures(), "a")
        self.assertLess(instance.clock.now - 100.0, 0.04)

    async def test_lost_target_is_not_left_out_for_longer_by_one_that_hears_nobody(
        self,
    ):
        instance = _Instance(_hear_nobody_until(110.0))
        instance.table.record_failure("a", now=instance.clock.now)
        instance.clock.now += 1.5
        task = asyncio.create_task(instance.watch.run())
        await asyncio.sleep(0.5)
        task.cancel()
        self.assertFalse(instance.table.is_unreachable("a", now=102.1))

    async def test_nobody_is_asked_for_a_moment_after_nobody_was_heard(self):
        """Guards against probes that add to a saturated link."""
        instance = _Instance(_hear_nobody_until(110.0))
        instance.watch.probe("abcd")
        await instance.watch.check("abcd")
        count, silent_at = len(instance.dialect.asked), instance.clock.now
        for later_s, is_asked in ((0.0, False), (0.2, False), (0.26, True)):
            instance.clock.now = silent_at + later_s
            instance.watch.probe("abcd")
            instance.watch.record_connect_failure(
                "e", is_refused=False, cause="time-out"
            )
            await instance.watch.check("abcde")
            with self.subTest(later_s=later_s):
                self.assertEqual(len(instance.dialect.asked) > count, is_asked)


@_on_a_calm_loop
class AnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_answer_says_nothing_against_a_word_that_came_after_it(self):
        """Guards against an earlier answer that drops a later report."""
        instance = _Instance(lambda now: "b")
        instance.table.record_indirect_failure("c", duration_s=2.0, now=99.9)
        instance.watch.probe("abc")
        while instance.clock.now == 100.0:
            await asyncio.sleep(0)
        instance.table.record_indirect_failure(
            "a", duration_s=2.0, now=instance.clock.now
        )
        await instance.watch.check("abc")
        now = instance.clock.now
        self.assertEqual(instance.list_direct_failures(), "b")
        self.assertTrue(
            instance.table.is_indirect("a", now=now), "said after the answer"
        )
        self.assertFalse(instance.table.is_indirect("c", now=now), "said before it")


@_on_a_calm_loop
class ControlsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a failure never found while all controls are suspected."""

    async def test_loss_is_found_while_all_others_are_told_or_full(self):
        for reason in ("told", "full"):
            instance = _Instance(lambda now: "a", names="abcdefgh")
            for name in "bcdefgh":
                if reason == "told":
                    instance.table.record_indirect_failure(
                        name, duration_s=2.0, now=100.0
                    )
                else:
                    instance.table.record_saturated(name, now=100.0)
            instance.watch.probe("a")
            await instance.watch.check("a")
            with self.subTest(reason):
                self.assertEqual(instance.list_direct_failures(), "a")


class _Answer(socketserver.StreamRequestHandler):
    """A target's end of a call: `a` answers once the pause began, or never."""

    def handle(self):
        is_slow = self.rfile.readline() == b"a\n"
        if is_slow and self.server.is_dead:
            self.rfile.read()
            return
        if is_slow:
            self.server.pause.wait()
        with contextlib.suppress(ConnectionError):
            self.wfile.write(b"here\n")


@contextlib.contextmanager
def _serve_targets(*, is_dead):
    """Serve targets from other threads, which a pause of this one does not stop."""
    with socketserver.ThreadingTCPServer(("127.0.0.1", 0), _Answer) as server:
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


class _PausedDialect:
    """Calls targets behind real sockets; stands still once all but one answered.

    The pause lasts until so many seconds after the first call, and for long enough to
    be one however late the others answer.
    """

    def __init__(self, server, pause_until_s):
        self._server = server
        self._pause_until_s = pause_until_s
        self._called_at = None
        self._answered = set()
        self.asked = Counter()

    async def is_there(self, record, timeout_s):
        self.asked[record.name] += 1
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
            is_there = await reader.readline() == b"here\n"
        finally:
            writer.close()
        self._answered.add(name)
        if self._answered == set("bcd"):
            asyncio.get_running_loop().call_soon(self._pause)
        return is_there

    def _pause(self):
        if not self._server.pause.is_set():
            self._server.pause.set()
            pause_s = self._called_at + self._pause_until_s - time.monotonic()
            time.sleep(max(2 * MAX_PAUSE_S, pause_s))


class OwnPauseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers that arrive while the event loop is blocked."""

    async def test_answer_that_comes_during_a_pause_counts(self):
        for until_s in (0.038, 0.04, 0.042):
            with self.subTest(until_s=until_s):
                lost, _ = await self._probe(until_s)
                self.assertEqual(lost, [])

    async def test_target_that_died_is_found_beside_a_pause(self):
        lost, asked = await self._probe(0.038, is_dead=True)
        self.assertEqual(lost, ["a"])
        self.assertGreaterEqual(asked["a"], 2)

    async def _probe(self, until_s, *, is_dead=False):
        """Return who is lost, and how often each was asked.

        The pause lasts until so many seconds after the targets were asked.
        """
        table = SuspicionTable()
        with _serve_targets(is_dead=is_dead) as server:
            dialect = _PausedDialect(server, until_s)
            watch = FailureDetector(
                dialect=dialect,
                catalogue=_Catalogue("abcd"),
                suspicions=table,
                read_clock=time.monotonic,
                note_change=lambda: None,
            )
            watch.probe("abcd")
            await watch.check("abcd")
        lost = table.list_direct_failures(now=time.monotonic())
        return [item.target for item in lost], dialect.asked


@_on_a_calm_loop
class NotSentTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a recent answer that keeps a dark target in use."""

    async def test_target_that_went_dark_after_its_answer_is_asked_at_once(self):
        instance = _Instance(lambda now: "a" if now > 100.1 else "")
        instance.watch.probe("a")
        await instance.watch.check("a")
        instance.clock.now = 100.45
        instance.watch.record_connect_failure("a", is_refused=False, cause="time-out")
        await instance.watch.check("a")
        self.assertEqual(instance.list_direct_failures(), "a")

    async def test_many_failures_in_one_moment_make_one_probe(self):
        instance = _Instance(lambda now: "")
        for _ in range(5):
            instance.watch.record_connect_failure(
                "a", is_refused=False, cause="time-out"
            )
        await asyncio.sleep(0)
        for _ in range(5):
            instance.watch.record_connect_failure(
                "a", is_refused=False, cause="time-out"
            )
        await instance.watch.check("a")
        asked = [name for name, _ in instance.dialect.asked]
        self.assertEqual(asked.count("a"), 1)

    async def test_target_that_answers_is_asked_again_only_after_news(self):
        instance = _Instance(lambda now: "")
        for _ in range(3):
            instance.watch.probe("a")
            await instance.watch.check("a")
        asked = [name for name, _ in instance.dialect.asked]
        self.assertEqual(asked.count("a"), 1)


@_on_a_calm_loop
class MissingReportTest(unittest.IsolatedAsyncioTestCase):
    """Guards against one missing report making a healthy target unreachable."""

    async def test_target_whose_report_alone_is_missing_is_not_lost(self):
        silences = iter("a")
        instance = _Instance(lambda now: next(silences, ""))
        report = await instance.watch.fetch_report(_Record("a"))
        self.assertIsNone(report)
        self.assertEqual(instance.list_direct_failures(), "")


#: Seconds after which a lost call ends in any case.
_GIVE_UP_S = 5.0


class _LossyDialect:
    """Targets behind a link that loses some calls; all others are answered at once."""

    def __init__(self, lost):
        self._lost = lost
        self.asked = Counter()

    async def is_there(self, record, timeout_s):
        self.asked[record.name] += 1
        call = self.asked[record.name]
        if not self._lost(record.name, call):
            return True
        # It times out once the last call of its probe has been made.
        last = math.ceil(call / PROBE_CALLS) * PROBE_CALLS
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_GIVE_UP_S):
                while self.asked[record.name] < last:
                    await asyncio.sleep(0.001)
        return False


@_on_a_calm_loop
class LostPacketTest(unittest.IsolatedAsyncioTestCase):
    async def probe(self, lost):
        """Return the targets found unreachable by a probe of `a` and two controls."""
        table = SuspicionTable()
        detector = FailureDetector(
            dialect=_LossyDialect(lost),
            catalogue=_Catalogue("acd"),
            suspicions=table,
            read_clock=lambda: 100.0,
            note_change=lambda: None,
        )
        detector.probe("a")
        for name in "acd":
            await detector.check(name)
        failures = table.list_direct_failures(now=100.0)
        return [failure.target for failure in failures]

    async def test_target_whose_first_call_is_lost_is_healthy(self):
        """Guards against a single lost packet that aborts a target's streams."""
        found = await self.probe(lambda name, call: name == "a" and call == 1)
        self.assertEqual(found, [])

    async def test_dead_target_is_found(self):
        """Guards against repeated calls that hide a failure."""
        self.assertEqual(await self.probe(lambda name, call: name == "a"), ["a"])

    async def test_control_that_misses_one_round_is_healthy(self):
        """Guards against excluding a target that was probed for comparison only."""
        found = await self.probe(lambda name, call: name == "c" and call <= PROBE_CALLS)
        self.assertEqual(found, [])
