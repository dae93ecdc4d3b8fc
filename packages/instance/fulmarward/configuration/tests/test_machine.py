import asyncio
import logging
import random
import unittest
from unittest import mock

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fulmarward.configuration import (
    Applied,
    ApplyRequest,
    _apply,
    apply_declaration,
    confirm_newest,
    run_readiness,
    show_declaration,
)
from fulmarward.configuration._adopt import adopt_from_announcer, poll_platform
from fulmarward.configuration._readiness import record_tick
from fulmarward.configuration.tests.fakes import FakeFleet
from fulmarward_core.declaration import hash_declaration
from fulmarward_core.platform import Bucket, CallKind, CircuitState, record_failure
from fulmarward_core.results import CODES, ExecutionState

_NAMES = ("a", "b", "c")
_INSTANCES = st.sampled_from(_NAMES)
_FAULT = st.sampled_from(["ok", "lost", "late", "out"])
_FAULTS = st.one_of(
    st.lists(_FAULT, max_size=4),
    st.builds(lambda fault, count: [fault] * count, _FAULT, st.integers(1, 6)),
)
_FILES = st.integers(0, 5)


def _make_file(number):
    """Return a declaration in two parts, one of which depends on `number`."""
    data_centres = {f"d{index}": {"region": "r"} for index in range(70)}
    data_centres["d1"] = {"region": f"r{number}"}
    return {"data_centres": data_centres, "teams": {}, "targets": {}}


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators, instances and a platform, with faults at any step."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.fleet = self._run(self._make_fleet())
        self.reported = {}
        self.highest = dict.fromkeys(_NAMES, 0)
        self.seen = {}
        self.count = 0

    async def _make_fleet(self):
        return FakeFleet(_NAMES)

    def _run(self, coroutine):
        with mock.patch.object(_apply, "SETTLE_DELAY_S", 0):
            return self.runner.run(coroutine)

    def teardown(self):
        self.runner.close()

    async def _apply(self, name, number, base_epoch, apply_id):
        wanted = ApplyRequest(
            declaration=_make_file(number),
            apply_id=apply_id,
            applied_by=f"operator-at-{name}",
            base_epoch=base_epoch,
        )
        outcome = await apply_declaration(self.fleet.instances[name], wanted)
        self.reported.setdefault(apply_id, []).append(outcome)

    def _make_id(self):
        self.count += 1
        return f"apply-{self.count}"

    @rule(
        name=_INSTANCES,
        number=_FILES,
        faults=_FAULTS,
        base=st.sampled_from([0, 0, 0, 1, -1]),
    )
    def apply(self, name, number, faults, base):
        self.fleet.store.faults = list(faults)
        newest = max(self.fleet.store.read_history(), default=0)
        self._run(self._apply(name, number, max(0, newest - base), self._make_id()))

    @rule(numbers=st.tuples(_FILES, _FILES), faults=_FAULTS, seed=st.randoms())
    def race(self, numbers, faults, seed):
        store = self.fleet.store
        store.faults = list(faults)
        store.yields = iter([seed.randrange(4) for _ in range(40)])
        base = max(store.read_history(), default=0)

        async def run_both():
            await asyncio.gather(
                self._apply("a", numbers[0], base, self._make_id()),
                self._apply("b", numbers[1], base, self._make_id()),
            )

        self._run(run_both())

    @rule(number=_FILES, faults=_FAULTS)
    def send_again(self, number, faults):
        # After a lost connection, a client sends the same apply to another instance.
        self.fleet.store.faults = list(faults)
        base, apply_id = (
            max(self.fleet.store.read_history(), default=0),
            self._make_id(),
        )
        self._run(self._apply("a", number, base, apply_id))
        self._run(self._apply("b", number, base, apply_id))

    @rule()
    def apply_late_writes(self):
        self.fleet.store.apply_late_writes()

    @rule(name=_INSTANCES)
    def poll(self, name):
        instance, links = self.fleet.instances[name], self.fleet.links[name]
        self._run(poll_platform(instance, links))

    @rule(name=_INSTANCES, announcer=_INSTANCES)
    def receive_announcement(self, name, announcer):
        instance, links = self.fleet.instances[name], self.fleet.links[name]
        epoch = self.fleet.instances[announcer].snapshot.head.epoch
        instance.note_epoch(epoch, announcer)
        if instance.newer_epoch_known.is_set():
            self._run(adopt_from_announcer(instance, links))
            instance.newer_epoch_known.clear()

    @rule(name=_INSTANCES, announcer=_INSTANCES, slow=st.integers(0, 12))
    def receive_announcement_while_polling(self, name, announcer, slow):
        # A slow peer offers an old file while the platform's newer one is adopted.
        instance, links = self.fleet.instances[name], self.fleet.links[name]
        instance.epoch_source = announcer
        links.yields = iter([0, *[slow] * 3])

        async def do_both():
            await asyncio.gather(
                adopt_from_announcer(instance, links), poll_platform(instance, links)
            )

        self._run(do_both())

    @rule(name=_INSTANCES)
    def confirm(self, name):
        instance, links = self.fleet.instances[name], self.fleet.links[name]
        is_known = self._run(confirm_newest(instance, links))
        epoch = instance.snapshot.head.epoch
        newest = max(self.fleet.store.read_history(), default=0)
        if is_known and not self.fleet.store.is_out:
            assert epoch == newest, (epoch, newest)
        others = [item for item in _NAMES if item != name]
        is_alone = name in self.fleet.partitioned or self.fleet.partitioned.issuperset(
            others
        )
        assert not (is_known and self.fleet.store.is_out and is_alone)
        if is_known and instance.lifecycle.state != "serving":
            instance.lifecycle.become_ready()

    @rule(name=_INSTANCES)
    def restart(self, name):
        async def start():
            self.fleet.start(name)

        self._run(start())
        self.highest[name] = 0

    @rule(name=_INSTANCES)
    def pause(self, name):
        instance = self.fleet.instances[name]
        record_tick(instance)
        self.fleet.now += 10.0
        assert instance.has_paused()
        record_tick(instance)
        assert instance.lifecycle.state != "serving"

    @rule()
    def apply_and_lose_every_reply(self):
        # The platform accepts every write but applies it only later.
        newest = max(self.fleet.store.read_history(), default=0)
        self.fleet.store.faults = ["late"] * 8
        self._run(self._apply("a", 6 + self.count % 2, newest, self._make_id()))

    @rule(name=_INSTANCES, is_partitioned=st.booleans())
    def partition(self, name, is_partitioned):
        (
            self.fleet.partitioned.add
            if is_partitioned
            else self.fleet.partitioned.discard
        )(name)

    @rule(name=_INSTANCES, is_damaged=st.booleans())
    def damage(self, name, is_damaged):
        (self.fleet.damaged.add if is_damaged else self.fleet.damaged.discard)(name)

    @rule(is_out=st.booleans())
    def outage(self, is_out):
        self.fleet.store.is_out = is_out

    @invariant()
    def active_epoch_never_decreases(self):
        for name, instance in self.fleet.instances.items():
            assert instance.snapshot.head.epoch >= self.highest[name]
            self.highest[name] = instance.snapshot.head.epoch

    @invariant()
    def each_epoch_has_one_winner_everywhere(self):
        for epoch, head in self.fleet.store.read_history().items():
            first = self.seen.setdefault(epoch, head)
            assert first == head, (first, head)
        for instance in self.fleet.instances.values():
            head = instance.snapshot.head
            if head.epoch:
                assert self.seen[head.epoch]["content_hash"] == head.content_hash
                value = show_declaration(instance)
                assert hash_declaration(value) == head.content_hash
                region = value["data_centres"]["d1"]["region"]
                assert instance.snapshot.declaration.data_centres["d1"].region == region

    @invariant()
    def reported_outcomes_stay_true(self):
        heads = self.fleet.store.read_history().values()
        applied = {head["apply_id"] for head in heads}
        for apply_id, outcomes in self.reported.items():
            for outcome in outcomes:
                if isinstance(outcome, Applied):
                    assert outcome.is_unchanged or apply_id in applied
                elif (
                    CODES[outcome.code].ran is ExecutionState.NOT_RUN
                    and len(outcomes) == 1
                ):
                    assert apply_id not in applied, outcome


ConfigurationMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30
)


class ConfigurationTest(ConfigurationMachine.TestCase, unittest.TestCase):
    def setUp(self):
        logging.getLogger("fulmarward").setLevel(logging.CRITICAL)


class AdoptionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        logging.getLogger("fulmarward").setLevel(logging.CRITICAL)
        self.fleet = FakeFleet(_NAMES)

    async def _apply(self, number):
        request = ApplyRequest(
            declaration=_make_file(number),
            apply_id=f"apply-{number}",
            applied_by="op",
            base_epoch=None,
        )
        await apply_declaration(self.fleet.instances["b"], request)

    async def test_slow_old_body_does_not_replace_a_newer_file(self):
        # A partitioned peer offers its old file, whose bodies arrive slowly. Meanwhile
        # the platform's newer file is adopted. The old one must not replace it.
        instance, links = self.fleet.instances["a"], self.fleet.links["a"]
        await self._apply(1)
        await poll_platform(self.fleet.instances["c"], self.fleet.links["c"])
        await self._apply(2)
        instance.epoch_source = "c"
        links.yields = iter([0, 50, 50, 50])
        await asyncio.gather(
            adopt_from_announcer(instance, links), poll_platform(instance, links)
        )
        self.assertEqual(instance.snapshot.head.epoch, 2)

    async def test_file_is_not_confirmed_by_peers_while_the_platform_answers(self):
        """Guards against an open circuit that is taken for an outage."""
        instance, links = self.fleet.instances["a"], self.fleet.links["a"]
        await self._apply(1)
        await poll_platform(instance, links)
        self.fleet.instances["b"].lifecycle.become_ready()
        await self._apply(2)
        self.fleet.instances["b"].adopt_snapshot(instance.snapshot)
        limiter, now = instance.platform.limiter, instance.platform.read_clock()
        while limiter.circuit is not CircuitState.OPEN:
            record_failure(limiter, now=now, generator=random.Random(1))
        self.assertTrue(await confirm_newest(instance, links))
        self.assertEqual(instance.snapshot.head.epoch, 2)

    async def test_call_that_was_not_made_confirms_nothing(self):
        """Guards against the rate limit of an instance taken for an outage."""
        instance, links = self.fleet.instances["a"], self.fleet.links["a"]
        await self._apply(1)
        await poll_platform(instance, links)
        self.fleet.instances["b"].lifecycle.become_ready()
        platform = instance.platform
        platform.limiter.buckets[CallKind.READ] = Bucket(
            tokens=-1e6, refilled_at=platform.read_clock()
        )
        self.assertFalse(await confirm_newest(instance, links))

    async def test_frozen_instance_serves_no_old_file(self):
        # An instance is frozen while a new file is applied. When it resumes, its first
        # caller could be served by the old file, since no task has run yet. It must
        # answer "not ready" at once and serve again after it has confirmed the file.
        instance, links = self.fleet.instances["a"], self.fleet.links["a"]
        await self._apply(1)
        await confirm_newest(instance, links)
        instance.lifecycle.become_ready()
        record_tick(instance)
        await self._apply(2)
        self.fleet.now += 60.0
        self.assertTrue(instance.has_paused())
        task = asyncio.create_task(run_readiness(instance, links))
        while instance.lifecycle.state != "checking":
            await asyncio.sleep(0)
        while instance.lifecycle.state != "serving":
            await asyncio.sleep(0)
        self.assertEqual(instance.snapshot.head.epoch, 2)
        task.cancel()
