"""Schedules of losses around a begun stream, and at how many targets it runs."""

import asyncio
import contextlib
import re
import unittest
from dataclasses import dataclass, field
from enum import Enum, auto
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, seed, settings, strategies as st

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange import _process_ends
from fulmarward_router.exchange._request_state import (
    MAX_ENDED_RUNS,
    TruncatedResponse,
)
from fulmarward_router.exchange._send import ConnectOutcome, NotSent
from fulmarward_router.exchange.tests.test_ended_streams import _Dialect
from fulmarward_router.exchange.tests.test_late_streams import _Stream, _StreamTest
from fulmarward_router.tests._simulated_time import run_simulated

#: Number of events of a whole answer, and the seconds between two of them.
_EVENTS = 400
_PAUSE_S = 0.03

_TARGETS = 6
_MOST_ATTEMPTS = 2

#: Seconds after which a connection attempt to a target that is cut off is given up.
_CONNECT_TIMEOUT_S = 0.5

#: Seconds for which a target must be sound before a cut that it could have avoided.
_SOUND_S = 1.7


class Step(Enum):
    """What happens to a target."""

    FREEZE = auto()
    THAW = auto()
    BREAK_OFF = auto()
    #: Its process ends, and connections to it are refused.
    END = auto()
    #: Its machine is cut off for good: nothing answers any more.
    CUT_OFF = auto()
    #: Its entry is removed, or lapses during an outage of the store, and it works on.
    REMOVE = auto()
    LAPSE = auto()
    #: A new process has its name, or its address under another name.
    RESTART = auto()
    REPLACE = auto()
    #: It says that it leaves, and works on.
    LEAVE = auto()
    #: The next target rejects its request, or does not begin to answer it.
    REFUSE = auto()
    MUTE = auto()


@dataclass(kw_only=True)
class _Target:
    """A process that serves streams, as it is in truth."""

    name: str
    address: str
    started_ms: int = 1
    lives: bool = True
    is_cut_off: bool = False
    is_frozen: bool = False
    is_mute: bool = False
    is_listed: bool = True
    #: When it last became fit to serve, on the simulated clock.
    sound_since: float = 0.0
    has_run: bool = False
    streams: list[_Stream] = field(default_factory=list)

    @property
    def counts(self):
        """Whether the limit of the route counts it."""
        return self.has_run and self.lives and not self.is_cut_off

    @property
    def is_sound(self):
        """Whether it could serve a stream now."""
        is_hindered = self.is_frozen or self.is_mute or self.is_cut_off
        return self.lives and self.is_listed and not is_hindered


class _World(_StreamTest):
    """One stream at targets to which steps happen."""

    def __init__(self, read_clock):
        super().__init__("run")
        self._read_clock = read_clock
        self.dialect = _Dialect()
        self.catalogue = TargetCatalogue()
        self.suspicions = SuspicionTable()
        self.version = 0
        self.tasks = []
        #: All processes, and the current one by name.
        self.processes = []
        self.targets = {}
        #: The one that was sent to last, and what awaits the next ones.
        self.latest = None
        self.fates = []
        #: Sends and steps in their order, shown if a schedule fails.
        self.story = []

    def read_clock(self):
        return self._read_clock()

    def start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def add(self, name, address, *, started_ms=1):
        target = _Target(name=name, address=address, started_ms=started_ms)
        target.sound_since = self.read_clock()
        self.processes.append(target)
        self.targets[name] = target
        self.list_process(target)

    def list_process(self, target, *, is_leaving=False):
        self.list_target(
            target.name,
            target.address,
            (0, 2),
            is_leaving=is_leaving,
            started_ms=target.started_ms,
        )

    def record(self, *words):
        self.story.append((round(self.read_clock() - 100.0, 3), *words))

    async def open(self, state, call):
        target = self.targets[call.target]
        self.latest = target
        if target.is_cut_off:
            self.record("not connected", target.name)
            await asyncio.sleep(_CONNECT_TIMEOUT_S)
            raise NotSent("timeout")
        if not target.lives:
            self.record("connection refused", target.name)
            raise NotSent("refused")
        stream = _Stream()
        fate = self.fates.pop(0) if self.fates else None
        if fate is Step.REFUSE:
            self.record("rejected", target.name)
            stream.status = 421
            return stream
        target.is_mute = target.is_mute or fate is Step.MUTE
        self.record("sent", target.name)
        target.has_run = True
        target.streams.append(stream)
        while target.is_frozen or target.is_mute or target.is_cut_off:
            await asyncio.sleep(_PAUSE_S)
        self.start(self.feed(target, stream, int(call.last_event or 0) + 1))
        return stream

    async def feed(self, target, stream, first):
        for number in range(first, _EVENTS + 1):
            await asyncio.sleep(_PAUSE_S)
            while target.is_frozen:
                await asyncio.sleep(_PAUSE_S)
            if target.is_cut_off or stream not in target.streams:
                return
            stream.events.put_nowait(b"id: %d\ndata: x\n\n" % number)
        stream.events.put_nowait(b"")

    def break_off(self, target):
        for stream in target.streams:
            stream.close()
        target.streams.clear()

    def end(self, target):
        target.lives = False
        self.dialect.silent.add(target.name)
        self.break_off(target)

    def take(self, step, target):
        """Have a step happen to a target."""
        self.record(step.name, target.name)
        if step is Step.FREEZE:
            target.is_frozen = True
            self.dialect.silent.add(target.name)
        elif step is Step.THAW:
            target.is_frozen = target.is_mute = False
            if target.lives and not target.is_cut_off:
                self.dialect.silent.discard(target.name)
        elif step in (Step.MUTE, Step.REFUSE):
            self.fates.append(step)
        elif step is Step.BREAK_OFF:
            self.break_off(target)
        elif step is Step.END:
            self.end(target)
        elif step is Step.CUT_OFF:
            target.is_cut_off = True
            self.dialect.silent.add(target.name)
        elif step in (Step.REMOVE, Step.LAPSE):
            if step is Step.LAPSE:
                self.catalogue.record_store_out(at=self.read_clock())
            target.is_listed = False
            self.remove_target(target.name)
        elif step is Step.LEAVE:
            target.is_listed = False
            self.list_process(target, is_leaving=True)
        elif step is Step.RESTART:
            self.end(target)
            self.dialect.silent.discard(target.name)
            self.add(target.name, target.address, started_ms=target.started_ms + 1)
        elif step is Step.REPLACE:
            self.end(target)
            self.add(f"{target.name}x", target.address)
        target.sound_since = self.read_clock()

    async def connect(self, address, *, timeout_s):
        """Stand in for `try_connection`."""
        holders = [each for each in self.processes if each.address == address]
        if any(each.is_cut_off for each in holders):
            await asyncio.sleep(timeout_s)
            return ConnectOutcome.UNANSWERED
        if any(each.lives for each in holders):
            return ConnectOutcome.ACCEPTED
        return ConnectOutcome.REFUSED

    def list_counted(self):
        return sorted(each.name for each in self.processes if each.counts)

    def list_helpful(self):
        """Return the sound targets that could have taken the stream in time."""
        now = self.read_clock()
        has_left = len(self.list_counted()) < _MOST_ATTEMPTS
        return [
            each.name
            for each in self.targets.values()
            if each.is_sound
            and now - each.sound_since >= _SOUND_S
            and (each.has_run or has_left)
        ]

    async def run_schedule(self, schedule):
        """Return the targets that count, helpful ones at a cut, and the events."""
        for number in range(1, _TARGETS + 1):
            self.add(f"t{number}", f"h:{number}")
        client = SimpleNamespace(
            open=self.open, reset_undelivered=lambda address: False
        )
        self.start_service(client, slack=1000.0)
        patched = mock.patch.object(_process_ends, "try_connection", self.connect)
        with patched:
            serving, request = self.serve(most_attempts=_MOST_ATTEMPTS)
            for delay_s, step, index in schedule:
                await asyncio.wait([serving], timeout=delay_s)
                target = self.latest if index == 0 else None
                names = sorted(self.targets)
                target = target or self.targets[names[index % len(names)]]
                self.take(step, target)
            await asyncio.wait([serving], timeout=5.0)
        counted = self.list_counted()
        helpful = []
        if serving.done() and isinstance(serving.exception(), TruncatedResponse):
            ended = [
                each for each in self.processes if each.has_run and not each.counts
            ]
            if len(ended) <= MAX_ENDED_RUNS:
                helpful = self.list_helpful()
        self.record("ended", repr(serving.exception()) if serving.done() else "open")
        received = getattr(request.get("answer"), "received", b"")
        numbers = [int(n) for n in re.findall(rb"id: (\d+)\n", received)]
        for task in self.tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self.tasks, return_exceptions=True)
        return counted, helpful, numbers


_SCHEDULES = st.lists(
    st.tuples(
        st.floats(0.01, 0.9), st.sampled_from(Step), st.integers(0, _TARGETS - 1)
    ),
    max_size=10,
)


class TargetScheduleTest(unittest.TestCase):
    def run_schedule(self, schedule):
        async def run(read_clock):
            self.world = _World(read_clock)
            return await self.world.run_schedule(schedule)

        return run_simulated(run)

    def test_frozen_target_whose_entry_was_removed_counts(self):
        """Guards against a target taken for ended that is only frozen."""
        schedule = [(0.5, Step.FREEZE, 0), (0.5, Step.FREEZE, 0), (0.5, Step.REMOVE, 0)]
        counted, _, _ = self.run_schedule(schedule)
        self.assertLessEqual(len(counted), _MOST_ATTEMPTS, self.world.story)

    def test_target_that_was_silent_for_a_second_counts(self):
        """Guards against an end concluded from a silence and a removed entry."""
        schedule = [
            (0.5, Step.FREEZE, 5),
            (0.35, Step.REMOVE, 5),
            (0.5, Step.FREEZE, 2),
            (0.45, Step.THAW, 5),
            (0.85, Step.THAW, 2),
        ]
        counted, _, numbers = self.run_schedule(schedule)
        self.assertEqual(counted, ["t3", "t6"], self.world.story)
        self.assertEqual(numbers, list(range(1, len(numbers) + 1)))

    def test_stream_goes_on_at_a_target_that_broke_it_off_twice(self):
        """Guards against a cut beside a target that lives, after two resets by it."""
        schedule = [
            (0.5, Step.FREEZE, 0),
            (0.5, Step.BREAK_OFF, 0),
            (0.5, Step.BREAK_OFF, 0),
        ]
        _, helpful, _ = self.run_schedule(schedule)
        self.assertEqual(helpful, [], self.world.story)

    @seed(82)
    @settings(max_examples=100, deadline=None, database=None)
    @given(_SCHEDULES)
    def test_stream_runs_at_no_more_living_targets_than_its_route_allows(
        self, schedule
    ):
        """Guards against a run at too many targets, and a cut that is needless."""
        counted, helpful, numbers = self.run_schedule(schedule)
        self.assertLessEqual(len(counted), _MOST_ATTEMPTS, self.world.story)
        self.assertEqual(helpful, [], self.world.story)
        self.assertEqual(numbers, list(range(1, len(numbers) + 1)))
