import asyncio
import contextlib
import selectors
import unittest
from dataclasses import dataclass, replace

from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.fleet import ServiceSpec
from fulmarward_core.layers import plan_layers
from fulmarward_core.layers.tests.fleets import ENGINE, make_fleet
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange import FailureDetector
from fulmarward_router.placement import Placer
from fulmarward_router.ports import OrderOutcome, OrderResult, TargetReport

#: A data centre with targets to spare, and one in which neighbours must close a gap.
_SPARE = {"a": {"large": 5, "middle": 4, "small": 6}}
_TIGHT = {"a": {"middle": 8, "small": 4}, "b": {"large": 6}}

#: Seconds from a word on a lost target to the order: two looks, and some to spare.
_TWO_LOOKS_S = 0.65

#: Seconds by which each wait ends late.
_LATE_S = 0.001

#: Seconds between two heartbeats of a peer, each of which repeats its word.
_BEAT_S = 0.4


class _PlayedSelector(selectors.DefaultSelector):
    """Waits take no time, the clock goes on by them."""

    def __init__(self):
        super().__init__()
        self.now = 100.0

    def select(self, timeout=None):
        events = super().select(0)
        if not events and timeout:
            self.now += timeout + _LATE_S
        return events


def _play(work):
    selector = _PlayedSelector()

    def make_loop():
        loop = asyncio.SelectorEventLoop(selector)
        loop.time = lambda: selector.now
        return loop

    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(work(lambda: selector.now))


class _Lease:
    fencing = 7

    def is_held(self):
        return True

    def drop(self):
        raise AssertionError("the lease was dropped")


@dataclass(frozen=True)
class _Configuration:
    services: dict


@dataclass(frozen=True)
class _Holder:
    current: _Configuration


class _Dialect:
    """Targets that take orders; the silent ones answer nothing.

    Where `hears` is false, no probe is answered in time, and longer calls are.
    """

    def __init__(self, silent, hears):
        self._silent = silent
        self._hears = hears
        self.asked = []
        self.orders = []

    async def is_there(self, record, timeout_s):
        self.asked.append(record.name)
        if not self._hears:
            await asyncio.sleep(timeout_s)
            return False
        return await self.read_report(record, timeout_s) is not None

    async def read_report(self, record, timeout_s):
        if record.name in self._silent:
            await asyncio.sleep(timeout_s)
            return None
        return TargetReport(layers=record.layers, orders_accepted=1, pace=1.0)

    async def order_layers(self, record, layers, *, fencing, orders_accepted):
        self.orders.append((asyncio.get_running_loop().time(), record.name, layers))
        return OrderResult(outcome=OrderOutcome.TAKEN)


def _list_fleet(counts):
    fleet = make_fleet(counts)
    plan = plan_layers(ENGINE, fleet, instances=4)
    layers = {item.target: item.layers for item in plan}
    return [replace(target, layers=layers[target.name]) for target in fleet]


def _take_layers(fleet, names):
    return [replace(t, layers=None) if t.name in names else t for t in fleet]


def _list_rows(fleet):
    return [
        KnownRow(name=item.name, version=1, value=b"-", record=item, heard_at=100.0)
        for item in fleet
    ]


class _Instance:
    """The holder of the lease, whose peer tells it of losses."""

    def __init__(self, read_clock, fleet, silent, hears):
        self.read_clock = read_clock
        self.table = SuspicionTable()
        self.dialect = _Dialect(silent, hears)
        catalogue = TargetCatalogue()
        catalogue.take_all(_list_rows(fleet), 1, now=read_clock())
        self.watch = FailureDetector(
            dialect=self.dialect,
            catalogue=catalogue,
            suspicions=self.table,
            read_clock=read_clock,
            note_change=lambda: None,
        )
        pool = ServiceSpec(name="pool", engine=ENGINE)
        self.placer = Placer(
            dialect=self.dialect,
            lease=_Lease(),
            configuration=_Holder(_Configuration({"pool": pool})),
            catalogue=catalogue,
            suspicions=self.table,
            ask=self.watch.probe,
            count_choosers=lambda: 4,
            read_clock=read_clock,
        )

    async def run(self, seconds, beat):
        """Run for a while, with `beat` at each heartbeat of the peer."""
        tasks = [
            asyncio.create_task(self.placer.run()),
            asyncio.create_task(self.watch.run()),
        ]
        self.began_at = self.read_clock()
        while self.read_clock() - self.began_at < seconds:
            beat(self)
            await asyncio.sleep(_BEAT_S)
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def list_orders(self):
        """Return who was ordered to hold what, and when, from the first word on."""
        return [
            (round(at - self.began_at, 3), name, f"{layers.start}-{layers.end}")
            for at, name, layers in self.dialect.orders
        ]


def _run(counts, beat, *, silent=(), hears=True, empty=(), seconds=5.0):
    async def work(read_clock):
        fleet = _take_layers(_list_fleet(counts), empty)
        instance = _Instance(read_clock, fleet, silent, hears)
        await instance.run(seconds, beat)
        return instance

    return _play(work)


def _tell(*names):
    """A peer's heartbeat that says that targets are lost."""

    def beat(instance):
        for name in names:
            now = instance.read_clock()
            instance.table.record_indirect_failure(name, duration_s=2.0, now=now)

    return beat


class DoubtedTargetsTest(unittest.TestCase):
    def test_word_on_sound_targets_moves_no_layers(self):
        # Callers are refused with 421 and 503 though all targets are sound. The link
        # of one instance is full, it takes what it cannot hear for lost and tells the
        # lease's holder; that saw a gap where there is none and moved the layers of a
        # target, which refused what ran through it. Of a word on one sound target an
        # order came after two looks.
        instance = _run(_SPARE, _tell("a-large-4"))
        self.assertEqual(instance.list_orders(), [])
        # One that answered is not asked again while its answer counts.
        self.assertLessEqual(instance.dialect.asked.count("a-large-4"), 3)

    def test_told_target_on_which_nothing_depends_is_not_asked(self):
        instance = _run(_SPARE, _tell("a-small-2"))
        self.assertEqual(instance.dialect.asked, [])

    def test_target_that_holds_nothing_is_asked_before_it_is_given_layers(self):
        for silent, expected in (([], ["a-large-4"]), (["a-large-4"], ["a-middle-0"])):
            with self.subTest(silent=silent):
                instance = _run(
                    _SPARE, _tell("a-large-4"), silent=silent, empty=["a-large-4"]
                )
                self.assertEqual([o[1] for o in instance.list_orders()], expected)

    def test_word_on_all_targets_moves_no_layers(self):
        names = [target.name for target in _list_fleet(_SPARE)]
        self.assertEqual(_run(_SPARE, _tell(*names)).list_orders(), [])

    def test_target_that_fails_requests_holds_its_layers(self):
        # A target that answers with failures is there, and holds what it holds; it is
        # left out for three seconds, and a target that moves is away for longer.
        def beat(instance):
            instance.table.record_error("a-large-4", now=instance.read_clock())

        self.assertEqual(_run(_SPARE, beat).list_orders(), [])

    def test_holder_that_hears_nobody_moves_no_layers(self):
        instance = _run(_SPARE, _tell("a-large-4"), hears=False)
        self.assertEqual(instance.list_orders(), [])

    def test_silent_target_is_replaced_after_two_looks(self):
        instance = _run(_SPARE, _tell("a-large-4"), silent=["a-large-4"])
        [(after_s, name, layers)] = instance.list_orders()
        self.assertEqual((name, layers), ("a-middle-0", "71-80"))
        self.assertLessEqual(after_s, _TWO_LOOKS_S)

    def test_silent_target_is_replaced_beside_sound_ones_that_are_told(self):
        told = _tell("a-large-4", "a-large-0", "a-small-2")
        instance = _run(_SPARE, told, silent=["a-large-4"])
        [(after_s, name, layers)] = instance.list_orders()
        self.assertEqual((name, layers), ("a-middle-0", "71-80"))
        self.assertLessEqual(after_s, _TWO_LOOKS_S)

    def test_target_lost_by_own_sight_is_replaced_without_a_word(self):
        def beat(instance):
            instance.watch.probe(["a-large-4"])

        instance = _run(_SPARE, beat, silent=["a-large-4"])
        [(after_s, name, layers)] = instance.list_orders()
        self.assertEqual((name, layers), ("a-middle-0", "71-80"))
        self.assertLessEqual(after_s, _TWO_LOOKS_S)

    def test_time_of_a_gap_that_was_closed_meanwhile_does_not_count(self):
        # Twice a target is dark for less than the three seconds of a gap.
        def beat(instance):
            after_s = instance.read_clock() - instance.began_at
            if after_s < 0.2 or 4.6 < after_s < 5.0:
                instance.table.record_failure("a-small-0", now=instance.read_clock())

        self.assertEqual(_run(_TIGHT, beat, seconds=6.5).list_orders(), [])

    def test_data_centre_that_comes_back_empty_is_given_layers(self):
        # One look plans its empty targets, and may have others of them take more.
        for counts in (_TIGHT, {"a": {"middle": 9}, "b": {"large": 6}}):
            fleet = _list_fleet(counts)
            empty = {target.name for target in fleet if target.data_centre == "a"}
            with self.subTest(counts=counts):
                instance = _run(counts, lambda _: None, empty=empty, seconds=3.0)
                ordered = {order[1] for order in instance.list_orders()}
                self.assertEqual(ordered, empty)

    def test_neighbours_stand_in_once_a_target_was_silent_for_three_seconds(self):
        instance = _run(_TIGHT, _tell("a-small-0"), silent=["a-small-0"])
        orders = instance.list_orders()
        ordered = [(name, layers) for _, name, layers in orders]
        self.assertEqual(ordered, [("a-middle-0", "0-11"), ("a-middle-1", "11-21")])
        for after_s, _, _ in orders:
            self.assertGreaterEqual(after_s, 3.0)
            self.assertLessEqual(after_s, 3.0 + _TWO_LOOKS_S)


class RefusingTargetsTest(unittest.TestCase):
    """The store is out, and targets refuse although they seem to have room."""

    def test_targets_that_leave_unseen_are_replaced(self):
        def beat(instance):
            now = instance.read_clock()
            instance.table.refusals.merge_reports(["a-small-0"], now=now)

        ordered = [order[1] for order in _run(_TIGHT, beat).list_orders()]
        self.assertEqual(ordered, ["a-middle-0", "a-middle-1"])

    def test_word_that_most_targets_refuse_moves_no_layers(self):
        # While the store is out, sound targets are given other layers and refuse what
        # runs through them. A peer hears little of what others reserved, so that full
        # targets seem to have room, and tells the lease's holder that they are leaving.
        names = [target.name for target in _list_fleet(_TIGHT)]
        told = [name for name in names if "middle" not in name]

        def beat(instance):
            instance.table.refusals.merge_reports(told, now=instance.read_clock())

        self.assertGreater(len(told), len(names) / 2)
        self.assertEqual(_run(_TIGHT, beat).list_orders(), [])


if __name__ == "__main__":
    unittest.main()
