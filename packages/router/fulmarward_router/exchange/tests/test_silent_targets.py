"""Targets that are silent for a moment and go on, beside those that are lost."""

import asyncio
import unittest
from collections import Counter
from dataclasses import dataclass
from functools import partial

from fulmarward_core.isolation import ContactTable
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange import FailureDetector
from fulmarward_router.ports import StalledRequest, TargetReport
from fulmarward_router.tests._simulated_time import run_simulated

#: Seconds after its first answer within which a target gets new requests again.
_REGAIN_S = 0.8

#: Seconds between two checks of a simulated state.
_STEP_S = 0.01

_NAMES = "abcdefghijkl"


@dataclass(frozen=True)
class _Record:
    name: str
    data_centre: str = "north"
    is_leaving: bool = False
    layers: str = "0-10"
    service: str = "pool"
    started_ms: int = 1

    @property
    def address(self):
        return self.name


class _Catalogue:
    def find_target(self, name):
        return _Record(name)

    def list_targets(self, *, now):
        return [_Record(name) for name in _NAMES]


class _Dialect:
    """Targets that answer at once, apart from the `silent` and `refusing` ones."""

    def __init__(self):
        self.silent, self.refusing = set(), set()
        #: Names of the targets that the others wait for.
        self.stalled = set()
        self.calls = Counter()

    async def read_report(self, record, timeout_s):
        if not await self.is_responding(record, timeout_s):
            return None
        stalled = tuple(
            StalledRequest(request_id="r", address=name) for name in self.stalled
        )
        return TargetReport(layers=None, orders_accepted=0, pace=1.0, stalled=stalled)

    async def is_responding(self, record, timeout_s):
        self.calls[record.name] += 1
        if record.name in self.refusing:
            return False
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        while record.name in self.silent:
            if loop.time() >= ends_at:
                return False
            await asyncio.sleep(_STEP_S)
        return True

    is_accepting = is_responding


class _Instance:
    """A failure detector with its recurring task."""

    def __init__(self, read_clock):
        self.read_clock = read_clock
        self.dialect = _Dialect()
        self.table = SuspicionTable()
        self.detector = FailureDetector(
            dialect=self.dialect,
            catalogue=_Catalogue(),
            suspicions=self.table,
            contacts=ContactTable(),
            read_clock=read_clock,
            notify_peers=lambda: None,
        )

    def list_excluded(self, names=_NAMES):
        now = self.read_clock()
        return {name for name in names if self.table.is_suspect(name, now=now)}

    async def find_lost(self, names):
        """Find targets unreachable, as the requests do that pass through them."""
        for name in names:
            await self.detector.probe_again(name, timeout_s=1.0)
        return self.list_excluded(names)

    async def await_usable(self, names, *, within_s):
        """Return the seconds until none is excluded, at most `within_s`."""
        began_at = self.read_clock()
        while self.list_excluded(names) and self.read_clock() - began_at < within_s:
            await asyncio.sleep(_STEP_S)
        return self.read_clock() - began_at

    async def silence(self, names, *, for_s):
        """Keep targets silent; return the seconds until they are usable after it."""
        self.dialect.silent |= set(names)
        began_at = self.read_clock()
        found = await self.find_lost(names)
        assert found == set(names), f"found only {found}"
        await asyncio.sleep(began_at + for_s - self.read_clock())
        self.dialect.silent -= set(names)
        return await self.await_usable(names, within_s=20.0)


def _run(scenario):
    async def run(read_clock):
        instance = _Instance(read_clock)
        task = asyncio.create_task(instance.detector.run())
        try:
            return await scenario(instance)
        finally:
            task.cancel()

    return run_simulated(run)


class SilentTargetTest(unittest.TestCase):
    def test_target_gets_requests_soon_after_its_silence(self):
        """Guards against a silence of a second that excludes a sound target longer."""

        async def scenario(instance, silent_s):
            return await instance.silence("a", for_s=silent_s)

        times = {
            silent_s: _run(partial(scenario, silent_s=silent_s))
            for silent_s in (0.4, 0.7, 1.0, 1.5, 2.0, 3.0)
        }
        self.assertLess(max(times.values()), _REGAIN_S, times)

    def test_repeated_silence_does_not_prolong_the_exclusion(self):
        """Guards against a sound target that is excluded for longer each time."""

        async def scenario(instance):
            times = []
            for _ in range(4):
                times.append(await instance.silence("a", for_s=1.0))
                await asyncio.sleep(1.0)
            return times

        self.assertLess(max(_run(scenario)), _REGAIN_S)

    def test_targets_that_are_silent_together_get_requests_soon_after(self):
        """Guards against targets silent at once that look like isolation here."""

        async def scenario(instance):
            return await instance.silence("abcd", for_s=1.0)

        self.assertLess(_run(scenario), _REGAIN_S)

    def test_target_that_stalls_others_but_answers_here_stays_excluded(self):
        """Guards against paths over a link between two targets that is down."""

        async def scenario(instance):
            instance.dialect.stalled = {"b"}
            await instance.detector.fetch_report(_Record("a"))
            return await instance.await_usable("b", within_s=20.0)

        self.assertGreater(_run(scenario), 1.9)


class LostTargetTest(unittest.TestCase):
    def test_dead_targets_stay_excluded(self):
        """Guards against requests to dead targets each time their exclusion ends."""

        async def scenario(instance, names):
            instance.dialect.silent |= set(names)
            await instance.find_lost(names)
            usable = set()
            for _ in range(int(15.0 / _STEP_S)):
                usable |= set(names) - instance.list_excluded(names)
                await asyncio.sleep(_STEP_S)
            return usable

        found = [_run(partial(scenario, names=names)) for names in ("a", "abcd")]
        self.assertEqual(found, [set(), set()])

    def test_dead_targets_are_found_whichever_controls_are_drawn(self):
        """Guards against a repeated round whose controls are other dead targets."""

        async def scenario(instance, offset):
            instance.detector._offset = offset
            instance.dialect.silent |= set("abcd")
            return await instance.find_lost("abcd")

        # The first round chooses among 11 controls, the second one among 10.
        for offset in range(11 * 10):
            with self.subTest(offset=offset):
                found = _run(partial(scenario, offset=offset))
                self.assertEqual(found, set("abcd"))

    def test_crashing_target_is_excluded_for_longer_each_time(self):
        """Guards against requests to a target that crashes again and again."""

        async def scenario(instance):
            times = []
            for _ in range(3):
                instance.dialect.refusing = {"a"}
                await instance.find_lost("a")
                instance.dialect.refusing = set()
                times.append(await instance.await_usable("a", within_s=20.0))
                await asyncio.sleep(0.9)
            return times

        first_s, second_s, third_s = _run(scenario)
        self.assertGreater(first_s, 1.8)
        self.assertGreater(second_s, 3.6)
        self.assertGreater(third_s, 7.2)

    def test_dead_target_is_probed_rarely(self):
        """Guards against probes, which are priced, that go on at a high rate."""

        async def scenario(instance):
            instance.dialect.silent = {"a"}
            await instance.find_lost("a")
            counts = []
            for _ in range(2):
                before = instance.dialect.calls.total()
                await asyncio.sleep(10.0)
                counts.append(instance.dialect.calls.total() - before)
            return counts

        early, late = _run(scenario)
        self.assertLessEqual(early, 60)
        self.assertLessEqual(late, 36)
